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
            Message::Ping { seq, digest, own, yours } => {
                self.merge(now, own);
                yours.into_iter().for_each(|r| self.merge(now, r));
                out.push(Action::Send(from.clone(), Message::Ack { seq, own: self.own.clone() }));
                self.compare_digest(now, from, digest, out);
            }
            Message::Ack { seq, own } => {
                self.merge(now, own.clone());
                self.handle_ack(now, seq, own, out);
            }
            Message::Relay { seq, target } => {
                if self.table.contains_key(&target) {
                    self.probe(now, target, Some((from.clone(), seq)), out);
                }
            }
            Message::News(records) => self.merge_all(now, records),
            Message::Compare(theirs) => self.handle_compare(from, &theirs, out),
            Message::Sync { records, zones, reply } => {
                if reply {
                    self.send_newer(from, &records, &zones, out);
                }
                self.merge_all(now, records);
            }
        }
    }

    fn merge_all(&mut self, now: Time, records: Vec<Record>) {
        for record in records.into_iter().take(RECORDS_MAX) {
            self.merge(now, record);
        }
    }

    /// Stores a record if it supersedes the known one, and queues it for the other hosts.
    pub(super) fn merge(&mut self, now: Time, record: Record) {
        if record.host == self.own.host {
            return self.refute(&record);
        }
        let known = self.table.get(&record.host);
        let full = known.is_none() && self.table.len() >= MEMBERS_MAX;
        if full || known.is_some_and(|e| !record.supersedes(&e.record)) {
            return;
        }
        if record.zone != self.own.zone && !self.zone_contacts.contains_key(&record.zone) {
            self.zone_contacts.insert(record.zone.clone(), ZoneContact { heard: now, misses: 0 });
        }
        self.last_update = now;
        self.stale = true;
        self.updates.push(record.clone());
        let (ring_position, digest) = (digest::hash(&[&record.host]), record.digest());
        self.table.insert(record.host.clone(), Entry { record, since: now, ring_position, digest });
    }

    /// Refutes a record about this host that supersedes its own, by a higher incarnation.
    fn refute(&mut self, record: &Record) {
        if self.own.health == Health::Left || !record.supersedes(&self.own) {
            return;
        }
        self.stale = true;
        self.own.incarnation = record.incarnation.saturating_add(1);
        self.updates.push(self.own.clone());
    }

    /// Sends the queued changes to all ring neighbours and partners.
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

    /// Digest of all records, including that of this host.
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

    fn compare_digest(&mut self, now: Time, host: &Arc<str>, theirs: u64, out: &mut Vec<Action>) {
        let settled = now.since(self.last_update) >= SETTLE_TIME;
        let recent =
            self.last_compared.get(host).is_some_and(|at| now.since(*at) < COMPARE_INTERVAL);
        if theirs == self.digest() || !settled || recent {
            return;
        }
        self.last_compared.insert(host.clone(), now);
        let digests = self.digests().into_iter().collect();
        out.push(Action::Send(host.clone(), Message::Compare(digests)));
    }

    /// Sends the records of all zones whose digest differs at the other host.
    fn handle_compare(&self, host: &Arc<str>, theirs: &[(Arc<str>, u64)], out: &mut Vec<Action>) {
        let theirs: IndexMap<_, _> = theirs.iter().map(|(zone, d)| (zone, *d)).collect();
        let own = self.digests();
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
