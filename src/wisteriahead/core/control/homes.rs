//! Homes: the groups of replicas in one availability zone that keep the claims of its tickets.
//!
//! The log of the tier founds a home: it names an epoch and its voters, once and for good.
//! Voters never change within an epoch; other disks get another epoch, which knows nothing
//! of the earlier one. A ticket names its epoch and is claimed there and nowhere else, so
//! groups of several epochs may live side by side, also on two sides of a partition.

use super::claims::{Claim, Ledger, OUTCOME_TTL_MILLIS, Ticket, expired_key};
use super::{Command, Reply, StampedCommand};
use crate::core::log::{Base, Replica};
use crate::core::message::{DecodeError, decode, encode};
use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// Most epochs of a zone whose tickets are kept; further ones are refused until one ends.
pub const EPOCHS_MAX: usize = 8;
/// Most zones with a home.
pub const ZONES_MAX: usize = 64;
/// Most voters of a home.
pub const VOTERS_MAX: usize = 5;
/// Most bytes of the name of a zone with a home.
pub const ZONE_MAX_BYTES: usize = 64;
/// Time for which a home is kept after the next one was founded, in milliseconds: longer
/// than any ticket made until then is valid.
pub const EPOCH_RETENTION_MILLIS: u64 = OUTCOME_TTL_MILLIS + 10 * 60 * 1_000;

/// One epoch of a zone's home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Home {
    /// Name of the zone.
    pub zone: String,
    /// Random number of the epoch.
    pub epoch: u64,
    /// When it was founded, by the tier's time in milliseconds since 1970.
    pub since_ms: u64,
    /// Who holds it.
    pub voters: Vec<Replica>,
}

/// A request to found an epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochProposal {
    /// Name of the zone.
    pub zone: String,
    /// Epoch that is current as far as the asking host knows, or 0.
    pub base: u64,
    /// Random number of the new epoch.
    pub epoch: u64,
    /// Who is to hold it.
    pub voters: Vec<Replica>,
}

/// The epochs of one zone that are known, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Epochs {
    list: Vec<Home>,
}

impl Epochs {
    /// The epochs, oldest first.
    pub fn list(&self) -> &[Home] {
        &self.list
    }

    /// The epoch that new tickets name.
    pub fn current(&self) -> Option<&Home> {
        self.list.last()
    }

    /// The home of an epoch.
    pub fn get(&self, epoch: u64) -> Option<&Home> {
        self.list.iter().find(|h| h.epoch == epoch)
    }

    /// Takes epochs that another host knows and that have not ended; false if none was new.
    pub fn merge(&mut self, now_ms: u64, others: &[Home]) -> bool {
        let known: IndexSet<u64> = self.list.iter().map(|h| h.epoch).collect();
        let new = others.iter().filter(|h| !known.contains(&h.epoch));
        self.list.extend(new.cloned());
        self.list.sort_by_key(|h| (h.since_ms, h.epoch));
        for home in self.ended(now_ms) {
            if !known.contains(&home.epoch) {
                self.forget(home.epoch);
            }
        }
        self.list.len() > known.len()
    }

    /// Epochs that have ended long ago, or are too many.
    pub fn ended(&self, now_ms: u64) -> Vec<Home> {
        let nexts = self.list.iter().skip(1);
        let many = self.list.len().saturating_sub(EPOCHS_MAX);
        let pairs = self.list.iter().zip(nexts).enumerate();
        let old = |next: &Home| now_ms.saturating_sub(next.since_ms) > EPOCH_RETENTION_MILLIS;
        let ended = pairs.filter(|(i, (_, next))| *i < many || old(next));
        ended.map(|(_, (home, _))| home.clone()).collect()
    }

    /// Drops an epoch.
    pub fn forget(&mut self, epoch: u64) {
        self.list.retain(|h| h.epoch != epoch);
    }

    fn found(&mut self, now_ms: u64, ask: EpochProposal) -> Result<(), Refusal> {
        for home in self.ended(now_ms) {
            self.forget(home.epoch);
        }
        // Another host was first, or this is a resend: what stands is told. A log that was
        // founded anew knows none, and takes any base.
        if self.current().is_some_and(|h| h.epoch != ask.base) {
            return Ok(());
        }
        if self.list.len() >= EPOCHS_MAX {
            let detail = "the zone's home was founded too often within the kept time; wait";
            return Err(Refusal::not_run(Reason::Busy, detail));
        }
        if ask.epoch == 0 || self.get(ask.epoch).is_some() {
            return Err(Refusal::not_run(Reason::BadRequest, "the epoch was used before"));
        }
        let last = self.current().map_or(0, |h| h.since_ms);
        let since_ms = now_ms.max(last + 1);
        let EpochProposal { zone, epoch, voters, .. } = ask;
        self.list.push(Home { zone, epoch, since_ms, voters });
        Ok(())
    }
}

/// The homes of all zones, as the log of the tier has founded them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Homes {
    zones: IndexMap<String, Epochs>,
}

impl Homes {
    /// Founds an epoch if `base` is current, and returns the zone's epochs that then stand.
    ///
    /// # Errors
    ///
    /// Refuses what is no home, and more epochs than are kept.
    pub fn found(&mut self, now_ms: u64, ask: EpochProposal) -> Result<Vec<Home>, Refusal> {
        check(&ask)?;
        if self.zones.len() >= ZONES_MAX && !self.zones.contains_key(&ask.zone) {
            return Err(Refusal::not_run(Reason::Busy, "as many zones as can be have a home"));
        }
        let epochs = self.zones.entry(ask.zone.clone()).or_default();
        epochs.found(now_ms, ask)?;
        Ok(epochs.list.clone())
    }
}

/// Whether a zone of this name can have a home: tickets must be able to carry the name.
pub fn is_valid_zone(zone: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_".contains(c);
    !zone.is_empty()
        && zone != Ticket::TIER
        && zone.len() <= ZONE_MAX_BYTES
        && zone.chars().all(plain)
}

fn check(ask: &EpochProposal) -> Result<(), Refusal> {
    let disks: IndexSet<u64> = ask.voters.iter().map(|v| v.disk).collect();
    let some = (1..=VOTERS_MAX).contains(&ask.voters.len()) && disks.len() == ask.voters.len();
    if !some || !is_valid_zone(&ask.zone) || ask.voters.iter().any(|v| v.zone != ask.zone) {
        let detail = format!("zone `{}` cannot have such a home", ask.zone);
        return Err(Refusal::not_run(Reason::BadRequest, detail));
    }
    Ok(())
}

/// The voters of a new epoch, if one is needed.
///
/// `present` are the disks of the zone that answer now; `lost` says that the current epoch
/// has had no leader for long. The number is odd: an even voter is one more disk to wait
/// for, and no more of them may fail.
pub fn plan_voters(
    current: Option<&Home>,
    present: &[Replica],
    lost: bool,
) -> Option<Vec<Replica>> {
    let most = present.len().min(VOTERS_MAX);
    let size = most - usize::from(most > 0 && most.is_multiple_of(2));
    let old = current.map_or(&[][..], |h| &h.voters);
    let replaced = |v: &Replica| present.iter().any(|p| p.host == v.host && p.disk != v.disk);
    let needed = current.is_none() || size > old.len() || old.iter().any(replaced) || lost;
    if !needed || size == 0 {
        return None;
    }
    let mut sorted = present.to_vec();
    // Those that vote already go first, so that little changes.
    sorted.sort_by_key(|p| (!old.contains(p), p.clone()));
    sorted.truncate(size);
    sorted.sort();
    (sorted != old).then_some(sorted)
}

/// How a disk takes part in an epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoterStatus {
    /// It has no vote, or none any more.
    NonVoter,
    /// It votes and begins with this base.
    New(Base),
    /// It votes and goes on with what it holds.
    Existing,
}

/// How a disk takes part in an epoch, given what its journal of the epoch holds.
pub fn voter_status(home: &Home, me: &Replica, kept: Option<&Base>) -> VoterStatus {
    if !home.voters.contains(me) {
        return VoterStatus::NonVoter;
    }
    match kept {
        // The voters that the tier's log has named, the same at each of them.
        None => VoterStatus::New(Base::empty(home.voters.clone())),
        Some(base) if base.snapshot.config.voters.is_empty() => VoterStatus::NonVoter,
        Some(_) => VoterStatus::Existing,
    }
}

/// What a disk holds of an epoch that has ended: it never votes there again as if it had
/// never held anything.
pub fn epoch_tombstone() -> Base {
    Base::empty(Vec::new())
}

/// The state of one epoch's group: the claims on its tickets.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EpochState {
    zone: String,
    epoch: u64,
    time_ms: u64,
    ledger: Ledger,
}

impl EpochState {
    /// The first state of an epoch.
    pub fn new(zone: &str, epoch: u64) -> Self {
        Self { zone: zone.to_owned(), epoch, time_ms: 0, ledger: Ledger::default() }
    }

    /// Applies one command.
    ///
    /// # Errors
    ///
    /// Fails for bytes that are no command; the state is unchanged then.
    pub fn apply(&mut self, bytes: &[u8]) -> Result<Reply, DecodeError> {
        let StampedCommand { time_ms, command } = decode(bytes)?;
        // Kept times never run backwards, whichever host's clock stamped the command.
        self.time_ms = self.time_ms.max(time_ms);
        Ok(match command {
            Command::Claim { key, digest, nonce } => Reply::Claim(self.claim(&key, digest, nonce)),
            Command::Record { key, nonce, outcome } => {
                self.ledger.record(&key, nonce, outcome);
                Reply::Noted
            }
            // The log of the tier alone takes these.
            Command::Edit { .. }
            | Command::Zone { .. }
            | Command::Voters { .. }
            | Command::Publish(_)
            | Command::Plan
            | Command::Found(_) => Reply::Noted,
        })
    }

    /// The state as bytes.
    pub fn write(&self) -> Vec<u8> {
        encode(self)
    }

    /// Takes a state in place of this one; no bytes are the first state.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are no state of this epoch.
    pub fn read(&mut self, bytes: &[u8]) -> Result<()> {
        let first = Self::new(&self.zone, self.epoch);
        let read = if bytes.is_empty() { first } else { decode(bytes)? };
        let mine = (&read.zone, read.epoch) == (&self.zone, self.epoch);
        anyhow::ensure!(mine, "the state is of epoch {} of home `{}`", read.epoch, read.zone);
        *self = read;
        Ok(())
    }

    fn claim(&mut self, key: &str, digest: [u8; 32], nonce: u64) -> Result<Claim, Refusal> {
        let ticket = Ticket::parse(key);
        // What another epoch knows of its tickets is not known here.
        if !ticket.is_some_and(|t| t.home == self.zone && t.epoch == self.epoch) {
            return Err(expired_key());
        }
        self.ledger.claim(self.time_ms, key, digest, nonce)
    }
}
