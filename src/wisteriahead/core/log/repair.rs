//! Plans the replacement of lost voters and the growth of the voter set, one change at a time.

use super::{Change, Config, Replica};

/// Maximum number of voters; more voters make each commit wait for more disks.
const VOTERS_MAX: usize = 7;

/// Next change to replace voters whose host now has another disk. `ready` are the learners that
/// have caught up, `seen` the replicas by the disks that hosts were last seen with.
///
/// The new replica becomes a learner first, so that the tier is one voter short only for the time
/// that one change takes.
pub fn replace_disks(config: &Config, ready: &[Replica], seen: &[Replica]) -> Option<Change> {
    let has_new_disk = |r: &&Replica| seen.iter().any(|s| s.host == r.host && s.disk != r.disk);
    if let Some(lost) = config.learners.iter().find(has_new_disk) {
        return Some(Change::Remove(lost.clone()));
    }
    if let Some(learner) = config.learners.iter().find(|l| ready.contains(l)) {
        let old = config.voters.iter().find(|v| v.host == learner.host);
        return Some(match old {
            Some(old) => Change::Remove(old.clone()),
            None => Change::Promote(learner.clone()),
        });
    }
    let lost = config.voters.iter().find(has_new_disk)?;
    let new = seen.iter().find(|s| s.host == lost.host)?;
    config.all().all(|r| r != new).then(|| Change::AddLearner(new.clone()))
}

/// Next change as in [`replace_disks`], or to replace a voter in `gone`, the voters that have been
/// silent for so long that they count as permanently lost. A host that has a disk but is no replica
/// takes its place: it becomes a learner, the lost voter is removed, and the learner is promoted.
pub fn replace_voters(
    config: &Config,
    ready: &[Replica],
    seen: &[Replica],
    gone: &[Replica],
) -> Option<Change> {
    let Some(lost) = config.voters.iter().find(|v| gone.contains(v)) else {
        return replace_disks(config, ready, seen);
    };
    // An even number of voters tolerates no more failures than one voter fewer.
    if config.voters.len().is_multiple_of(2) || config.learners.iter().any(|l| ready.contains(l)) {
        return Some(Change::Remove(lost.clone()));
    }
    replace_disks(config, ready, seen).or_else(|| add_spare(config, seen, Some(lost)))
}

/// Number of voters of which `failures` may fail at once while the rest keeps a quorum, at most
/// `VOTERS_MAX`.
pub fn voters_tolerating(failures: usize) -> usize {
    (2 * failures + 1).min(VOTERS_MAX)
}

/// Next change to bring the number of voters closer to `wanted`, if no voter needs replacement.
pub fn add_voters(config: &Config, seen: &[Replica], wanted: usize) -> Option<Change> {
    let spares = spares(config, seen).count();
    // An even number of voters tolerates no more failures than one voter fewer.
    let odd = !config.voters.len().is_multiple_of(2);
    if config.voters.len() >= wanted || (odd && spares < 2) {
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
    let best = spares(config, seen).min_by_key(in_zone).filter(|_| config.learners.is_empty());
    best.map(|s| Change::AddLearner(s.clone()))
}
