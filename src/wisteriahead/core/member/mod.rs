//! Membership: which hosts of the tier are alive, and how all of them learn of a change.
//!
//! Every host keeps one [`Record`] of every other. Hosts of one availability zone stand
//! on a ring in the order of their hashed names, and each probes those at the distances
//! 1, 2, 4 and so on; it also probes one partner in every other zone. A host that answers
//! neither the probe nor others that probe on request is suspected, and lost when it does
//! not refute the suspicion in time by a higher incarnation of its own. Changes are
//! passed on at once to all probed hosts, each by each host once; digests sent with the
//! probes find what was lost on the way. Lost hosts are probed on, so that a healed cut
//! is noticed.
//!
//! Suspicions are reported only within a zone. A zone whose partners all stay silent is
//! lost as seen from here, without a report; so is everyone to a host that no other
//! answers, since it may itself be the one that is cut off.

mod detect;
mod record;
mod spread;

pub use self::record::{Health, Member, Record};
use super::time::{Span, Time};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Time between two rounds of probes.
pub const PERIOD: Span = Span::secs(1);
/// Wait for the answer to a probe before others are asked to probe.
pub const DIRECT_WAIT: Span = Span::millis(400);
/// Wait for any answer before a host is suspected.
pub const PROBE_WAIT: Span = Span::millis(1_200);
/// Time that a suspected host has for its refutation.
pub const SUSPECT_TIME: Span = Span::secs(3);
/// Silence of a zone's partners after which the zone is suspected from here.
pub const ZONE_SUSPECT: Span = Span::secs(4);
/// Silence of a zone's partners after which the zone counts as lost from here.
pub const ZONE_LOST: Span = Span::secs(7);
/// Silence of all other hosts after which this host may itself be cut off, and condemns none.
pub const ISOLATED: Span = Span(PERIOD.0 + PROBE_WAIT.0);
/// Wait for the proof, an answer to a younger probe, that not this host is cut off.
pub const PROOF_WAIT: Span = Span(PERIOD.0 * 3 + PROBE_WAIT.0);
/// Pause between two steps that shows that this host itself stood still.
pub const FREEZE: Span = Span::secs(2);
/// Time after which a lost host, or one that left, is forgotten.
pub const FORGET: Span = Span::secs(24 * 3_600);
/// Most hosts kept.
pub const MEMBERS_MAX: usize = 1_024;

/// What hosts send each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for an [`Message::Ack`]; carries what the sender holds of the receiver.
    Ping {
        /// Number of the probe.
        seq: u64,
        /// Digest of all the sender's records.
        digest: u64,
        /// The sender's record of itself.
        own: Record,
        /// The sender's record of the receiver, when it has one.
        yours: Option<Record>,
    },
    /// Answers a ping.
    Ack {
        /// Number of the probe.
        seq: u64,
        /// The sender's record of itself.
        own: Record,
    },
    /// Asks the receiver to probe another host and pass on its answer.
    Relay {
        /// Number of the asker's probe.
        seq: u64,
        /// Host to probe.
        target: Arc<str>,
    },
    /// Reports changes.
    News(Vec<Record>),
    /// Digests of the sender's records by zone.
    Compare(Vec<(Arc<str>, u64)>),
    /// All records of some zones.
    Sync {
        /// The records.
        records: Vec<Record>,
        /// Zones that the records are whole for; none when for all.
        zones: Vec<Arc<str>>,
        /// Whether the receiver is to send back what it holds newer.
        reply: bool,
    },
}

/// What happens to the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passes; fed several times a period.
    Tick,
    /// The transport met a host, by name.
    Discovered(Arc<str>),
    /// A message came.
    Received(Arc<str>, Message),
    /// This host stops.
    Leave,
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message; it may be lost.
    Send(Arc<str>, Message),
    /// Publish [`Membership::members`] anew.
    Changed,
}

/// One host's entry in the table.
#[derive(Clone, Debug)]
struct Entry {
    record: Record,
    /// When the record last changed.
    since: Time,
    /// Place on the ring.
    place: u64,
    digest: u64,
}

/// A probe without an answer so far.
#[derive(Clone, Debug)]
struct Probe {
    target: Arc<str>,
    sent: Time,
    relayed: bool,
    /// Host and number of the probe that this one is made for.
    asker: Option<(Arc<str>, u64)>,
}

/// Contact with another zone.
#[derive(Clone, Copy, Debug)]
struct Reach {
    heard: Time,
    misses: usize,
}

/// The membership as one host sees it.
#[derive(Debug)]
pub struct Membership {
    own: Record,
    table: IndexMap<Arc<str>, Entry>,
    probes: IndexMap<u64, Probe>,
    reach: IndexMap<Arc<str>, Reach>,
    news: Vec<Record>,
    seq: u64,
    round: u64,
    next_round: Time,
    last_step: Time,
    last_ack: Time,
    /// When the youngest answered probe was sent.
    answered: Time,
    digest: u64,
    stale: bool,
    /// Health of the zones as last shown.
    zones: Vec<Health>,
    settled: Time,
    synced: IndexMap<Arc<str>, Time>,
    shown: Vec<Member>,
}

impl Membership {
    /// The membership of a host that has just started and knows no other.
    pub fn new(now: Time, own: Record) -> Self {
        let mut new = Self {
            own,
            table: IndexMap::new(),
            probes: IndexMap::new(),
            reach: IndexMap::new(),
            news: Vec::new(),
            seq: 0,
            round: 0,
            next_round: now,
            last_step: now,
            last_ack: now,
            answered: now,
            digest: 0,
            stale: true,
            zones: Vec::new(),
            settled: now,
            synced: IndexMap::new(),
            shown: Vec::new(),
        };
        new.shown = new.view(now);
        new
    }

    /// This host's record of itself.
    pub fn own(&self) -> &Record {
        &self.own
    }

    /// The record of a host.
    pub fn record(&self, host: &str) -> Option<&Record> {
        self.table.get(host).map(|e| &e.record)
    }

    /// The records of all other hosts.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.table.values().map(|e| &e.record)
    }

    /// All hosts, this one included, in the order of their names.
    pub fn members(&self) -> &[Member] {
        &self.shown
    }

    /// Takes one event and says what to do.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        if now.since(self.last_step) > FREEZE {
            self.thaw(now);
        }
        self.last_step = now;
        self.stale |= matches!(event, Event::Tick) && self.zones_changed(now);
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Discovered(host) => self.meet(&host, &mut out),
            Event::Received(from, message) => self.receive(now, &from, message, &mut out),
            Event::Leave => self.leave(&mut out),
        }
        self.show(now, &mut out);
        out
    }

    /// Forgives the silence that this host's own standstill explains.
    fn thaw(&mut self, now: Time) {
        self.probes.clear();
        self.next_round = now;
        self.last_ack = now;
        for e in self.table.values_mut().filter(|e| e.record.health == Health::Suspect) {
            e.since = now;
        }
        for r in self.reach.values_mut() {
            *r = Reach { heard: now, misses: 0 };
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.chase(now, out);
        self.condemn(now);
        if now >= self.next_round {
            self.next_round = now + PERIOD;
            self.round += 1;
            self.probe_all(now, out);
            self.forget(now);
        }
        self.flush(out);
    }

    fn forget(&mut self, now: Time) {
        self.table.retain(|_, e| e.record.health < Health::Lost || now.since(e.since) < FORGET);
        let table = &self.table;
        self.synced.retain(|host, _| table.contains_key(host));
    }

    fn meet(&mut self, host: &Arc<str>, out: &mut Vec<Action>) {
        if **host != *self.own.host && !self.table.contains_key(host) {
            self.send_all(host, out);
        }
    }

    fn leave(&mut self, out: &mut Vec<Action>) {
        self.own.health = Health::Left;
        self.news.push(self.own.clone());
        self.flush(out);
    }

    fn show(&mut self, now: Time, out: &mut Vec<Action>) {
        if !std::mem::take(&mut self.stale) {
            return;
        }
        self.digest = self.digests().values().fold(0, |all, d| all ^ d);
        let view = self.view(now);
        if view != self.shown {
            self.shown = view;
            out.push(Action::Changed);
        }
    }

    fn view(&self, now: Time) -> Vec<Member> {
        let others = self.table.values().map(|e| (&e.record, self.health(now, &e.record)));
        let mut all: Vec<_> = others
            .chain([(&self.own, self.own.health)])
            .map(|(r, health)| Member {
                host: Arc::clone(&r.host),
                zone: Arc::clone(&r.zone),
                health,
                incarnation: r.incarnation,
                durable: r.durable,
            })
            .collect();
        all.sort_by(|a, b| a.host.cmp(&b.host));
        all
    }

    /// The health of a host as seen from here: its record's, or its zone's if that is worse.
    fn health(&self, now: Time, r: &Record) -> Health {
        let heard = match self.reach.get(&r.zone) {
            Some(reach) if r.zone != self.own.zone => reach.heard,
            _ => self.last_ack,
        };
        r.health.max(zone_health(now.since(heard)))
    }

    fn zones_changed(&mut self, now: Time) -> bool {
        let heard = self.reach.values().map(|r| r.heard).chain([self.last_ack]);
        let zones: Vec<_> = heard.map(|at| zone_health(now.since(at))).collect();
        let changed = zones != self.zones;
        self.zones = zones;
        changed
    }

    /// Whether no host at all has answered lately, so that this one may be cut off.
    fn is_isolated(&self, now: Time) -> bool {
        now.since(self.last_ack) > ISOLATED
    }
}

fn zone_health(silence: Span) -> Health {
    match silence {
        s if s > ZONE_LOST => Health::Lost,
        s if s > ZONE_SUSPECT => Health::Suspect,
        _ => Health::Alive,
    }
}
