//! Plans the replacement of lost voters and the growth of the voter set, one change at a time.

use super::{Change, Config, Replica};

/// Maximum number of voters; more voters make each commit wait for more disks.
const VOTERS_MAX: usize = 7;

/// Whether learners of hosts that have no voter to replace are promoted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Spares {
    /// Each as soon as it has caught up.
    Promoted,
    /// Only where that makes the number of voters odd.
    Kept,
}

/// Next change to replace voters whose host now has another disk. `ready` are the learners that
/// have caught up, `seen` the replicas by the disks that hosts were last seen with.
///
/// The new replica becomes a learner first, so that the tier is one voter short only for the time
/// that one change takes.
pub fn replace_disks(config: &Config, ready: &[Replica], seen: &[Replica]) -> Option<Change> {
    replace_disks_and(Spares::Promoted, config, ready, seen)
}

fn replace_disks_and(
    spares: Spares,
    config: &Config,
    ready: &[Replica],
    seen: &[Replica],
) -> Option<Change> {
    let has_new_disk = |r: &&Replica| seen.iter().any(|s| s.host == r.host && s.disk != r.disk);
    if let Some(lost) = config.learners.iter().find(has_new_disk) {
        return Some(Change::Remove(lost.clone()));
    }
    let is_even = config.voters.len().is_multiple_of(2);
    let learners = || config.learners.iter().filter(|l| ready.contains(l));
    let old = |learner: &Replica| config.voters.iter().find(|v| v.host == learner.host);
    if let Some(old) = learners().find_map(old) {
        return Some(Change::Remove(old.clone()));
    }
    let spare = learners().next();
    if let Some(spare) = spare.filter(|_| is_even || spares == Spares::Promoted) {
        return Some(Change::Promote(spare.clone()));
    }
    let lost = config.voters.iter().find(has_new_disk)?;
    if spare.is_some() {
        return Some(Change::Remove(lost.clone()));
    }
    let new = seen.iter().find(|s| s.host == lost.host)?;
    config.all().all(|r| r != new).then(|| Change::AddLearner(new.clone()))
}

/// Next change as in [`replace_disks`], or to replace a replica in `gone`, which has been silent for
/// so long that it counts as permanently lost. A learner is removed, since no other can be added
/// before. A host that has a disk but is no replica takes the place of a voter: it becomes a learner,
/// the lost voter is removed, and the learner is promoted.
pub fn replace_voters(
    config: &Config,
    ready: &[Replica],
    seen: &[Replica],
    gone: &[Replica],
) -> Option<Change> {
    replace_voters_and(Spares::Promoted, config, ready, seen, gone)
}

fn replace_voters_and(
    spares: Spares,
    config: &Config,
    ready: &[Replica],
    seen: &[Replica],
    gone: &[Replica],
) -> Option<Change> {
    if let Some(lost) = config.learners.iter().find(|l| gone.contains(l)) {
        return Some(Change::Remove(lost.clone()));
    }
    let Some(lost) = config.voters.iter().find(|v| gone.contains(v)) else {
        return replace_disks_and(spares, config, ready, seen);
    };
    // An even number of voters tolerates no more failures than one voter fewer.
    if config.voters.len().is_multiple_of(2) || config.learners.iter().any(|l| ready.contains(l)) {
        return Some(Change::Remove(lost.clone()));
    }
    replace_disks_and(spares, config, ready, seen).or_else(|| {
        let is_first = config.learners.is_empty();
        is_first.then(|| add_spare(config, seen, Some(lost))).flatten()
    })
}

/// Next change as in [`replace_voters`], or to bring the number of voters closer to `wanted`.
///
/// Two voters are added together, so that their number is even only from one change to the next.
/// Where they are enough, a learner that replaced none stays one until a voter is lost.
pub fn keep_voters(
    config: &Config,
    ready: &[Replica],
    seen: &[Replica],
    gone: &[Replica],
    wanted: usize,
) -> Option<Change> {
    let both_ready = config.learners.iter().filter(|l| ready.contains(l)).count() >= 2;
    let grows = config.voters.len() < wanted && both_ready;
    let spares = if grows { Spares::Promoted } else { Spares::Kept };
    replace_voters_and(spares, config, ready, seen, gone)
        .or_else(|| add_voters(config, seen, wanted))
}

/// Number of voters of which `failures` may fail at once while the rest keeps a quorum, at most
/// `VOTERS_MAX`.
pub fn voters_tolerating(failures: usize) -> usize {
    (2 * failures + 1).min(VOTERS_MAX)
}

/// Next change to bring the number of voters closer to `wanted`, if no voter needs replacement.
pub fn add_voters(config: &Config, seen: &[Replica], wanted: usize) -> Option<Change> {
    // An even number of voters tolerates no more failures than one voter fewer.
    let needed = if config.voters.len().is_multiple_of(2) { 1 } else { 2 };
    let (learners, spares) = (config.learners.len(), spares(config, seen).count());
    if config.voters.len() >= wanted || learners >= needed || learners + spares < needed {
        return None;
    }
    add_spare(config, seen, None)
}

/// Replicas of hosts that have a disk but are neither voter nor learner.
fn spares<'a>(config: &'a Config, seen: &'a [Replica]) -> impl Iterator<Item = &'a Replica> {
    seen.iter().filter(|s| config.all().all(|r| r.host != s.host))
}

/// Adds a spare host as a learner, from the zone with the fewest voters apart from the lost one,
/// because the voters of a zone may fail together.
fn add_spare(config: &Config, seen: &[Replica], lost: Option<&Replica>) -> Option<Change> {
    let others = || config.voters.iter().filter(|v| Some(*v) != lost);
    let in_zone = |s: &&Replica| others().filter(|v| v.zone == s.zone).count();
    let best = spares(config, seen).min_by_key(in_zone);
    best.map(|s| Change::AddLearner(s.clone()))
}
