//! One host's part in the budgets: voter, owner of some buckets, and borrower.

use super::borrower::Lease;
use super::election::{Bidder, Electorate, Voter};
use super::lender::{Capacity, SlotAllocator};
use super::{Ask, BUCKETS, BucketSet, HOLD, Message, TERM, VOTE_TERM, bucket};
use crate::core::member::{Health, Member};
use crate::core::time::{Span, Time};
use indexmap::{IndexMap, IndexSet};
use std::sync::Arc;

/// Time between two polls of hosts that have not reported.
const POLL_PERIOD: Span = Span::millis(300);
/// Most endpoints kept per role.
const ENDPOINTS_MAX: usize = 20_000;

/// A message to send and its receiver; the receiver may be this host.
pub type Send = (Arc<str>, Message);

/// The time after a change of owner in which old slots may still be out.
#[derive(Debug)]
struct Recovery {
    until: Time,
    polled: Time,
    seq: u64,
    waiting: IndexSet<Arc<str>>,
}

/// An endpoint as this host knows it.
#[derive(Clone, Debug)]
struct Known {
    zone: Arc<str>,
    bearing: Capacity,
}

/// The budgets as one host keeps them.
#[derive(Debug)]
pub struct Budgets {
    host: Arc<str>,
    zone: Arc<str>,
    boot: u64,
    begins: Time,
    seq: u64,
    members: Vec<Member>,
    zones: IndexMap<Arc<str>, Electorate>,
    voter: Voter,
    bidder: Bidder,
    recoveries: IndexMap<u32, Recovery>,
    ledgers: IndexMap<Arc<str>, SlotAllocator>,
    leases: IndexMap<Arc<str>, Lease>,
    known: IndexMap<Arc<str>, Known>,
}

impl Budgets {
    /// The budgets of a host whose process starts now; `boot` rises with each start.
    pub fn new(now: Time, host: Arc<str>, zone: Arc<str>, boot: u64) -> Self {
        Self {
            host,
            zone,
            boot,
            begins: now + VOTE_TERM,
            seq: 0,
            members: Vec::new(),
            zones: IndexMap::new(),
            voter: Voter::new(now),
            bidder: Bidder::default(),
            recoveries: IndexMap::new(),
            ledgers: IndexMap::new(),
            leases: IndexMap::new(),
            known: IndexMap::new(),
        }
    }

    /// Sets the hosts of the tier.
    pub fn set_members(&mut self, members: &[Member]) {
        let old = self.zones.get(&self.zone).map(Electorate::digest);
        let names: IndexSet<_> = members.iter().map(|m| m.zone.clone()).collect();
        self.zones = names.into_iter().map(|z| (z.clone(), Electorate::new(&z, members))).collect();
        self.members = members.to_vec();
        if old != self.zones.get(&self.zone).map(Electorate::digest) {
            // Votes of other voters prove nothing to these.
            self.bidder = Bidder::after(&self.bidder);
            self.ledgers.clear();
        }
    }

    /// Sets the endpoints: name, zone and what each can bear.
    pub fn set_endpoints(
        &mut self,
        now: Time,
        endpoints: impl Iterator<Item = (Arc<str>, Arc<str>, Capacity)>,
    ) -> Vec<Send> {
        let mut known = IndexMap::new();
        for (name, zone, mut bearing) in endpoints.take(ENDPOINTS_MAX) {
            let old = self.known.get(&name).map(|k| k.bearing);
            if let Some(old) = old.filter(|o| o.incarnation == bearing.incarnation) {
                // An endpoint that fell cold may claim that it never was: only a start raises it.
                bearing.cold = bearing.cold.min(old.cold);
            }
            known.insert(name, Known { zone: self.home(&zone), bearing });
        }
        let changed: Vec<Arc<str>> = self
            .known
            .keys()
            .chain(known.keys())
            .filter(|n| known.get(*n).map(|k| k.bearing) != self.known.get(*n).map(|k| k.bearing))
            .cloned()
            .collect();
        self.known = known;
        changed.into_iter().flat_map(|name| self.serve(now, &name, None)).collect()
    }

    /// The zone whose hosts own the endpoints of a zone: itself, unless it has no hosts.
    fn home(&self, zone: &Arc<str>) -> Arc<str> {
        if self.zones.contains_key(zone) {
            return zone.clone();
        }
        self.zones.keys().min().unwrap_or(zone).clone()
    }

    /// Slots of an endpoint that are free at this host now.
    pub fn free(&self, now: Time, endpoint: &str, incarnation: u64) -> u32 {
        let allowed = self.known.get(endpoint).map_or(0, |k| k.bearing.allowed);
        self.leases.get(endpoint).map_or(0, |l| l.free(now, incarnation, allowed))
    }

    /// Whether a slot of an endpoint was wanted here for long and has not come.
    pub fn is_starved(&self, now: Time, endpoint: &str) -> bool {
        self.leases.get(endpoint).is_some_and(|l| l.is_starved(now))
    }

    /// Takes the right to have one request in flight at an endpoint.
    pub fn acquire(&mut self, now: Time, endpoint: &Arc<str>, incarnation: u64) -> bool {
        let Some(allowed) = self.known.get(endpoint).map(|k| k.bearing.allowed) else {
            return false;
        };
        let lease = self.leases.entry(endpoint.clone()).or_default();
        lease.acquire(now, incarnation, allowed)
    }

    /// Gives back the right that was taken at `begun`.
    pub fn release(&mut self, now: Time, endpoint: &str, begun: Time) {
        self.lease(endpoint, |l| l.release(now, begun));
    }

    /// Notes an answer of the endpoint.
    pub fn note_answer(&mut self, now: Time, endpoint: &str, took: Span) {
        self.lease(endpoint, |l| l.note_answer(now, took));
    }

    /// Notes a refusal of the endpoint as busy.
    pub fn note_busy(&mut self, endpoint: &str) {
        self.lease(endpoint, Lease::note_busy);
    }

    /// Notes a sign that the endpoint is in cold start.
    pub fn note_cold_start(&mut self, endpoint: &str) {
        self.lease(endpoint, Lease::note_cold_start);
    }

    fn lease(&mut self, endpoint: &str, change: impl FnOnce(&mut Lease)) {
        if let Some(lease) = self.leases.get_mut(endpoint) {
            change(lease);
        }
    }

    /// Requests that this host has in flight at an endpoint.
    pub fn running(&self, endpoint: &str) -> u32 {
        self.leases.get(endpoint).map_or(0, Lease::running)
    }

    /// Slots of an endpoint that this host lends, when it owns them.
    pub fn allocator(&self, now: Time, endpoint: &str) -> Option<&SlotAllocator> {
        self.bidder.owns(now, bucket(endpoint)).then(|| self.ledgers.get(endpoint)).flatten()
    }

    /// Lets time pass; to be called every few milliseconds.
    pub fn tick(&mut self, now: Time) -> Vec<Send> {
        let mut out = Vec::new();
        self.bid(now, &mut out);
        self.poll(now, &mut out);
        self.tend(now, &mut out);
        self.leases.values_mut().for_each(|l| l.look(now));
        self.ask(now, &mut out);
        self.leases.retain(|_, l| !l.is_over(now));
        out
    }

    /// Takes a message.
    pub fn receive(&mut self, now: Time, from: &Arc<str>, message: Message) -> Vec<Send> {
        match message {
            Message::Asks { boot, asks } => {
                asks.iter().flat_map(|a| self.asked(now, from, boot, a)).collect()
            }
            Message::Grants(grants) => {
                for g in &grants {
                    self.lease(&g.endpoint, |l| l.apply(now, from, g));
                }
                self.due_requests(now)
            }
            Message::Bid { boot, seq, buckets, electorate } => {
                let buckets = self.vote(now, from, boot, buckets, electorate);
                vec![(from.clone(), Message::Vote { seq, buckets })]
            }
            Message::Vote { seq, buckets } => {
                self.voted(now, from, seq, buckets);
                Vec::new()
            }
            Message::Poll { seq, buckets } => vec![self.report(now, from, seq, buckets)],
            Message::Report { seq, boot, asks } => {
                let out = asks.iter().flat_map(|a| self.asked(now, from, boot, a)).collect();
                self.recoveries.values_mut().filter(|r| r.seq == seq).for_each(|r| {
                    r.waiting.swap_remove(from);
                });
                out
            }
        }
    }

    /// Asks that cannot wait for the next tick.
    pub fn due_requests(&mut self, now: Time) -> Vec<Send> {
        let mut out = Vec::new();
        self.ask(now, &mut out);
        out
    }

    fn bid(&mut self, now: Time, out: &mut Vec<Send>) {
        if now < self.begins || !self.bidder.is_due(now) {
            return;
        }
        let Some(zone) = self.zones.get(&self.zone) else { return };
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
        let agreed = self.zones.get(&bidder.zone).is_some_and(|e| e.digest() == electorate);
        if agreed { self.voter.vote(now, &bidder.zone, from, boot, buckets) } else { 0 }
    }

    fn voted(&mut self, now: Time, from: &Arc<str>, seq: u64, buckets: BucketSet) {
        let Some(zone) = self.zones.get(&self.zone) else { return };
        let new = self.bidder.count(now, from, seq, buckets, zone);
        for b in (0..BUCKETS).filter(|b| new >> b & 1 == 1) {
            self.ledgers.retain(|name, _| bucket(name) != b);
            self.seq += 1;
            let waiting = self.members.iter().filter(|m| m.health != Health::Left);
            let recovery = Recovery {
                until: now + TERM + HOLD,
                polled: Time(0),
                seq: self.seq,
                waiting: waiting.map(|m| m.host.clone()).collect(),
            };
            self.recoveries.insert(b, recovery);
        }
    }

    /// Asks the hosts that have not reported what they hold.
    fn poll(&mut self, now: Time, out: &mut Vec<Send>) {
        let bidder = &self.bidder;
        self.recoveries
            .retain(|b, r| bidder.owns(now, *b) && now < r.until && !r.waiting.is_empty());
        for (b, r) in &mut self.recoveries {
            if r.polled == Time(0) || now.since(r.polled) >= POLL_PERIOD {
                r.polled = now;
                let poll = Message::Poll { seq: r.seq, buckets: 1 << b };
                out.extend(r.waiting.iter().map(|h| (h.clone(), poll.clone())));
            }
        }
    }

    fn report(&mut self, now: Time, to: &Arc<str>, seq: u64, buckets: BucketSet) -> Send {
        let mut asks = Vec::new();
        for (name, lease) in &mut self.leases {
            if buckets >> bucket(name) & 1 == 1 {
                self.seq += 1;
                asks.push(lease.request(now, to, self.seq, name));
            }
        }
        (to.clone(), Message::Report { seq, boot: self.boot, asks })
    }

    /// Takes one ask as the owner of its endpoint.
    fn asked(&mut self, now: Time, from: &Arc<str>, boot: u64, ask: &Ask) -> Vec<Send> {
        let owned = self.bidder.owns(now, bucket(&ask.endpoint));
        let ours = self.known.get(&ask.endpoint).is_none_or(|k| k.zone == self.zone);
        if !owned || !ours || self.ledgers.len() >= ENDPOINTS_MAX {
            return Vec::new();
        }
        let ledger = self.ledgers.entry(ask.endpoint.clone()).or_default();
        let from = (from.clone(), boot);
        if !ledger.ask(now, &from, ask) {
            return Vec::new();
        }
        self.serve(now, &ask.endpoint, Some(&from))
    }

    fn serve(
        &mut self,
        now: Time,
        endpoint: &Arc<str>,
        fresh: Option<&(Arc<str>, u64)>,
    ) -> Vec<Send> {
        let b = bucket(endpoint);
        if !self.bidder.owns(now, b) {
            return Vec::new();
        }
        let Some(ledger) = self.ledgers.get_mut(endpoint) else { return Vec::new() };
        ledger.set(self.known.get(endpoint).map(|k| k.bearing).unwrap_or_default());
        let grants = ledger.serve(now, endpoint, self.recoveries.contains_key(&b), fresh);
        grants.into_iter().map(|(to, g)| (to, Message::Grants(vec![g]))).collect()
    }

    /// Lends and recalls as time passes.
    fn tend(&mut self, now: Time, out: &mut Vec<Send>) {
        let bidder = &self.bidder;
        self.ledgers.retain(|name, l| {
            l.expire(now);
            !l.is_empty() && bidder.owns(now, bucket(name))
        });
        let pressed: Vec<_> = self
            .ledgers
            .iter()
            .filter(|(_, l)| l.is_pressed(now))
            .map(|(n, _)| n.clone())
            .collect();
        out.extend(pressed.iter().flat_map(|name| self.serve(now, name, None)));
    }

    /// Sends the asks that are due, one message for each owner.
    fn ask(&mut self, now: Time, out: &mut Vec<Send>) {
        let mut by_owner: IndexMap<Arc<str>, Vec<Ask>> = IndexMap::new();
        for (name, lease) in &mut self.leases {
            if !lease.is_due(now) {
                continue;
            }
            let zone = self.known.get(name).map(|k| &k.zone).and_then(|z| self.zones.get(z));
            let Some(owner) = zone.and_then(|z| z.candidate(bucket(name))) else { continue };
            self.seq += 1;
            let ask = lease.request(now, &owner, self.seq, name);
            by_owner.entry(owner).or_default().push(ask);
        }
        let boot = self.boot;
        out.extend(by_owner.into_iter().map(|(to, asks)| (to, Message::Asks { boot, asks })));
    }
}
