//! The registry on several hosts over a network that loses, delays and reorders.

use crate::support::config;
use proptest::prelude::*;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use wisteriahead::core::document::{Admit, Document, Rules};
use wisteriahead::core::endpoint::{Announcement, EndpointState, Holding};
use wisteriahead::core::gossip::{Gossip, Message};
use wisteriahead::core::message::encode;
use wisteriahead::core::registry::{ApplyOutcome, EXPIRY, Registry};
use wisteriahead::core::time::{Span, Time};

const TICK: Span = Span::millis(50);

fn announcement(name: &str, incarnation: u64, sequence: u64) -> Announcement {
    Announcement {
        endpoint: name.to_owned(),
        host: "h1".to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
        zone: "north".to_owned(),
        service: "kits".to_owned(),
        incarnation,
        sequence,
        state: EndpointState::Warm,
        slots: 2,
        connections: 25,
        bearable: 1,
        holdings: vec![Holding {
            collection: "kits".to_owned(),
            snapshot: "s1".to_owned(),
            shard: 0,
            shards: 1,
        }],
    }
}

struct Net {
    now: Time,
    rng: StdRng,
    hosts: Vec<Gossip>,
    wire: BTreeMap<(Time, u64), (usize, usize, Message)>,
    sent: u64,
    /// Bytes of all messages sent.
    bytes: usize,
    /// Messages sent to compare or mend the registries, but for the digests.
    mends: usize,
    /// Hosts that each compared its digests with.
    compared: BTreeMap<usize, BTreeSet<Arc<str>>>,
    loss: f64,
    delay: Span,
    /// A host that no message reaches or leaves.
    cut: Option<usize>,
}

fn name(i: usize) -> Arc<str> {
    format!("h{i}").into()
}

impl Net {
    fn new(seed: u64, n: usize) -> Self {
        let now = Time(1_000_000);
        let hosts = (0..n).map(|i| {
            let mut host = Gossip::new(name(i));
            host.set_others(now, (0..n).filter(|o| *o != i).map(name).collect());
            host
        });
        let hosts = hosts.collect();
        let rng = StdRng::seed_from_u64(seed);
        let (wire, delay) = (BTreeMap::new(), Span::millis(2));
        let compared = BTreeMap::new();
        Self {
            now,
            rng,
            hosts,
            wire,
            sent: 0,
            bytes: 0,
            mends: 0,
            compared,
            loss: 0.0,
            delay,
            cut: None,
        }
    }

    fn send(&mut self, from: usize, out: Vec<(Arc<str>, Message)>) {
        for (to, message) in out {
            self.sent += 1;
            self.bytes += encode(&message).len();
            self.mends += usize::from(matches!(message, Message::Marks { .. }));
            if matches!(message, Message::Digests(_)) {
                self.compared.entry(from).or_default().insert(to.clone());
            }
            if rand::RngExt::random_bool(&mut self.rng, self.loss) {
                continue;
            }
            let delay = rand::RngExt::random_range(&mut self.rng, 0..=self.delay.0);
            let to = to[1..].parse().unwrap();
            if [from, to].map(Some).contains(&self.cut) {
                continue;
            }
            self.wire.insert((self.now + Span(delay), self.sent), (from, to, message));
        }
    }

    fn announce(&mut self, at: usize, a: Announcement) {
        let (_, out) = self.hosts[at].announce(self.now, a);
        self.send(at, out);
    }

    fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK;
            while let Some(entry) = self.wire.first_entry().filter(|e| e.key().0 <= self.now) {
                let (from, to, message) = entry.remove();
                let (_, out) = self.hosts[to].receive(self.now, &name(from), message);
                self.send(to, out);
            }
            for i in 0..self.hosts.len() {
                let (_, out) = self.hosts[i].tick(self.now);
                self.send(i, out);
            }
        }
    }

    fn latest(&self, at: usize, endpoint: &str) -> Option<&Announcement> {
        self.hosts[at].registry.latest(endpoint)
    }
}

proptest! {
    #![proptest_config(config(48))]

    /// Every host ends with the newest announcement of each endpoint that still announces itself,
    /// and without those that fell silent.
    #[test]
    fn all_hosts_agree_on_what_was_announced_last(
        seed: u64,
        n in 1usize..8,
        loss in 0.0f64..0.4,
        delay in 1u64..800,
        said in prop::collection::vec((0usize..8, 0usize..3, 1u64..4, 1u64..40, any::<bool>()), 1..40),
        silent in 0usize..3,
    ) {
        let mut net = Net::new(seed, n);
        (net.loss, net.delay) = (loss, Span::millis(delay));
        let mut newest = [(0, 0); 3];
        let mut states = BTreeMap::new();
        for (at, e, incarnation, sequence, leaves) in said {
            // One announcement has one content, however often it is repeated.
            let state = *states.entry((e, incarnation, sequence)).or_insert(leaves);
            let mut a = announcement(&format!("leaf-{e}"), incarnation, sequence);
            a.state = if state { EndpointState::Draining } else { EndpointState::Warm };
            net.announce(at % n, a);
            newest[e] = newest[e].max((incarnation, sequence));
            net.run(Span::millis(100));
        }
        (net.loss, net.delay) = (0.0, Span::millis(2));
        for beat in 1..=12u64 {
            for (e, (incarnation, sequence)) in newest.iter().enumerate() {
                if *incarnation > 0 && e != silent {
                    let name = format!("leaf-{e}");
                    net.announce(beat as usize % n, announcement(&name, 9, sequence + beat));
                }
            }
            net.run(Span::secs(1));
        }
        for at in 0..n {
            for (e, (incarnation, _)) in newest.iter().enumerate() {
                let seen = net.latest(at, &format!("leaf-{e}")).map(|a| (a.incarnation, a.state));
                let want = (*incarnation > 0 && e != silent).then_some((9, EndpointState::Warm));
                prop_assert_eq!(seen, want, "leaf-{} at h{}", e, at);
            }
        }
    }
}

#[test]
fn change_is_known_everywhere_within_two_seconds_although_the_push_is_lost() {
    let mut net = Net::new(1, 7);
    net.loss = 1.0;
    net.announce(0, announcement("leaf", 1, 1));
    net.run(Span::millis(100));
    net.loss = 0.0;
    net.run(Span::secs(2));
    assert!((0..7).all(|at| net.latest(at, "leaf").is_some()));
}

#[test]
fn endpoint_heard_at_one_host_only_is_not_forgotten_elsewhere() {
    let mut net = Net::new(2, 7);
    for beat in 1..20 {
        net.announce(3, announcement("leaf", 1, beat));
        net.run(Span::secs(1));
        assert!((0..7).all(|at| net.latest(at, "leaf").is_some()), "forgotten at beat {beat}");
    }
    net.run(Span(EXPIRY.0 + Span::secs(2).0));
    assert!((0..7).all(|at| net.latest(at, "leaf").is_none()));
}

/// Both pushes are lost; heartbeats change nothing and are not passed on.
#[test]
fn change_whose_pushes_are_all_lost_is_found_by_the_digests() {
    let mut net = Net::new(4, 7);
    let leaving =
        |beat| Announcement { state: EndpointState::Draining, ..announcement("leaf", 1, beat) };
    net.announce(0, announcement("leaf", 1, 1));
    net.run(Span::secs(1));
    net.loss = 1.0;
    net.announce(0, announcement("other", 1, 1));
    net.announce(0, leaving(2));
    net.run(Span::secs(1));
    net.loss = 0.0;
    for beat in 3..10 {
        net.announce(0, announcement("other", 1, beat));
        net.announce(0, leaving(beat));
        net.run(Span::secs(1));
    }
    for at in 0..7 {
        assert!(net.latest(at, "other").is_some(), "unknown at h{at}");
        assert_eq!(net.latest(at, "leaf").unwrap().state, EndpointState::Draining, "h{at}");
    }
}

/// A host that compared with each in turn would open a connection for each comparison.
#[test]
fn hosts_of_a_large_tier_compare_with_the_same_few_and_agree() {
    const HOSTS: usize = 60;
    const FEW: usize = 3;
    let mut net = Net::new(9, HOSTS);
    net.loss = 1.0;
    net.announce(0, announcement("leaf", 1, 1));
    net.run(Span::secs(1));
    net.loss = 0.0;
    for beat in 2..32 {
        net.announce(0, announcement("leaf", 1, beat));
        net.run(Span::secs(1));
    }
    assert!((0..HOSTS).all(|at| net.latest(at, "leaf").is_some()));
    let most = net.compared.values().map(BTreeSet::len).max();
    assert!(most <= Some(FEW), "a host compared with {most:?} others");
}

/// The others do not hear of its heartbeats, forget it and learn of it again.
#[test]
fn endpoint_that_announced_itself_to_a_host_cut_off_is_known_to_all_afterwards() {
    let mut net = Net::new(8, 7);
    for beat in 1..30 {
        net.cut = (3..14).contains(&beat).then_some(3);
        net.announce(3, announcement("leaf", 1, beat));
        net.run(Span::secs(1));
        assert!(net.latest(3, "leaf").is_some(), "forgotten where it was heard, beat {beat}");
        assert!(beat != 13 || net.latest(0, "leaf").is_none(), "the others heard of it");
    }
    assert!((0..7).all(|at| net.latest(at, "leaf").is_some()));
}

/// Each endpoint announces itself to one host every second.
#[test]
fn heartbeats_that_change_nothing_stay_within_their_share_of_traffic() {
    const ENDPOINTS: usize = 200;
    const HOSTS: usize = 4;
    /// A tenth of what a host may spend on control, in bytes a second.
    const SHARE: usize = 2_700;
    let mut net = Net::new(6, HOSTS);
    let mut beat = 0;
    let mut announce = |net: &mut Net| {
        beat += 1;
        for e in 0..ENDPOINTS {
            net.announce(e % HOSTS, announcement(&format!("service-{e}"), 1, beat));
        }
        net.run(Span::secs(1));
    };
    (0..3).for_each(|_| announce(&mut net));
    (net.bytes, net.mends) = (0, 0);
    (0..5).for_each(|_| announce(&mut net));
    let each = net.bytes / HOSTS / 5;
    println!("{each} bytes a second from each host; {} comparisons", net.mends);
    assert_eq!(net.mends, 0, "the digests differ although nothing changed");
    // Fifty endpoints a host; at the design size there are five.
    assert!(each < SHARE, "{each} bytes a second");
}

#[test]
fn host_that_was_cut_off_forgets_what_the_others_forgot() {
    // Some host is no keeper of the endpoint, and cannot find out by itself.
    for cut in 0..7 {
        let mut net = Net::new(5, 7);
        net.announce(0, announcement("leaf", 1, 1));
        net.run(Span::secs(1));
        net.cut = Some(cut);
        net.run(Span(EXPIRY.0 + Span::secs(3).0));
        net.cut = None;
        net.run(Span::secs(8));
        assert!(net.latest(cut, "leaf").is_none(), "still known at h{cut}");
    }
}

/// A host that has not heard of an endpoint, since others watched it, gives it its full time.
#[test]
fn host_that_begins_to_watch_an_endpoint_gives_it_time() {
    let mut watched_from_now_on = 0;
    for leaf in 0..20 {
        let leaf = format!("leaf-{leaf}");
        let mut host = Gossip::new(name(0));
        host.set_others(Time(1), (1..7).map(name).collect());
        host.receive(Time(1), &name(1), Message::Push(vec![announcement(&leaf, 1, 1)]));
        let later = Time(1) + Span(EXPIRY.0 * 2);
        host.tick(later);
        if host.registry.latest(&leaf).is_none() {
            continue; // It watched this one from the start.
        }
        watched_from_now_on += 1;
        host.set_others(later, Vec::new());
        host.tick(later + Span(EXPIRY.0 / 2));
        assert!(host.registry.latest(&leaf).is_some(), "{leaf} was forgotten at once");
        host.tick(later + Span(EXPIRY.0 * 2));
        assert!(host.registry.latest(&leaf).is_none(), "{leaf} is never forgotten");
    }
    assert!(watched_from_now_on > 0);
}

#[test]
fn silence_before_a_newer_announcement_forgets_nothing() {
    let mut registry = Registry::default();
    registry.announce(Time(1), announcement("leaf", 1, 5));
    assert!(!registry.remove(Time(2), &"leaf".into(), (1, 4)));
    assert!(registry.latest("leaf").is_some());
    assert!(registry.remove(Time(2), &"leaf".into(), (1, 5)));
    assert!(registry.latest("leaf").is_none());
}

#[test]
fn forgotten_endpoint_is_not_brought_back_by_a_late_message() {
    let mut net = Net::new(3, 3);
    net.announce(0, announcement("leaf", 1, 1));
    net.run(Span::secs(8));
    assert!(net.latest(1, "leaf").is_none());
    let late = Message::Push(vec![announcement("leaf", 1, 1)]);
    net.hosts[1].receive(net.now, &name(0), late);
    assert!(net.latest(1, "leaf").is_none());
}

#[test]
fn older_incarnation_reset_sequence_and_repetition_change_nothing() {
    let now = Time(1);
    let mut registry = Registry::default();
    assert_eq!(registry.announce(now, announcement("leaf", 2, 5)), ApplyOutcome::Changed);
    for (incarnation, sequence) in [(1, 99), (2, 1), (2, 5)] {
        let lie = Announcement { slots: 99, ..announcement("leaf", incarnation, sequence) };
        assert_eq!(registry.announce(now, lie.clone()), ApplyOutcome::Stale);
        assert_eq!(registry.merge(now, lie), ApplyOutcome::Stale);
    }
    assert_eq!(registry.latest("leaf").unwrap().slots, 2);
    assert_eq!(registry.announce(now, announcement("leaf", 2, 6)), ApplyOutcome::Refreshed);
}

/// A registry that heard first of one endpoint with one shard, then of `n` with a shard each of `n`.
fn partitioned(n: u32) -> Registry {
    let mut registry = Registry::default();
    let rules = Rules { admit: Admit::Any, ..Rules::default() };
    registry.set_document(Arc::new(Document { rules, ..Document::default() }));
    let one = std::iter::once((0, 1));
    for (shard, shards) in one.chain((0..n).map(|shard| (shard, n))) {
        let mut a = announcement(&format!("leaf-{shard}-{shards}"), 1, 1);
        (a.holdings[0].shard, a.holdings[0].shards) = (shard, shards);
        assert_eq!(registry.announce(Time(1), a), ApplyOutcome::Changed);
    }
    registry
}

fn best(registry: &Registry) -> (usize, usize) {
    let best = registry.routes().collections["kits"].best().unwrap();
    (best.shards_held(), best.shards.len())
}

#[test]
fn other_number_of_shards_is_another_snapshot() {
    let mut registry = partitioned(4);
    assert_eq!(best(&registry), (4, 4));
    // Until the new partitioning is whole, a whole older one of the same name serves.
    registry.remove(Time(2), &"leaf-3-4".into(), (1, 1));
    assert_eq!(best(&registry), (1, 1));
}

#[test]
fn number_of_shards_that_only_few_name_is_never_used() {
    let mut registry = partitioned(16);
    assert_eq!(best(&registry), (16, 16));
    registry.remove(Time(2), &"leaf-3-16".into(), (1, 1));
    assert_eq!(best(&registry), (15, 16), "a lost shard was hidden by a wrong number of shards");
}

/// An endpoint ended without notice, and its address went to one that started later: requests for
/// the first must not go there, in whatever order the two are heard of.
#[test]
fn address_belongs_to_the_endpoint_that_started_last() {
    let document =
        Document { rules: Rules { admit: Admit::Any, ..Rules::default() }, ..Document::default() };
    for names in [["old", "new"], ["new", "old"]] {
        let mut registry = Registry::default();
        registry.set_document(Arc::new(document.clone()));
        for name in names {
            let incarnation = if name == "new" { 2 } else { 1 };
            registry.announce(Time(0), announcement(name, incarnation, 1));
        }
        let routes = registry.routes();
        let served: Vec<_> = routes.services["kits"].iter().map(|t| &*t.name).collect();
        assert_eq!(served, ["new"]);
    }
}
