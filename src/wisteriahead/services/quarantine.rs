//! Runs the state machine of [`core::quarantine`](crate::core::quarantine): reports deaths of
//! endpoints to the other hosts and applies the reports of theirs.

use super::{Handler, Peers};
use crate::core::message::{Topic, decode, encode};
use crate::core::quarantine::{Death, Digest, Fingerprint, Quarantine, SuspectRun};
use crate::kernel::{Context, Service};
use crate::prelude::*;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use std::time::Duration;

/// Delays before each report of a death. It is sent several times because a message may be lost;
/// hosts ignore a report that they already have.
const REPORT_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_secs(1), Duration::from_secs(4)];

/// Quarantine of requests that crash endpoints.
pub trait RequestQuarantine: Send + Sync {
    /// Whether a request is quarantined and must be refused.
    fn is_banned(&self, request: &Digest) -> bool;

    /// Whether a request was recently answered without a death and is not a suspect.
    fn is_cleared(&self, request: &Digest) -> bool;

    /// Records a death and reports it to the other hosts.
    fn record_death(&self, death: Death);

    /// Asks whether a suspect may run now, and marks it as running if so.
    fn begin_run(&self, request: &Fingerprint) -> SuspectRun;

    /// Ends the run of a suspect.
    fn end_run(&self, request: &Fingerprint);

    /// Clears a suspect that was answered.
    fn clear_suspect(&self, request: &Fingerprint);

    /// Records that a request was answered without a death.
    fn record_success(&self, request: Digest);
}

impl dyn RequestQuarantine {
    /// Name in the kernel.
    pub const NAME: &'static str = "suspicion";
}

/// Quarantine of this host, kept in step with the other hosts by reports of deaths.
pub struct SharedQuarantine {
    ctx: Context,
    peers: Option<Arc<dyn Peers>>,
    state: Mutex<Quarantine>,
}

impl SharedQuarantine {
    /// Creates an empty quarantine that reports deaths to the other hosts through `peers`.
    pub fn new(ctx: &Context, peers: Option<Arc<dyn Peers>>) -> Self {
        Self { ctx: ctx.clone(), peers, state: Mutex::default() }
    }
}

impl RequestQuarantine for SharedQuarantine {
    fn is_banned(&self, request: &Digest) -> bool {
        self.state.lock().is_banned(self.ctx.now(), request)
    }

    fn is_cleared(&self, request: &Digest) -> bool {
        self.state.lock().is_cleared(request)
    }

    fn record_death(&self, death: Death) {
        if !self.state.lock().record_death(self.ctx.now(), &death) {
            return;
        }
        log::warn!("endpoint {} failed with a request in flight", death.endpoint);
        if let Some(peers) = &self.peers {
            tokio::spawn(report_death(Arc::clone(peers), encode(&death)));
        }
    }

    fn begin_run(&self, request: &Fingerprint) -> SuspectRun {
        self.state.lock().begin_run(self.ctx.now(), request)
    }

    fn end_run(&self, request: &Fingerprint) {
        self.state.lock().end_run(request);
    }

    fn clear_suspect(&self, request: &Fingerprint) {
        self.state.lock().clear_suspect(request);
    }

    fn record_success(&self, request: Digest) {
        self.state.lock().record_success(request);
    }
}

/// Sends the report of a death to the other hosts, once after each of the delays.
async fn report_death(peers: Arc<dyn Peers>, death: Vec<u8>) {
    for delay in REPORT_DELAYS {
        tokio::time::sleep(delay).await;
        for host in peers.others() {
            peers.send(&host, Topic::Quarantine, death.clone());
        }
    }
}

impl Handler for SharedQuarantine {
    fn receive(&self, from: &str, body: &[u8]) {
        match decode::<Death>(body) {
            Ok(death) => {
                if self.state.lock().record_death(self.ctx.now(), &death) {
                    log::info!("host {from} says that endpoint {} failed", death.endpoint);
                }
            }
            Err(e) => log::warn!(
                "could not decode a report of a death from host `{from}`; it is ignored: {e}"
            ),
        }
    }
}

/// Service that publishes [`RequestQuarantine`].
pub struct QuarantineService;

impl Service for QuarantineService {
    fn name(&self) -> &'static str {
        "quarantine"
    }

    fn start<'a>(&'a self, ctx: &'a Context) -> BoxFuture<'a, Result<()>> {
        Box::pin(async move {
            let peers = ctx.find::<dyn Peers>(<dyn Peers>::NAME)?;
            let shared = Arc::new(SharedQuarantine::new(ctx, Some(Arc::clone(&peers))));
            peers.set_handler(Topic::Quarantine, shared.clone());
            ctx.publish::<dyn RequestQuarantine>(<dyn RequestQuarantine>::NAME, shared);
            Ok(())
        })
    }

    fn stop(&self, _timeout: Span) -> BoxFuture<'_, ()> {
        Box::pin(async {})
    }
}
