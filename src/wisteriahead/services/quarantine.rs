//! Runs the state machine of [`core::quarantine`](crate::core::quarantine): reports deaths of
//! endpoints and answers of suspects to the other hosts, and applies the reports of theirs.

use super::{Handler, Peers};
use crate::core::message::{Topic, decode, encode};
use crate::core::quarantine::{
    Admission, Death, Digest, Finding, Fingerprint, Quarantine, Record, SuspectRun,
};
use crate::kernel::{Context, Service};
use crate::prelude::*;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Delays before each report. It is sent several times because a message may be lost; hosts ignore a
/// report that they already have.
const REPORT_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_secs(1), Duration::from_secs(4)];
/// Interval at which the next host in turn is told which requests are quarantined, since hosts start
/// anew or may have been cut off from this one for longer than reports are repeated.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of findings in one message; about 130 bytes each.
const SYNC_MAX: usize = 64;
/// Time between the trials of two hosts; longer than a death takes to be reported.
const TRIAL_STAGGER: Span = Span::secs(1);

/// A message between hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
enum Report {
    /// An endpoint died.
    Death(Death),
    /// What the sender knows.
    Known {
        /// Records of requests.
        findings: Vec<Finding>,
    },
}

/// Quarantine of requests that crash endpoints.
pub trait RequestQuarantine: Send + Sync {
    /// Whether no request has been a suspect lately.
    fn is_empty(&self) -> bool;

    /// Whether a request may be sent to the shards for which `runs_on` holds.
    fn admit(&self, request: &Digest, runs_on: &dyn Fn(Option<u32>) -> bool) -> Admission;

    /// Whether a request was recently answered without a death and is not a suspect.
    fn is_cleared(&self, request: &Digest) -> bool;

    /// What is known about a request on a shard, to be noted when the request is sent.
    fn record(&self, request: &Fingerprint) -> Record;

    /// Records a death and reports it to the other hosts.
    fn record_death(&self, death: Death);

    /// Records an answer, and reports it to the other hosts if the request was a suspect.
    fn record_answer(&self, request: &Fingerprint);

    /// Asks whether a suspect may run now, and marks it as running if so.
    fn begin_run(&self, request: &Fingerprint) -> SuspectRun;

    /// Ends the run of a suspect.
    fn end_run(&self, request: &Fingerprint);

    /// Records that a request was answered.
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

    /// Whether a request is quarantined on any shard.
    pub fn is_banned(&self, request: &Digest) -> bool {
        self.state.lock().is_banned(self.ctx.now(), request)
    }

    fn report(&self, report: &Report) {
        if let Some(peers) = &self.peers {
            tokio::spawn(send_report(Arc::clone(peers), encode(report)));
        }
    }

    /// Takes over findings of another host; returns those of which more is known here.
    fn merge(&self, from: &str, findings: &[Finding]) -> Vec<Finding> {
        let (now, mut state) = (self.ctx.now(), self.state.lock());
        let mut newer = Vec::new();
        for finding in findings {
            let was_banned = state.is_banned(now, &finding.request.digest);
            if state.merge(now, finding) {
                let is_banned = state.is_banned(now, &finding.request.digest);
                if was_banned != is_banned {
                    log_state(&finding.request, is_banned, from);
                }
            } else {
                let record = state.record(now, &finding.request);
                if record > finding.record {
                    newer.push(Finding { record, ..*finding });
                }
            }
        }
        newer
    }

    /// Tells a host which requests are quarantined, if any are.
    fn sync(&self, peers: &dyn Peers, host: &str) {
        let findings: Vec<_> = self.state.lock().bans(self.ctx.now()).take(SYNC_MAX).collect();
        if !findings.is_empty() {
            peers.send(host, Topic::Quarantine, encode(&Report::Known { findings }));
        }
    }
}

fn log_state(request: &Fingerprint, banned: bool, from: &str) {
    let digest = hex(&request.digest);
    if banned {
        log::warn!(
            event = "request-quarantined", digest = digest, from;
            "request {digest} is refused: endpoints died while they ran it, as host {from} has seen"
        );
    } else {
        log::info!(
            event = "request-cleared", digest = digest, from;
            "request {digest} is served again: an endpoint has answered it, as host {from} has seen"
        );
    }
}

fn hex(digest: &Digest) -> String {
    digest.iter().map(|b| format!("{b:02x}")).collect()
}

impl RequestQuarantine for SharedQuarantine {
    fn is_empty(&self) -> bool {
        self.state.lock().is_empty()
    }

    fn admit(&self, request: &Digest, runs_on: &dyn Fn(Option<u32>) -> bool) -> Admission {
        self.state.lock().admit(self.ctx.now(), request, runs_on)
    }

    fn is_cleared(&self, request: &Digest) -> bool {
        self.state.lock().is_cleared(request)
    }

    fn record(&self, request: &Fingerprint) -> Record {
        self.state.lock().record(self.ctx.now(), request)
    }

    fn record_death(&self, mut death: Death) {
        let mut state = self.state.lock();
        death.answered |= state.was_answered(&death.request.digest);
        if !state.record_death(self.ctx.now(), &death) {
            return;
        }
        let deaths = state.record(self.ctx.now(), &death.request).deaths;
        let banned = state.is_banned(self.ctx.now(), &death.request.digest);
        drop(state);
        let (endpoint, digest) = (&*death.endpoint, hex(&death.request.digest));
        log::warn!(
            event = "endpoint-died", endpoint, digest = digest, deaths, banned;
            "endpoint {endpoint} failed with a request in flight"
        );
        self.report(&Report::Death(death));
    }

    fn record_answer(&self, request: &Fingerprint) {
        let mut state = self.state.lock();
        let was_banned = state.is_banned(self.ctx.now(), &request.digest);
        let finding = state.record_answer(request);
        drop(state);
        let Some(finding) = finding else { return };
        if was_banned {
            log_state(request, false, self.peers.as_ref().map_or("", |p| p.host()));
        }
        self.report(&Report::Known { findings: vec![finding] });
    }

    fn begin_run(&self, request: &Fingerprint) -> SuspectRun {
        self.state.lock().begin_run(self.ctx.now(), request)
    }

    fn end_run(&self, request: &Fingerprint) {
        self.state.lock().end_run(request);
    }

    fn record_success(&self, request: Digest) {
        self.state.lock().record_success(request);
    }
}

/// Sends a report to the other hosts, once after each of the delays.
async fn send_report(peers: Arc<dyn Peers>, report: Vec<u8>) {
    for delay in REPORT_DELAYS {
        tokio::time::sleep(delay).await;
        for host in peers.others() {
            peers.send(&host, Topic::Quarantine, report.clone());
        }
    }
}

/// Tells one other host after the other which requests are quarantined, until the host stops.
async fn sync_others(quarantine: Arc<SharedQuarantine>, peers: Arc<dyn Peers>) {
    let mut stopped = std::pin::pin!(quarantine.ctx.stopped());
    for turn in 0_usize.. {
        tokio::select! {
            () = &mut stopped => return,
            () = tokio::time::sleep(SYNC_INTERVAL) => {}
        }
        let mut others = peers.others();
        others.sort_unstable();
        let rank = others.iter().filter(|host| host.as_str() < peers.host()).count() as u64;
        let mut state = quarantine.state.lock();
        state.expire(quarantine.ctx.now());
        state.set_stagger(Span(TRIAL_STAGGER.0 * rank));
        drop(state);
        if let Some(host) = others.get(turn % others.len().max(1)) {
            quarantine.sync(&*peers, host);
        }
    }
}

impl Handler for SharedQuarantine {
    fn receive(&self, from: &str, body: &[u8]) {
        match decode::<Report>(body) {
            Ok(Report::Death(death)) => {
                if self.state.lock().record_death(self.ctx.now(), &death) {
                    log::info!("host {from} says that endpoint {} failed", death.endpoint);
                }
            }
            Ok(Report::Known { findings }) => {
                let findings = self.merge(from, &findings);
                if let Some(peers) = self.peers.as_ref().filter(|_| !findings.is_empty()) {
                    peers.send(from, Topic::Quarantine, encode(&Report::Known { findings }));
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
            tokio::spawn(sync_others(shared.clone(), peers));
            ctx.publish::<dyn RequestQuarantine>(<dyn RequestQuarantine>::NAME, shared);
            Ok(())
        })
    }

    fn stop(&self, _timeout: Span) -> BoxFuture<'_, ()> {
        Box::pin(async {})
    }
}
