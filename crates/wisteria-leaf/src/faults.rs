//! Faults that can be injected into leaves.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Accept connections, but send no responses and no announcements.
    Freeze,
    /// Close the listener and all connections, and stop announcing.
    Die,
    /// Restart after `die`, in a cold start and with a higher incarnation.
    Revive,
    /// Close the connection before the request is executed.
    ResetBefore,
    /// Close the connection after the request was executed.
    ResetAfter,
    /// Delay the response by `for_ms` after the request was executed.
    Late,
    /// Send the response of another request.
    Crossed,
    /// Close the connection after half of the response's body.
    Truncate,
    /// Return to a cold start, for `for_ms` if given.
    Cold,
    /// Remove the snapshot `snapshot`, or all snapshots if none is given.
    LoseSnapshot,
    /// Add the snapshot `snapshot` for each shard held.
    AddSnapshot,
    /// Announce a warm state and as many bearable requests as slots, regardless of the real state.
    Lie,
    /// Refuse new requests and finish running ones.
    Drain,
    /// Die on the next admitted requests. A request with `"poison": true` in its body always does
    /// this.
    Poison,
    /// End the faults that wait for requests, `freeze`, `lie` and `drain`.
    Clear,
}

/// Selects the leaf that a fault applies to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Target {
    /// Index of the leaf in its process.
    Index(usize),
    /// Name of the leaf.
    Name(String),
}

/// Body of `POST /fault`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Target leaf; all leaves if absent.
    #[serde(default)]
    pub leaf: Option<Target>,
    /// Kind of fault.
    pub kind: Kind,
    /// Number of requests that a fault of single requests affects; unlimited if absent.
    #[serde(default)]
    pub count: Option<u32>,
    /// Duration of the fault, or the delay of `late`, in milliseconds.
    #[serde(default)]
    pub for_ms: Option<u64>,
    /// Snapshot to add or remove.
    #[serde(default)]
    pub snapshot: Option<String>,
}

impl Fault {
    /// Creates a fault of this kind for all leaves, without limits.
    pub fn new(kind: Kind) -> Self {
        Self { leaf: None, kind, count: None, for_ms: None, snapshot: None }
    }

    pub(crate) fn duration(&self) -> Option<Duration> {
        self.for_ms.map(Duration::from_millis)
    }
}

/// A fault that will affect further requests.
#[derive(Debug)]
struct PendingFault {
    kind: Kind,
    /// Remaining requests to affect; unlimited if absent.
    left: Option<u32>,
    delay: Duration,
    expires: Option<Instant>,
}

/// Point in the processing of a request at which a fault applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Before admission.
    Arrived,
    /// After admission, so that refused requests do not consume faults.
    Admitted,
}

impl Stage {
    fn of(kind: Kind) -> Self {
        if kind == Kind::ResetBefore { Self::Arrived } else { Self::Admitted }
    }
}

/// A fault that applies to one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RequestFault {
    pub(crate) kind: Kind,
    pub(crate) delay: Duration,
}

/// FIFO queue of faults that affect single requests.
#[derive(Debug, Default)]
pub(crate) struct PendingFaults(Vec<PendingFault>);

impl PendingFaults {
    pub(crate) fn add(&mut self, fault: &Fault) {
        let duration = fault.duration();
        let late = fault.kind == Kind::Late;
        self.0.push(PendingFault {
            kind: fault.kind,
            left: fault.count,
            delay: if late { duration.unwrap_or_default() } else { Duration::ZERO },
            expires: duration.filter(|_| !late).map(|duration| Instant::now() + duration),
        });
    }

    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }

    /// Consumes one use of the oldest fault if it applies at this stage.
    pub(crate) fn take(&mut self, stage: Stage) -> Option<RequestFault> {
        let now = Instant::now();
        self.0.retain(|f| f.left != Some(0) && f.expires.is_none_or(|at| at > now));
        let pending = self.0.first_mut().filter(|f| Stage::of(f.kind) == stage)?;
        if let Some(left) = &mut pending.left {
            *left -= 1;
        }
        Some(RequestFault { kind: pending.kind, delay: pending.delay })
    }
}
