//! Quarantine of requests that crash endpoints.
//!
//! A request is identified by its [`Fingerprint`]: its digest and shard, or its digest alone while
//! it has been sent to no more than one shard. It becomes a suspect when an endpoint dies with it
//! in flight, and is quarantined when another endpoint does, or the same one after a restart.
//! Suspects of one shard run one at a time, so that an innocent request isn't in flight at both
//! deaths that another one causes. An answer clears a suspect.

use super::time::{Span, Time};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

/// Deaths after which a request is quarantined.
pub const DEATHS_MAX: usize = 2;
/// Time that a request stays suspect or quarantined after the last death it was in flight at.
pub const SUSPECT_TTL: Span = Span::secs(600);
/// Maximum entries in each set of tracked requests; the oldest is evicted.
pub const TRACKED_MAX: usize = 16_384;

/// Truncated digest of a request's collection and body.
pub type Digest = [u8; 16];

/// Identifies a request on one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fingerprint {
    /// Digest of the request.
    pub digest: Digest,
    /// Shard that ran the request; none while the request has been sent to one shard only.
    pub shard: Option<u32>,
}

/// Death of an endpoint with a request in flight, as reported between hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Death {
    /// Request that was in flight.
    pub request: Fingerprint,
    /// Endpoint name and process incarnation, since a restarted endpoint may die again.
    pub endpoint: String,
}

/// Whether a suspect may run now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectRun {
    /// It may run, as the only suspect of its shard.
    Allowed,
    /// It must wait, since another suspect of its shard is running.
    Wait,
    /// It must not run, since it is quarantined.
    Quarantined,
}

#[derive(Debug)]
struct Suspect {
    endpoints: IndexSet<String>,
    last_death: Time,
}

/// Suspect and quarantined requests, as known to one host.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: IndexMap<Fingerprint, Suspect>,
    /// Requests that are quarantined, and when each last was in flight at a death.
    banned: IndexMap<Digest, Time>,
    /// Suspect that is running on each shard.
    running: IndexMap<Option<u32>, Fingerprint>,
    /// Requests that were answered without a death.
    cleared: IndexSet<Digest>,
}

impl Quarantine {
    /// Whether a request is quarantined on any shard.
    pub fn is_banned(&self, now: Time, request: &Digest) -> bool {
        self.banned.get(request).is_some_and(|at| now.since(*at) < SUSPECT_TTL)
    }

    /// Whether a request was recently answered and is not a suspect.
    pub fn is_cleared(&self, request: &Digest) -> bool {
        self.cleared.contains(request)
    }

    /// Records a death observed by this or another host; returns whether it was new.
    pub fn record_death(&mut self, now: Time, death: &Death) -> bool {
        let Death { request, endpoint } = death;
        self.running.retain(|_, running| running != request);
        self.cleared.swap_remove(&request.digest);
        let fresh = || Suspect { endpoints: IndexSet::new(), last_death: now };
        let s = self.suspects.entry(*request).or_insert_with(fresh);
        if now.since(s.last_death) >= SUSPECT_TTL {
            s.endpoints.clear();
        }
        s.last_death = now;
        let new = s.endpoints.len() < DEATHS_MAX && s.endpoints.insert(endpoint.clone());
        if s.endpoints.len() >= DEATHS_MAX {
            self.banned.insert(request.digest, now);
        }
        evict_oldest(&mut self.suspects);
        evict_oldest(&mut self.banned);
        new
    }

    /// Clears a suspect that was answered, and ends its run.
    pub fn clear_suspect(&mut self, request: &Fingerprint) {
        self.suspects.shift_remove(request);
        self.end_run(request);
    }

    /// Records that a request was answered without a death.
    pub fn record_success(&mut self, request: Digest) {
        self.cleared.insert(request);
        if self.cleared.len() > TRACKED_MAX {
            self.cleared.shift_remove_index(0);
        }
    }

    /// Requests a run of a suspect; after [`SuspectRun::Allowed`], call [`Quarantine::end_run`].
    pub fn begin_run(&mut self, now: Time, request: &Fingerprint) -> SuspectRun {
        if self.is_banned(now, &request.digest) {
            return SuspectRun::Quarantined;
        }
        let running = self.running.entry(request.shard).or_insert(*request);
        if running == request { SuspectRun::Allowed } else { SuspectRun::Wait }
    }

    /// Ends the run of a suspect.
    pub fn end_run(&mut self, request: &Fingerprint) {
        if self.running.get(&request.shard) == Some(request) {
            self.running.swap_remove(&request.shard);
        }
    }
}

fn evict_oldest<K: std::hash::Hash + Eq, V>(map: &mut IndexMap<K, V>) {
    if map.len() > TRACKED_MAX {
        map.shift_remove_index(0);
    }
}
