//! Homes: replication groups in one availability zone that keep the claims on its tickets.
//!
//! The replicated log of the tier creates an epoch of a zone's home with its voters, which never
//! change within the epoch. Other voters need a new epoch, which starts without the claims of the
//! earlier ones. A ticket names its epoch and can be claimed only there, so groups of several
//! epochs may run at the same time, even on both sides of a network partition.

use super::claims::{Claim, Ledger, OUTCOME_TTL_MILLIS, Ticket, expired_key};
use super::{Command, Reply, StampedCommand};
use crate::core::log::{Checkpoint, Replica};
use crate::core::message::{DecodeError, decode, encode};
use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// Maximum number of epochs kept for a zone; further ones are refused until one has ended.
pub const EPOCHS_MAX: usize = 8;
/// Maximum number of zones with a home.
pub const ZONES_MAX: usize = 64;
/// Maximum number of voters of an epoch.
pub const VOTERS_MAX: usize = 5;
/// Maximum length of the name of a zone with a home, in bytes.
pub const ZONE_MAX_BYTES: usize = 64;
/// Time for which an epoch is kept after its successor was created, in milliseconds; longer than
/// the validity of any ticket issued before that.
pub const EPOCH_RETENTION_MILLIS: u64 = OUTCOME_TTL_MILLIS + 10 * 60 * 1_000;

/// One epoch of a zone's home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeEpoch {
    /// Name of the zone.
    pub zone: String,
    /// Random identifier of the epoch.
    pub epoch: u64,
    /// Time of creation by the tier's clock, in milliseconds since 1970.
    pub since_ms: u64,
    /// Voters of the epoch.
    pub voters: Vec<Replica>,
}

/// A request to create an epoch, conditional on the current one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochProposal {
    /// Name of the zone.
    pub zone: String,
    /// Current epoch as known to the requesting host, or 0 if there is none.
    pub base: u64,
    /// Random identifier of the new epoch; not 0.
    pub epoch: u64,
    /// Voters of the new epoch.
    pub voters: Vec<Replica>,
}

/// The known epochs of one zone, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Epochs {
    list: Vec<HomeEpoch>,
}

impl Epochs {
    /// The epochs, oldest first.
    pub fn list(&self) -> &[HomeEpoch] {
        &self.list
    }

    /// The epoch that new tickets name.
    pub fn current(&self) -> Option<&HomeEpoch> {
        self.list.last()
    }

    /// The epoch with the given identifier.
    pub fn get(&self, epoch: u64) -> Option<&HomeEpoch> {
        self.list.iter().find(|h| h.epoch == epoch)
    }

    /// Adds epochs known to another host unless they have ended; returns whether any was added.
    pub fn merge(&mut self, now_ms: u64, others: &[HomeEpoch]) -> bool {
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

    /// Epochs whose successor is older than [`EPOCH_RETENTION_MILLIS`], and the oldest ones beyond
    /// [`EPOCHS_MAX`].
    pub fn ended(&self, now_ms: u64) -> Vec<HomeEpoch> {
        let successors = self.list.iter().skip(1);
        let excess = self.list.len().saturating_sub(EPOCHS_MAX);
        let pairs = self.list.iter().zip(successors).enumerate();
        let expired =
            |next: &HomeEpoch| now_ms.saturating_sub(next.since_ms) > EPOCH_RETENTION_MILLIS;
        let ended = pairs.filter(|(i, (_, next))| *i < excess || expired(next));
        ended.map(|(_, (home, _))| home.clone()).collect()
    }

    /// Removes an epoch.
    pub fn forget(&mut self, epoch: u64) {
        self.list.retain(|h| h.epoch != epoch);
    }

    fn create(&mut self, now_ms: u64, proposal: EpochProposal) -> Result<(), Refusal> {
        for home in self.ended(now_ms) {
            self.forget(home.epoch);
        }
        // The proposal is ignored, and the caller returns the existing epochs, if another host was
        // first or this is a resend. A log that was set up anew has no epochs and accepts any base.
        if self.current().is_some_and(|h| h.epoch != proposal.base) {
            return Ok(());
        }
        if self.list.len() >= EPOCHS_MAX {
            let detail = "the zone's home was founded too often within the kept time; wait";
            return Err(Refusal::not_run(Reason::Busy, detail));
        }
        if proposal.epoch == 0 || self.get(proposal.epoch).is_some() {
            return Err(Refusal::not_run(Reason::BadRequest, "the epoch was used before"));
        }
        let last = self.current().map_or(0, |h| h.since_ms);
        let since_ms = now_ms.max(last + 1);
        let EpochProposal { zone, epoch, voters, .. } = proposal;
        self.list.push(HomeEpoch { zone, epoch, since_ms, voters });
        Ok(())
    }
}

/// The homes of all zones, as created through the replicated log of the tier.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Homes {
    zones: IndexMap<String, Epochs>,
}

impl Homes {
    /// Creates an epoch if `base` is the current one, and returns the zone's epochs.
    ///
    /// # Errors
    ///
    /// Refuses invalid proposals, and zones or epochs beyond the maximum numbers.
    pub fn create_epoch(
        &mut self,
        now_ms: u64,
        proposal: EpochProposal,
    ) -> Result<Vec<HomeEpoch>, Refusal> {
        check(&proposal)?;
        if self.zones.len() >= ZONES_MAX && !self.zones.contains_key(&proposal.zone) {
            return Err(Refusal::not_run(Reason::Busy, "as many zones as can be have a home"));
        }
        let epochs = self.zones.entry(proposal.zone.clone()).or_default();
        epochs.create(now_ms, proposal)?;
        Ok(epochs.list.clone())
    }
}

/// Whether a zone of this name can have a home; tickets contain the name, so its characters and
/// length are limited.
pub fn is_valid_zone(zone: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_".contains(c);
    !zone.is_empty()
        && zone != Ticket::TIER
        && zone.len() <= ZONE_MAX_BYTES
        && zone.chars().all(plain)
}

fn check(proposal: &EpochProposal) -> Result<(), Refusal> {
    let disks: IndexSet<u64> = proposal.voters.iter().map(|v| v.disk).collect();
    let valid =
        (1..=VOTERS_MAX).contains(&proposal.voters.len()) && disks.len() == proposal.voters.len();
    if !valid
        || !is_valid_zone(&proposal.zone)
        || proposal.voters.iter().any(|v| v.zone != proposal.zone)
    {
        let detail = format!("zone `{}` cannot have such a home", proposal.zone);
        return Err(Refusal::not_run(Reason::BadRequest, detail));
    }
    Ok(())
}

/// The voters of a new epoch, if one is needed.
///
/// `present` are the disks of the zone that respond now; `lost` is set if the current epoch has
/// been without a leader for long. The number of voters is odd: one more would have to be waited
/// for without tolerating one more failure.
pub fn plan_voters(
    current: Option<&HomeEpoch>,
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
    // Prefers current voters, so that few change.
    sorted.sort_by_key(|p| (!old.contains(p), p.clone()));
    sorted.truncate(size);
    sorted.sort();
    (sorted != old).then_some(sorted)
}

/// Whether and how a disk votes in an epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoterStatus {
    /// It has no vote, or no longer has one.
    NonVoter,
    /// It votes for the first time and starts from this base.
    New(Checkpoint),
    /// It votes and continues from its journal.
    Existing,
}

/// Whether and how a disk votes in an epoch, given the base in its journal of the epoch.
pub fn voter_status(home: &HomeEpoch, me: &Replica, stored: Option<&Checkpoint>) -> VoterStatus {
    if !home.voters.contains(me) {
        return VoterStatus::NonVoter;
    }
    match stored {
        // The tier's log has fixed the voters, so all of them start from the same base.
        None => VoterStatus::New(Checkpoint::empty(home.voters.clone())),
        Some(base) if base.snapshot.config.voters.is_empty() => VoterStatus::NonVoter,
        Some(_) => VoterStatus::Existing,
    }
}

/// The base that replaces the journal of an ended epoch. Without it, the disk would look like a
/// new voter and could vote again after losing its claims.
pub fn epoch_tombstone() -> Checkpoint {
    Checkpoint::empty(Vec::new())
}

/// The replicated state of one epoch: the claims on its tickets.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EpochState {
    zone: String,
    epoch: u64,
    time_ms: u64,
    ledger: Ledger,
}

impl EpochState {
    /// The initial state of an epoch.
    pub fn new(zone: &str, epoch: u64) -> Self {
        Self { zone: zone.to_owned(), epoch, time_ms: 0, ledger: Ledger::default() }
    }

    /// Applies one command.
    ///
    /// # Errors
    ///
    /// Fails if the bytes do not decode as a command; the state is then unchanged.
    pub fn apply(&mut self, bytes: &[u8]) -> Result<Reply, DecodeError> {
        let StampedCommand { time_ms, command } = decode(bytes)?;
        // Time never runs backwards, whichever host's clock stamped the command.
        self.time_ms = self.time_ms.max(time_ms);
        Ok(match command {
            Command::Claim { key, digest, nonce } => Reply::Claim(self.claim(&key, digest, nonce)),
            Command::Record { key, nonce, outcome } => {
                self.ledger.record(&key, nonce, outcome);
                Reply::Noted
            }
            // Commands for the log of the tier only.
            Command::Edit { .. }
            | Command::Zone { .. }
            | Command::Voters { .. }
            | Command::Publish(_)
            | Command::Plan
            | Command::Found(_) => Reply::Noted,
        })
    }

    /// Encodes the state.
    pub fn write(&self) -> Vec<u8> {
        encode(self)
    }

    /// Replaces this state by an encoded one; empty input stands for the initial state.
    ///
    /// # Errors
    ///
    /// Fails if the bytes do not decode or are the state of another epoch.
    pub fn read(&mut self, bytes: &[u8]) -> Result<()> {
        let initial = Self::new(&self.zone, self.epoch);
        let read = if bytes.is_empty() { initial } else { decode(bytes)? };
        let same = (&read.zone, read.epoch) == (&self.zone, self.epoch);
        anyhow::ensure!(same, "the state is of epoch {} of home `{}`", read.epoch, read.zone);
        *self = read;
        Ok(())
    }

    fn claim(&mut self, key: &str, digest: [u8; 32], nonce: u64) -> Result<Claim, Refusal> {
        let ticket = Ticket::parse(key);
        // Claims on tickets of other epochs are not known here.
        if !ticket.is_some_and(|t| t.home == self.zone && t.epoch == self.epoch) {
            return Err(expired_key());
        }
        self.ledger.claim(self.time_ms, key, digest, nonce)
    }
}
