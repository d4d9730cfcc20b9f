//! Replacement of voters that are permanently gone, by one configuration change at a time.

use crate::support::config;
use proptest::prelude::*;
use wisteriahead::core::log::{
    Change, Config, Replica, add_voters, keep_voters, replace_voters, voters_tolerating,
};

fn replica(i: usize) -> Replica {
    Replica { host: format!("h{i}"), zone: format!("z{}", i % 4), disk: i as u64 }
}

fn apply(config: &mut Config, change: Change) {
    match change {
        Change::AddLearner(r) => config.learners.push(r),
        Change::Promote(r) => {
            config.learners.retain(|l| *l != r);
            config.voters.push(r);
        }
        Change::Remove(r) => {
            config.voters.retain(|v| *v != r);
            config.learners.retain(|l| *l != r);
        }
    }
}

/// Applies changes until there are none, with learners that catch up immediately.
fn apply_changes(config: &mut Config, seen: &[Replica]) -> Vec<Change> {
    let mut changes = Vec::new();
    while changes.len() < 20 {
        let gone: Vec<_> = config.voters.iter().filter(|v| !seen.contains(v)).cloned().collect();
        let ready = config.learners.clone();
        let Some(change) = replace_voters(config, &ready, seen, &gone) else { break };
        apply(config, change.clone());
        changes.push(change);
    }
    changes
}

#[test]
fn spare_host_becomes_a_learner_before_the_gone_voter_is_removed() {
    let mut config = Config { voters: (0..3).map(replica).collect(), learners: Vec::new() };
    let seen = [replica(0), replica(1), replica(3)];
    let changes = apply_changes(&mut config, &seen);
    let expected =
        [Change::AddLearner(replica(3)), Change::Remove(replica(2)), Change::Promote(replica(3))];
    assert_eq!(changes, expected);
}

#[test]
fn gone_voter_stays_without_a_spare_host() {
    let mut config = Config { voters: (0..3).map(replica).collect(), learners: Vec::new() };
    assert!(apply_changes(&mut config, &[replica(0), replica(1)]).is_empty());
}

#[test]
fn spare_host_in_a_zone_without_voters_is_preferred() {
    let mut config = Config { voters: (0..3).map(replica).collect(), learners: Vec::new() };
    let seen = [replica(0), replica(1), replica(4), replica(7)];
    apply_changes(&mut config, &seen);
    assert!(config.voters.contains(&replica(7)), "h4 is in the zone of h0: {config:?}");
}

proptest! {
    #![proptest_config(config(256))]

    /// Whichever voter is gone, it is replaced as far as there are spare hosts, and after each
    /// change the voters that are seen have a majority.
    #[test]
    fn gone_voter_is_replaced_while_a_majority_is_seen(
        voters in prop_oneof![Just(3usize), Just(4), Just(5)],
        spares in 0..4usize,
        lost in any::<prop::sample::Index>(),
    ) {
        let mut config = Config { voters: (0..voters).map(replica).collect(), learners: Vec::new() };
        let lost = replica(lost.index(voters));
        let seen: Vec<_> = (0..voters + spares).map(replica).filter(|r| *r != lost).collect();
        for _ in 0..20 {
            let gone: Vec<_> = config.voters.iter().filter(|v| !seen.contains(v)).cloned().collect();
            let ready = config.learners.clone();
            let Some(change) = replace_voters(&config, &ready, &seen, &gone) else { break };
            apply(&mut config, change);
            let alive = config.voters.iter().filter(|v| seen.contains(v)).count();
            prop_assert!(alive >= config.quorum(), "{config:?}");
        }
        let gone = config.voters.contains(&lost);
        prop_assert!(!gone || (spares == 0 && voters % 2 == 1), "{config:?}");
    }
}

/// Tolerating the loss of two hosts at once takes five voters.
#[test]
fn voters_are_added_one_at_a_time_up_to_the_target() {
    let mut config = Config { voters: (0..3).map(replica).collect(), learners: Vec::new() };
    let seen: Vec<_> = (0..8).map(replica).collect();
    let mut changes = 0;
    while let Some(change) = {
        let ready = config.learners.clone();
        replace_voters(&config, &ready, &seen, &[]).or_else(|| add_voters(&config, &seen, 5))
    } {
        apply(&mut config, change);
        changes += 1;
        assert!(changes < 20, "the changes do not end: {config:?}");
    }
    assert_eq!((config.voters.len(), config.learners.len()), (5, 0));
    assert_eq!(config.voters[3], replica(3), "the zone without a voter is preferred");
}

#[test]
fn number_of_voters_stays_odd() {
    let config = Config { voters: (0..3).map(replica).collect(), learners: Vec::new() };
    let seen: Vec<_> = (0..4).map(replica).collect();
    assert_eq!(add_voters(&config, &seen, 5), None);
    assert_eq!(add_voters(&config, &seen, 3), None);
}

#[test]
fn number_of_voters_follows_from_the_tolerated_losses() {
    assert_eq!([1, 2, 9].map(voters_tolerating), [3, 5, 7]);
}

/// Guards against a number of voters that stays even: until the next voter is added, a loss beside that
/// of the new voter takes the quorum that the voters before it had.
#[test]
fn voters_are_promoted_in_pairs() {
    let mut config = Config { voters: (0..3).map(replica).collect(), learners: Vec::new() };
    let seen: Vec<_> = (0..5).map(replica).collect();
    let mut changes = Vec::new();
    while let Some(change) = keep_voters(&config, &config.learners, &seen, &[], 5) {
        apply(&mut config, change.clone());
        changes.push(change);
        assert!(changes.len() < 20, "the changes do not end: {changes:?}");
    }
    let new = [replica(3), replica(4)];
    let expected = [new.clone().map(Change::AddLearner), new.map(Change::Promote)].concat();
    assert_eq!(changes, expected);
}

/// A learner whose voter has come back stays one, and takes the place of the next voter that is lost.
#[test]
fn learner_that_replaced_none_is_kept_for_the_next_loss() {
    let spare = replica(3);
    let mut config =
        Config { voters: (0..3).map(replica).collect(), learners: vec![spare.clone()] };
    let mut seen: Vec<_> = (0..4).map(replica).collect();
    let ready = [spare.clone()];
    assert_eq!(keep_voters(&config, &ready, &seen, &[], 3), None);
    seen[1].disk = 99;
    for expected in [Change::Remove(replica(1)), Change::Promote(spare)] {
        assert_eq!(keep_voters(&config, &ready, &seen, &[], 3), Some(expected.clone()));
        apply(&mut config, expected);
    }
}
