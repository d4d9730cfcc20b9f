//! Drives the quarantine: tells the other hosts of deaths and hears theirs.

use super::{Handler, Peers};
use crate::core::message::{Topic, decode, encode};
use crate::core::quarantine::{Death, Digest, Fingerprint, Quarantine, SuspectRun};
use crate::kernel::{Context, Service};
use crate::prelude::*;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use std::time::Duration;

/// Waits between the times at which a death is told: a message may be lost, and a host that
/// heard of the death already ignores it.
const TELL_WAITS: [Duration; 3] = [Duration::ZERO, Duration::from_secs(1), Duration::from_secs(4)];

/// Knows the requests that stop endpoints.
pub trait RequestQuarantine: Send + Sync {
    /// Whether a request is refused.
    fn is_banned(&self, request: &Digest) -> bool;

    /// Whether a request was answered lately and is no suspect.
    fn is_cleared(&self, request: &Digest) -> bool;

    /// Takes note of a death and tells the other hosts.
    fn record_death(&self, death: Death);

    /// Asks to run a suspect.
    fn begin_run(&self, request: &Fingerprint) -> SuspectRun;

    /// Ends the run of a suspect.
    fn end_run(&self, request: &Fingerprint);

    /// Takes note that a suspect was answered.
    fn clear_suspect(&self, request: &Fingerprint);

    /// Takes note of a request that was answered without a death.
    fn record_success(&self, request: Digest);
}

impl dyn RequestQuarantine {
    /// Name in the kernel.
    pub const NAME: &'static str = "suspicion";
}

/// The quarantine of one host.
pub struct SharedQuarantine {
    ctx: Context,
    peers: Option<Arc<dyn Peers>>,
    state: Mutex<Quarantine>,
}

impl SharedQuarantine {
    /// A quarantine that tells `peers` of deaths.
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
            tokio::spawn(tell(Arc::clone(peers), encode(&death)));
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

/// Tells the other hosts of a death, and again.
async fn tell(peers: Arc<dyn Peers>, death: Vec<u8>) {
    for wait in TELL_WAITS {
        tokio::time::sleep(wait).await;
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
            Err(e) => log::warn!("ignored a death told by {from}: {e}"),
        }
    }
}

/// Publishes the quarantine.
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

    fn stop(&self, _bound: Span) -> BoxFuture<'_, ()> {
        Box::pin(async {})
    }
}
