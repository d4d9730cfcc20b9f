//! Budgets of one host in its three roles: voter, owner of buckets and lease holder.

use super::borrower::Lease;
use super::election::{Bidder, Electorate, Voter};
use super::lender::{Capacity, SlotAllocator};
use super::{BUCKETS, BucketSet, DRAIN_TIME, LEASE_TERM, Message, SlotRequest, VOTE_TERM, bucket};
use crate::core::member::{Health, Member};
use crate::core::time::{Span, Time};
use indexmap::{IndexMap, IndexSet};
use std::sync::Arc;

/// Interval between polls of hosts that have not reported.
const POLL_PERIOD: Span = Span::millis(300);
/// Maximum endpoints kept per role.
const ENDPOINTS_MAX: usize = 20_000;

/// Receiver and message; the receiver may be this host itself.
pub type Outbound = (Arc<str>, Message);

/// Period after a change of owner in which leases of the previous owner may still be in use.
#[derive(Debug)]
struct Recovery {
    until: Time,
    polled: Time,
    /// Number of the poll.
    seq: u64,
    /// Hosts that have not reported what they hold.
    unreported: IndexSet<Arc<str>>,
}

/// An endpoint as known to this host.
#[derive(Clone, Debug)]
struct Endpoint {
    /// Zone whose hosts own it.
    zone: Arc<str>,
    capacity: Capacity,
}

/// Budgets as kept by one host.
#[derive(Debug)]
pub struct Budgets {
    host: Arc<str>,
    zone: Arc<str>,
    boot: u64,
    /// When this host may bid.
    bids_from: Time,
    /// Number of the last slot request or poll.
    seq: u64,
    members: Vec<Member>,
    electorates: IndexMap<Arc<str>, Electorate>,
    voter: Voter,
    bidder: Bidder,
    recoveries: IndexMap<u32, Recovery>,
    allocators: IndexMap<Arc<str>, SlotAllocator>,
    leases: IndexMap<Arc<str>, Lease>,
    endpoints: IndexMap<Arc<str>, Endpoint>,
}

impl Budgets {
    /// Budgets of a host whose process starts now; `boot` rises with each start.
    pub fn new(now: Time, host: Arc<str>, zone: Arc<str>, boot: u64) -> Self {
        Self {
            host,
            zone,
            boot,
            bids_from: now + VOTE_TERM,
            seq: 0,
            members: Vec::new(),
            electorates: IndexMap::new(),
            voter: Voter::new(now),
            bidder: Bidder::default(),
            recoveries: IndexMap::new(),
            allocators: IndexMap::new(),
            leases: IndexMap::new(),
            endpoints: IndexMap::new(),
        }
    }

    /// Sets the known hosts; if the voters of this host's zone change, it no longer owns buckets.
    pub fn set_members(&mut self, members: &[Member]) {
        let old = self.electorates.get(&self.zone).map(Electorate::digest);
        let names: IndexSet<_> = members.iter().map(|m| m.zone.clone()).collect();
        self.electorates =
            names.into_iter().map(|z| (z.clone(), Electorate::new(&z, members))).collect();
        self.members = members.to_vec();
        if old != self.electorates.get(&self.zone).map(Electorate::digest) {
            // Votes of the previous electorate are not valid in the new one.
            self.bidder = Bidder::reset(&self.bidder);
            self.allocators.clear();
        }
    }

    /// Sets the endpoints: name, zone and capacity.
    pub fn set_endpoints(
        &mut self,
        now: Time,
        endpoints: impl Iterator<Item = (Arc<str>, Arc<str>, Capacity)>,
    ) -> Vec<Outbound> {
        let mut updated = IndexMap::new();
        for (name, zone, mut capacity) in endpoints.take(ENDPOINTS_MAX) {
            let old = self.endpoints.get(&name).map(|e| e.capacity);
            if let Some(old) = old.filter(|o| o.incarnation == capacity.incarnation) {
                // An endpoint that fell back to cold start may announce itself as warm again, so
                // only a new incarnation may raise the cold limit.
                capacity.cold = capacity.cold.min(old.cold);
            }
            updated.insert(name, Endpoint { zone: self.owner_zone(&zone), capacity });
        }
        let changed: Vec<Arc<str>> = self
            .endpoints
            .keys()
            .chain(updated.keys())
            .filter(|n| {
                updated.get(*n).map(|e| e.capacity) != self.endpoints.get(*n).map(|e| e.capacity)
            })
            .cloned()
            .collect();
        self.endpoints = updated;
        changed.into_iter().flat_map(|name| self.rebalance(now, &name, None)).collect()
    }

    /// Zone whose hosts own the endpoints of a zone: itself, or the first zone by name if it has no
    /// hosts.
    fn owner_zone(&self, zone: &Arc<str>) -> Arc<str> {
        if self.electorates.contains_key(zone) {
            return zone.clone();
        }
        self.electorates.keys().min().unwrap_or(zone).clone()
    }

    /// Slots of an endpoint that are leased to this host and free now.
    pub fn free(&self, now: Time, endpoint: &str, incarnation: u64) -> u32 {
        let allowed = self.endpoints.get(endpoint).map_or(0, |e| e.capacity.allowed);
        self.leases.get(endpoint).map_or(0, |l| l.free(now, incarnation, allowed))
    }

    /// Whether a slot of an endpoint has been wanted here for long but not granted.
    pub fn is_starved(&self, now: Time, endpoint: &str) -> bool {
        self.leases.get(endpoint).is_some_and(|l| l.is_starved(now))
    }

    /// Takes a slot, which permits one request in flight at an endpoint.
    pub fn acquire(&mut self, now: Time, endpoint: &Arc<str>, incarnation: u64) -> bool {
        let Some(allowed) = self.endpoints.get(endpoint).map(|e| e.capacity.allowed) else {
            return false;
        };
        let lease = self.leases.entry(endpoint.clone()).or_default();
        lease.acquire(now, incarnation, allowed)
    }

    /// Returns the slot that was taken at `started`.
    pub fn release(&mut self, now: Time, endpoint: &str, started: Time) {
        self.with_lease(endpoint, |l| l.release(now, started));
    }

    /// Records an answer of the endpoint and its latency.
    pub fn note_answer(&mut self, now: Time, endpoint: &str, took: Span) {
        self.with_lease(endpoint, |l| l.note_answer(now, took));
    }

    /// Records that the endpoint refused a request as busy.
    pub fn note_busy(&mut self, endpoint: &str) {
        self.with_lease(endpoint, Lease::note_busy);
    }

    /// Records a sign that the endpoint is in cold start.
    pub fn note_cold_start(&mut self, endpoint: &str) {
        self.with_lease(endpoint, Lease::note_cold_start);
    }

    fn with_lease(&mut self, endpoint: &str, change: impl FnOnce(&mut Lease)) {
        if let Some(lease) = self.leases.get_mut(endpoint) {
            change(lease);
        }
    }

    /// Number of requests that this host has in flight at an endpoint.
    pub fn running(&self, endpoint: &str) -> u32 {
        self.leases.get(endpoint).map_or(0, Lease::running)
    }

    /// Allocator of an endpoint's slots, if this host owns the endpoint's bucket.
    pub fn allocator(&self, now: Time, endpoint: &str) -> Option<&SlotAllocator> {
        self.bidder.owns(now, bucket(endpoint)).then(|| self.allocators.get(endpoint)).flatten()
    }

    /// Does what is due by time; to be called every few milliseconds.
    pub fn tick(&mut self, now: Time) -> Vec<Outbound> {
        let mut out = Vec::new();
        self.send_bids(now, &mut out);
        self.send_polls(now, &mut out);
        self.maintain(now, &mut out);
        self.leases.values_mut().for_each(|l| l.detect_slow(now));
        self.send_requests(now, &mut out);
        self.leases.retain(|_, l| !l.is_idle(now));
        out
    }

    /// Handles a message; returns the messages to send.
    pub fn receive(&mut self, now: Time, from: &Arc<str>, message: Message) -> Vec<Outbound> {
        match message {
            Message::Asks { boot, asks } => {
                asks.iter().flat_map(|a| self.on_request(now, from, boot, a)).collect()
            }
            Message::Grants(grants) => {
                for g in &grants {
                    self.with_lease(&g.endpoint, |l| l.apply(now, from, g));
                }
                self.due_requests(now)
            }
            Message::Bid { boot, seq, buckets, electorate } => {
                let buckets = self.vote(now, from, boot, buckets, electorate);
                vec![(from.clone(), Message::Vote { seq, buckets })]
            }
            Message::Vote { seq, buckets } => {
                self.on_vote(now, from, seq, buckets);
                Vec::new()
            }
            Message::Poll { seq, buckets } => vec![self.report(now, from, seq, buckets)],
            Message::Report { seq, boot, asks } => {
                let out = asks.iter().flat_map(|a| self.on_request(now, from, boot, a)).collect();
                self.recoveries.values_mut().filter(|r| r.seq == seq).for_each(|r| {
                    r.unreported.swap_remove(from);
                });
                out
            }
        }
    }

    /// Slot requests that are due before the next tick.
    pub fn due_requests(&mut self, now: Time) -> Vec<Outbound> {
        let mut out = Vec::new();
        self.send_requests(now, &mut out);
        out
    }

    fn send_bids(&mut self, now: Time, out: &mut Vec<Outbound>) {
        if now < self.bids_from || !self.bidder.is_due(now) {
            return;
        }
        let Some(zone) = self.electorates.get(&self.zone) else { return };
        let mut by_voter: IndexMap<Arc<str>, BucketSet> = IndexMap::new();
        for b in (0..BUCKETS).filter(|b| zone.candidate(*b).as_ref() == Some(&self.host)) {
            for voter in zone.voters(b) {
                *by_voter.entry(voter).or_default() |= 1 << b;
            }
        }
        let electorate = zone.digest();
        let (boot, seq) = (self.boot, self.bidder.bid(now));
        out.extend(
            by_voter
                .into_iter()
                .map(|(voter, buckets)| (voter, Message::Bid { boot, seq, buckets, electorate })),
        );
    }

    fn vote(
        &mut self,
        now: Time,
        from: &Arc<str>,
        boot: u64,
        buckets: BucketSet,
        electorate: u64,
    ) -> BucketSet {
        let Some(bidder) = self.members.iter().find(|m| m.host == *from) else { return 0 };
        let agreed = self.electorates.get(&bidder.zone).is_some_and(|e| e.digest() == electorate);
        if agreed { self.voter.vote(now, &bidder.zone, from, boot, buckets) } else { 0 }
    }

    fn on_vote(&mut self, now: Time, from: &Arc<str>, seq: u64, buckets: BucketSet) {
        let Some(zone) = self.electorates.get(&self.zone) else { return };
        let new = self.bidder.count_votes(now, from, seq, buckets, zone);
        for b in (0..BUCKETS).filter(|b| new >> b & 1 == 1) {
            self.allocators.retain(|name, _| bucket(name) != b);
            self.seq += 1;
            let unreported = self.members.iter().filter(|m| m.health != Health::Left);
            let recovery = Recovery {
                until: now + LEASE_TERM + DRAIN_TIME,
                polled: Time(0),
                seq: self.seq,
                unreported: unreported.map(|m| m.host.clone()).collect(),
            };
            self.recoveries.insert(b, recovery);
        }
    }

    /// Polls the hosts that have not reported what they hold.
    fn send_polls(&mut self, now: Time, out: &mut Vec<Outbound>) {
        let bidder = &self.bidder;
        self.recoveries
            .retain(|b, r| bidder.owns(now, *b) && now < r.until && !r.unreported.is_empty());
        for (b, r) in &mut self.recoveries {
            if r.polled == Time(0) || now.since(r.polled) >= POLL_PERIOD {
                r.polled = now;
                let poll = Message::Poll { seq: r.seq, buckets: 1 << b };
                out.extend(r.unreported.iter().map(|h| (h.clone(), poll.clone())));
            }
        }
    }

    fn report(&mut self, now: Time, to: &Arc<str>, seq: u64, buckets: BucketSet) -> Outbound {
        let mut asks = Vec::new();
        for (name, lease) in &mut self.leases {
            if buckets >> bucket(name) & 1 == 1 {
                self.seq += 1;
                asks.push(lease.request(now, to, self.seq, name));
            }
        }
        (to.clone(), Message::Report { seq, boot: self.boot, asks })
    }

    /// Handles a slot request as the owner of its endpoint.
    fn on_request(
        &mut self,
        now: Time,
        from: &Arc<str>,
        boot: u64,
        request: &SlotRequest,
    ) -> Vec<Outbound> {
        let owned = self.bidder.owns(now, bucket(&request.endpoint));
        let ours = self.endpoints.get(&request.endpoint).is_none_or(|e| e.zone == self.zone);
        if !owned || !ours || self.allocators.len() >= ENDPOINTS_MAX {
            return Vec::new();
        }
        let allocator = self.allocators.entry(request.endpoint.clone()).or_default();
        let from = (from.clone(), boot);
        if !allocator.record(now, &from, request) {
            return Vec::new();
        }
        self.rebalance(now, &request.endpoint, Some(&from))
    }

    /// Grants and reclaims the slots of an endpoint; the `sender` of a slot request is always
    /// answered.
    fn rebalance(
        &mut self,
        now: Time,
        endpoint: &Arc<str>,
        sender: Option<&(Arc<str>, u64)>,
    ) -> Vec<Outbound> {
        let b = bucket(endpoint);
        if !self.bidder.owns(now, b) {
            return Vec::new();
        }
        let Some(allocator) = self.allocators.get_mut(endpoint) else { return Vec::new() };
        allocator
            .set_capacity(self.endpoints.get(endpoint).map(|e| e.capacity).unwrap_or_default());
        let grants = allocator.rebalance(now, endpoint, self.recoveries.contains_key(&b), sender);
        grants.into_iter().map(|(to, g)| (to, Message::Grants(vec![g]))).collect()
    }

    /// Grants and reclaims slots as time passes.
    fn maintain(&mut self, now: Time, out: &mut Vec<Outbound>) {
        let bidder = &self.bidder;
        self.allocators.retain(|name, a| {
            a.expire(now);
            !a.is_empty() && bidder.owns(now, bucket(name))
        });
        let pending: Vec<_> = self
            .allocators
            .iter()
            .filter(|(_, a)| a.needs_rebalance(now))
            .map(|(n, _)| n.clone())
            .collect();
        out.extend(pending.iter().flat_map(|name| self.rebalance(now, name, None)));
    }

    /// Sends the slot requests that are due, one message for each owner.
    fn send_requests(&mut self, now: Time, out: &mut Vec<Outbound>) {
        let mut by_owner: IndexMap<Arc<str>, Vec<SlotRequest>> = IndexMap::new();
        for (name, lease) in &mut self.leases {
            if !lease.is_due(now) {
                continue;
            }
            let zone =
                self.endpoints.get(name).map(|e| &e.zone).and_then(|z| self.electorates.get(z));
            let Some(owner) = zone.and_then(|z| z.candidate(bucket(name))) else { continue };
            self.seq += 1;
            let request = lease.request(now, &owner, self.seq, name);
            by_owner.entry(owner).or_default().push(request);
        }
        let boot = self.boot;
        out.extend(by_owner.into_iter().map(|(to, asks)| (to, Message::Asks { boot, asks })));
    }
}
