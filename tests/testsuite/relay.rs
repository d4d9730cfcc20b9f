//! What a relay may send beyond first attempts, to endpoints in cold start, and how it merges.

use crate::props::Endpoints;
use crate::support::config;
use proptest::prelude::*;
use std::sync::Arc;
use wisteriahead::core::log_limiter::LogLimiter;
use wisteriahead::core::records::{RECORD_BYTES, merge};
use wisteriahead::core::relay::plan_switch::PlanSwitch;
use wisteriahead::core::relay::rate::RateLimiter;
use wisteriahead::core::relay::retry_budget::{Bounds, RetryBudget};
use wisteriahead::core::relay::stale_address::StaleAddresses;
use wisteriahead::core::relay::zones::ZoneMonitor;
use wisteriahead::core::routes::Target;
use wisteriahead::core::time::{Span, Time};

const BOUNDS: Bounds = Bounds { ratio: 0.2, slack: 52.0, window: Span::secs(10) };

proptest! {
    #![proptest_config(config(64))]

    /// In any window of that length, all hosts together stay within the bounds, however the
    /// requests fall on them and however eagerly they spend.
    #[test]
    fn extras_of_all_hosts_stay_within_the_bounds(
        hosts in 1..8usize,
        events in prop::collection::vec((0..8usize, 0..40_000u64, 0..4u32), 100..2_000),
    ) {
        let mut at = Time(0);
        let mut all = vec![RetryBudget::default(); hosts];
        let (mut requests, mut extras) = (Vec::new(), Vec::new());
        for (host, pause, tries) in events {
            at += Span::micros(pause);
            let e = &mut all[host % hosts];
            e.record_request(at, &BOUNDS);
            requests.push(at);
            extras.extend((0..tries).filter(|_| e.try_spend(at, &BOUNDS, hosts)).map(|_| at));
        }
        for &end in &extras {
            let within = |list: &[Time], span| list.iter().filter(|t| **t <= end && end.since(**t) < span).count();
            let most = BOUNDS.ratio * within(&requests, BOUNDS.window) as f64 + BOUNDS.slack;
            prop_assert!(within(&extras, BOUNDS.window) as f64 <= most);
        }
    }

    /// No span of a second has more than `most` grants.
    #[test]
    fn pace_holds_in_any_second(most in 0..6u32, pauses in prop::collection::vec(0..400_000u64, 1..300)) {
        let (mut at, mut pace, mut sent) = (Time(0), RateLimiter::default(), Vec::new());
        for pause in pauses {
            at += Span::micros(pause);
            if pace.try_acquire(at, most) {
                sent.push(at);
            }
            let lately = sent.iter().filter(|t| at.since(**t) < Span::secs(1)).count();
            prop_assert!(lately <= most as usize);
        }
    }

    /// The merge is the head of all records in falling order, remainders left out.
    #[test]
    fn merge_is_the_head_of_all_records(
        parts in prop::collection::vec(prop::collection::vec(0..3u8, 0..200), 0..6),
        top in 0..30usize,
    ) {
        let mut all: Vec<&[u8]> = parts.iter().flat_map(|p| p.chunks_exact(RECORD_BYTES)).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.truncate(top);
        prop_assert_eq!(merge(parts.iter().map(|p| &p[..]), top), all.concat());
    }
}

#[test]
fn extras_come_back_after_the_window() {
    let mut extras = RetryBudget::default();
    while extras.try_spend(Time(0), &BOUNDS, 1) {}
    assert!(!extras.try_spend(Time(0) + Span::secs(5), &BOUNDS, 1));
    assert!(extras.try_spend(Time(0) + Span::secs(11), &BOUNDS, 1));
}

/// An address that went to another endpoint is left out until its first holder announces anew.
#[test]
fn absent_endpoint_is_left_out_until_it_announces_anew() {
    let target = Endpoints::default().target("north");
    let mut absent = StaleAddresses::default();
    assert!(!absent.contains(&target));
    absent.insert(&target);
    assert!(absent.contains(&target));
    assert!(!absent.contains(&Target { incarnation: 2, ..target.clone() }));
    let address = "127.0.0.1:2".parse().unwrap();
    assert!(!absent.contains(&Target { address, ..target }));
}

fn at(millis: u64) -> Time {
    Time(0) + Span::millis(millis)
}

#[test]
fn zone_is_silent_when_several_requests_have_no_word_in_time() {
    let south: Arc<str> = "south".into();
    let mut reach = ZoneMonitor::default();
    let usual = Span::millis(100);
    (0..7).for_each(|i| reach.request_sent(at(i), &south, usual));
    assert!(!reach.is_unresponsive(at(10_000), &south), "few requests may meet one slow endpoint");
    reach.request_sent(at(7), &south, usual);
    assert!(!reach.is_unresponsive(at(299), &south), "the first is not overdue");
    assert!(reach.is_unresponsive(at(300), &south));
    assert_eq!(reach.unresponsive(at(300)), std::slice::from_ref(&south));
    reach.response_received(&south);
    assert!(!reach.is_unresponsive(at(10_000), &south));
    reach.response_received("unknown");
    assert!(!reach.is_unresponsive(at(10_000), "unknown"));
}

#[test]
fn quick_requests_leave_a_zone_time_for_a_pause() {
    let south: Arc<str> = "south".into();
    let mut reach = ZoneMonitor::default();
    (0..20).for_each(|_| reach.request_sent(at(0), &south, Span::millis(1)));
    assert!(!reach.is_unresponsive(at(249), &south));
    assert!(reach.is_unresponsive(at(250), &south));
}

#[test]
fn plan_waits_for_its_endpoints_within_the_bound() {
    let most = Span::millis(1_800);
    let mut settle = PlanSwitch::default();
    assert!(settle.should_switch(at(0), true, most), "what fits is taken at once");
    assert!(!settle.should_switch(at(1_000), false, most));
    assert!(settle.should_switch(at(1_500), true, most), "its endpoints are there");
    assert!(!settle.should_switch(at(5_000), false, most), "another plan waits anew");
    assert!(!settle.should_switch(at(6_799), false, most));
    assert!(
        settle.should_switch(at(6_800), false, most),
        "no longer than the bound, however many come"
    );
}

#[test]
fn lines_past_the_bound_are_counted() {
    let mut lines = LogLimiter::default();
    assert_eq!([0, 1, 2].map(|i| lines.admit(at(i), 2)), [Some(0), Some(0), None]);
    assert_eq!(lines.admit(at(999), 2), None);
    assert_eq!(lines.admit(at(1_000), 2), Some(2));
    assert_eq!(lines.admit(at(1_001), 2), Some(0));
}
