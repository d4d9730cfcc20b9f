//! The relay's retry budget, rate limiter, merge, stale addresses, zone monitor, plan switch, log
//! limiter, currency, lag monitor, groups, cover of zones and early connections.

use crate::props::Endpoints;
use crate::support::config;
use proptest::prelude::*;
use std::sync::Arc;
use wisteriahead::core::choice::{ChoiceContext, Latencies};
use wisteriahead::core::control::currency::Currency;
use wisteriahead::core::lag::LagMonitor;
use wisteriahead::core::log_limiter::LogLimiter;
use wisteriahead::core::records::{RECORD_BYTES, merge};
use wisteriahead::core::relay::cold::ColdSigns;
use wisteriahead::core::relay::cover::{Need, ZoneCover};
use wisteriahead::core::relay::early::{EarlyConnections, ROUND_MAX};
use wisteriahead::core::relay::flush::Flush;
use wisteriahead::core::relay::groups::Groups;
use wisteriahead::core::relay::notices::{Access, Notice, Notices, QUIET_MAX};
use wisteriahead::core::relay::plan_switch::PlanSwitch;
use wisteriahead::core::relay::rate::RateLimiter;
use wisteriahead::core::relay::retry_budget::{Bounds, RetryBudget};
use wisteriahead::core::relay::stale_address::StaleAddresses;
use wisteriahead::core::relay::timing::{FlushTimes, Lateness};
use wisteriahead::core::relay::zones::ZoneMonitor;
use wisteriahead::core::routes::Target;
use wisteriahead::core::time::{Span, Time};

const BOUNDS: Bounds = Bounds { ratio: 0.2, slack: 52.0, window: Span::secs(10) };

proptest! {
    #![proptest_config(config(64))]

    /// In any window, the retries of all hosts together stay within the bounds, however the
    /// requests are spread over hosts and however many retries each host tries.
    #[test]
    fn retries_of_all_hosts_stay_within_the_budget(
        hosts in 1..8usize,
        events in prop::collection::vec((0..8usize, 0..40_000u64, 0..4u32), 100..2_000),
    ) {
        let mut at = Time(0);
        let mut all = vec![RetryBudget::default(); hosts];
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (host, pause, tries) in events {
            at += Span::micros(pause);
            let e = &mut all[host % hosts];
            e.record_request(at, &BOUNDS);
            requests.push(at);
            retries.extend((0..tries).filter(|_| e.try_spend(at, &BOUNDS, hosts)).map(|_| at));
        }
        for &end in &retries {
            let within = |list: &[Time], span| list.iter().filter(|t| **t <= end && end.since(**t) < span).count();
            let most = BOUNDS.ratio * within(&requests, BOUNDS.window) as f64 + BOUNDS.slack;
            prop_assert!(within(&retries, BOUNDS.window) as f64 <= most);
        }
    }

    /// All hosts together, and one that the others do not know yet, stay within the connections that
    /// an endpoint accepts, and some host may connect to it.
    #[test]
    fn connection_shares_of_groups_stay_within_the_limit(
        zones in prop::collection::vec(1..40usize, 1..5),
        connections in 12..120u32,
        leaf in 0..50u32,
    ) {
        let host = |zone: usize, i: usize| -> (Arc<str>, Arc<str>) {
            (format!("h{zone}-{i}").into(), format!("z{zone}").into())
        };
        let all: Vec<_> = zones.iter().enumerate().flat_map(|(z, n)| (0..*n).map(move |i| host(z, i))).collect();
        let groups = Groups::new(all.iter().cloned());
        let mut to = Endpoints::default().target("z0");
        (to.name, to.connections) = (format!("leaf-{leaf}").into(), connections);
        let sum: u32 = all.iter().map(|(h, _)| groups.connection_share(h, &to)).sum();
        let unknown = groups.connection_share("unknown", &to);
        prop_assert!(sum + unknown <= connections, "{} of {}", sum + unknown, connections);
        prop_assert!(sum > 0);
        let owners = all.iter().filter(|(h, zone)| **zone == *"z0" && groups.owns(h, &to));
        for (owner, _) in owners.filter(|_| groups.is_divided("z0")) {
            prop_assert!(groups.connection_share(owner, &to) > 0, "{} owns it without a connection", owner);
        }
    }

    /// Guards against connections that many hosts open and close anew when one host leaves or joins.
    #[test]
    fn host_that_leaves_moves_few_connection_shares(
        hosts in 20..300usize,
        left in 0..300usize,
        connections in 12..120u32,
        leaf in 0..50u32,
    ) {
        let all: Vec<_> = (0..hosts).map(|i| (Arc::<str>::from(format!("h{i}")), zone(i % 6))).collect();
        let before = Groups::new(all.iter().cloned());
        let without = all.iter().enumerate().filter(|(i, _)| *i != left % hosts).map(|(_, h)| h);
        let after = Groups::new(without.clone().cloned());
        // In a zone without hosts, so that no group moves.
        let mut to = Endpoints::default().target("z6");
        (to.name, to.connections) = (format!("leaf-{leaf}").into(), connections);
        let has = |groups: &Groups, host| groups.connection_share(host, &to) > 0;
        let moved = without.filter(|(h, _)| has(&before, h) != has(&after, h)).count();
        // Where each host has a share of its own, they may all become larger.
        prop_assert!(moved <= 2, "{moved} shares moved");
    }

    /// Load pattern: a tier where few of many hosts may connect to each endpoint.
    #[test]
    fn connection_shares_are_spread_over_all_hosts(hosts in 60..300usize, connections in 20..59u32) {
        const LEAVES: u32 = 400;
        let all: Vec<_> = (0..hosts).map(|i| (Arc::<str>::from(format!("h{i}")), zone(i % 6))).collect();
        let groups = Groups::new(all.iter().cloned());
        let share = |host: &str, leaf| {
            let mut to = Endpoints::default().target("z6");
            (to.name, to.connections) = (format!("leaf-{leaf}").into(), connections);
            groups.connection_share(host, &to)
        };
        let mean = u64::from(LEAVES * (connections - 1)) / hosts as u64;
        for (host, _) in all.iter().step_by(7) {
            let held: u32 = (0..LEAVES).map(|leaf| share(host, leaf)).sum();
            prop_assert!((mean / 2..=mean * 2).contains(&u64::from(held)), "{held} of {mean}");
        }
    }

    /// Whatever the order of answers, attempts and restarts: nothing is allowed to an endpoint during
    /// the quiet that this incarnation asked for, nor after the drain time once it said that it is
    /// leaving, and a new incarnation starts anew.
    #[test]
    fn word_of_an_endpoint_is_kept(
        events in prop::collection::vec((0..3_000u64, 0..4u64, any::<bool>(), prop::option::of(0..5_000u64), any::<bool>()), 1..120),
    ) {
        const DRAIN: Span = Span::secs(3);
        let leaf = Endpoints::default().target("north");
        let (mut now, mut notices) = (Time(0), Notices::default());
        let (mut newest, mut left, mut quiet) = (0, None, Time(0));
        for (pause, incarnation, leaving, span, answers) in events {
            now += Span::millis(pause);
            let of = Target { incarnation, ..leaf.clone() };
            if !answers {
                let access = notices.access(now, &of, DRAIN);
                if incarnation != newest {
                    prop_assert_eq!(access, Access::Open);
                    continue;
                }
                let gone = left.is_some_and(|at| now.since(at) >= DRAIN);
                prop_assert_eq!(matches!(access, Access::Closed(_)), gone || now < quiet);
                prop_assert_eq!(access == Access::Last, left.is_some() && !gone && now >= quiet);
                continue;
            }
            let notice = Notice { leaving, quiet: span.map(Span::millis) };
            notices.record(now, &of, notice);
            if notice == Notice::default() || incarnation < newest {
                continue;
            }
            if incarnation > newest {
                (newest, left, quiet) = (incarnation, None, Time(0));
            }
            left = left.or(leaving.then_some(now));
            quiet = quiet.max(span.map_or(Time(0), |span| now + Span::millis(span)));
        }
    }

    /// No window of one second has more than `most` grants.
    #[test]
    fn rate_limit_holds_in_any_second(most in 0..6u32, pauses in prop::collection::vec(0..400_000u64, 1..300)) {
        let (mut at, mut limiter, mut sent) = (Time(0), RateLimiter::default(), Vec::new());
        for pause in pauses {
            at += Span::micros(pause);
            if limiter.try_acquire(at, most) {
                sent.push(at);
            }
            let lately = sent.iter().filter(|t| at.since(**t) < Span::secs(1)).count();
            prop_assert!(lately <= most as usize);
        }
    }

    /// The merge is the first `top` of all records in descending order, without incomplete records.
    #[test]
    fn merge_returns_the_highest_records(
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
fn retry_budget_is_free_again_after_the_window() {
    let mut budget = RetryBudget::default();
    while budget.try_spend(Time(0), &BOUNDS, 1) {}
    assert!(!budget.try_spend(Time(0) + Span::secs(5), &BOUNDS, 1));
    assert!(budget.try_spend(Time(0) + Span::secs(11), &BOUNDS, 1));
}

/// Guards against requests to an address that now belongs to another endpoint: it stays excluded
/// until the first endpoint announces itself with a new incarnation or address.
#[test]
fn stale_address_is_excluded_until_a_new_announcement() {
    let target = Endpoints::default().target("north");
    let mut stale = StaleAddresses::default();
    assert!(!stale.contains(&target));
    stale.insert(&target);
    assert!(stale.contains(&target));
    assert!(!stale.contains(&Target { incarnation: 2, ..target.clone() }));
    let address = "127.0.0.1:2".parse().unwrap();
    assert!(!stale.contains(&Target { address, ..target }));
}

fn at(millis: u64) -> Time {
    Time(0) + Span::millis(millis)
}

#[test]
fn zone_is_unresponsive_after_several_overdue_requests() {
    let south: Arc<str> = "south".into();
    let mut monitor = ZoneMonitor::default();
    let usual = Span::millis(100);
    (0..7).for_each(|i| monitor.request_sent(at(i), &south, usual));
    assert!(
        !monitor.is_unresponsive(at(10_000), &south),
        "few requests may all go to one slow endpoint"
    );
    monitor.request_sent(at(7), &south, usual);
    assert!(!monitor.is_unresponsive(at(299), &south), "the first is not overdue");
    assert!(monitor.is_unresponsive(at(300), &south));
    assert_eq!(monitor.unresponsive(at(300)), std::slice::from_ref(&south));
    monitor.response_received(&south);
    assert!(!monitor.is_unresponsive(at(10_000), &south));
    monitor.response_received("unknown");
    assert!(!monitor.is_unresponsive(at(10_000), "unknown"));
}

#[test]
fn zone_with_quick_requests_may_pause_before_it_is_unresponsive() {
    let south: Arc<str> = "south".into();
    let mut monitor = ZoneMonitor::default();
    (0..20).for_each(|_| monitor.request_sent(at(0), &south, Span::millis(1)));
    assert!(!monitor.is_unresponsive(at(249), &south));
    assert!(monitor.is_unresponsive(at(250), &south));
}

#[test]
fn plan_switch_waits_for_its_endpoints_within_the_bound() {
    let most = Span::millis(1_800);
    let mut switch = PlanSwitch::default();
    assert!(
        switch.should_switch(at(0), true, most),
        "a plan whose endpoints are known is used at once"
    );
    assert!(!switch.should_switch(at(1_000), false, most));
    assert!(switch.should_switch(at(1_500), true, most), "its endpoints are known");
    assert!(!switch.should_switch(at(5_000), false, most), "another plan waits again");
    assert!(!switch.should_switch(at(6_799), false, most));
    assert!(
        switch.should_switch(at(6_800), false, most),
        "no longer than the bound, even if plans follow each other"
    );
}

#[test]
fn suppressed_log_lines_are_counted() {
    let mut limiter = LogLimiter::default();
    assert_eq!([0, 1, 2].map(|i| limiter.admit(at(i), 2)), [Some(0), Some(0), None]);
    assert_eq!(limiter.admit(at(999), 2), None);
    assert_eq!(limiter.admit(at(1_000), 2), Some(2));
    assert_eq!(limiter.admit(at(1_001), 2), Some(0));
}

#[test]
fn leader_that_was_replaced_confirms_nothing() {
    let mut currency = Currency::default();
    assert_eq!(currency.unconfirmed_for(at(0)), None);
    assert!(!currency.heard_leader(at(0), 3, 8, 7), "a newer revision is committed");
    assert_eq!(currency.unconfirmed_for(at(0)), None);
    assert!(currency.heard_leader(at(100), 3, 8, 8));
    assert_eq!(currency.unconfirmed_for(at(350)), Some(Span::millis(250)));
    currency.heard_term(4);
    assert!(!currency.heard_leader(at(400), 3, 8, 8), "another host leads by now");
    assert_eq!(currency.unconfirmed_for(at(400)), Some(Span::millis(300)));
    assert!(currency.heard_leader(at(500), 4, 8, 9));
    assert_eq!(currency.unconfirmed_for(at(500)), Some(Span::ZERO));
}

#[test]
fn late_timers_are_reported_once_a_second() {
    let (mut lag, period) = (LagMonitor::default(), Span::millis(50));
    assert_eq!(lag.fired(at(1_000), period), None);
    assert_eq!(lag.fired(at(1_100), period), None, "50 ms late");
    assert_eq!(lag.fired(at(1_450), period), Some(Span::millis(300)));
    assert_eq!(lag.fired(at(2_000), period), None, "already reported within the second");
    assert_eq!(lag.fired(at(2_451), period), Some(Span::millis(500)), "the worst of the second");
    assert_eq!(lag.fired(at(4_000), period), Some(Span::millis(1_499)));
}

#[test]
fn quiet_is_bounded_and_reported_once() {
    let leaf = Endpoints::default().target("north");
    let mut notices = Notices::default();
    let endless = Notice { quiet: Some(Span(u64::MAX)), ..Notice::default() };
    assert!(notices.record(at(0), &leaf, endless).quiet);
    assert!(!notices.record(at(1), &leaf, endless).quiet, "reported already");
    let drain = Span::secs(3);
    let end = at(1) + QUIET_MAX;
    assert_eq!(notices.access(at(2), &leaf, drain), Access::Closed(Some(end)));
    assert_eq!(notices.access(end, &leaf, drain), Access::Open);
    notices.expire(end);
    assert!(notices.is_empty());
}

#[test]
fn closed_shards_reopen_when_enough_endpoints_take_requests_again() {
    let mut endpoints = Endpoints::default();
    let shards: Vec<_> =
        (0..4).map(|_| vec![endpoints.target("north"), endpoints.target("south")]).collect();
    let mut notices = Notices::default();
    let mut hush = |leaf: &Target, millis| {
        notices.record(
            at(0),
            leaf,
            Notice { quiet: Some(Span::millis(millis)), ..Notice::default() },
        );
    };
    hush(&shards[0][0], 900);
    hush(&shards[0][1], 500);
    hush(&shards[1][0], 100);
    hush(&shards[2][0], 700);
    hush(&shards[2][1], 800);
    let closed =
        |min| notices.closed_until(at(1), shards.iter().map(Vec::as_slice), Span::secs(3), min);
    assert_eq!(closed(2), None, "two shards have an open replica");
    assert_eq!(closed(3), Some(Some(at(500))));
    assert_eq!(closed(4), Some(Some(at(700))));
}

fn zone(i: usize) -> Arc<str> {
    format!("z{i}").into()
}

/// Guards against messages to hosts of nearly all zones for each gather: 180 shards with replicas in
/// three of six zones each, for each of 300 hosts.
#[test]
fn gathers_need_two_zones_and_their_hedges_two_more() {
    const ZONES: usize = 6;
    const SHARDS: usize = 180;
    let shards: Vec<Vec<_>> =
        (0..SHARDS).map(|s| (0..3).map(|i| zone((s + i) % ZONES)).collect()).collect();
    for host in 0..300 {
        let own = zone(host % ZONES);
        let cover = ZoneCover::new(&format!("host-{host}"), &own, shards.iter().map(|s| s.iter()));
        assert_eq!(cover.need(&own), (Need::First, 0));
        assert_eq!(cover.shards(), SHARDS);
        let needs: Vec<_> = (0..ZONES).map(|i| cover.need(&zone(i)).0).collect();
        let count = |need| needs.iter().filter(|n| **n == need).count();
        assert_eq!((count(Need::First), count(Need::Second)), (2, 2), "host {host}: {needs:?}");
        let has = |list: &[Arc<str>], most: Need| {
            list.iter().filter(|zone| cover.need(zone).0 <= most).count()
        };
        assert!(shards.iter().all(|list| has(list, Need::First) >= 1));
        assert!(shards.iter().all(|list| has(list, Need::Second) >= 2));
    }
}

/// Guards against connections that most hosts of a zone open anew when one host leaves or joins.
#[test]
fn host_that_leaves_a_zone_of_49_moves_few_others_to_another_group() {
    const HOSTS: usize = 49;
    let hosts = |without: Option<usize>| {
        (0..HOSTS)
            .filter(move |i| Some(*i) != without)
            .map(|i| (Arc::<str>::from(format!("10.0.{}.{i}", i % 7)), zone(0)))
    };
    let all = Groups::new(hosts(None));
    let groups = all.parts("", "z0", 0);
    let group_of = |groups_of: &Groups, host: &str| {
        (0..groups).position(|g| groups_of.owners("z0", g, u32::MAX).iter().any(|h| **h == *host))
    };
    let sizes: Vec<_> = (0..groups).map(|g| all.owners("z0", g, u32::MAX).len()).collect();
    assert!(sizes.iter().all(|n| (HOSTS / groups..=HOSTS / groups + 1).contains(n)), "{sizes:?}");
    for left in 0..HOSTS {
        let rest = Groups::new(hosts(Some(left)));
        let moved = hosts(Some(left)).filter(|(h, _)| group_of(&all, h) != group_of(&rest, h));
        // A group of the others is one host short or has one too many.
        let moved = moved.count();
        assert!(moved <= groups, "{moved} hosts moved when host {left} left");
    }
}

/// Guards against a burst of connections that keeps a slow host from its requests, and against
/// connections that are opened again and again to an endpoint that closes unused ones.
#[test]
fn endpoints_are_connected_to_early_once_and_a_few_at_a_time() {
    let mut targets: Vec<_> = (0..10).map(|_| Endpoints::default().target("z0")).collect();
    for (i, t) in targets.iter_mut().enumerate() {
        t.address.set_port(1_000 + i as u16);
    }
    let mut early = EarlyConnections::default();
    let mut opened = Vec::new();
    for _ in 0..10 {
        let round = early.next_round(targets.iter());
        assert!(round.len() <= ROUND_MAX);
        opened.extend(round.into_iter().map(|t| t.address));
    }
    opened.sort();
    assert_eq!(opened, targets.iter().map(|t| t.address).collect::<Vec<_>>());
    targets[3].incarnation += 1;
    let again: Vec<_> = early.next_round(targets.iter()).iter().map(|t| t.address).collect();
    assert_eq!(again, [targets[3].address]);
}

/// Guards against a host with few requests that sends each gather to other zones: an endpoint that was
/// not used for long had the least latency.
#[test]
fn endpoint_in_another_zone_is_not_preferred_because_it_was_not_used() {
    let mut endpoints = Endpoints::default();
    let replicas = [endpoints.target("own"), endpoints.target("far")];
    let context = ChoiceContext {
        zone: "own",
        in_flight: &|_| 0,
        seed: 1,
        usual: Span::millis(10),
        zone_cost: &|_| (2, 1),
    };
    let mut latencies = Latencies::default();
    for second in 0..60 {
        let now = Time(second * 1_000_000);
        let order = latencies.order(now, &replicas, &[], &context);
        assert_eq!(&*order[0].zone, "own", "after {second} s");
        if second % 7 == 0 {
            latencies.record_answer(now, replicas[0].key, Span::millis(12));
        }
    }
    // One that fails is left at once, and tried again later.
    latencies.record_failure(Time(60_000_000), replicas[0].key);
    let first = |at| latencies.order(Time(at), &replicas, &[], &context)[0].zone.clone();
    assert_eq!(&*first(60_000_000), "far");
    assert_eq!(&*first(90_000_000), "own");
}

/// A batch of ten calls, of which so many end one after another, a millisecond apart from 1 ms on.
fn batch_with_ends(ends: u64) -> Flush {
    let times = FlushTimes { first: Span::millis(12), useful: Span::millis(30) };
    let mut flush = Flush::new(Time(0), 10, times);
    (1..=ends).for_each(|ms| flush.record_end(Time(ms * 1_000)));
    flush
}

#[test]
fn results_of_a_batch_leave_once_its_calls_fall_quiet() {
    assert_eq!(batch_with_ends(0).due(), None);
    assert_eq!(batch_with_ends(10).due(), Some(Time(10_000)), "all calls have ended");
    assert_eq!(batch_with_ends(8).due(), Some(Time(11_000)), "two calls seem to be paused");
    assert_eq!(batch_with_ends(2).due(), Some(Time(12_000)), "most calls are open");
    let mut flush = batch_with_ends(2);
    flush.record_end(Time(11_500));
    assert_eq!(flush.due(), Some(Time(14_500)), "calls still end");
}

/// Guards against a message for each late result, which takes the host that gathers as long as several
/// calls, and against results that wait for the objective although the answer lacks nothing else.
#[test]
fn late_results_of_a_batch_come_together_but_soon() {
    let mut flush = batch_with_ends(7);
    flush.record_message(Time(10_000));
    flush.record_end(Time(15_000));
    assert_eq!(flush.due(), Some(Time(22_000)), "the pause between two messages");
    flush.record_end(Time(21_000));
    assert_eq!(flush.due(), Some(Time(24_000)));
    flush.record_message(Time(24_000));
    assert_eq!(flush.due(), None);
    flush.record_end(Time(26_000));
    assert_eq!(flush.due(), Some(Time(26_000)), "all calls have ended");
    let mut flush = batch_with_ends(7);
    flush.record_message(Time(20_000));
    flush.record_end(Time(29_000));
    assert_eq!(flush.due(), Some(Time(30_000)), "later it could not meet the objective");
}

/// Guards against an endpoint that ends, starts again under its name, and gets all requests at once
/// before its announcement is here.
#[test]
fn endpoint_that_refused_connections_may_be_cold_once_it_accepts_them() {
    const COLD: Span = Span::secs(3);
    let mut endpoints = Endpoints::default();
    let target = endpoints.snapshot("s1", &[1]).shards[0][0].clone();
    let other = endpoints.snapshot("s2", &[1]).shards[0][0].clone();
    let mut signs = ColdSigns::default();
    let cold = |signs: &ColdSigns, at, t: &Target| signs.may_be_cold(at, t, || COLD);
    assert!(!cold(&signs, Time(1), &target));
    signs.record_end(Time(1), &target);
    signs.record_end(Time(2), &target);
    assert!(cold(&signs, Time(1) + COLD, &target));
    assert!(!cold(&signs, Time(2) + COLD, &target));
    assert!(!cold(&signs, Time(2), &other));
    // A new process has announced itself; it says whether it is cold.
    let next = Target { incarnation: target.incarnation + 1, ..target };
    assert!(!cold(&signs, Time(2), &next));
}

/// Guards against a host that stands still and then sends by what it knew before: an endpoint may have
/// become cold meanwhile.
#[test]
fn all_endpoints_may_be_cold_after_the_host_stood_still() {
    let mut endpoints = Endpoints::default();
    let target = endpoints.snapshot("s1", &[1]).shards[0][0].clone();
    let mut signs = ColdSigns::default();
    let cold = |signs: &ColdSigns, at| signs.may_be_cold(at, &target, || Span::ZERO);
    let mut now = Time(7);
    for _ in 0..20 {
        assert!(!signs.record_alive(now), "it runs");
        now += Span::secs(1);
    }
    assert!(!cold(&signs, now));
    now += Span::secs(4);
    assert!(signs.record_alive(now), "it stood still");
    assert!(cold(&signs, now));
    assert!(!signs.record_alive(now + Span::millis(200)));
    assert!(cold(&signs, now + Span::millis(999)));
    assert!(!cold(&signs, now + Span::secs(1)), "it has heard what it missed");
}

/// Guards against a full share of a cold endpoint's rate on top of what was sent before the host heard
/// that it is cold.
#[test]
fn requests_sent_before_an_endpoint_became_cold_count() {
    let mut limiter = RateLimiter::default();
    let now = Time(0) + Span::secs(9);
    (0..3).for_each(|i| limiter.record(now + Span::millis(100 * i)));
    assert!(!limiter.try_acquire(now + Span::millis(900), 3));
    assert!(limiter.try_acquire(now + Span::millis(900), 4));
    assert!(limiter.try_acquire(now + Span::millis(1_150), 4), "the first was sent long ago");
}

/// Guards against answers that wait until the last moment on a host whose timers fire late, and then
/// reach their callers past the objective (issue 47).
#[test]
fn gathers_on_a_late_host_end_earlier_by_its_lateness() {
    let objective = Span::millis(80);
    let mut lateness = Lateness::default();
    assert_eq!(lateness.get(), Span::ZERO, "a host that is never late loses no time");
    // Ends of gathers as logged on a busy host: late by 1 to 6 ms.
    let samples = [3_500, 1_200, 6_000, 2_800, 1_000, 4_100, 3_300, 1_500, 5_200, 2_000];
    let (mut exceeded, mut total) = (0, 0);
    for (round, late) in samples.iter().cycle().take(200).enumerate() {
        if round >= 100 {
            total += 1;
            exceeded += u32::from(*late > lateness.get().0);
        }
        lateness.record(Span(*late), objective);
    }
    assert!(exceeded * 3 <= total, "{exceeded} of {total} are later than the estimate");
    assert!(lateness.get() <= Span(6_000), "{}", lateness.get());
    // One gather that was late by far does not take the time of all later ones.
    lateness.record(Span::secs(1), objective);
    assert!(lateness.get() <= Span(objective.0 / 8));
    (0..50).for_each(|_| lateness.record(Span(100), objective));
    assert!(lateness.get() < Span::millis(1), "{}", lateness.get());
}
