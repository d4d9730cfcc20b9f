//! Failure detection: whom to probe, and what silence means.

use super::{
    Action, DIRECT_WAIT, Entry, Health, Membership, Message, PERIOD, PROBE_WAIT, PROOF_WAIT, Probe,
    Reach, Record, SUSPECT_TIME,
};
use crate::core::digest;
use crate::core::time::{Span, Time};
use std::sync::Arc;

/// Hosts asked to probe one that did not answer.
const RELAYS: usize = 3;
/// Rounds between two probes of a partner in another zone.
const PARTNER_ROUNDS: u64 = 2;
/// Silence of a zone after which a partner is probed in every round.
const PARTNER_LATE: Span = Span(PERIOD.0 * PARTNER_ROUNDS + PERIOD.0 / 2);
/// Rounds between two probes of a lost host.
const LOST_ROUNDS: u64 = 2;

impl Membership {
    /// Hosts probed in each round, and told of changes: chords of the own zone's ring.
    pub(super) fn chords(&self) -> Vec<Arc<str>> {
        let own = (digest::hash(&[&self.own.host]), &self.own.host);
        let mut ring: Vec<_> = self
            .table
            .values()
            .filter(|e| e.record.zone == self.own.zone && e.record.health <= Health::Suspect)
            .map(|e| (e.place, &e.record.host))
            .collect();
        ring.sort_unstable();
        let start = ring.partition_point(|at| *at < own);
        let distances = (0..).map(|i| 1usize << i).take_while(|d| *d <= ring.len());
        distances.map(|d| Arc::clone(ring[(start + d - 1) % ring.len()].1)).collect()
    }

    /// One host of each other zone; the next in rank after each miss.
    pub(super) fn partners(&self) -> Vec<Arc<str>> {
        self.reach.iter().filter_map(|(zone, r)| self.partner(zone, r.misses)).collect()
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
        let mut targets = self.chords();
        let regular = self.round.is_multiple_of(PARTNER_ROUNDS);
        let due = self.reach.iter().filter(|(_, r)| regular || now.since(r.heard) > PARTNER_LATE);
        targets.extend(due.filter_map(|(zone, r)| self.partner(zone, r.misses)));
        if self.round.is_multiple_of(LOST_ROUNDS) {
            targets.extend(self.lost_one());
        }
        for target in targets {
            self.probe(now, target, None, out);
        }
    }

    fn lost_one(&self) -> Option<Arc<str>> {
        let mut lost =
            self.table.values().filter(|e| e.record.health == Health::Lost).map(|e| &e.record.host);
        let n = lost.clone().count();
        let turn = usize::try_from(self.round / LOST_ROUNDS).unwrap_or_default();
        lost.nth(turn % n.max(1)).cloned()
    }

    pub(super) fn probe(
        &mut self,
        now: Time,
        target: Arc<str>,
        asker: Option<(Arc<str>, u64)>,
        out: &mut Vec<Action>,
    ) {
        self.seq += 1;
        let ping = Message::Ping {
            seq: self.seq,
            digest: self.digest(),
            own: self.own.clone(),
            yours: self.record(&target).cloned(),
        };
        out.push(Action::Send(Arc::clone(&target), ping));
        self.probes.insert(self.seq, Probe { target, sent: now, relayed: false, asker });
    }

    /// Follows up probes without an answer.
    pub(super) fn chase(&mut self, now: Time, out: &mut Vec<Action>) {
        let late: Vec<u64> = self
            .probes
            .iter()
            .filter(|(_, p)| now.since(p.sent) >= DIRECT_WAIT)
            .map(|(seq, _)| *seq)
            .collect();
        for seq in late {
            self.chase_one(now, seq, out);
        }
    }

    fn chase_one(&mut self, now: Time, seq: u64, out: &mut Vec<Action>) {
        let Some(probe) = self.probes.get_mut(&seq) else { return };
        let target = Arc::clone(&probe.target);
        let (age, own, sent) = (now.since(probe.sent), probe.asker.is_none(), probe.sent);
        if age >= PROBE_WAIT {
            if !own || age >= PROOF_WAIT || self.missed(now, &target, sent) {
                self.probes.swap_remove(&seq);
            }
        } else if !probe.relayed && probe.asker.is_none() {
            probe.relayed = true;
            for host in self.relays(seq, &target) {
                let relay = Message::Relay { seq, target: Arc::clone(&target) };
                out.push(Action::Send(host, relay));
            }
        }
    }

    /// Hosts that can probe the target in this host's place, those of its zone first.
    fn relays(&self, seq: u64, target: &str) -> Vec<Arc<str>> {
        let Some(zone) = self.record(target).map(|r| &r.zone) else { return Vec::new() };
        if *zone != self.own.zone {
            return Vec::new();
        }
        let mut able: Vec<_> = self
            .table
            .values()
            .map(|e| &e.record)
            .filter(|r| r.health == Health::Alive && *r.host != *target)
            .collect();
        let salt = seq.to_string();
        able.sort_by_cached_key(|r| (r.zone != *zone, digest::hash(&[&salt, &r.host])));
        able.into_iter().take(RELAYS).map(|r| Arc::clone(&r.host)).collect()
    }

    /// Draws the conclusion from a probe without an answer; not before an answer to a younger
    /// probe shows that this host itself is not cut off.
    fn missed(&mut self, now: Time, target: &str, sent: Time) -> bool {
        let Some(e) = self.table.get(target) else { return true };
        let record = e.record.clone();
        if record.zone != self.own.zone {
            if let Some(reach) = self.reach.get_mut(&record.zone) {
                reach.misses += 1;
            }
        } else if self.answered <= sent {
            return false;
        } else if record.health == Health::Alive {
            self.learn(now, Record { health: Health::Suspect, ..record });
        }
        true
    }

    /// Takes hosts for lost that did not refute their suspicion.
    pub(super) fn condemn(&mut self, now: Time) {
        if self.is_isolated(now) {
            return;
        }
        let over = |e: &&Entry| {
            e.record.health == Health::Suspect
                && e.record.zone == self.own.zone
                && now.since(e.since) >= SUSPECT_TIME
        };
        let lost: Vec<Record> = self
            .table
            .values()
            .filter(over)
            .map(|e| Record { health: Health::Lost, ..e.record.clone() })
            .collect();
        for record in lost {
            self.learn(now, record);
        }
    }

    /// Takes an answer to a probe.
    pub(super) fn acked(&mut self, now: Time, seq: u64, from: Record, out: &mut Vec<Action>) {
        let Some(probe) = self.probes.get(&seq) else { return };
        if probe.target != from.host {
            return;
        }
        if let Some((asker, theirs)) = probe.asker.clone() {
            out.push(Action::Send(asker, Message::Ack { seq: theirs, own: from.clone() }));
        }
        self.answered = self.answered.max(probe.sent);
        self.probes.swap_remove(&seq);
        if self.is_isolated(now) {
            // The older probes may have gone unanswered because this host was cut off.
            self.probes.clear();
        }
        self.last_ack = now;
        if from.zone != self.own.zone {
            let misses = self.reach.get(&from.zone).map_or(0, |r| r.misses);
            self.reach.insert(from.zone.clone(), Reach { heard: now, misses });
        }
    }
}
