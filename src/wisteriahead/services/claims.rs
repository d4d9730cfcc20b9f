//! Claims on keys, kept in the replicated state of the tier or of a zone's home.
//!
//! A claim carries a number of its own, so that it may be handed in again and its
//! outcome, late or doubled, is never taken for that of another claim on the key.

use super::control::wall_ms;
use super::{Admin, Claim, Claims, Commands, Homes, Outcome, Peers};
use crate::core::control::claims::{OUTCOME_TTL_MILLIS, Ticket, expired_key};
use crate::core::control::{Command, Reply};
use crate::kernel::{Context, Service};
use crate::prelude::*;
use futures::future::BoxFuture;
use parking_lot::Mutex;

/// Time allowed for a claim.
const CLAIM_MAX: Span = Span::secs(3);
/// Time in which an outcome must be recorded.
const RECORD_MAX: Span = Span::secs(10);
/// Silence of the tier's quorum after which tickets name the zone's home.
const SILENT_MAX: Span = Span::secs(4);
/// Most granted claims remembered until their outcome is recorded.
const GRANTED_MAX: usize = 16_384;

/// The service: publishes [`Claims`].
pub struct ClaimsService;

/// Makes claims for this host's callers.
struct Desk {
    commands: Arc<dyn Commands>,
    homes: Arc<dyn Homes>,
    admin: Arc<dyn Admin>,
    zone: String,
    granted: Mutex<IndexMap<String, u64>>,
}

impl Service for ClaimsService {
    fn name(&self) -> &'static str {
        <dyn Claims>::NAME
    }

    fn start<'a>(&'a self, ctx: &'a Context) -> BoxFuture<'a, Result<()>> {
        Box::pin(async move {
            let commands = ctx.find::<dyn Commands>(<dyn Commands>::NAME)?;
            let homes = ctx.find::<dyn Homes>(<dyn Homes>::NAME)?;
            let admin = ctx.find::<dyn Admin>(<dyn Admin>::NAME)?;
            let zone = ctx.find::<dyn Peers>(<dyn Peers>::NAME)?.zone().to_owned();
            let granted = Mutex::default();
            let desk = Arc::new(Desk { commands, homes, admin, zone, granted });
            let desk: Arc<dyn Claims> = Arc::new(desk);
            ctx.publish(<dyn Claims>::NAME, desk);
            Ok(())
        })
    }

    fn stop(&self, _bound: Span) -> BoxFuture<'_, ()> {
        Box::pin(async {})
    }
}

impl Desk {
    async fn make(&self) -> Result<String, Refusal> {
        let (home, epoch) = self.home().await?;
        let ticket = Ticket { home, epoch, time_ms: wall_ms(), nonce: rand::random() };
        Ok(ticket.to_string())
    }

    /// The home of a new ticket: the tier, or this zone while the tier's quorum is not heard.
    async fn home(&self) -> Result<(String, u64), Refusal> {
        if self.admin.quorum_silence() > SILENT_MAX
            && let Some(epoch) = self.homes.epoch().await
        {
            return Ok((self.zone.clone(), epoch));
        }
        Ok((Ticket::TIER.to_owned(), self.commands.tier_id().await?))
    }

    /// Hands a command in at the home of its key.
    async fn submit(&self, key: &str, command: Command, bound: Span) -> Result<Reply, Refusal> {
        match Ticket::parse(key).filter(|t| t.home != Ticket::TIER) {
            Some(ticket) => self.homes.submit(&ticket, command, bound).await,
            None => self.commands.submit(command, bound).await,
        }
    }

    async fn take(self: &Arc<Self>, key: &str, digest: [u8; 32]) -> Result<Claim, Refusal> {
        // The home may be gone for good by then, and could not say so.
        if Ticket::parse(key)
            .is_some_and(|t| wall_ms().saturating_sub(t.time_ms) > OUTCOME_TTL_MILLIS)
        {
            return Err(expired_key());
        }
        let nonce = rand::random();
        let command = Command::Claim { key: key.to_owned(), digest, nonce };
        match self.submit(key, command, CLAIM_MAX).await {
            Ok(Reply::Claim(done)) => {
                if done == Ok(Claim::Granted) {
                    self.remember(key, nonce);
                }
                done
            }
            Ok(_) => Err(Refusal::not_run(Reason::Internal, "the claim was answered otherwise")),
            Err(refusal) => {
                if refusal.verdict != Verdict::NotRun {
                    self.abandon(key, nonce);
                }
                // Nothing is sent without a grant, whether or not the claim was applied.
                let detail = format!(
                    "the key could not be claimed, so this attempt was not run (an earlier one \
                     with the same key may have been): {}",
                    refusal.detail
                );
                Err(Refusal::not_run(refusal.reason, detail))
            }
        }
    }

    fn remember(&self, key: &str, nonce: u64) {
        let mut granted = self.granted.lock();
        granted.insert(key.to_owned(), nonce);
        if granted.len() > GRANTED_MAX {
            // Its outcome stays unknown: resends hear that it may have run.
            granted.shift_remove_index(0);
        }
    }

    /// Frees the key of a claim that may have been granted and will never be used.
    fn abandon(self: &Arc<Self>, key: &str, nonce: u64) {
        let (desk, key) = (Arc::clone(self), key.to_owned());
        let command = Command::Record { key: key.clone(), nonce, outcome: Outcome::NotRun };
        tokio::spawn(async move {
            if let Err(e) = desk.submit(&key, command, RECORD_MAX).await {
                log::debug!("an unused claim was not taken back: {e}");
            }
        });
    }

    async fn note(&self, key: &str, outcome: Outcome) {
        let Some(nonce) = self.granted.lock().swap_remove(key) else { return };
        let command = Command::Record { key: key.to_owned(), nonce, outcome };
        if let Err(e) = self.submit(key, command, RECORD_MAX).await {
            log::warn!("the outcome of an order was not recorded: {e}");
        }
    }
}

impl Claims for Arc<Desk> {
    fn ticket(&self) -> BoxFuture<'_, Result<String, Refusal>> {
        Box::pin(self.make())
    }

    fn claim<'a>(
        &'a self,
        key: &'a str,
        digest: [u8; 32],
    ) -> BoxFuture<'a, Result<Claim, Refusal>> {
        Box::pin(self.take(key, digest))
    }

    fn record<'a>(&'a self, key: &'a str, outcome: Outcome) -> BoxFuture<'a, ()> {
        Box::pin(self.note(key, outcome))
    }
}
