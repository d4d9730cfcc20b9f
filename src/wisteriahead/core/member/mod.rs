//! Cluster membership: which hosts of the tier are alive, and how all of them learn of changes.
//! A failure detector and dissemination protocol similar to SWIM, as a pure state machine.
//!
//! Every host keeps one [`Record`] of every other. The hosts of an availability zone form a ring
//! in the order of their hashed names, and each probes the hosts at the distances 1, 2, 4 and so
//! on; it also probes one partner in every other zone. A host that answers neither a direct probe
//! nor the probes that others send on request becomes suspected. It becomes lost unless it
//! refutes the suspicion in time with a higher incarnation. Lost hosts are still probed, so that
//! the end of a partition is noticed.
//!
//! The host that notices a change sends it at once to all hosts that it probes. All others pass it
//! on with their probes and answers, so that the number of messages does not grow with the number
//! of changes. This answers the load of rolling restarts, in which several hosts a second leave and
//! come back. Digests in the probes reveal updates that were lost on the way.
//!
//! A host reports suspicions only about hosts of its own zone. When all its partners in another
//! zone stay silent, it regards that zone as lost but does not report so. Likewise, a host that
//! gets no answer from any other regards all others as lost and reports nothing, because it may
//! itself be the one that is cut off.

mod detect;
mod host_set;
mod news;
mod record;
mod spread;

pub use self::host_set::{CHANGE_PERIOD, HostSet, LEFT_KEPT, MemberChanges};
use self::news::ChangeLog;
pub use self::record::{Health, Member, Record};
use super::time::{Span, Time};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Interval between rounds of probes.
pub const PROBE_INTERVAL: Span = Span::secs(1);
/// Time without an answer after which other hosts are asked to probe.
pub const DIRECT_PROBE_TIMEOUT: Span = Span::millis(400);
/// Time without any answer, direct or relayed, after which a host is suspected.
pub const PROBE_TIMEOUT: Span = Span::millis(1_200);
/// Time within which a suspected host must refute the suspicion.
pub const SUSPICION_TIMEOUT: Span = Span::secs(3);
/// Silence of all partners in a zone after which this host regards the zone as suspected.
pub const ZONE_SUSPECT_AFTER: Span = Span::secs(4);
/// Silence of all partners in a zone after which this host regards the zone as lost.
pub const ZONE_LOST_AFTER: Span = Span::secs(7);
/// Silence of all other hosts after which this host may be isolated and declares none lost.
pub const ISOLATED_AFTER: Span = Span(PROBE_INTERVAL.0 + PROBE_TIMEOUT.0);
/// Age at which an unanswered probe is dropped, unless the answer to a newer probe shows earlier
/// that this host is not the one that is cut off.
pub const SELF_CHECK_TIMEOUT: Span = Span(PROBE_INTERVAL.0 * 3 + PROBE_TIMEOUT.0);
/// Time between two steps from which on this host is taken to have been stalled itself.
pub const STALL_THRESHOLD: Span = Span::secs(2);
/// Time after which the record of a host that is lost or has left is removed.
pub const FORGET_AFTER: Span = Span::secs(24 * 3_600);
/// Maximum number of records of other hosts.
pub const MEMBERS_MAX: usize = 1_024;

/// Message between hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Probe; the receiver answers with [`Message::Ack`].
    Ping {
        /// Number of the probe.
        seq: u64,
        /// Digest of all records of the sender.
        digest: u64,
        /// The sender's record of itself.
        own: Record,
        /// The sender's record of the receiver, if any; lets the receiver refute a suspicion.
        yours: Option<Record>,
        /// Records that have changed; older releases omit the field.
        #[serde(default)]
        news: Vec<Record>,
    },
    /// Answer to a ping.
    Ack {
        /// Number of the probe.
        seq: u64,
        /// The sender's record of itself.
        own: Record,
        /// Records that have changed; older releases omit the field.
        #[serde(default)]
        news: Vec<Record>,
        /// Digest of all records of the sender; older releases omit the field.
        #[serde(default)]
        digest: Option<u64>,
    },
    /// Request to probe another host and forward its answer.
    Relay {
        /// Number of the sender's own probe.
        seq: u64,
        /// Name of the host to probe.
        target: Arc<str>,
    },
    /// Records that have changed.
    News(Vec<Record>),
    /// Digest of the sender's records of each zone.
    Compare(Vec<(Arc<str>, u64)>),
    /// Full exchange of the records of some or all zones.
    Sync {
        /// Records of the sender.
        records: Vec<Record>,
        /// Zones whose records are complete; empty if those of all zones are.
        zones: Vec<Arc<str>>,
        /// Whether the receiver should send back its newer records.
        reply: bool,
    },
}

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; sent several times per [`PROBE_INTERVAL`].
    Tick,
    /// The transport is connected to the host of this name.
    Discovered(Arc<str>),
    /// A message from the named host has arrived.
    Received(Arc<str>, Message),
    /// This host will shut down soon, and still works.
    Retire,
    /// This host is shutting down.
    Leave,
}

/// Output of the state machine, for the driver to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to the named host; it may be lost.
    Send(Arc<str>, Message),
    /// [`Membership::members`] has changed; publish it. Lists the hosts whose records have changed.
    Changed(Vec<Arc<str>>),
}

/// Table entry of another host.
#[derive(Clone, Debug)]
struct Entry {
    record: Record,
    /// When the record last changed.
    since: Time,
    /// Position on the ring of its zone: the hash of its name.
    ring_position: u64,
    digest: u64,
}

/// Probe that has not been answered.
#[derive(Clone, Debug)]
struct Probe {
    target: Arc<str>,
    sent: Time,
    relayed: bool,
    /// Host that asked for this probe, and the number of its own probe.
    origin: Option<(Arc<str>, u64)>,
    /// Number of the last change that the target knows once it has answered.
    news_until: u64,
}

/// Contact to another zone.
#[derive(Clone, Copy, Debug)]
struct ZoneContact {
    /// When a host of the zone last answered.
    heard: Time,
    /// Unanswered probes so far; selects the partner to probe.
    misses: usize,
}

/// State machine that holds the membership as this host sees it.
#[derive(Debug)]
pub struct Membership {
    own: Record,
    table: IndexMap<Arc<str>, Entry>,
    probes: IndexMap<u64, Probe>,
    zone_contacts: IndexMap<Arc<str>, ZoneContact>,
    /// Changes that this host has noticed itself and sends to the neighbours and partners at once.
    updates: Vec<Record>,
    /// Changes that go along with probes and answers.
    news: ChangeLog,
    seq: u64,
    round: u64,
    next_round: Time,
    last_step: Time,
    last_ack: Time,
    /// When the newest of the answered probes was sent.
    newest_acked: Time,
    /// Digests of the records of each zone.
    digests: IndexMap<Arc<str>, u64>,
    /// Hosts whose records have changed since `members` was updated.
    changed: Vec<Arc<str>>,
    /// Number of records that were looked at to update `members`.
    view_updates: u64,
    /// Health of the other zones at the last tick, and last that of all hosts together.
    zone_states: Vec<Health>,
    last_update: Time,
    last_compared: IndexMap<Arc<str>, Time>,
    members: Vec<Member>,
}

impl Membership {
    /// Membership of a host that has just started and knows no other host.
    pub fn new(now: Time, own: Record) -> Self {
        let mut new = Self {
            own,
            table: IndexMap::new(),
            probes: IndexMap::new(),
            zone_contacts: IndexMap::new(),
            updates: Vec::new(),
            news: ChangeLog::default(),
            seq: 0,
            round: 0,
            next_round: now,
            last_step: now,
            last_ack: now,
            newest_acked: now,
            digests: IndexMap::new(),
            changed: Vec::new(),
            view_updates: 0,
            zone_states: Vec::new(),
            last_update: now,
            last_compared: IndexMap::new(),
            members: Vec::new(),
        };
        new.toggle_digest(&new.own.zone.clone(), new.own.digest());
        new.rebuild_view(now);
        new
    }

    /// This host's record of itself.
    pub fn own(&self) -> &Record {
        &self.own
    }

    /// The record of another host.
    pub fn record(&self, host: &str) -> Option<&Record> {
        self.table.get(host).map(|e| &e.record)
    }

    /// The records of all other hosts.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.table.values().map(|e| &e.record)
    }

    /// All hosts including this one, sorted by name.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Number of records that were looked at to keep [`Self::members`] up to date, a measure of the work
    /// done here.
    pub fn view_updates(&self) -> u64 {
        self.view_updates
    }

    /// Handles an event and returns the actions to carry out.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        if now.since(self.last_step) > STALL_THRESHOLD {
            self.reset_after_stall(now);
        }
        self.last_step = now;
        let zones_changed = matches!(event, Event::Tick) && self.zones_changed(now);
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Discovered(host) => self.handle_discovered(&host, &mut out),
            Event::Received(from, message) => self.receive(now, &from, message, &mut out),
            Event::Retire => self.announce_health(Health::Leaving, &mut out),
            Event::Leave => self.announce_health(Health::Left, &mut out),
        }
        self.refresh_view(now, zones_changed, &mut out);
        out
    }

    /// Restarts all timeouts, since a stall of this host itself explains why no answers came.
    fn reset_after_stall(&mut self, now: Time) {
        self.probes.clear();
        self.next_round = now;
        self.last_ack = now;
        for e in self.table.values_mut().filter(|e| e.record.health == Health::Suspect) {
            e.since = now;
        }
        for r in self.zone_contacts.values_mut() {
            *r = ZoneContact { heard: now, misses: 0 };
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.check_timeouts(now, out);
        self.expire_suspicions(now);
        if now >= self.next_round {
            self.next_round = now + PROBE_INTERVAL;
            self.round += 1;
            self.probe_all(now, out);
            self.forget_departed(now);
        }
        self.flush_updates(out);
    }

    fn forget_departed(&mut self, now: Time) {
        let gone =
            |e: &Entry| e.record.health >= Health::Lost && now.since(e.since) >= FORGET_AFTER;
        let departed: Vec<_> =
            self.table.iter().filter(|(_, e)| gone(e)).map(|(host, _)| host.clone()).collect();
        for host in departed {
            if let Some(e) = self.table.swap_remove(&host) {
                self.toggle_digest(&e.record.zone, e.digest);
                self.changed.push(host.clone());
            }
            self.last_compared.swap_remove(&host);
            self.news.forget(&host);
        }
    }

    fn handle_discovered(&mut self, host: &Arc<str>, out: &mut Vec<Action>) {
        if **host != *self.own.host && !self.table.contains_key(host) {
            self.send_full_sync(host, out);
        }
    }

    /// Tells the other hosts that this one is in a worse state of health than before.
    fn announce_health(&mut self, health: Health, out: &mut Vec<Action>) {
        if health > self.own.health {
            self.set_own(Record { health, ..self.own.clone() });
            self.flush_updates(out);
        }
    }

    /// Replaces this host's own record, and has the other hosts told.
    fn set_own(&mut self, own: Record) {
        self.toggle_digest(&own.zone, self.own.digest() ^ own.digest());
        self.own = own;
        let host = self.own.host.clone();
        self.updates.push(self.own.clone());
        self.news.record(host.clone(), None);
        self.changed.push(host);
    }

    /// Adds the digest of a record to that of its zone, or takes it out again.
    fn toggle_digest(&mut self, zone: &Arc<str>, digest: u64) {
        let all = self.digests.get(zone).copied().unwrap_or_default() ^ digest;
        // A zone without hosts has no digest, as at a host that never knew it.
        if all == 0 {
            self.digests.swap_remove(zone);
        } else {
            self.digests.insert(zone.clone(), all);
        }
    }

    /// Applies the records that have changed to the published view.
    fn refresh_view(&mut self, now: Time, zones_changed: bool, out: &mut Vec<Action>) {
        let hosts = std::mem::take(&mut self.changed);
        let changed = if zones_changed {
            self.rebuild_view(now)
        } else {
            hosts.iter().filter(|host| self.refresh_member(now, host)).count() > 0
        };
        if changed {
            out.push(Action::Changed(hosts));
        }
    }

    /// Applies a host's record to the published view; returns whether the view has changed.
    fn refresh_member(&mut self, now: Time, host: &Arc<str>) -> bool {
        self.view_updates += 1;
        let record = if *host == self.own.host { Some(&self.own) } else { self.record(host) };
        let member = record.map(|r| self.member(now, r));
        match (self.members.binary_search_by(|m| m.host.cmp(host)), member) {
            (Ok(at), Some(member)) if self.members[at] == member => false,
            (Ok(at), Some(member)) => {
                self.members[at] = member;
                true
            }
            (Ok(at), None) => {
                self.members.remove(at);
                true
            }
            (Err(at), Some(member)) => {
                self.members.insert(at, member);
                true
            }
            (Err(_), None) => false,
        }
    }

    /// Builds the published view anew; returns whether it has changed.
    fn rebuild_view(&mut self, now: Time) -> bool {
        self.view_updates += self.table.len() as u64 + 1;
        let records = self.records().chain([&self.own]);
        let mut all: Vec<_> = records.map(|r| self.member(now, r)).collect();
        all.sort_by(|a, b| a.host.cmp(&b.host));
        let changed = all != self.members;
        self.members = all;
        changed
    }

    fn member(&self, now: Time, r: &Record) -> Member {
        let health = if r.host == self.own.host { r.health } else { self.observed_health(now, r) };
        Member {
            host: Arc::clone(&r.host),
            zone: Arc::clone(&r.zone),
            health,
            incarnation: r.incarnation,
            durable: r.durable,
        }
    }

    /// Health of a host as this host sees it: that of its record, or that of its zone if worse.
    fn observed_health(&self, now: Time, r: &Record) -> Health {
        let heard = match self.zone_contacts.get(&r.zone) {
            Some(contact) if r.zone != self.own.zone => contact.heard,
            _ => self.last_ack,
        };
        r.health.max(zone_health(now.since(heard)))
    }

    fn zones_changed(&mut self, now: Time) -> bool {
        let heard = self.zone_contacts.values().map(|r| r.heard).chain([self.last_ack]);
        let zones: Vec<_> = heard.map(|at| zone_health(now.since(at))).collect();
        let changed = zones != self.zone_states;
        self.zone_states = zones;
        changed
    }

    /// Whether no host has answered within [`ISOLATED_AFTER`], so that this one may be cut off.
    fn is_isolated(&self, now: Time) -> bool {
        now.since(self.last_ack) > ISOLATED_AFTER
    }
}

fn zone_health(silence: Span) -> Health {
    match silence {
        s if s > ZONE_LOST_AFTER => Health::Lost,
        s if s > ZONE_SUSPECT_AFTER => Health::Suspect,
        _ => Health::Alive,
    }
}
