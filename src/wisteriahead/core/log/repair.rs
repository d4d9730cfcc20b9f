//! How voters that lost their disks are replaced, one change at a time.

use super::{Change, Config, Replica};

/// The next change, given the learners that have caught up and the disks that hosts were
/// last seen with.
///
/// The successor of a lost voter learns first, so that the tier counts one voter less for
/// no longer than one change takes.
pub fn repair(config: &Config, ready: &[Replica], seen: &[Replica]) -> Option<Change> {
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
    config.all().all(|r| r != new).then(|| Change::Learn(new.clone()))
}
