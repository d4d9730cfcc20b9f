//! Dissemination: what a record changes, who is told, and how losses are found.

use super::{Action, Entry, Health, MEMBERS_MAX, Membership, Message, PERIOD, Reach, Record};
use crate::core::digest;
use crate::core::time::{Span, Time};
use indexmap::{IndexMap, IndexSet};
use std::sync::Arc;

/// Time without a change after which a differing digest means a loss, not a delay.
const SETTLE: Span = Span::secs(2);
/// Least time between two comparisons with the same host.
const COMPARE_PAUSE: Span = Span(PERIOD.0 * 3);
/// Most records taken from one message.
const RECORDS_MAX: usize = MEMBERS_MAX;

impl Membership {
    pub(super) fn receive(
        &mut self,
        now: Time,
        from: &Arc<str>,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        match message {
            Message::Ping { seq, digest, own, yours } => {
                self.learn(now, own);
                yours.into_iter().for_each(|r| self.learn(now, r));
                out.push(Action::Send(from.clone(), Message::Ack { seq, own: self.own.clone() }));
                self.compare(now, from, digest, out);
            }
            Message::Ack { seq, own } => {
                self.learn(now, own.clone());
                self.acked(now, seq, own, out);
            }
            Message::Relay { seq, target } => {
                if self.table.contains_key(&target) {
                    self.probe(now, target, Some((from.clone(), seq)), out);
                }
            }
            Message::News(records) => self.learn_all(now, records),
            Message::Compare(theirs) => self.answer(from, &theirs, out),
            Message::Sync { records, zones, reply } => {
                if reply {
                    self.reply(from, &records, &zones, out);
                }
                self.learn_all(now, records);
            }
        }
    }

    fn learn_all(&mut self, now: Time, records: Vec<Record>) {
        for record in records.into_iter().take(RECORDS_MAX) {
            self.learn(now, record);
        }
    }

    /// Takes a record if it replaces the known one, and passes it on.
    pub(super) fn learn(&mut self, now: Time, record: Record) {
        if record.host == self.own.host {
            return self.refute(&record);
        }
        let known = self.table.get(&record.host);
        let full = known.is_none() && self.table.len() >= MEMBERS_MAX;
        if full || known.is_some_and(|e| !record.supersedes(&e.record)) {
            return;
        }
        if record.zone != self.own.zone && !self.reach.contains_key(&record.zone) {
            self.reach.insert(record.zone.clone(), Reach { heard: now, misses: 0 });
        }
        self.settled = now;
        self.stale = true;
        self.news.push(record.clone());
        let (place, digest) = (digest::hash(&[&record.host]), record.digest());
        self.table.insert(record.host.clone(), Entry { record, since: now, place, digest });
    }

    /// Outbids a report that this host is anything but what it says.
    fn refute(&mut self, record: &Record) {
        if self.own.health == Health::Left || !record.supersedes(&self.own) {
            return;
        }
        self.stale = true;
        self.own.incarnation = record.incarnation.saturating_add(1);
        self.news.push(self.own.clone());
    }

    /// Passes changes on to all neighbours.
    pub(super) fn flush(&mut self, out: &mut Vec<Action>) {
        if self.news.is_empty() {
            return;
        }
        let news = std::mem::take(&mut self.news);
        let to: IndexSet<_> = self.chords().into_iter().chain(self.partners()).collect();
        for host in to {
            out.push(Action::Send(host, Message::News(news.clone())));
        }
    }

    /// Digest of all records, this host's own among them.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    pub(super) fn digests(&self) -> IndexMap<Arc<str>, u64> {
        let mut zones = IndexMap::new();
        for e in self.table.values() {
            *zones.entry(e.record.zone.clone()).or_insert(0) ^= e.digest;
        }
        *zones.entry(self.own.zone.clone()).or_insert(0) ^= self.own.digest();
        zones
    }

    fn compare(&mut self, now: Time, host: &Arc<str>, theirs: u64, out: &mut Vec<Action>) {
        let settled = now.since(self.settled) >= SETTLE;
        let recent = self.synced.get(host).is_some_and(|at| now.since(*at) < COMPARE_PAUSE);
        if theirs == self.digest() || !settled || recent {
            return;
        }
        self.synced.insert(host.clone(), now);
        let digests = self.digests().into_iter().collect();
        out.push(Action::Send(host.clone(), Message::Compare(digests)));
    }

    /// Sends the records of all zones in which the other host holds something else.
    fn answer(&self, host: &Arc<str>, theirs: &[(Arc<str>, u64)], out: &mut Vec<Action>) {
        let theirs: IndexMap<_, _> = theirs.iter().map(|(zone, d)| (zone, *d)).collect();
        let own = self.digests();
        let all: IndexSet<_> = own.keys().chain(theirs.keys().copied()).collect();
        let differs = |zone: &&&Arc<str>| own.get(**zone) != theirs.get(**zone);
        let zones: Vec<Arc<str>> = all.iter().filter(differs).map(|z| Arc::clone(z)).collect();
        if zones.is_empty() {
            return;
        }
        let records = self.all().filter(|r| zones.contains(&r.zone)).cloned().collect();
        out.push(Action::Send(host.clone(), Message::Sync { records, zones, reply: true }));
    }

    /// Sends what is newer here than in the given records, or absent there.
    fn reply(&self, host: &Arc<str>, theirs: &[Record], zones: &[Arc<str>], out: &mut Vec<Action>) {
        let theirs: IndexMap<_, _> = theirs.iter().map(|r| (&r.host, r)).collect();
        let newer = |r: &&Record| match theirs.get(&r.host) {
            Some(known) => r.supersedes(known),
            None => zones.is_empty() || zones.contains(&r.zone),
        };
        let records: Vec<_> = self.all().filter(newer).cloned().collect();
        if !records.is_empty() {
            let zones = zones.to_vec();
            out.push(Action::Send(host.clone(), Message::Sync { records, zones, reply: false }));
        }
    }

    /// Sends every record to a host met for the first time, and asks for its own.
    pub(super) fn send_all(&self, host: &Arc<str>, out: &mut Vec<Action>) {
        let records = self.all().cloned().collect();
        let zones = Vec::new();
        out.push(Action::Send(host.clone(), Message::Sync { records, zones, reply: true }));
    }

    fn all(&self) -> impl Iterator<Item = &Record> {
        self.table.values().map(|e| &e.record).chain([&self.own])
    }
}
