//! The succession of voters that are gone for good, one change at a time.

use crate::support::config;
use proptest::prelude::*;
use wisteriahead::core::log::{
    Change, Config, Replica, add_voters, replace_voters, voters_tolerating,
};

fn replica(i: usize) -> Replica {
    Replica { host: format!("h{i}"), zone: format!("z{}", i % 4), disk: i as u64 }
}

fn make(config: &mut Config, change: Change) {
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

/// Makes changes until there is none, with learners that catch up at once.
fn settle(config: &mut Config, seen: &[Replica]) -> Vec<Change> {
    let mut made = Vec::new();
    while made.len() < 20 {
        let gone: Vec<_> = config.voters.iter().filter(|v| !seen.contains(v)).cloned().collect();
        let ready = config.learners.clone();
        let Some(change) = replace_voters(config, &ready, seen, &gone) else { break };
        make(config, change.clone());
        made.push(change);
    }
    made
}

#[test]
fn successor_learns_before_the_gone_voter_is_removed() {
    let mut config = Config { voters: (0..3).map(replica).collect(), learners: Vec::new() };
    let seen = [replica(0), replica(1), replica(3)];
    let made = settle(&mut config, &seen);
    let expected =
        [Change::AddLearner(replica(3)), Change::Remove(replica(2)), Change::Promote(replica(3))];
    assert_eq!(made, expected);
}

#[test]
fn without_a_spare_host_the_gone_voter_stays() {
    let mut config = Config { voters: (0..3).map(replica).collect(), learners: Vec::new() };
    assert!(settle(&mut config, &[replica(0), replica(1)]).is_empty());
}

#[test]
fn spare_host_in_a_zone_without_voters_goes_first() {
    let mut config = Config { voters: (0..3).map(replica).collect(), learners: Vec::new() };
    let seen = [replica(0), replica(1), replica(4), replica(7)];
    settle(&mut config, &seen);
    assert!(config.voters.contains(&replica(7)), "h4 stands in the zone of h0: {config:?}");
}

proptest! {
    #![proptest_config(config(256))]

    /// Whichever minority is gone, the changes end, all voters left are seen as far as there are
    /// spare hosts, and after each change those seen hold a majority.
    #[test]
    fn minority_that_is_gone_is_replaced(
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
            make(&mut config, change);
            let alive = config.voters.iter().filter(|v| seen.contains(v)).count();
            prop_assert!(alive >= config.quorum(), "{config:?}");
        }
        let gone = config.voters.contains(&lost);
        prop_assert!(!gone || (spares == 0 && voters % 2 == 1), "{config:?}");
    }
}

/// Where two hosts may be lost at once, three voters are too few.
#[test]
fn voters_are_added_one_by_one_up_to_the_number_wanted() {
    let mut config = Config { voters: (0..3).map(replica).collect(), learners: Vec::new() };
    let seen: Vec<_> = (0..8).map(replica).collect();
    let mut made = 0;
    while let Some(change) = {
        let ready = config.learners.clone();
        replace_voters(&config, &ready, &seen, &[]).or_else(|| add_voters(&config, &seen, 5))
    } {
        make(&mut config, change);
        made += 1;
        assert!(made < 20, "it does not end: {config:?}");
    }
    assert_eq!((config.voters.len(), config.learners.len()), (5, 0));
    assert_eq!(config.voters[3], replica(3), "the zone without a voter goes first");
}

#[test]
fn voters_are_not_made_even() {
    let config = Config { voters: (0..3).map(replica).collect(), learners: Vec::new() };
    let seen: Vec<_> = (0..4).map(replica).collect();
    assert_eq!(add_voters(&config, &seen, 5), None);
    assert_eq!(add_voters(&config, &seen, 3), None);
}

#[test]
fn voters_are_as_many_as_the_losses_to_be_borne_need() {
    assert_eq!([1, 2, 9].map(voters_tolerating), [3, 5, 7]);
}
