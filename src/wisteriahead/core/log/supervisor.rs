//! Decides on changes of the replicas from the statuses that hosts send each other.
//!
//! Load pattern: hosts with a replica are lost one after the other, each at any moment of the change
//! that an earlier loss started.

use super::{Change, Config, Replica, Term, keep_voters, replace_disks, voters_tolerating};
use crate::prelude::*;

/// Age up to which the leader or the replica in a received status is taken into account.
pub const STATUS_MAX_AGE: Span = Span::secs(3);
/// Time within which the hosts that are there have sent their status to a new leader.
const FIRST_STATUSES_WITHIN: Span = Span::secs(1);
/// Maximum number of hosts whose status is kept.
const STATUSES_MAX: usize = 2_048;

/// When non-voting hosts with a disk become voters.
#[derive(Clone, Copy, Debug)]
pub struct VoterRepair {
    /// Time without contact after which a voter is replaced by such a host.
    pub silent_after: Span,
    /// Number of voters that may fail at once with a quorum remaining; voters are added up to the
    /// number that this takes.
    pub fault_tolerance: usize,
}

/// What a host reported last.
#[derive(Clone, Debug)]
struct Status {
    received_at: Time,
    replica: Option<Replica>,
    leader: Option<(Term, String)>,
}

/// Statuses of the other hosts, as far as they concern the replicas of the log.
#[derive(Clone, Debug, Default)]
pub struct Supervisor {
    /// `None` leaves silent voters and the number of voters to operators.
    repair: Option<VoterRepair>,
    statuses: IndexMap<String, Status>,
    /// Since when this host leads and receives statuses, as far as it has noticed.
    led_since: Option<Time>,
    /// When this host was last known to run.
    ran_at: Time,
    /// Leader that this host followed last, and when it heard from it.
    followed: Option<(Replica, Time)>,
}

impl Supervisor {
    /// Creates a supervisor that knows no other host yet.
    pub fn new(repair: Option<VoterRepair>) -> Self {
        Self { repair, ..Self::default() }
    }

    /// Records the status of another host: its replica, if it has one, and the leader that it knows.
    pub fn record(
        &mut self,
        now: Time,
        host: &str,
        replica: Option<Replica>,
        leader: Option<(Term, String)>,
    ) {
        if self.statuses.len() < STATUSES_MAX || self.statuses.contains_key(host) {
            self.statuses.insert(host.to_owned(), Status { received_at: now, replica, leader });
        }
    }

    /// Replicas of the hosts with a recent status.
    pub fn replicas(&self, now: Time) -> Vec<Replica> {
        let silent_after = self.repair.map_or(STATUS_MAX_AGE, |r| r.silent_after);
        let is_heard = |s: &&Status| now.since(s.received_at) < silent_after;
        self.recent(now).filter(is_heard).filter_map(|s| s.replica.clone()).collect()
    }

    /// Term and name of the leader that is known here: `own` is the one that this host's replica knows,
    /// if it has one.
    pub fn leader(&self, now: Time, own: Option<(Term, String)>) -> Option<(Term, String)> {
        let known = self.recent(now).filter_map(|s| s.leader.clone());
        // A replica that was removed from the log goes on knowing the leader of that time.
        own.into_iter().chain(known).max_by_key(|(term, _)| *term)
    }

    fn recent(&self, now: Time) -> impl Iterator<Item = &Status> {
        self.statuses.values().filter(move |s| now.since(s.received_at) < STATUS_MAX_AGE)
    }

    /// Notes that this host runs; called more often than once a second. A host that stood
    /// still has received no status meanwhile, and judges silence like a new leader.
    pub fn tick(&mut self, now: Time) {
        if now.since(self.ran_at) >= FIRST_STATUSES_WITHIN {
            self.led_since = self.led_since.map(|_| now);
        }
        self.ran_at = now;
    }

    /// Notes that this host does not lead; it last heard from `leader`, if it knows one, at the given
    /// time.
    pub fn follow(&mut self, leader: Option<&Replica>, heard_at: Time) {
        self.led_since = None;
        if let Some(leader) = leader {
            self.followed = Some((leader.clone(), heard_at));
        }
    }

    /// Next change for this host, the leader `me`, to make. `caught_up` are the learners that have
    /// caught up.
    pub fn next_change(
        &mut self,
        now: Time,
        me: &Replica,
        config: &Config,
        caught_up: &[Replica],
    ) -> Option<Change> {
        self.tick(now);
        let led_since = *self.led_since.get_or_insert(now);
        let (seen, gone) = (self.replicas(now), self.gone(now, led_since, me, config));
        match self.repair {
            Some(VoterRepair { fault_tolerance, .. }) => {
                keep_voters(config, caught_up, &seen, &gone, voters_tolerating(fault_tolerance))
            }
            None => replace_disks(config, caught_up, &seen),
        }
    }

    /// Voters that are silent, and learners that are silent or do not run on their host. A slow one is
    /// neither.
    fn gone(&self, now: Time, led_since: Time, me: &Replica, config: &Config) -> Vec<Replica> {
        let Some(VoterRepair { silent_after, .. }) = self.repair else { return Vec::new() };
        let status = |r: &Replica| {
            let status = self.statuses.get(&r.host);
            status.filter(|s| now.since(s.received_at) < silent_after)
        };
        // Hosts send their status to a new leader, and may not have sent it here before. How long the
        // leader before is silent is known.
        let silent_since = |r: &Replica| match &self.followed {
            Some((leader, heard_at)) if leader == r => *heard_at,
            _ => led_since,
        };
        let may_judge = now.since(led_since) >= FIRST_STATUSES_WITHIN;
        let is_silent = |r: &&Replica| {
            may_judge
                && *r != me
                && status(r).is_none()
                && now.since(silent_since(r)) >= silent_after
        };
        let has_stopped = |r: &&Replica| status(r).is_some_and(|s| s.replica.as_ref() != Some(*r));
        let voters = config.voters.iter().filter(is_silent);
        let learners = config.learners.iter().filter(|r| is_silent(r) || has_stopped(r));
        voters.chain(learners).cloned().collect()
    }
}
