//! Membership over a simulated network that loses, delays and reorders messages, with cut links,
//! frozen hosts and crashes.

use crate::support::until;
use anyhow::Result;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use proptest::prelude::*;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use wisteria_testkit::matrix::Matrix;
use wisteriahead::core::member::{
    Action, CHANGE_PERIOD, Event, Health, HostSet, LEFT_KEPT, Member, MemberChanges, Membership,
    Message, Record,
};
use wisteriahead::core::message::Topic;
use wisteriahead::core::time::{Span, Time};
use wisteriahead::kernel::Kernel;
use wisteriahead::services::member::{MemberService, MemberSettings};
use wisteriahead::services::{Handler, Peers};
use wisteriahead::util::metrics::Metrics;

const TICK: Span = Span::millis(200);
/// Ticks within which every view must be correct once all faults have ended.
const SETTLE_TICKS: usize = 5 * 40;

#[derive(Clone, Debug)]
enum Fault {
    /// Cuts the link from the first host to the second, in this direction.
    Cut(usize, usize),
    /// Cuts the hosts below this index off from the others.
    Split(usize),
    /// Cuts a zone off from the others.
    CutZone(usize),
    Heal,
    Crash(usize),
    Restart(usize),
    Freeze(usize),
    Thaw(usize),
    RestartAll,
    Leave(usize),
    /// Lets so many ticks pass.
    Run(u8),
}

struct Network {
    now: Time,
    rng: StdRng,
    hosts: Vec<Option<Membership>>,
    zones: usize,
    frozen: Vec<bool>,
    left: Vec<bool>,
    /// Cut links, as pairs of sender and receiver.
    cuts: Vec<(usize, usize)>,
    /// Probability that a message is lost.
    loss: f64,
    /// Longest delay of a message.
    delay: Span,
    /// Messages by time of arrival and number: sender, receiver and content.
    in_transit: BTreeMap<(Time, u64), (usize, usize, Message)>,
    sent: u64,
    bytes: u64,
    /// Whether `bytes` is kept; encoding every message is slow.
    count_bytes: bool,
    /// Last incarnation seen, by observer and observed host.
    incarnations: BTreeMap<(usize, usize), u64>,
}

fn name(i: usize) -> Arc<str> {
    format!("h{i}").into()
}

fn index(name: &str) -> usize {
    name[1..].parse().unwrap()
}

impl Network {
    fn new(seed: u64, n: usize, zones: usize) -> Self {
        let mut net = Self {
            now: Time(1_000_000),
            rng: StdRng::seed_from_u64(seed),
            hosts: (0..n).map(|_| None).collect(),
            zones,
            frozen: vec![false; n],
            left: vec![false; n],
            cuts: Vec::new(),
            loss: 0.0,
            delay: Span::millis(20),
            in_transit: BTreeMap::new(),
            sent: 0,
            bytes: 0,
            count_bytes: false,
            incarnations: BTreeMap::new(),
        };
        (0..n).for_each(|i| net.start(i));
        net
    }

    fn zone(&self, i: usize) -> usize {
        i % self.zones
    }

    /// Starts a host with its seed hosts, as from its settings.
    fn start(&mut self, i: usize) {
        let own = Record {
            host: name(i),
            zone: format!("z{}", self.zone(i)).into(),
            address: ([127, 0, 0, 1], 9).into(),
            incarnation: self.now.0,
            health: Health::Alive,
            durable: false,
        };
        self.hosts[i] = Some(Membership::new(self.now, own));
        (self.frozen[i], self.left[i]) = (false, false);
        self.incarnations.retain(|(at, _), _| *at != i);
        self.discover_seeds(i);
    }

    /// Discovers the seed hosts, as the transport does again and again.
    fn discover_seeds(&mut self, i: usize) {
        let n = self.hosts.len();
        for seed in [(i + 1) % n, (i + 2) % n] {
            self.step_host(i, Event::Discovered(name(seed)));
        }
    }

    /// Passes an event to a host and sends its messages.
    fn step_host(&mut self, i: usize, event: Event) {
        let Some(host) = self.hosts[i].as_mut() else { return };
        for action in host.step(self.now, event) {
            let Action::Send(to, message) = action else { continue };
            self.sent += 1;
            if self.count_bytes {
                self.bytes += wisteriahead::core::message::encode(&message).len() as u64;
            }
            if self.rng.random_bool(self.loss) {
                continue;
            }
            let delay = Span(self.rng.random_range(0..=self.delay.0));
            self.in_transit.insert((self.now + delay, self.sent), (i, index(&to), message));
        }
    }

    fn tick(&mut self) {
        let until = self.now + TICK;
        while let Some(entry) = self.in_transit.first_entry() {
            let (at, _) = *entry.key();
            if at > until {
                break;
            }
            let (from, to, message) = entry.remove();
            self.now = self.now.max(at);
            if !self.cuts.contains(&(from, to)) && !self.frozen[to] {
                self.step_host(to, Event::Received(name(from), message));
            }
        }
        self.now = until;
        for i in 0..self.hosts.len() {
            if !self.frozen[i] && !self.left[i] {
                self.discover_seeds(i);
                self.step_host(i, Event::Tick);
            }
        }
        if self.hosts.len() < 60 {
            self.check_incarnations();
        }
    }

    /// Checks that no incarnation ever decreases in any view.
    fn check_incarnations(&mut self) {
        for (at, host) in self.hosts.iter().enumerate() {
            for m in host.iter().flat_map(Membership::members) {
                let last = self.incarnations.entry((at, index(&m.host))).or_insert(0);
                assert!(m.incarnation >= *last, "h{at}: incarnation of {} decreased", m.host);
                *last = m.incarnation;
            }
        }
    }

    fn apply(&mut self, fault: &Fault) {
        let n = self.hosts.len();
        match *fault {
            Fault::Cut(a, b) => self.cuts.push((a % n, b % n)),
            Fault::CutZone(z) => {
                let z = z % self.zones;
                let pairs = (0..n).flat_map(|a| (0..n).map(move |b| (a, b)));
                let cut: Vec<_> =
                    pairs.filter(|(a, b)| (self.zone(*a) == z) != (self.zone(*b) == z)).collect();
                self.cuts.extend(cut);
            }
            Fault::Split(at) => {
                let pairs = (0..n).flat_map(|a| (0..n).map(move |b| (a, b)));
                self.cuts.extend(pairs.filter(|(a, b)| (*a < at % n) != (*b < at % n)));
            }
            Fault::Heal => self.cuts.clear(),
            Fault::Crash(i) => self.hosts[i % n] = None,
            Fault::Restart(i) => self.start(i % n),
            Fault::Freeze(i) => self.frozen[i % n] = true,
            Fault::Thaw(i) => self.frozen[i % n] = false,
            Fault::RestartAll => (0..n).for_each(|i| self.start(i)),
            Fault::Leave(i) => {
                self.step_host(i % n, Event::Leave);
                self.left[i % n] = true;
            }
            Fault::Run(ticks) => (0..ticks).for_each(|_| self.tick()),
        }
    }

    /// Ends all faults but crashes and runs until the views must have converged.
    fn settle(&mut self) {
        self.cuts.clear();
        (self.loss, self.delay) = (0.0, Span::millis(20));
        self.frozen.fill(false);
        (0..SETTLE_TICKS).for_each(|_| self.tick());
    }

    fn health(&self, at: usize, of: usize) -> Option<Health> {
        let members = self.hosts[at].as_ref()?.members();
        members.iter().find(|m| m.host == name(of)).map(|m| m.health)
    }

    /// The first incorrect view, if any.
    fn first_wrong_view(&self) -> Option<String> {
        let n = self.hosts.len();
        let live = |i: usize| self.hosts[i].is_some() && !self.left[i];
        for at in (0..n).filter(|i| live(*i)) {
            for of in 0..n {
                let seen = self.health(at, of);
                let right = match seen {
                    Some(Health::Alive) => live(of),
                    Some(Health::Lost | Health::Left) => !live(of),
                    Some(Health::Leaving | Health::Suspect) => false,
                    None => !live(of),
                };
                if !right {
                    return Some(format!("h{at} sees h{of} as {seen:?}"));
                }
            }
        }
        None
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    let i = || 0usize..16;
    prop_oneof![
        2 => (i(), i()).prop_map(|(a, b)| Fault::Cut(a, b)),
        1 => i().prop_map(Fault::CutZone),
        1 => i().prop_map(Fault::Split),
        1 => Just(Fault::Heal),
        1 => i().prop_map(Fault::Crash),
        2 => i().prop_map(Fault::Restart),
        1 => i().prop_map(Fault::Freeze),
        1 => i().prop_map(Fault::Thaw),
        1 => Just(Fault::RestartAll),
        1 => i().prop_map(Fault::Leave),
        6 => (1u8..60).prop_map(Fault::Run),
    ]
}

proptest! {
    #![proptest_config(crate::support::config(48))]

    /// After any faults, once the network is healed, every view is correct within a bounded time,
    /// and no incarnation ever decreases.
    #[test]
    fn views_converge_once_faults_end(
        seed: u64,
        n in 2usize..10,
        zones in 1usize..4,
        loss in 0.0f64..0.3,
        delay in 1u64..900,
        faults in prop::collection::vec(fault(), 0..24),
    ) {
        let mut net = Network::new(seed, n, zones);
        (net.loss, net.delay) = (loss, Span::millis(delay));
        for fault in &faults {
            net.apply(fault);
        }
        // A host that nobody knows and whose seeds are dead can't be discovered, so every host
        // learns of all others here.
        for (i, to) in (0..n).flat_map(|i| (0..n).map(move |to| (i, to))) {
            if !net.left[i] {
                net.step_host(i, Event::Discovered(name(to)));
            }
        }
        net.settle();
        prop_assert_eq!(net.first_wrong_view(), None);
    }
}

/// A network in which every host knows all others.
fn settled_network(n: usize, zones: usize) -> Network {
    let mut net = Network::new(7, n, zones);
    net.settle();
    assert_eq!(net.first_wrong_view(), None);
    net
}

#[test]
fn crashed_host_is_lost_to_all_hosts_within_eight_periods() {
    for (n, zones) in [(2, 1), (3, 1), (7, 3), (24, 3), (54, 1)] {
        let mut net = settled_network(n, zones);
        net.apply(&Fault::Crash(0));
        (0..5 * 9).for_each(|_| net.tick());
        assert_eq!(net.first_wrong_view(), None, "{n} hosts in {zones} zones");
    }
}

#[test]
fn one_way_cut_between_two_hosts_raises_no_suspicion() {
    let mut net = settled_network(5, 1);
    net.apply(&Fault::Cut(0, 1));
    for _ in 0..5 * 30 {
        net.tick();
        for at in 0..5 {
            assert_eq!(net.health(at, 1), Some(Health::Alive), "at h{at}");
        }
    }
}

#[test]
fn rejoining_host_spreads_no_suspicion() {
    let mut net = settled_network(6, 2);
    for other in 1..6 {
        net.cuts.extend([(0, other), (other, 0)]);
    }
    (0..5 * 20).for_each(|_| net.tick());
    assert!((1..6).all(|i| net.health(0, i) == Some(Health::Lost)));
    assert!((1..6).all(|i| net.health(i, 0) == Some(Health::Lost)));
    net.cuts.clear();
    for _ in 0..SETTLE_TICKS {
        net.tick();
        for at in 1..6 {
            for of in (1..6).filter(|of| *of != at) {
                assert_eq!(net.health(at, of), Some(Health::Alive), "h{at} on h{of}");
            }
        }
    }
    assert_eq!(net.first_wrong_view(), None);
}

#[test]
fn views_converge_after_a_split_zone_heals() {
    let mut net = settled_network(6, 1);
    net.apply(&Fault::Split(3));
    (0..5 * 20).for_each(|_| net.tick());
    assert_eq!(net.health(0, 5), Some(Health::Lost));
    assert_eq!(net.health(0, 1), Some(Health::Alive));
    net.settle();
    assert_eq!(net.first_wrong_view(), None);
}

#[test]
fn thawed_host_suspects_nobody() {
    let mut net = settled_network(6, 2);
    net.apply(&Fault::Freeze(0));
    (0..5 * 20).for_each(|_| net.tick());
    net.apply(&Fault::Thaw(0));
    net.tick();
    assert!((1..6).all(|i| net.health(0, i) == Some(Health::Alive)));
    net.settle();
    assert_eq!(net.first_wrong_view(), None);
}

#[test]
fn gossip_of_430_hosts_stays_within_its_traffic_budget() {
    let mut net = Network::new(3, 430, 8);
    (0..5 * 8).for_each(|_| net.tick());
    assert_eq!(net.first_wrong_view(), None);
    (net.sent, net.bytes, net.count_bytes) = (0, 0, true);
    (0..5 * 4).for_each(|_| net.tick());
    let per_host = |n: u64| n as f64 / 430.0 / 4.0;
    let (bytes, messages) = (per_host(net.bytes), per_host(net.sent));
    println!("a host sends {bytes:.0} bytes in {messages:.1} messages a second");
    // A quarter of the traffic budget of a host, which receives as much as it sends.
    assert!(bytes < 6_750.0, "{bytes}");
}

/// Messages and view updates of a host, per second, in a tier of this size.
fn work_per_host(net: &mut Network, ticks: usize) -> (f64, f64) {
    let views =
        |net: &Network| -> u64 { net.hosts.iter().flatten().map(|h| h.view_updates()).sum() };
    let (sent, viewed, hosts) = (net.sent, views(net), net.hosts.len() as f64);
    (0..ticks).for_each(|_| net.tick());
    ((net.sent - sent) as f64 / hosts, (views(net) - viewed) as f64 / hosts)
}

/// A host that restarts may cost another one half a millisecond, and a message takes a tenth.
#[test]
fn rolling_restarts_cost_other_hosts_few_messages_each() {
    const RESTARTS: usize = 24;
    let mut net = settled_network(300, 6);
    let ticks = 5 * 20;
    let (rest, _) = work_per_host(&mut net, ticks);
    let mut total = (0.0, 0.0);
    for i in 0..RESTARTS {
        net.apply(&Fault::Leave(i * 7));
        let back = i.checked_sub(6).map(|i| Fault::Restart(i * 7));
        back.iter().for_each(|restart| net.apply(restart));
        let (messages, views) = work_per_host(&mut net, ticks / RESTARTS);
        total = (total.0 + messages, total.1 + views);
    }
    let messages = (total.0 - rest) / RESTARTS as f64;
    let views = total.1 / RESTARTS as f64;
    println!("a restart costs each other host {messages:.2} messages and {views:.1} view updates");
    assert!(messages < 2.0, "{messages}");
    assert!(views < 4.0, "{views}");
}

#[test]
fn planned_leave_is_known_to_300_hosts_within_the_time_to_stop() {
    let mut net = settled_network(300, 6);
    for host in [0, 1, 2, 3, 4, 5] {
        net.apply(&Fault::Leave(host));
        let mut ticks = 0;
        while net.first_wrong_view().is_some() {
            net.tick();
            ticks += 1;
            assert!(ticks < 5 * 20, "never known");
        }
        println!("known after {ticks} ticks");
        assert!(ticks <= 5 * 5, "{ticks}");
    }
}

#[test]
fn every_fault_at_every_step() {
    let faults = [
        ("one-way cut", Fault::Cut(0, 1)),
        ("zone cut", Fault::CutZone(0)),
        ("split within the zones", Fault::Split(3)),
        ("crash", Fault::Crash(0)),
        ("restart", Fault::Restart(0)),
        ("freeze", Fault::Freeze(0)),
        ("all restart", Fault::RestartAll),
        ("leave", Fault::Leave(0)),
    ];
    let steps = ["join", "steady", "suspected", "lost", "healed"];
    let names: Vec<_> = faults.iter().map(|f| f.0).collect();
    let invariant = "once the network is whole every host's view is true, and no incarnation fell.";
    let mut matrix = Matrix::new("membership", invariant, &names, &steps);
    for (fault_name, fault) in &faults {
        for step in steps {
            let mut net = Network::new(11, 6, 2);
            net.loss = 0.05;
            run_to_step(&mut net, step);
            net.apply(fault);
            net.apply(&Fault::Run(60));
            net.settle();
            assert_eq!(net.first_wrong_view(), None, "{fault_name} at {step}");
            matrix.record_held(fault_name, step);
        }
    }
    matrix.finish();
}

/// Brings the network to a step in the life of host 2, as the others see it.
fn run_to_step(net: &mut Network, step: &str) {
    let silence = match step {
        "join" => return,
        "steady" => 0,
        "suspected" => 5 * 3,
        _ => 5 * 10,
    };
    (0..5 * 10).for_each(|_| net.tick());
    net.apply(&Fault::Freeze(2));
    (0..silence).for_each(|_| net.tick());
    if step != "suspected" && step != "lost" {
        net.apply(&Fault::Thaw(2));
        (0..5).for_each(|_| net.tick());
    }
}

fn member(host: &str, health: Health) -> Member {
    let (host, zone) = (host.into(), "z".into());
    Member { host, zone, health, incarnation: 1, durable: false }
}

fn names(set: &HostSet) -> Vec<String> {
    set.sorted().into_iter().map(|(host, _)| host.to_string()).collect()
}

/// Applies members to a set of hosts, and returns whether what they share is divided anew later.
fn set_all(set: &mut HostSet, now: Time, old: &[Member], list: &[Member]) -> bool {
    set.update(now, &MemberChanges::between(old, list));
    set.take_change(now + CHANGE_PERIOD)
}

#[test]
fn host_that_leaves_and_comes_back_keeps_its_share() {
    let mut set = HostSet::new(Health::Suspect);
    let mut list = vec![member("a", Health::Alive), member("b", Health::Alive)];
    let start = Time(1_000_000);
    assert!(set_all(&mut set, start, &[], &list));
    for (after, health) in
        [(2, Health::Suspect), (4, Health::Leaving), (6, Health::Left), (20, Health::Alive)]
    {
        let old = list.clone();
        list[1].health = health;
        assert!(!set_all(&mut set, start + Span::secs(after), &old, &list), "{health:?}");
    }
    // It has come back, so nothing ends.
    assert!(!set.take_change(start + Span::secs(100)));
    assert_eq!(names(&set), ["a", "b"]);
}

#[test]
fn share_of_a_host_that_stays_away_ends() {
    let mut set = HostSet::new(Health::Suspect);
    let start = Time(1_000_000);
    let list = [member("a", Health::Alive), member("b", Health::Left), member("c", Health::Lost)];
    assert!(set_all(&mut set, start, &[], &list));
    assert_eq!(names(&set), ["a", "b"], "a host that starts shares like the others");
    assert!(!set.take_change(start + Span(LEFT_KEPT.0 - 1)));
    assert!(set.take_change(start + LEFT_KEPT));
    assert_eq!(names(&set), ["a"]);
    assert!(set_all(&mut set, start + LEFT_KEPT, &list, &[]));
    assert!(set.is_empty());
}

#[test]
fn share_of_a_lost_host_ends_at_once_unless_lost_hosts_count() {
    let (list, lost) = ([member("a", Health::Alive)], [member("a", Health::Lost)]);
    for (worst, kept) in [(Health::Suspect, false), (Health::Lost, true)] {
        let mut set = HostSet::new(worst);
        set_all(&mut set, Time(1), &[], &list);
        let changed = set_all(&mut set, Time(1) + CHANGE_PERIOD, &list, &lost);
        assert_eq!((changed, set.len() == 1), (!kept, kept));
    }
}

/// Guards against dividing everything anew for each of many hosts that start together (issue 47).
#[test]
fn hosts_that_come_together_change_the_set_few_times() {
    let mut set = HostSet::new(Health::Suspect);
    let (start, mut list, mut changes) = (Time(1_000_000), Vec::new(), 0);
    for i in 0..100 {
        let now = start + Span::millis(20 * i);
        let old = list.clone();
        list.push(member(&format!("h{i:03}"), Health::Alive));
        set.update(now, &MemberChanges::between(&old, &list));
        changes += u32::from(set.take_change(now));
    }
    // Each time for half as many hosts more, and once a second.
    assert!(changes <= 14, "{changes}");
    set.take_change(start + Span::secs(3));
    assert_eq!(set.len(), 100);
}

#[test]
fn changes_of_members_are_those_that_differ() {
    let old = [member("a", Health::Alive), member("b", Health::Alive), member("d", Health::Alive)];
    let new = [member("b", Health::Alive), member("c", Health::Alive), member("d", Health::Lost)];
    let MemberChanges { members, gone } = MemberChanges::between(&old, &new);
    assert_eq!(members, new[1..]);
    assert_eq!(gone, [member("a", Health::Left)]);
}

/// A host that restarts must be known to be leaving while it still serves.
#[test]
fn host_that_will_leave_is_known_as_leaving_and_not_suspected() {
    let mut net = settled_network(60, 3);
    net.step_host(0, Event::Retire);
    (0..5 * 3).for_each(|_| net.tick());
    for at in 1..60 {
        assert_eq!(net.health(at, 0), Some(Health::Leaving), "at h{at}");
    }
    net.apply(&Fault::Leave(0));
    (0..5 * 3).for_each(|_| net.tick());
    assert_eq!(net.first_wrong_view(), None);
    net.apply(&Fault::Restart(0));
    (0..5 * 3).for_each(|_| net.tick());
    assert_eq!(net.first_wrong_view(), None);
}

/// Other hosts that never answer, and those that were sent a message.
#[derive(Default)]
struct SilentPeers {
    sent: Mutex<BTreeSet<String>>,
}

const SILENT_HOSTS: usize = 9;

impl Peers for SilentPeers {
    fn host(&self) -> &str {
        "new"
    }

    fn zone(&self) -> &str {
        "z"
    }

    fn others(&self) -> Vec<String> {
        (0..SILENT_HOSTS).map(|i| format!("h{i}")).collect()
    }

    fn listen_address(&self) -> Option<SocketAddr> {
        Some(([127, 0, 0, 1], 9).into())
    }

    fn set_handler(&self, _: Topic, _: Arc<dyn Handler>) {}

    fn send(&self, to: &str, _: Topic, _: Vec<u8>) {
        self.sent.lock().insert(to.to_owned());
    }

    fn call<'a>(&'a self, _: &'a str, _: Topic, _: Vec<u8>) -> BoxFuture<'a, Result<Vec<u8>>> {
        Box::pin(std::future::pending())
    }
}

/// Guards against a host that exchanges records with two silent hosts only, and never with one that
/// would answer.
#[tokio::test]
async fn silent_hosts_do_not_keep_others_from_being_discovered() {
    let peers = Arc::new(SilentPeers::default());
    let mut kernel = Kernel::default();
    kernel.context().publish::<dyn Peers>(<dyn Peers>::NAME, peers.clone());
    let settings = MemberSettings { incarnation: 1, durable: false };
    let service = MemberService::new(settings, Metrics::new(None).unwrap());
    kernel.start(Arc::new(service)).await.unwrap();
    until("all hosts are asked", || peers.sent.lock().len() == SILENT_HOSTS).await;
    kernel.stop(Span::secs(1)).await;
}
