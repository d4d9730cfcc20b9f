//! Failure detection: selects the hosts to probe and acts on missing answers.

use super::{
    Action, DIRECT_PROBE_TIMEOUT, Entry, Health, Membership, Message, PROBE_INTERVAL,
    PROBE_TIMEOUT, Probe, Record, SELF_CHECK_TIMEOUT, SUSPICION_TIMEOUT, ZoneContact,
};
use crate::core::digest;
use crate::core::time::{Span, Time};
use std::sync::Arc;

/// Number of hosts asked to probe a host that did not answer.
const RELAY_COUNT: usize = 3;
/// Interval between probes of a partner in another zone, in rounds.
const PARTNER_PROBE_ROUNDS: u64 = 2;
/// Silence of a zone after which a partner is probed in every round.
const PARTNER_LATE_AFTER: Span =
    Span(PROBE_INTERVAL.0 * PARTNER_PROBE_ROUNDS + PROBE_INTERVAL.0 / 2);
/// Interval between probes of lost hosts, in rounds.
const LOST_PROBE_ROUNDS: u64 = 2;

impl Membership {
    /// Hosts that are probed in each round and sent changes: those at the distances 1, 2, 4 and
    /// so on along the ring of this zone.
    pub(super) fn ring_neighbours(&self) -> Vec<Arc<str>> {
        let own = (digest::hash(&[&self.own.host]), &self.own.host);
        let mut ring: Vec<_> = self
            .table
            .values()
            .filter(|e| e.record.zone == self.own.zone && e.record.health <= Health::Suspect)
            .map(|e| (e.ring_position, &e.record.host))
            .collect();
        ring.sort_unstable();
        let start = ring.partition_point(|at| *at < own);
        let distances = (0..).map(|i| 1usize << i).take_while(|d| *d <= ring.len());
        distances.map(|d| Arc::clone(ring[(start + d - 1) % ring.len()].1)).collect()
    }

    /// One host of each other zone; each missed answer moves on to the next in rank.
    pub(super) fn partners(&self) -> Vec<Arc<str>> {
        self.zone_contacts.iter().filter_map(|(zone, r)| self.partner(zone, r.misses)).collect()
    }

    fn partner(&self, zone: &str, misses: usize) -> Option<Arc<str>> {
        let of_health = |least: Health, most: Health| {
            let fits = move |e: &&Entry| {
                *e.record.zone == *zone && (least..=most).contains(&e.record.health)
            };
            let names = self.table.values().filter(fits).map(|e| &*e.record.host);
            digest::rank(&self.own.host, names)
        };
        let mut ranked = of_health(Health::Alive, Health::Suspect);
        if ranked.is_empty() {
            ranked = of_health(Health::Lost, Health::Lost);
        }
        let name = ranked.get(misses % ranked.len().max(1))?;
        self.table.get_key_value(*name).map(|(name, _)| Arc::clone(name))
    }

    pub(super) fn probe_all(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut targets = self.ring_neighbours();
        let regular = self.round.is_multiple_of(PARTNER_PROBE_ROUNDS);
        let due = self
            .zone_contacts
            .iter()
            .filter(|(_, r)| regular || now.since(r.heard) > PARTNER_LATE_AFTER);
        targets.extend(due.filter_map(|(zone, r)| self.partner(zone, r.misses)));
        if self.round.is_multiple_of(LOST_PROBE_ROUNDS) {
            targets.extend(self.next_lost());
        }
        for target in targets {
            self.probe(now, target, None, out);
        }
    }

    fn next_lost(&self) -> Option<Arc<str>> {
        let mut lost =
            self.table.values().filter(|e| e.record.health == Health::Lost).map(|e| &e.record.host);
        let n = lost.clone().count();
        let turn = usize::try_from(self.round / LOST_PROBE_ROUNDS).unwrap_or_default();
        lost.nth(turn % n.max(1)).cloned()
    }

    pub(super) fn probe(
        &mut self,
        now: Time,
        target: Arc<str>,
        origin: Option<(Arc<str>, u64)>,
        out: &mut Vec<Action>,
    ) {
        self.seq += 1;
        let (news, news_until) = self.news_for(&target);
        let ping = Message::Ping {
            seq: self.seq,
            digest: self.digest(),
            own: self.own.clone(),
            yours: self.record(&target).cloned(),
            news,
        };
        out.push(Action::Send(Arc::clone(&target), ping));
        let probe = Probe { target, sent: now, relayed: false, origin, news_until };
        self.probes.insert(self.seq, probe);
    }

    /// Acts on probes that have not been answered in time.
    pub(super) fn check_timeouts(&mut self, now: Time, out: &mut Vec<Action>) {
        let late: Vec<u64> = self
            .probes
            .iter()
            .filter(|(_, p)| now.since(p.sent) >= DIRECT_PROBE_TIMEOUT)
            .map(|(seq, _)| *seq)
            .collect();
        for seq in late {
            self.check_timeout(now, seq, out);
        }
    }

    fn check_timeout(&mut self, now: Time, seq: u64, out: &mut Vec<Action>) {
        let Some(probe) = self.probes.get_mut(&seq) else { return };
        let target = Arc::clone(&probe.target);
        let (age, own, sent) = (now.since(probe.sent), probe.origin.is_none(), probe.sent);
        if age >= PROBE_TIMEOUT {
            if !own || age >= SELF_CHECK_TIMEOUT || self.handle_timeout(now, &target, sent) {
                self.probes.swap_remove(&seq);
            }
        } else if !probe.relayed && probe.origin.is_none() {
            probe.relayed = true;
            for host in self.pick_relays(seq, &target) {
                let relay = Message::Relay { seq, target: Arc::clone(&target) };
                out.push(Action::Send(host, relay));
            }
        }
    }

    /// Hosts that can probe the target on behalf of this host, those of the target's zone first.
    fn pick_relays(&self, seq: u64, target: &str) -> Vec<Arc<str>> {
        let Some(zone) = self.record(target).map(|r| &r.zone) else { return Vec::new() };
        if *zone != self.own.zone {
            return Vec::new();
        }
        let mut able: Vec<_> = self
            .table
            .values()
            .map(|e| &e.record)
            .filter(|r| r.health < Health::Suspect && *r.host != *target)
            .collect();
        let salt = seq.to_string();
        able.sort_by_cached_key(|r| (r.zone != *zone, digest::hash(&[&salt, &r.host])));
        able.into_iter().take(RELAY_COUNT).map(|r| Arc::clone(&r.host)).collect()
    }

    /// Handles a probe that timed out, and returns whether it is finished. A host of this zone is
    /// suspected only once the answer to a newer probe shows that this host is not cut off itself.
    fn handle_timeout(&mut self, now: Time, target: &str, sent: Time) -> bool {
        let Some(e) = self.table.get(target) else { return true };
        let record = e.record.clone();
        if record.zone != self.own.zone {
            if let Some(contact) = self.zone_contacts.get_mut(&record.zone) {
                contact.misses += 1;
            }
        } else if self.newest_acked <= sent {
            return false;
        } else if record.health < Health::Suspect {
            self.merge_own(now, Record { health: Health::Suspect, ..record });
        }
        true
    }

    /// Declares the hosts lost that did not refute a suspicion in time.
    pub(super) fn expire_suspicions(&mut self, now: Time) {
        if self.is_isolated(now) {
            return;
        }
        let over = |e: &&Entry| {
            e.record.health == Health::Suspect
                && e.record.zone == self.own.zone
                && now.since(e.since) >= SUSPICION_TIMEOUT
        };
        let lost: Vec<Record> = self
            .table
            .values()
            .filter(over)
            .map(|e| Record { health: Health::Lost, ..e.record.clone() })
            .collect();
        for record in lost {
            self.merge_own(now, record);
        }
    }

    /// Handles the answer to a probe, and forwards it if another host asked for the probe.
    pub(super) fn handle_ack(&mut self, now: Time, seq: u64, from: Record, out: &mut Vec<Action>) {
        let Some(probe) = self.probes.get(&seq) else { return };
        if probe.target != from.host {
            return;
        }
        if let Some((origin, theirs)) = probe.origin.clone() {
            let (seq, own, news) = (theirs, from.clone(), Vec::new());
            out.push(Action::Send(origin, Message::Ack { seq, own, news, digest: None }));
        }
        self.news.record_told(&probe.target, probe.news_until);
        self.newest_acked = self.newest_acked.max(probe.sent);
        self.probes.swap_remove(&seq);
        if self.is_isolated(now) {
            // The other probes may have gone unanswered because this host was cut off.
            self.probes.clear();
        }
        self.last_ack = now;
        if from.zone != self.own.zone {
            let misses = self.zone_contacts.get(&from.zone).map_or(0, |r| r.misses);
            self.zone_contacts.insert(from.zone.clone(), ZoneContact { heard: now, misses });
        }
    }
}
