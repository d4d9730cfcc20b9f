//! Plans: validation, route lookup, precedence by number and weighted splits.

use crate::support::config;
use proptest::prelude::*;
use std::sync::Arc;
use wisteriahead::core::control::changes::ActiveRevision;
use wisteriahead::core::control::plan_change::{PlanChange, RevisionChange};
use wisteriahead::core::control::{Command, Reply, StampedCommand, State};
use wisteriahead::core::document::ZoneState;
use wisteriahead::core::message::encode;
use wisteriahead::core::plan::{
    CallerLimits, Destination, Idempotency, Plan, Route, RouteIndex, Service, Share,
    WeightedRoundRobin,
};
use wisteriahead::core::time::Span;
use yare::parameterized;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        repeat: Idempotency::Idempotent,
        timeout: Span::millis(400),
        objective: Span::millis(80),
        priority: 1,
        attempts: 2,
        destination: Destination::Split(vec![("s".into(), 1)]),
    }
}

pub fn plan(number: u64) -> Plan {
    let service = Service { connections: 25, cold_rate: 0, cold_time: Span::ZERO };
    Plan {
        number,
        routes: vec![route("a", "h", "/a/"), route("ab", "h", "/a/b/"), route("root", "h", "/")],
        services: [(Arc::from("s"), service.clone()), (Arc::from("t"), service)].into(),
        limits: CallerLimits::default(),
        source: format!("plan {number}").into(),
    }
}

#[test]
fn valid_plan_passes_the_check() {
    assert_eq!(plan(1).check(), Ok(()));
}

#[parameterized(
    unknown_service = { |p| p.routes[0].destination = Destination::Split(vec![("x".into(), 1)]), "service `x`" },
    unknown_shard = { |p| p.routes[0].destination = gather(&["s", "x"]), "service `x`" },
    shard_twice = { |p| p.routes[0].destination = gather(&["s", "s"]), "twice" },
    no_shard = { |p| p.routes[0].destination = gather(&[]), "no service" },
    no_weight = { |p| p.routes[0].destination = Destination::Split(vec![("s".into(), 0)]), "add up to 0" },
    no_timeout = { |p| p.routes[0].timeout = Span::ZERO, "timeout" },
    same_host_and_prefix = { |p| p.routes[1].prefix = "/a/".into(), "host `h` and prefix `/a/`" },
    no_slash = { |p| p.routes[0].prefix = "/a".into(), "slash" },
)]
fn invalid_plan_is_refused(mutate: fn(&mut Plan), cause: &str) {
    let mut plan = plan(1);
    mutate(&mut plan);
    let fault = plan.check().unwrap_err();
    assert!(fault.contains(cause), "{fault}");
}

fn gather(shards: &[&str]) -> Destination {
    let shards = shards.iter().map(|s| Arc::from(*s)).collect();
    Destination::Gather { shards, top: 5, least: Share::from_fraction(0.75) }
}

#[parameterized(
    longest = { "h", "/a/b/c", Some("ab") },
    shorter = { "h", "/a/bc", Some("a") },
    exact = { "h", "/a/", Some("a") },
    without_its_slash = { "h", "/a", Some("root") },
    other = { "h", "/x/a/b/", Some("root") },
    other_host = { "g", "/a/b/", None },
    no_path = { "h", "*", None },
)]
fn request_takes_the_longest_prefix_of_its_host(host: &str, path: &str, name: Option<&str>) {
    let plan = plan(1);
    let found = RouteIndex::new(&plan.routes).find(host, path);
    assert_eq!(found.map(|i| &*plan.routes[i].name), name);
}

#[test]
fn rounding_to_millionths_never_raises_a_share() {
    for of_20 in 0..=20u32 {
        let least = Share::from_fraction(f64::from(of_20) / 20.0).fraction();
        assert!(f64::from(of_20) >= 20.0 * least, "{of_20} of 20 does not reach its own share");
    }
}

fn publish(state: &mut State, plan: Plan) -> Reply {
    let command = Command::Publish(Arc::new(plan));
    state.apply(&encode(&StampedCommand { time_ms: 0, command })).unwrap()
}

fn stored_plan(state: &mut State) -> Option<Arc<Plan>> {
    match state.apply(&encode(&StampedCommand { time_ms: 0, command: Command::Plan })).unwrap() {
        Reply::Plan(plan) => plan,
        other => panic!("{other:?}"),
    }
}

#[test]
fn plan_with_the_number_in_force_is_ignored() {
    let mut state = State::default();
    publish(&mut state, plan(7));
    let before = state.changes.revision;
    let other = Plan { source: "other".into(), ..plan(7) };
    assert_eq!(publish(&mut state, other), Reply::Published(before));
    assert_eq!(stored_plan(&mut state).unwrap().source, plan(7).source);
}

#[test]
fn plan_admits_endpoints_and_evacuates_zones_without_an_inventory() {
    use wisteriahead::core::document::Admit;
    let mut state = State::default();
    publish(&mut state, plan(1));
    let command = Command::Zone {
        id: "1".into(),
        operator: "ann".into(),
        zone: "north".into(),
        state: ZoneState::Out,
        base: 1,
        seen: None,
    };
    state.apply(&encode(&StampedCommand { time_ms: 0, command })).unwrap();
    let document = state.changes.active().document().unwrap();
    assert_eq!(document.rules.admit, Admit::Any);
    assert_eq!(document.zone("north").unwrap().state, ZoneState::Out);
}

proptest! {
    #![proptest_config(config(256))]

    /// For any order of plans, resends and restarts, the plan with the highest number is in force,
    /// and the revision grows by one with each plan that replaces another.
    #[test]
    fn plan_with_highest_number_is_in_force(numbers in prop::collection::vec((0..20u64, any::<bool>()), 1..40)) {
        let mut state = State::default();
        let mut highest = None;
        for (number, restart) in numbers {
            let before = state.changes.revision;
            publish(&mut state, plan(number));
            let rises = highest.is_none_or(|h| number > h);
            prop_assert_eq!(state.changes.revision, before + u64::from(rises));
            highest = highest.max(Some(number));
            if restart {
                state = State::read(&state.write()).unwrap();
            }
            prop_assert_eq!(stored_plan(&mut state).map(|p| p.number), highest);
            prop_assert_eq!(state.changes.active().plan.map(|p| p.number), highest);
        }
    }

    /// After any number of requests, the count of each part differs from its share by at most the
    /// number of parts.
    #[test]
    fn split_follows_the_weights(
        weights in prop::collection::vec(0..20u32, 1..5),
        requests in 1..200u32,
    ) {
        let sum: u32 = weights.iter().sum();
        let mut splitter = WeightedRoundRobin::default();
        let mut counts = vec![0u32; weights.len()];
        for _ in 0..requests {
            let next = splitter.next(weights.iter().copied());
            prop_assert_eq!(next.is_some(), sum > 0);
            next.into_iter().for_each(|part| counts[part] += 1);
        }
        for (count, weight) in counts.iter().zip(&weights).filter(|_| sum > 0) {
            let share = f64::from(requests) * f64::from(*weight) / f64::from(sum);
            prop_assert!((f64::from(*count) - share).abs() <= weights.len() as f64, "{counts:?}");
            prop_assert!(*weight > 0 || *count == 0);
        }
    }
}

/// A plan with some of five routes and services, whose content follows from the picks.
fn picked_plan(number: u64, picks: &[(usize, u32)]) -> Plan {
    let mut plan = Plan { routes: Vec::new(), services: Default::default(), ..plan(number) };
    for &(i, value) in picks {
        let name = format!("r{i}");
        let service: Arc<str> = format!("s{i}").into();
        let destination = match value % 2 {
            0 => Destination::Split(vec![(service.clone(), value)]),
            _ => gather(&[&service]),
        };
        if plan.routes.iter().all(|r| *r.name != *name) {
            let timeout = Span::millis(u64::from(value) + 1);
            let base = route(&name, "h", &format!("/{i}/"));
            plan.routes.push(Route { timeout, destination, ..base });
        }
        let of = Service { connections: value, cold_rate: 0, cold_time: Span::ZERO };
        plan.services.insert(service, of);
    }
    Plan { source: "written".into(), ..plan }
}

fn active(revision: u64, plan: &Plan) -> ActiveRevision {
    ActiveRevision { revision, plan: Some(Arc::new(plan.clone())), ..ActiveRevision::default() }
}

proptest! {
    #![proptest_config(config(256))]

    /// A host that applies the differences has the same plan as one that gets it whole.
    #[test]
    fn changed_plan_is_the_new_one(
        old in prop::collection::vec((0..5usize, 0..4u32), 0..6),
        new in prop::collection::vec((0..5usize, 0..4u32), 0..6),
    ) {
        let (old, new) = (picked_plan(3, &old), picked_plan(9, &new));
        let change = PlanChange::between(&old, &new);
        prop_assert_eq!(change.clone().apply(&old).unwrap(), new.without_source());
        prop_assert!(change.apply(&picked_plan(4, &[])).is_err(), "another base");
        let (before, after) = (active(1, &old), active(2, &new));
        let change = RevisionChange::between(&before, &after).unwrap();
        let sent = encode(&change);
        let change: RevisionChange = wisteriahead::core::message::decode(&sent).unwrap();
        let applied = change.clone().apply(&before).unwrap();
        prop_assert_eq!(applied.revision, 2);
        prop_assert_eq!(applied.plan.as_deref(), Some(&new.without_source()));
        prop_assert!(change.apply(&active(2, &old)).is_err(), "another base");
    }
}

#[test]
fn change_that_names_no_old_route_is_refused() {
    let (old, new) = (plan(1), plan(2));
    let change = PlanChange::between(&old, &new);
    let shorter = Plan { routes: old.routes[..1].to_vec(), ..old };
    assert!(change.apply(&shorter).unwrap_err().contains("lacks"));
}

#[test]
fn revisions_with_other_documents_are_sent_whole() {
    let (a, b) = (active(1, &plan(1)), active(2, &plan(2)));
    let edited = ActiveRevision { text: "edited".into(), ..b.clone() };
    assert_eq!(RevisionChange::between(&a, &edited), None);
    let without = ActiveRevision { plan: None, ..a.clone() };
    assert_eq!(RevisionChange::between(&without, &b), None);
}

/// Guards against a whole plan that each host takes milliseconds to decode for one changed route
/// (issue 47).
#[test]
fn change_of_one_route_is_sent_in_one_packet() {
    const PACKET_BYTES: usize = 1_400;
    let shards: Vec<String> = (0..270).map(|i| format!("shard-{i}")).collect();
    let names: Vec<&str> = shards.iter().map(String::as_str).collect();
    let mut old = plan(1);
    let service = old.services[0].clone();
    old.services.extend(names.iter().map(|name| (Arc::from(*name), service.clone())));
    old.routes[0].destination = gather(&names);
    old.routes[1].destination = gather(&names);
    old.routes.extend((0..40).map(|i| route(&format!("idle-{i}"), "h", &format!("/{i}/"))));
    let mut new = Plan { number: 2, ..old.clone() };
    new.routes[1].timeout = Span::millis(401);
    let whole = encode(&active(2, &new)).len();
    // A route that gathers carries its shards; one that does not takes some hundred bytes.
    let change = encode(&RevisionChange::between(&active(1, &old), &active(2, &new))).len();
    println!("whole plan {whole} bytes, change of a gathering route {change}");
    assert!(change * 4 < whole);
    new.routes[1].timeout = old.routes[1].timeout;
    new.routes[7].timeout = Span::millis(401);
    let change = encode(&RevisionChange::between(&active(1, &old), &active(2, &new))).len();
    println!("change of another route {change} bytes");
    assert!(change < PACKET_BYTES, "{change}");
}
