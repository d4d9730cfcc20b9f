//! Quarantine of requests that crash endpoints.
//!
//! A request is identified by its [`Fingerprint`]: its digest and shard, or its digest alone while
//! it has been sent to no more than one shard. It becomes a suspect when an endpoint dies with it
//! in flight, and is quarantined when one dies that it was sent to after the first death was known.
//! Deaths that are seen together count as one: an availability zone that fails ends many endpoints
//! with the same requests in flight. Suspects of one shard run one at a time, so that an innocent
//! request isn't in flight at both deaths that another one causes. An answer clears a request.
//!
//! What hosts know of a request is a [`Record`], of which the greater one holds, so that reports may
//! be lost, repeated or arrive in any order.

use super::digest;
use super::order;
use super::time::{Span, Time};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

/// Deaths in a row after which a request is quarantined.
pub const DEATHS_MAX: usize = 2;
/// The same for a request that was answered before. It is more likely to have been in flight beside
/// another one that crashes endpoints, at two hosts that do not wait for each other.
pub const ANSWERED_DEATHS_MAX: usize = 4;
/// Time that a request stays suspect or quarantined after the last death it was in flight at.
pub const SUSPECT_TTL: Span = Span::secs(600);
/// Maximum number of tracked requests; the one whose record changed least recently is evicted.
pub const TRACKED_MAX: usize = 16_384;
/// Time after which a quarantined request may run once, to find out whether it still crashes
/// endpoints. It grows with each further death.
pub const TRIAL_DELAY: Span = Span::secs(30);
/// Binary logarithm of the factor by which the time until the next trial grows.
const TRIAL_DELAY_SHIFT: u32 = 2;
/// Largest exponent of that factor, which is past [`SUSPECT_TTL`].
const TRIALS_MAX: u32 = 4;

/// Truncated digest of a request's collection and body.
pub type Digest = [u8; 16];

/// Digest of a request: its collection or virtual host, its route or path, and its body.
pub fn request_digest(collection: &str, route: &str, body: &[u8]) -> Digest {
    let full = order::digest(collection, route, body);
    let mut digest = Digest::default();
    digest.copy_from_slice(&full[..size_of::<Digest>()]);
    digest
}

/// Identifies a request on one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fingerprint {
    /// Digest of the request.
    pub digest: Digest,
    /// Shard that ran the request; none while the request has been sent to one shard only.
    pub shard: Option<u32>,
}

impl Fingerprint {
    /// Fingerprint of a request at a service. Where endpoints belong to services, these stand for
    /// shards, since the shards of a route may change.
    pub fn at_service(digest: Digest, service: &str) -> Self {
        Self { digest, shard: Some(service_shard(service)) }
    }
}

/// Number that stands for a service in a [`Fingerprint`].
pub fn service_shard(service: &str) -> u32 {
    digest::hash(&[service]) as u32
}

/// What is known about a request on one shard. Of two records the greater one is newer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Record {
    /// Number of times that an answer has cleared the request.
    pub clearances: u32,
    /// Deaths in a row since, each of an endpoint that the request was sent to after the one before
    /// was known.
    pub deaths: u32,
}

/// Death of an endpoint with a request in flight, as reported between hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Death {
    /// Request that was in flight.
    pub request: Fingerprint,
    /// Endpoint name and process incarnation, for the log.
    pub endpoint: String,
    /// What the host knew about the request when it sent it; older releases omit the field.
    #[serde(default)]
    pub known: Record,
    /// Whether the host has seen it answered before; older releases omit the field.
    #[serde(default)]
    pub answered: bool,
}

/// A record and the request that it is about, as sent between hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// The request.
    pub request: Fingerprint,
    /// What is known about it.
    pub record: Record,
    /// Whether a host saw it answered before it became a suspect.
    pub answered: bool,
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

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// No endpoint died with it since it was last answered.
    Clear,
    /// It may be sent to this shard, as far as [`Quarantine::begin_run`] allows, and to the others once
    /// that has answered.
    Suspect(Option<u32>),
    /// It is quarantined for this time at least.
    Refused(Span),
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Suspect {
    record: Record,
    last_death: Time,
    /// When it may run once although it is quarantined.
    trial_at: Time,
    /// Whether a host saw it answered before.
    answered: bool,
}

impl Suspect {
    fn is_expired(&self, now: Time) -> bool {
        now.since(self.last_death) >= SUSPECT_TTL
    }

    fn is_live(&self, now: Time) -> bool {
        self.record.deaths > 0 && !self.is_expired(now)
    }

    fn is_banned(&self, now: Time) -> bool {
        self.is_live(now) && self.record.deaths as usize >= self.deaths_max()
    }

    const fn deaths_max(&self) -> usize {
        if self.answered { ANSWERED_DEATHS_MAX } else { DEATHS_MAX }
    }

    fn trial_delay(&self) -> Span {
        let trials = self.record.deaths.saturating_sub(self.deaths_max() as u32).min(TRIALS_MAX);
        Span(TRIAL_DELAY.0 << (TRIAL_DELAY_SHIFT * trials))
    }
}

/// Suspect and quarantined requests, as known to one host.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Suspects by digest and shard, the one that changed last at the end.
    suspects: IndexMap<Digest, IndexMap<Option<u32>, Suspect>>,
    /// Suspect that is running on each shard.
    running: IndexMap<Option<u32>, Fingerprint>,
    /// Requests that were answered lately, and those before.
    answered: [IndexSet<Digest>; 2],
    /// Time by which this host's trials are later than those of the first one.
    stagger: Span,
}

impl Quarantine {
    /// Whether a request is quarantined on any shard.
    pub fn is_banned(&self, now: Time, request: &Digest) -> bool {
        self.shards(request).any(|(_, s)| s.is_banned(now))
    }

    /// Whether a request was recently answered and is not a suspect.
    pub fn is_cleared(&self, request: &Digest) -> bool {
        self.was_answered(request) && self.shards(request).all(|(_, s)| s.record.deaths == 0)
    }

    /// Whether no request has been a suspect lately.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Whether a request may be sent to the shards for which `runs_on` holds.
    pub fn admit(
        &self,
        now: Time,
        request: &Digest,
        runs_on: impl Fn(Option<u32>) -> bool,
    ) -> Admission {
        let live = self.shards(request).filter(|(shard, s)| s.is_live(now) && runs_on(*shard));
        let mut suspect = None;
        let mut refused = Span::ZERO;
        for (shard, s) in live {
            if s.is_banned(now) {
                refused = refused.max(s.trial_at.since(now));
            }
            suspect = suspect.max(Some((s.record.deaths, shard)));
        }
        match suspect {
            _ if refused > Span::ZERO => Admission::Refused(refused),
            Some((_, shard)) => Admission::Suspect(shard),
            None => Admission::Clear,
        }
    }

    /// What is known about a request on a shard, to be noted when the request is sent.
    pub fn record(&self, now: Time, request: &Fingerprint) -> Record {
        let suspect = self.suspects.get(&request.digest).and_then(|s| s.get(&request.shard));
        suspect.filter(|s| !s.is_expired(now)).map_or_else(Record::default, |s| s.record)
    }

    /// Forgets the requests at which no endpoint has died for long.
    pub fn expire(&mut self, now: Time) {
        self.suspects.retain(|_, shards| {
            shards.retain(|_, s| !s.is_expired(now));
            !shards.is_empty()
        });
    }

    /// Records a death observed by this or another host; returns whether it was new.
    pub fn record_death(&mut self, now: Time, death: &Death) -> bool {
        let Record { clearances, deaths } = death.known;
        let record = Record { clearances, deaths: deaths.saturating_add(1) };
        let answered = death.answered || self.was_answered(&death.request.digest);
        self.end_run(&death.request);
        self.merge(now, &Finding { request: death.request, record, answered })
    }

    /// Whether the request was answered lately, before it became a suspect or after.
    pub fn was_answered(&self, request: &Digest) -> bool {
        self.answered.iter().any(|set| set.contains(request))
    }

    /// Takes over what another host knows; returns whether it was new.
    pub fn merge(&mut self, now: Time, finding: &Finding) -> bool {
        let Finding { request, record, answered } = *finding;
        let mut shards = self.suspects.shift_remove(&request.digest).unwrap_or_default();
        let s = shards.entry(request.shard).or_default();
        if s.is_expired(now) || *s == Suspect::default() {
            *s = Suspect { last_death: now, ..Suspect::default() };
        }
        let new = record > s.record;
        s.answered |= answered;
        if new {
            s.record = record;
            if record.deaths > 0 {
                s.last_death = now;
                s.trial_at = now + s.trial_delay() + self.stagger;
            }
        }
        self.suspects.insert(request.digest, shards);
        if self.suspects.len() > TRACKED_MAX {
            self.suspects.shift_remove_index(0);
        }
        new
    }

    /// Records that a request was answered on a shard, and ends its run there. Returns what the other
    /// hosts have to know if it was a suspect.
    pub fn record_answer(&mut self, request: &Fingerprint) -> Option<Finding> {
        self.end_run(request);
        let suspect = self.suspects.get_mut(&request.digest)?.get_mut(&request.shard)?;
        if suspect.record.deaths == 0 {
            return None;
        }
        let clearances = suspect.record.clearances.saturating_add(1);
        suspect.record = Record { clearances, deaths: 0 };
        suspect.answered = true;
        Some(Finding { request: *request, record: suspect.record, answered: true })
    }

    /// Records that a request was answered.
    pub fn record_success(&mut self, request: Digest) {
        let [recent, before] = &mut self.answered;
        if recent.insert(request) && recent.len() > TRACKED_MAX / 2 {
            before.clear();
            std::mem::swap(recent, before);
        }
    }

    /// Requests a run of a suspect; after [`SuspectRun::Allowed`], call [`Quarantine::end_run`]. A
    /// request that is quarantined gets one when its trial is due.
    pub fn begin_run(&mut self, now: Time, request: &Fingerprint) -> SuspectRun {
        let banned = || self.shards(&request.digest).filter(|(_, s)| s.is_banned(now));
        if banned().any(|(_, s)| now < s.trial_at) {
            return SuspectRun::Quarantined;
        }
        let is_trial = banned().next().is_some();
        if self.running.entry(request.shard).or_insert(*request) != request {
            return SuspectRun::Wait;
        }
        if is_trial {
            for s in self.suspects.get_mut(&request.digest).into_iter().flat_map(|s| s.values_mut())
            {
                s.trial_at = now + s.trial_delay();
            }
        }
        SuspectRun::Allowed
    }

    /// Ends the run of a suspect.
    pub fn end_run(&mut self, request: &Fingerprint) {
        if self.running.get(&request.shard) == Some(request) {
            self.running.swap_remove(&request.shard);
        }
    }

    /// Sets by how much this host's trials are later than those of the first host, so that a death
    /// during one host's trial is known before the next host's.
    pub fn set_stagger(&mut self, stagger: Span) {
        self.stagger = stagger.min(TRIAL_DELAY);
    }

    /// Findings about quarantined requests, those that changed last first.
    pub fn bans(&self, now: Time) -> impl Iterator<Item = Finding> {
        let shards = self.suspects.iter().rev().flat_map(|(digest, shards)| {
            shards.iter().map(|(shard, s)| (Fingerprint { digest: *digest, shard: *shard }, s))
        });
        shards.filter(move |(_, s)| s.is_banned(now)).map(|(request, s)| Finding {
            request,
            record: s.record,
            answered: s.answered,
        })
    }

    fn shards(&self, request: &Digest) -> impl Iterator<Item = (Option<u32>, &Suspect)> {
        self.suspects.get(request).into_iter().flatten().map(|(shard, s)| (*shard, s))
    }
}
