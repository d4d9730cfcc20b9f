//! Claims on keys, kept in the replicated state of the tier.
//!
//! A claim carries a number of its own, so that it may be handed in again and its
//! outcome, late or doubled, is never taken for that of another claim on the key.

use super::{Claim, Claims, Commands, Outcome};
use crate::core::control::claims::Ticket;
use crate::core::control::{Command, Reply};
use crate::kernel::{Context, Service};
use crate::prelude::*;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use std::time::SystemTime;

/// Time allowed for a claim.
const CLAIM_MAX: Span = Span::secs(3);
/// Time in which an outcome must be recorded.
const RECORD_MAX: Span = Span::secs(10);
/// Most granted claims remembered until their outcome is recorded.
const GRANTED_MAX: usize = 16_384;

/// The service: publishes [`Claims`].
pub struct ClaimsService;

/// Makes claims for this host's callers.
struct Desk {
    commands: Arc<dyn Commands>,
    granted: Mutex<IndexMap<String, u64>>,
}

impl Service for ClaimsService {
    fn name(&self) -> &'static str {
        <dyn Claims>::NAME
    }

    fn start<'a>(&'a self, ctx: &'a Context) -> BoxFuture<'a, Result<()>> {
        Box::pin(async move {
            let commands = ctx.find::<dyn Commands>(<dyn Commands>::NAME)?;
            let desk: Arc<dyn Claims> = Arc::new(Desk { commands, granted: Mutex::default() });
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
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let ticket = Ticket {
            home: Ticket::TIER.to_owned(),
            epoch: self.commands.tier().await?,
            time_ms: u64::try_from(since.as_millis()).unwrap_or_default(),
            nonce: rand::random(),
        };
        Ok(ticket.to_string())
    }

    async fn take(&self, key: &str, digest: [u8; 32]) -> Result<Claim, Refusal> {
        let nonce = rand::random();
        let command = Command::Claim { key: key.to_owned(), digest, nonce };
        match self.commands.submit(command, CLAIM_MAX).await {
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
    fn abandon(&self, key: &str, nonce: u64) {
        let commands = self.commands.clone();
        let command = Command::Record { key: key.to_owned(), nonce, outcome: Outcome::NotRun };
        tokio::spawn(async move {
            if let Err(e) = commands.submit(command, RECORD_MAX).await {
                log::debug!("an unused claim was not taken back: {e}");
            }
        });
    }

    async fn note(&self, key: &str, outcome: Outcome) {
        let Some(nonce) = self.granted.lock().swap_remove(key) else { return };
        let command = Command::Record { key: key.to_owned(), nonce, outcome };
        if let Err(e) = self.commands.submit(command, RECORD_MAX).await {
            log::warn!("the outcome of an order was not recorded: {e}");
        }
    }
}

impl Claims for Desk {
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
