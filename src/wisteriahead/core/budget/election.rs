//! Election of bucket owners: a host owns a bucket if a majority of the voters promised it that
//! bucket.
//!
//! A promise binds the voter for [`VOTE_TERM`]. A voter that has just started promises nothing for
//! that time, since it may have forgotten a promise. The bidder counts its term from the time of
//! its bid. Lost hosts count as voters until they are removed from the members, so that two sides
//! of a partitioned zone never both have a majority.

use super::{BUCKETS, BucketSet, VOTE_TERM, shorten_for_drift};
use crate::core::digest;
use crate::core::member::{Health, Member};
use crate::core::time::{Span, Time};
use indexmap::{IndexMap, IndexSet};
use std::sync::Arc;

/// Interval between bids.
pub const BID_PERIOD: Span = Span(VOTE_TERM.0 / 4);
/// Maximum voters of a zone for one bucket.
pub const VOTERS_MAX: usize = 5;
/// Hosts of a zone that still have a majority without one of them; a zone with one host fewer
/// gets an arbiter.
const ZONE_VOTERS_MIN: usize = 3;

/// Hosts that vote on the buckets of one zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Electorate {
    /// Hosts of the zone, lost ones included.
    hosts: Vec<Arc<str>>,
    /// Voter from another zone.
    arbiter: Option<Arc<str>>,
    /// Hosts of the zone that are alive and may own buckets.
    alive: Vec<Arc<str>>,
}

impl Electorate {
    /// Electorate of a zone, from all known hosts.
    pub fn new(zone: &str, members: &[Member]) -> Self {
        let here = |m: &&Member| *m.zone == *zone && m.health != Health::Left;
        let hosts: Vec<_> = members.iter().filter(here).map(|m| m.host.clone()).collect();
        let alive = |m: &&Member| here(m) && m.health < Health::Suspect;
        let alive = members.iter().filter(alive).map(|m| m.host.clone()).collect();
        let away = |m: &&Member| *m.zone != *zone && m.health != Health::Left;
        let others = members.iter().filter(away).map(|m| &*m.host);
        let first = digest::rank(zone, others).first().map(|h| Arc::from(*h));
        // One of two hosts is no majority; with an arbiter, one can continue without the other.
        let arbiter = first.filter(|_| hosts.len() == ZONE_VOTERS_MIN - 1);
        Self { hosts, arbiter, alive }
    }

    /// Digest of the voters, which bidder and voter must agree on.
    pub fn digest(&self) -> u64 {
        let names: Vec<&str> = self.hosts.iter().chain(&self.arbiter).map(|h| &**h).collect();
        digest::hash(&names)
    }

    /// Voters for a bucket.
    pub fn voters(&self, bucket: u32) -> Vec<Arc<str>> {
        let mut hosts: Vec<Arc<str>> = self.hosts.clone();
        if hosts.len() > VOTERS_MAX {
            let key = format!("voters-{bucket}");
            let ranked = digest::rank(&key, self.hosts.iter().map(|h| &**h));
            hosts = ranked.into_iter().take(VOTERS_MAX).map(Arc::from).collect();
        }
        hosts.extend(self.arbiter.clone());
        hosts
    }

    /// Host that should own a bucket, and bids for it.
    pub fn candidate(&self, bucket: u32) -> Option<Arc<str>> {
        let key = format!("owner-{bucket}");
        digest::rank(&key, self.alive.iter().map(|h| &**h)).first().map(|h| Arc::from(*h))
    }
}

/// Promises that this host has made, by zone and bucket.
#[derive(Debug)]
pub struct Voter {
    /// When this host may vote.
    votes_from: Time,
    promises: IndexMap<(Arc<str>, u32), Promise>,
}

#[derive(Clone, Debug)]
struct Promise {
    host: Arc<str>,
    boot: u64,
    until: Time,
}

impl Voter {
    /// A voter whose process starts now.
    pub fn new(now: Time) -> Self {
        Self { votes_from: now + VOTE_TERM, promises: IndexMap::new() }
    }

    /// Promises the buckets that are not promised to another process; returns them.
    pub fn vote(
        &mut self,
        now: Time,
        zone: &Arc<str>,
        from: &Arc<str>,
        boot: u64,
        buckets: BucketSet,
    ) -> BucketSet {
        if now < self.votes_from {
            return 0;
        }
        let mut granted = 0;
        for bucket in (0..BUCKETS).filter(|b| buckets >> b & 1 == 1) {
            let key = (zone.clone(), bucket);
            let free = self
                .promises
                .get(&key)
                .is_none_or(|p| now >= p.until || (p.host == *from && p.boot == boot));
            if free {
                let until = now + VOTE_TERM;
                self.promises.insert(key, Promise { host: from.clone(), boot, until });
                granted |= 1 << bucket;
            }
        }
        granted
    }
}

/// Buckets of its own zone that this host owns or bids for.
#[derive(Debug, Default)]
pub struct Bidder {
    seq: u64,
    last_bid: Time,
    votes: IndexMap<u32, IndexSet<Arc<str>>>,
    owned: IndexMap<u32, Time>,
}

impl Bidder {
    /// A bidder that owns nothing and ignores votes for the bids of `old`.
    pub fn reset(old: &Self) -> Self {
        Self { seq: old.seq, ..Self::default() }
    }

    /// Starts a bid; returns its number.
    pub fn bid(&mut self, now: Time) -> u64 {
        self.seq += 1;
        self.last_bid = now;
        self.votes.clear();
        self.seq
    }

    /// Whether a bid is due.
    pub fn is_due(&self, now: Time) -> bool {
        self.last_bid == Time(0) || now.since(self.last_bid) >= BID_PERIOD
    }

    /// Counts votes; returns the buckets newly owned.
    pub fn count_votes(
        &mut self,
        now: Time,
        from: &Arc<str>,
        seq: u64,
        buckets: BucketSet,
        electorate: &Electorate,
    ) -> BucketSet {
        let until = self.last_bid + shorten_for_drift(VOTE_TERM);
        if seq != self.seq || now >= until {
            return 0;
        }
        let mut new = 0;
        for bucket in (0..BUCKETS).filter(|b| buckets >> b & 1 == 1) {
            let voters = electorate.voters(bucket);
            if !voters.contains(from) {
                continue;
            }
            let votes = self.votes.entry(bucket).or_default();
            votes.insert(from.clone());
            let counted = votes.iter().filter(|v| voters.contains(*v)).count();
            if counted * 2 > voters.len() {
                new |= u16::from(!self.owns(now, bucket)) << bucket;
                self.owned.insert(bucket, until);
            }
        }
        new
    }

    /// Whether this host owns a bucket now.
    pub fn owns(&self, now: Time, bucket: u32) -> bool {
        self.owned.get(&bucket).is_some_and(|until| now < *until)
    }
}
