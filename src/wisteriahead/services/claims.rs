//! Claims on idempotency keys, stored in the replicated state of the key's home: the tier or one
//! availability zone.
//!
//! Each claim has a random number of its own. It can therefore be submitted again without harm,
//! and an outcome that arrives late or twice is never applied to another claim on the same key.

use super::control::wall_ms;
use super::{Admin, Claim, Claims, Commands, Homes, Outcome, Peers};
use crate::core::control::claims::{OUTCOME_TTL_MILLIS, Ticket, expired_key};
use crate::core::control::{Command, Reply};
use crate::kernel::{Context, Service};
use crate::prelude::*;
use futures::future::BoxFuture;
use parking_lot::Mutex;

/// Time limit for a claim.
const CLAIM_TIMEOUT: Span = Span::secs(3);
/// Time limit for recording an outcome.
const RECORD_TIMEOUT: Span = Span::secs(10);
/// Time without a quorum of the tier after which new tickets have this zone as their home.
const QUORUM_SILENCE_MAX: Span = Span::secs(4);
/// Maximum number of granted claims remembered until their outcome is recorded.
const GRANTED_MAX: usize = 16_384;

/// Service that publishes [`Claims`].
pub struct ClaimsService;

/// Makes claims on behalf of this host's callers.
struct ClaimClient {
    commands: Arc<dyn Commands>,
    homes: Arc<dyn Homes>,
    admin: Arc<dyn Admin>,
    zone: String,
    /// Numbers of the granted claims whose outcome is not recorded yet, by key.
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
            let client = Arc::new(ClaimClient { commands, homes, admin, zone, granted });
            let client: Arc<dyn Claims> = Arc::new(client);
            ctx.publish(<dyn Claims>::NAME, client);
            Ok(())
        })
    }

    fn stop(&self, _timeout: Span) -> BoxFuture<'_, ()> {
        Box::pin(async {})
    }
}

impl ClaimClient {
    async fn new_ticket(&self) -> Result<String, Refusal> {
        let (home, epoch) = self.ticket_home().await?;
        let ticket = Ticket { home, epoch, time_ms: wall_ms(), nonce: rand::random() };
        Ok(ticket.to_string())
    }

    /// Home of a new ticket and its epoch: the tier, or this zone while the tier has no quorum.
    async fn ticket_home(&self) -> Result<(String, u64), Refusal> {
        if self.admin.quorum_silence() > QUORUM_SILENCE_MAX
            && let Some(epoch) = self.homes.epoch().await
        {
            return Ok((self.zone.clone(), epoch));
        }
        Ok((Ticket::TIER.to_owned(), self.commands.tier_id().await?))
    }

    /// Submits a command to the home of its key.
    async fn submit(&self, key: &str, command: Command, timeout: Span) -> Result<Reply, Refusal> {
        match Ticket::parse(key).filter(|t| t.home != Ticket::TIER) {
            Some(ticket) => self.homes.submit(&ticket, command, timeout).await,
            None => self.commands.submit(command, timeout).await,
        }
    }

    async fn claim_key(self: &Arc<Self>, key: &str, digest: [u8; 32]) -> Result<Claim, Refusal> {
        // Expired keys are refused here, since their home may no longer exist to refuse them.
        if Ticket::parse(key)
            .is_some_and(|t| wall_ms().saturating_sub(t.time_ms) > OUTCOME_TTL_MILLIS)
        {
            return Err(expired_key());
        }
        let nonce = rand::random();
        let command = Command::Claim { key: key.to_owned(), digest, nonce };
        match self.submit(key, command, CLAIM_TIMEOUT).await {
            Ok(Reply::Claim(done)) => {
                if done == Ok(Claim::Granted) {
                    self.remember_claim(key, nonce);
                }
                done
            }
            Ok(_) => Err(Refusal::not_run(Reason::Internal, "the claim was answered otherwise")),
            Err(refusal) => {
                if refusal.verdict != Verdict::NotRun {
                    self.release_claim(key, nonce);
                }
                // Without a grant the request isn't sent, whether or not the claim was applied.
                let detail = format!(
                    "the key could not be claimed, so this attempt was not run (an earlier one \
                     with the same key may have been): {}",
                    refusal.detail
                );
                Err(Refusal::not_run(refusal.reason, detail))
            }
        }
    }

    fn remember_claim(&self, key: &str, nonce: u64) {
        let mut granted = self.granted.lock();
        granted.insert(key.to_owned(), nonce);
        if granted.len() > GRANTED_MAX {
            // The outcome of the evicted claim stays unknown: resends get `MayHaveRun`.
            granted.shift_remove_index(0);
        }
    }

    /// Frees the key of a claim that may have been granted but will not be used.
    fn release_claim(self: &Arc<Self>, key: &str, nonce: u64) {
        let (client, key) = (Arc::clone(self), key.to_owned());
        let command = Command::Record { key: key.clone(), nonce, outcome: Outcome::NotRun };
        tokio::spawn(async move {
            if let Err(e) = client.submit(&key, command, RECORD_TIMEOUT).await {
                log::debug!("could not release an unused claim: {e}");
            }
        });
    }

    async fn record_outcome(&self, key: &str, outcome: Outcome) {
        let Some(nonce) = self.granted.lock().swap_remove(key) else { return };
        let command = Command::Record { key: key.to_owned(), nonce, outcome };
        if let Err(e) = self.submit(key, command, RECORD_TIMEOUT).await {
            log::warn!("could not record the outcome of a non-idempotent request: {e}");
        }
    }
}

impl Claims for Arc<ClaimClient> {
    fn ticket(&self) -> BoxFuture<'_, Result<String, Refusal>> {
        Box::pin(self.new_ticket())
    }

    fn claim<'a>(
        &'a self,
        key: &'a str,
        digest: [u8; 32],
    ) -> BoxFuture<'a, Result<Claim, Refusal>> {
        Box::pin(self.claim_key(key, digest))
    }

    fn record<'a>(&'a self, key: &'a str, outcome: Outcome) -> BoxFuture<'a, ()> {
        Box::pin(self.record_outcome(key, outcome))
    }
}
