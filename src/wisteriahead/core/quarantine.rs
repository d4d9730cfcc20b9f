//! Requests that stop endpoints.
//!
//! A request is known by its [`Fingerprint`] on one shard, or over all shards when it
//! ran there alone, before it went to any other. When an endpoint dies
//! with it in flight it is a suspect; when a second one does, or the first one after
//! its return, it is quarantined. Suspects of one shard run one at a time, so that a request beside
//! the guilty one is not there at both deaths. An answer clears a suspect.

use super::time::{Span, Time};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

/// Deaths after which a request is quarantined.
pub const DEATHS_MAX: usize = 2;
/// Time that a request stays suspect or quarantined after its last death.
pub const KEEP: Span = Span::secs(600);
/// Most requests remembered of each kind; the oldest are forgotten.
pub const REMEMBERED_MAX: usize = 16_384;

/// Digest of a request's body and collection.
pub type Digest = [u8; 16];

/// One request on one shard of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fingerprint {
    /// Digest of the request.
    pub digest: Digest,
    /// Shard that it ran on; none when it ran nowhere else.
    pub shard: Option<u32>,
}

/// An endpoint died with a request in flight, as hosts tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Death {
    /// The request.
    pub request: Fingerprint,
    /// Name of the endpoint and the start of its process, since one that is back may die again.
    pub endpoint: String,
}

/// Whether a suspect may run now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trial {
    /// It runs alone among the suspects of its shard.
    Go,
    /// Another suspect of its shard runs.
    Wait,
    /// It is quarantined.
    Never,
}

#[derive(Debug)]
struct Suspect {
    endpoints: IndexSet<String>,
    last: Time,
}

/// What one host knows.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: IndexMap<Fingerprint, Suspect>,
    /// Requests that are quarantined on some shard.
    banned: IndexMap<Digest, Time>,
    trials: IndexMap<Option<u32>, Fingerprint>,
    cleared: IndexSet<Digest>,
}

impl Quarantine {
    /// Whether a request is refused.
    pub fn is_banned(&self, now: Time, request: &Digest) -> bool {
        self.banned.get(request).is_some_and(|at| now.since(*at) < KEEP)
    }

    /// Whether a request was answered lately and is no suspect.
    pub fn is_cleared(&self, request: &Digest) -> bool {
        self.cleared.contains(request)
    }

    /// Takes note of a death, seen here or elsewhere; says whether it was new.
    pub fn died(&mut self, now: Time, death: &Death) -> bool {
        let Death { request, endpoint } = death;
        self.trials.retain(|_, on| on != request);
        self.cleared.swap_remove(&request.digest);
        let fresh = || Suspect { endpoints: IndexSet::new(), last: now };
        let s = self.suspects.entry(*request).or_insert_with(fresh);
        if now.since(s.last) >= KEEP {
            s.endpoints.clear();
        }
        s.last = now;
        let new = s.endpoints.len() < DEATHS_MAX && s.endpoints.insert(endpoint.clone());
        if s.endpoints.len() >= DEATHS_MAX {
            self.banned.insert(request.digest, now);
        }
        forget_oldest(&mut self.suspects);
        forget_oldest(&mut self.banned);
        new
    }

    /// Takes note of an answer: the request does not stop each endpoint that runs it.
    pub fn survived(&mut self, request: &Fingerprint) {
        self.suspects.shift_remove(request);
        self.end(request);
    }

    /// Takes note of a request that was answered without a death.
    pub fn answered(&mut self, request: Digest) {
        self.cleared.insert(request);
        if self.cleared.len() > REMEMBERED_MAX {
            self.cleared.shift_remove_index(0);
        }
    }

    /// Asks to run a suspect; [`Trial::Go`] holds until [`Quarantine::end`].
    pub fn begin(&mut self, now: Time, request: &Fingerprint) -> Trial {
        if self.is_banned(now, &request.digest) {
            return Trial::Never;
        }
        let on = self.trials.entry(request.shard).or_insert(*request);
        if on == request { Trial::Go } else { Trial::Wait }
    }

    /// Ends the run of a suspect.
    pub fn end(&mut self, request: &Fingerprint) {
        if self.trials.get(&request.shard) == Some(request) {
            self.trials.swap_remove(&request.shard);
        }
    }
}

fn forget_oldest<K: std::hash::Hash + Eq, V>(map: &mut IndexMap<K, V>) {
    if map.len() > REMEMBERED_MAX {
        map.shift_remove_index(0);
    }
}
