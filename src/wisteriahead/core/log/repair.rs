//! How voters that lost their disks are replaced, one change at a time.

use super::{Change, Config, Replica};

/// Most voters: each more makes a commit wait for one more disk.
const VOTERS_MAX: usize = 7;

/// The next change, given the learners that have caught up and the disks that hosts were
/// last seen with.
///
/// The successor of a lost voter learns first, so that the tier counts one voter less for
/// no longer than one change takes.
pub fn replace_disks(config: &Config, ready: &[Replica], seen: &[Replica]) -> Option<Change> {
    let replaced = |r: &&Replica| seen.iter().any(|s| s.host == r.host && s.disk != r.disk);
    if let Some(lost) = config.learners.iter().find(replaced) {
        return Some(Change::Remove(lost.clone()));
    }
    if let Some(learner) = config.learners.iter().find(|l| ready.contains(l)) {
        let old = config.voters.iter().find(|v| v.host == learner.host);
        return Some(match old {
            Some(old) => Change::Remove(old.clone()),
            None => Change::Promote(learner.clone()),
        });
    }
    let lost = config.voters.iter().find(replaced)?;
    let new = seen.iter().find(|s| s.host == lost.host)?;
    config.all().all(|r| r != new).then(|| Change::AddLearner(new.clone()))
}

/// The next change as [`replace_disks`] says, with voters in mind that are gone: without word for so long
/// that they are taken for lost for good. A host that holds a disk and no vote takes the place of
/// one: it learns, the gone voter is removed, and then it is promoted.
pub fn replace_voters(
    config: &Config,
    ready: &[Replica],
    seen: &[Replica],
    gone: &[Replica],
) -> Option<Change> {
    let Some(lost) = config.voters.iter().find(|v| gone.contains(v)) else {
        return replace_disks(config, ready, seen);
    };
    // An even number of voters bears no more losses than one voter less.
    if config.voters.len().is_multiple_of(2) || config.learners.iter().any(|l| ready.contains(l)) {
        return Some(Change::Remove(lost.clone()));
    }
    replace_disks(config, ready, seen).or_else(|| enlist(config, seen, Some(lost)))
}

/// Voters of which so many may be lost at once that the rest still decides.
pub fn voters_tolerating(losses: usize) -> usize {
    (2 * losses + 1).min(VOTERS_MAX)
}

/// The next change that brings the voters nearer to `wanted`, when nothing is to be repaired.
pub fn add_voters(config: &Config, seen: &[Replica], wanted: usize) -> Option<Change> {
    let spares = spares(config, seen).count();
    // An even number of voters bears no more losses than one voter less.
    let odd = !config.voters.len().is_multiple_of(2);
    if config.voters.len() >= wanted || (odd && spares < 2) {
        return None;
    }
    enlist(config, seen, None)
}

/// Hosts that hold a disk and no place in the log.
fn spares<'a>(config: &'a Config, seen: &'a [Replica]) -> impl Iterator<Item = &'a Replica> {
    seen.iter().filter(|s| config.all().all(|r| r.host != s.host))
}

/// Has a spare host learn, one of the zone with the fewest voters besides the lost one: voters of one
/// zone are lost together.
fn enlist(config: &Config, seen: &[Replica], lost: Option<&Replica>) -> Option<Change> {
    let others = || config.voters.iter().filter(|v| Some(*v) != lost);
    let in_zone = |s: &&Replica| others().filter(|v| v.zone == s.zone).count();
    let best = spares(config, seen).min_by_key(in_zone).filter(|_| config.learners.is_empty());
    best.map(|s| Change::AddLearner(s.clone()))
}
