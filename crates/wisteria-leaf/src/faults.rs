//! Faults that the control port injects.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Accept connections but answer and announce nothing.
    Freeze,
    /// Close the listener and all connections and stop announcing.
    Die,
    /// Start again after `die`, cold and with a higher incarnation.
    Revive,
    /// Close the connection before the request runs.
    ResetBefore,
    /// Close the connection after the request ran.
    ResetAfter,
    /// Hold the answer back for `for_ms` after the request ran.
    Late,
    /// Answer with the answer to another request.
    Crossed,
    /// Cut the answer's body off half way.
    Truncate,
    /// Fall back into cold start.
    Cold,
    /// Drop the snapshot `snapshot`, or all without one.
    LoseSnapshot,
    /// Take the snapshot `snapshot` for each shard held.
    AddSnapshot,
    /// Announce a warm state and full bearable load whatever holds.
    Lie,
    /// Drain.
    Drain,
    /// Let the next requests kill the leaf, as one whose body says `"poison": true` always does.
    Poison,
    /// End all faults but `die`.
    Clear,
}

/// The leaves that a fault is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Target {
    /// By place in the process.
    Index(usize),
    /// By name.
    Name(String),
}

/// One order to the control port.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The leaf, or all of them.
    #[serde(default)]
    pub leaf: Option<Target>,
    /// What goes wrong.
    pub kind: Kind,
    /// Requests hit by a fault of single requests; all when absent.
    #[serde(default)]
    pub count: Option<u32>,
    /// Length of the fault, or the delay of `late`.
    #[serde(default)]
    pub for_ms: Option<u64>,
    /// Snapshot to add or lose.
    #[serde(default)]
    pub snapshot: Option<String>,
}

impl Fault {
    /// A fault of this kind for all leaves.
    pub fn new(kind: Kind) -> Self {
        Self { leaf: None, kind, count: None, for_ms: None, snapshot: None }
    }

    pub(crate) fn duration(&self) -> Option<Duration> {
        self.for_ms.map(Duration::from_millis)
    }
}

/// A fault that waits for requests.
#[derive(Debug)]
struct Armed {
    kind: Kind,
    left: Option<u32>,
    delay: Duration,
    expires: Option<Instant>,
}

/// When a fault hits a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Before the request asks for a slot.
    Arrived,
    /// Once it has a slot, so that a refusal uses up no fault.
    Admitted,
}

impl Stage {
    fn of(kind: Kind) -> Self {
        if kind == Kind::ResetBefore { Self::Arrived } else { Self::Admitted }
    }
}

/// A fault that hits one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Hitting {
    pub(crate) kind: Kind,
    pub(crate) delay: Duration,
}

/// Faults of single requests that are in wait, first come first served.
#[derive(Debug, Default)]
pub(crate) struct ArmedFaults(Vec<Armed>);

impl ArmedFaults {
    pub(crate) fn arm(&mut self, fault: &Fault) {
        let span = fault.duration();
        let late = fault.kind == Kind::Late;
        self.0.push(Armed {
            kind: fault.kind,
            left: fault.count,
            delay: if late { span.unwrap_or_default() } else { Duration::ZERO },
            expires: span.filter(|_| !late).map(|span| Instant::now() + span),
        });
    }

    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }

    /// The first fault in wait, if it hits requests at this stage.
    pub(crate) fn take(&mut self, stage: Stage) -> Option<Hitting> {
        let now = Instant::now();
        self.0.retain(|a| a.left != Some(0) && a.expires.is_none_or(|at| at > now));
        let armed = self.0.first_mut().filter(|a| Stage::of(a.kind) == stage)?;
        if let Some(left) = &mut armed.left {
            *left -= 1;
        }
        Some(Hitting { kind: armed.kind, delay: armed.delay })
    }
}
