//! Dissemination: merges received records, forwards changes and finds updates that were lost.

use super::{
    Action, Entry, Health, MEMBERS_MAX, Membership, Message, PROBE_INTERVAL, Record, ZoneContact,
};
use crate::core::digest;
use crate::core::time::{Span, Time};
use indexmap::{IndexMap, IndexSet};
use std::sync::Arc;

/// Time without a change after which different digests indicate a lost update, not a delayed one.
const SETTLE_TIME: Span = Span::secs(2);
/// Minimum time between two comparisons with the same host.
const COMPARE_INTERVAL: Span = Span(PROBE_INTERVAL.0 * 3);
/// Maximum records accepted from one message.
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
            Message::Ping { seq, digest, own, yours, news } => {
                self.merge_all(now, from, [own]);
                self.merge_all(now, from, yours);
                self.merge_all(now, from, news);
                if digest == self.digest() {
                    self.news.record_same(from);
                }
                let (news, until) = self.news_for(from);
                self.news.record_told(from, until);
                let (own, digest_here) = (self.own.clone(), Some(self.digest()));
                let ack = Message::Ack { seq, own, news, digest: digest_here };
                out.push(Action::Send(from.clone(), ack));
                self.compare_digest(now, from, digest, out);
            }
            Message::Ack { seq, own, news, digest } => {
                self.merge_all(now, from, [own.clone()]);
                self.merge_all(now, from, news);
                if digest == Some(self.digest()) {
                    self.news.record_same(from);
                }
                self.handle_ack(now, seq, own, out);
            }
            Message::Relay { seq, target } => {
                if self.table.contains_key(&target) {
                    self.probe(now, target, Some((from.clone(), seq)), out);
                }
            }
            Message::News(records) => self.merge_all(now, from, records),
            Message::Compare(theirs) => self.handle_compare(from, &theirs, out),
            Message::Sync { records, zones, reply } => {
                if reply {
                    self.send_newer(from, &records, &zones, out);
                }
                self.merge_all(now, from, records);
            }
        }
    }

    /// Stores the records that supersede the known ones, and has them passed on.
    fn merge_all(&mut self, now: Time, from: &Arc<str>, records: impl IntoIterator<Item = Record>) {
        for record in records.into_iter().take(RECORDS_MAX) {
            self.merge(now, record, Some(from));
        }
    }

    /// Stores a change that this host has noticed itself, and sends it to other hosts at once.
    pub(super) fn merge_own(&mut self, now: Time, record: Record) {
        if self.merge(now, record.clone(), None) {
            self.updates.push(record);
        }
    }

    /// Stores a record if it supersedes the known one; returns whether it did.
    fn merge(&mut self, now: Time, record: Record, from: Option<&Arc<str>>) -> bool {
        if record.host == self.own.host {
            self.refute(&record);
            return false;
        }
        let known = self.table.get(&record.host);
        let full = known.is_none() && self.table.len() >= MEMBERS_MAX;
        if full || known.is_some_and(|e| !record.supersedes(&e.record)) {
            return false;
        }
        if record.zone != self.own.zone && !self.zone_contacts.contains_key(&record.zone) {
            self.zone_contacts.insert(record.zone.clone(), ZoneContact { heard: now, misses: 0 });
        }
        self.last_update = now;
        let (host, digest) = (record.host.clone(), record.digest());
        let ring_position = digest::hash(&[&host]);
        self.toggle_digest(&record.zone, digest);
        self.news.record(host.clone(), from.cloned());
        self.changed.push(host.clone());
        let old = self.table.insert(host, Entry { record, since: now, ring_position, digest });
        if let Some(old) = old {
            self.toggle_digest(&old.record.zone, old.digest);
        }
        true
    }

    /// Refutes a record about this host that supersedes its own, by a higher incarnation.
    fn refute(&mut self, record: &Record) {
        if self.own.health == Health::Left || !record.supersedes(&self.own) {
            return;
        }
        let incarnation = record.incarnation.saturating_add(1);
        self.set_own(Record { incarnation, ..self.own.clone() });
    }

    /// Sends the changes that this host has noticed itself to all ring neighbours and partners.
    pub(super) fn flush_updates(&mut self, out: &mut Vec<Action>) {
        if self.updates.is_empty() {
            return;
        }
        let updates = std::mem::take(&mut self.updates);
        let to: IndexSet<_> = self.ring_neighbours().into_iter().chain(self.partners()).collect();
        for host in to {
            out.push(Action::Send(host, Message::News(updates.clone())));
        }
    }

    /// Records that go along with a message to a host, and the number of the last change among them.
    pub(super) fn news_for(&self, host: &str) -> (Vec<Record>, u64) {
        let (subjects, until) = self.news.unknown_to(host);
        let record = |subject: &Arc<str>| {
            if *subject == self.own.host { Some(&self.own) } else { self.record(subject) }
        };
        (subjects.into_iter().filter_map(record).cloned().collect(), until)
    }

    /// Digest of all records, including that of this host.
    pub fn digest(&self) -> u64 {
        self.digests.values().fold(0, |all, d| all ^ d)
    }

    fn compare_digest(&mut self, now: Time, host: &Arc<str>, theirs: u64, out: &mut Vec<Action>) {
        let settled = now.since(self.last_update) >= SETTLE_TIME;
        let recent =
            self.last_compared.get(host).is_some_and(|at| now.since(*at) < COMPARE_INTERVAL);
        if theirs == self.digest() || !settled || recent {
            return;
        }
        self.last_compared.insert(host.clone(), now);
        let digests = self.digests.iter().map(|(zone, d)| (zone.clone(), *d)).collect();
        out.push(Action::Send(host.clone(), Message::Compare(digests)));
    }

    /// Sends the records of all zones whose digest differs at the other host.
    fn handle_compare(&self, host: &Arc<str>, theirs: &[(Arc<str>, u64)], out: &mut Vec<Action>) {
        let theirs: IndexMap<_, _> = theirs.iter().map(|(zone, d)| (zone, *d)).collect();
        let own = &self.digests;
        let all: IndexSet<_> = own.keys().chain(theirs.keys().copied()).collect();
        let differs = |zone: &&&Arc<str>| own.get(**zone) != theirs.get(**zone);
        let zones: Vec<Arc<str>> = all.iter().filter(differs).map(|z| Arc::clone(z)).collect();
        if zones.is_empty() {
            return;
        }
        let records = self.all_records().filter(|r| zones.contains(&r.zone)).cloned().collect();
        out.push(Action::Send(host.clone(), Message::Sync { records, zones, reply: true }));
    }

    /// Sends the records that supersede the given ones or that the given ones lack.
    fn send_newer(
        &self,
        host: &Arc<str>,
        theirs: &[Record],
        zones: &[Arc<str>],
        out: &mut Vec<Action>,
    ) {
        let theirs: IndexMap<_, _> = theirs.iter().map(|r| (&r.host, r)).collect();
        let newer = |r: &&Record| match theirs.get(&r.host) {
            Some(known) => r.supersedes(known),
            None => zones.is_empty() || zones.contains(&r.zone),
        };
        let records: Vec<_> = self.all_records().filter(newer).cloned().collect();
        if !records.is_empty() {
            let zones = zones.to_vec();
            out.push(Action::Send(host.clone(), Message::Sync { records, zones, reply: false }));
        }
    }

    /// Sends all records to a newly discovered host and asks for its newer ones.
    pub(super) fn send_full_sync(&self, host: &Arc<str>, out: &mut Vec<Action>) {
        let records = self.all_records().cloned().collect();
        let zones = Vec::new();
        out.push(Action::Send(host.clone(), Message::Sync { records, zones, reply: true }));
    }

    fn all_records(&self) -> impl Iterator<Item = &Record> {
        self.table.values().map(|e| &e.record).chain([&self.own])
    }
}
