//! The registry on several hosts over a network that loses, delays and reorders messages.

use crate::support::config;
use proptest::prelude::*;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use wisteriahead::core::digest::rank;
use wisteriahead::core::document::{Admit, Document, Rules, Zone, ZoneState};
use wisteriahead::core::endpoint::{Announcement, EndpointState, Holding};
use wisteriahead::core::gossip::{Gossip, Message};
use wisteriahead::core::message::encode;
use wisteriahead::core::monitors::MONITOR_COUNT;
use wisteriahead::core::registry::{ApplyOutcome, EXPIRY, Registry};
use wisteriahead::core::routes::{Replicas, Routes, Target};
use wisteriahead::core::time::{Span, Time};
use yare::parameterized;

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

struct Network {
    now: Time,
    rng: StdRng,
    hosts: Vec<Gossip>,
    wire: BTreeMap<(Time, u64), (usize, usize, Message)>,
    sent: u64,
    /// Bytes of all messages sent.
    bytes: usize,
    /// `Marks` messages, which hosts send when their digests differ.
    repairs: usize,
    pushes: usize,
    /// Hosts to which each host sent its digests.
    compared: BTreeMap<usize, BTreeSet<Arc<str>>>,
    loss: f64,
    delay: Span,
    /// A host that neither sends nor receives messages.
    isolated: Option<usize>,
}

fn name(i: usize) -> Arc<str> {
    format!("h{i}").into()
}

impl Network {
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
            repairs: 0,
            pushes: 0,
            compared,
            loss: 0.0,
            delay,
            isolated: None,
        }
    }

    fn send(&mut self, from: usize, out: Vec<(Arc<str>, Message)>) {
        for (to, message) in out {
            self.sent += 1;
            self.bytes += encode(&message).len();
            self.repairs += usize::from(matches!(message, Message::Marks { .. }));
            self.pushes += usize::from(matches!(message, Message::Push(_)));
            if matches!(message, Message::Digests(_)) {
                self.compared.entry(from).or_default().insert(to.clone());
            }
            if rand::RngExt::random_bool(&mut self.rng, self.loss) {
                continue;
            }
            let delay = rand::RngExt::random_range(&mut self.rng, 0..=self.delay.0);
            let to = to[1..].parse().unwrap();
            if [from, to].map(Some).contains(&self.isolated) {
                continue;
            }
            self.wire.insert((self.now + Span(delay), self.sent), (from, to, message));
        }
    }

    fn announce(&mut self, at: usize, a: Announcement) {
        self.hosts[at].announce(self.now, a);
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
    /// and without the silent endpoint.
    #[test]
    fn hosts_converge_on_the_newest_announcements(
        seed: u64,
        n in 1usize..8,
        loss in 0.0f64..0.4,
        delay in 1u64..800,
        announcements in prop::collection::vec((0usize..8, 0usize..3, 1u64..4, 1u64..40, any::<bool>()), 1..40),
        silent in 0usize..3,
    ) {
        let mut network = Network::new(seed, n);
        (network.loss, network.delay) = (loss, Span::millis(delay));
        let mut newest = [(0, 0); 3];
        let mut states = BTreeMap::new();
        for (at, e, incarnation, sequence, leaves) in announcements {
            // One announcement has one content, however often it is repeated.
            let state = *states.entry((e, incarnation, sequence)).or_insert(leaves);
            let mut a = announcement(&format!("leaf-{e}"), incarnation, sequence);
            a.state = if state { EndpointState::Draining } else { EndpointState::Warm };
            network.announce(at % n, a);
            newest[e] = newest[e].max((incarnation, sequence));
            network.run(Span::millis(100));
        }
        (network.loss, network.delay) = (0.0, Span::millis(2));
        for beat in 1..=12u64 {
            for (e, (incarnation, sequence)) in newest.iter().enumerate() {
                if *incarnation > 0 && e != silent {
                    let name = format!("leaf-{e}");
                    network.announce(beat as usize % n, announcement(&name, 9, sequence + beat));
                }
            }
            network.run(Span::secs(1));
        }
        for at in 0..n {
            for (e, (incarnation, _)) in newest.iter().enumerate() {
                let seen = network.latest(at, &format!("leaf-{e}")).map(|a| (a.incarnation, a.state));
                let want = (*incarnation > 0 && e != silent).then_some((9, EndpointState::Warm));
                prop_assert_eq!(seen, want, "leaf-{} at h{}", e, at);
            }
        }
    }
}

#[test]
fn change_spreads_within_two_seconds_after_its_push_is_lost() {
    let mut network = Network::new(1, 7);
    network.loss = 1.0;
    network.announce(0, announcement("leaf", 1, 1));
    network.run(Span::millis(100));
    network.loss = 0.0;
    network.run(Span::secs(2));
    assert!((0..7).all(|at| network.latest(at, "leaf").is_some()));
}

#[test]
fn endpoint_announced_to_one_host_does_not_expire_at_others() {
    let mut network = Network::new(2, 7);
    for beat in 1..20 {
        network.announce(3, announcement("leaf", 1, beat));
        network.run(Span::secs(1));
        assert!((0..7).all(|at| network.latest(at, "leaf").is_some()), "expired at beat {beat}");
    }
    network.run(Span(EXPIRY.0 + Span::secs(2).0));
    assert!((0..7).all(|at| network.latest(at, "leaf").is_none()));
}

/// Guards against hosts that never learn of a change: both pushes are lost, and heartbeats change
/// nothing and are not passed on.
#[test]
fn digests_find_a_change_whose_pushes_are_all_lost() {
    let mut network = Network::new(4, 7);
    let leaving =
        |beat| Announcement { state: EndpointState::Draining, ..announcement("leaf", 1, beat) };
    network.announce(0, announcement("leaf", 1, 1));
    network.run(Span::secs(1));
    network.loss = 1.0;
    network.announce(0, announcement("other", 1, 1));
    network.announce(0, leaving(2));
    network.run(Span::secs(1));
    network.loss = 0.0;
    for beat in 3..10 {
        network.announce(0, announcement("other", 1, beat));
        network.announce(0, leaving(beat));
        network.run(Span::secs(1));
    }
    for at in 0..7 {
        assert!(network.latest(at, "other").is_some(), "unknown at h{at}");
        assert_eq!(network.latest(at, "leaf").unwrap().state, EndpointState::Draining, "h{at}");
    }
}

/// Guards against a full mesh of connections: a host that compared digests with each other host
/// would open a connection to each.
#[test]
fn hosts_of_a_large_tier_converge_with_few_partners_each() {
    const HOSTS: usize = 60;
    const MAX_PARTNERS: usize = 3;
    let mut network = Network::new(9, HOSTS);
    network.loss = 1.0;
    network.announce(0, announcement("leaf", 1, 1));
    network.run(Span::secs(1));
    network.loss = 0.0;
    for beat in 2..32 {
        network.announce(0, announcement("leaf", 1, beat));
        network.run(Span::secs(1));
    }
    assert!((0..HOSTS).all(|at| network.latest(at, "leaf").is_some()));
    let most = network.compared.values().map(BTreeSet::len).max();
    assert!(most <= Some(MAX_PARTNERS), "a host compared with {most:?} others");
}

/// While the host is partitioned, the others miss the endpoint's heartbeats and expire it.
#[test]
fn endpoint_announced_to_a_partitioned_host_is_known_after_healing() {
    let mut network = Network::new(8, 7);
    for beat in 1..30 {
        network.isolated = (3..14).contains(&beat).then_some(3);
        network.announce(3, announcement("leaf", 1, beat));
        network.run(Span::secs(1));
        assert!(network.latest(3, "leaf").is_some(), "expired at its own host, beat {beat}");
        assert!(beat != 13 || network.latest(0, "leaf").is_none(), "the others heard of it");
    }
    assert!((0..7).all(|at| network.latest(at, "leaf").is_some()));
}

/// Guards against hosts that fall behind their own messages: a host of a large tier took
/// milliseconds of processor time for each changed endpoint, more than it has.
#[test]
fn change_of_one_endpoint_ranks_hosts_for_that_endpoint_alone() {
    const ENDPOINTS: u64 = 500;
    const HOSTS: usize = 76;
    let mut host = Gossip::new(name(0));
    host.set_others(Time(1), (1..HOSTS).map(name).collect());
    let push = |host: &mut Gossip, e: u64, state| {
        let a = Announcement { state, ..announcement(&format!("leaf-{e}"), 1, 1 + e) };
        host.receive(Time(1), &name(1), Message::Push(vec![a]));
    };
    (0..ENDPOINTS).for_each(|e| push(&mut host, e, EndpointState::Starting));
    assert!(host.rankings() <= ENDPOINTS * HOSTS as u64, "{} rankings", host.rankings());
    let before = host.rankings();
    host.receive(Time(1), &name(1), Message::Push(vec![announcement("leaf-7", 1, 1_000)]));
    let ranked = host.rankings() - before;
    assert!(ranked <= HOSTS as u64, "{ranked} rankings for one changed endpoint");
}

/// Load pattern: many endpoints are replaced together, in a tier of many hosts.
#[test]
fn changes_of_many_endpoints_at_once_take_one_message_to_each_host() {
    const HOSTS: usize = 20;
    let mut network = Network::new(3, HOSTS);
    network.run(Span::secs(1));
    (0..100).for_each(|e| network.announce(0, announcement(&format!("leaf-{e}"), 1, 1)));
    network.run(TICK);
    assert_eq!(network.pushes, HOSTS - 1);
    network.run(Span::millis(20));
    assert!((1..HOSTS).all(|at| network.latest(at, "leaf-99").is_some()));
}

/// Guards against a tenth of a host's processor time in a tier whose endpoints change: each message with a
/// change looked at the monitors of all endpoints.
#[test]
fn change_of_one_endpoint_looks_at_the_monitors_of_new_endpoints_alone() {
    const ENDPOINTS: u64 = 500;
    let mut host = Gossip::new(name(0));
    host.set_others(Time(1), (1..76).map(name).collect());
    for e in 0..ENDPOINTS {
        let push = Message::Push(vec![announcement(&format!("leaf-{e}"), 1, 1)]);
        host.receive(Time(1), &name(1), push);
    }
    assert_eq!(host.registry.monitor_updates(), ENDPOINTS);
    let changed = Announcement { state: EndpointState::Starting, ..announcement("leaf-7", 1, 9) };
    host.receive(Time(1), &name(1), Message::Push(vec![changed]));
    assert_eq!(host.registry.monitor_updates(), ENDPOINTS);
}

proptest! {
    #![proptest_config(config(64))]

    /// The monitors that are kept while hosts come and go are those that a host which knows only the
    /// present hosts determines, whatever release it runs.
    #[test]
    fn kept_monitors_are_the_highest_ranked_hosts(
        rounds in prop::collection::vec(prop::collection::btree_set(1usize..12, 0..11), 1..12),
    ) {
        let mut host = Gossip::new(name(0));
        for (e, others) in rounds.iter().enumerate() {
            let others: Vec<_> = others.iter().copied().map(name).collect();
            host.set_others(Time(1), others.clone());
            let push = Message::Push(vec![announcement(&format!("leaf-{e}"), 1, 1)]);
            host.receive(Time(1), &name(1), push);
            let own = name(0);
            for leaf in (0..=e).map(|e| format!("leaf-{e}")) {
                let ranked = rank(&leaf, others.iter().chain([&own]).map(|h| &**h));
                let kept = host.registry.monitors(&leaf).unwrap().hosts().map(|h| &**h);
                prop_assert_eq!(kept.collect::<Vec<_>>(), &ranked[..ranked.len().min(MONITOR_COUNT)]);
            }
        }
    }
}

/// Guards against the same work at each change of the hosts: all hosts ranked for all endpoints.
#[test]
fn change_of_one_host_ranks_only_that_host_for_most_endpoints() {
    const ENDPOINTS: usize = 500;
    const HOSTS: usize = 76;
    let mut host = Gossip::new(name(0));
    host.set_others(Time(1), (1..HOSTS).map(name).collect());
    let list = (0..ENDPOINTS).map(|e| announcement(&format!("leaf-{e}"), 1, 1)).collect();
    host.receive(Time(1), &name(1), Message::Push(list));
    // Of the endpoints, 2 in 76 are monitored by one host; these are ranked anew when it goes.
    for hosts in [HOSTS - 1, HOSTS, HOSTS + 1, HOSTS + 1] {
        let before = host.rankings();
        host.set_others(Time(1), (1..hosts).map(name).collect());
        let ranked = host.rankings() - before;
        assert!(ranked <= (6 * ENDPOINTS) as u64, "{ranked} rankings for {hosts} hosts");
    }
}

/// Each endpoint announces itself to one host every second.
#[test]
fn unchanged_heartbeats_stay_within_their_bandwidth() {
    const ENDPOINTS: usize = 200;
    const HOSTS: usize = 4;
    /// A tenth of a host's bandwidth for control, in bytes per second.
    const MAX_BYTES_PER_SECOND: usize = 2_700;
    let mut network = Network::new(6, HOSTS);
    let mut beat = 0;
    let mut announce = |network: &mut Network| {
        beat += 1;
        for e in 0..ENDPOINTS {
            network.announce(e % HOSTS, announcement(&format!("service-{e}"), 1, beat));
        }
        network.run(Span::secs(1));
    };
    (0..3).for_each(|_| announce(&mut network));
    (network.bytes, network.repairs) = (0, 0);
    (0..5).for_each(|_| announce(&mut network));
    let each = network.bytes / HOSTS / 5;
    println!("{each} bytes a second from each host; {} comparisons", network.repairs);
    assert_eq!(network.repairs, 0, "the digests differ although nothing changed");
    // Fifty endpoints per host; at the design size there are five.
    assert!(each < MAX_BYTES_PER_SECOND, "{each} bytes a second");
}

#[test]
fn partitioned_host_expires_what_the_others_expired() {
    // Some host does not watch the endpoint and cannot detect its expiry by itself.
    for isolated in 0..7 {
        let mut network = Network::new(5, 7);
        network.announce(0, announcement("leaf", 1, 1));
        network.run(Span::secs(1));
        network.isolated = Some(isolated);
        network.run(Span(EXPIRY.0 + Span::secs(3).0));
        network.isolated = None;
        network.run(Span::secs(8));
        assert!(network.latest(isolated, "leaf").is_none(), "still known at h{isolated}");
    }
}

/// Guards against early expiry: a host that begins to watch an endpoint has not received its
/// heartbeats, which went to the hosts that watched it before.
#[test]
fn host_that_begins_to_watch_an_endpoint_grants_the_full_expiry() {
    let mut watched_from_now_on = 0;
    for leaf in 0..20 {
        let leaf = format!("leaf-{leaf}");
        let mut host = Gossip::new(name(0));
        host.set_others(Time(1), (1..7).map(name).collect());
        host.receive(Time(1), &name(1), Message::Push(vec![announcement(&leaf, 1, 1)]));
        let later = Time(1) + Span(EXPIRY.0 * 2);
        host.tick(later);
        if host.registry.latest(&leaf).is_none() {
            continue; // The host watched this endpoint from the start.
        }
        watched_from_now_on += 1;
        host.set_others(later, Vec::new());
        host.tick(later + Span(EXPIRY.0 / 2));
        assert!(host.registry.latest(&leaf).is_some(), "{leaf} expired at once");
        host.tick(later + Span(EXPIRY.0 * 2));
        assert!(host.registry.latest(&leaf).is_none(), "{leaf} never expires");
    }
    assert!(watched_from_now_on > 0);
}

#[test]
fn expiry_of_an_older_announcement_removes_nothing() {
    let mut registry = Registry::default();
    registry.announce(Time(1), announcement("leaf", 1, 5));
    assert!(!registry.remove(Time(2), &"leaf".into(), (1, 4)));
    assert!(registry.latest("leaf").is_some());
    assert!(registry.remove(Time(2), &"leaf".into(), (1, 5)));
    assert!(registry.latest("leaf").is_none());
}

#[test]
fn expired_endpoint_is_not_restored_by_a_late_message() {
    let mut network = Network::new(3, 3);
    network.announce(0, announcement("leaf", 1, 1));
    network.run(Span::secs(8));
    assert!(network.latest(1, "leaf").is_none());
    let late = Message::Push(vec![announcement("leaf", 1, 1)]);
    network.hosts[1].receive(network.now, &name(0), late);
    assert!(network.latest(1, "leaf").is_none());
}

#[test]
fn older_incarnation_reset_or_repeated_sequence_is_stale() {
    let now = Time(1);
    let mut registry = Registry::default();
    assert_eq!(registry.announce(now, announcement("leaf", 2, 5)), ApplyOutcome::Changed);
    for (incarnation, sequence) in [(1, 99), (2, 1), (2, 5)] {
        let stale = Announcement { slots: 99, ..announcement("leaf", incarnation, sequence) };
        assert_eq!(registry.announce(now, stale.clone()), ApplyOutcome::Stale);
        assert_eq!(registry.merge(now, stale), ApplyOutcome::Stale);
    }
    assert_eq!(registry.latest("leaf").unwrap().slots, 2);
    assert_eq!(registry.announce(now, announcement("leaf", 2, 6)), ApplyOutcome::Refreshed);
}

/// A registry that received an endpoint with the only shard, then `n` endpoints with one shard of
/// `n` each.
fn partitioned(n: u32) -> Registry {
    let mut registry = Registry::default();
    let rules = Rules { admit: Admit::Any, ..Rules::default() };
    registry.set_document(Time(0), Arc::new(Document { rules, ..Document::default() }));
    let one = std::iter::once((0, 1));
    for (shard, shards) in one.chain((0..n).map(|shard| (shard, n))) {
        let mut a = announcement(&format!("leaf-{shard}-{shards}"), 1, 1);
        (a.holdings[0].shard, a.holdings[0].shards) = (shard, shards);
        assert_eq!(registry.announce(Time(1), a), ApplyOutcome::Changed);
    }
    registry
}

fn best(registry: &mut Registry) -> (usize, usize) {
    let best = registry.routes().collections["kits"].best().unwrap();
    (best.shards_held(), best.shards.len())
}

#[test]
fn different_shard_count_is_another_snapshot() {
    let mut registry = partitioned(4);
    assert_eq!(best(&mut registry), (4, 4));
    // Until the new partitioning is complete, a complete older one of the same name is used.
    registry.remove(Time(2), &"leaf-3-4".into(), (1, 1));
    assert_eq!(best(&mut registry), (1, 1));
}

#[test]
fn shard_count_that_few_endpoints_name_is_never_used() {
    let mut registry = partitioned(16);
    assert_eq!(best(&mut registry), (16, 16));
    registry.remove(Time(2), &"leaf-3-16".into(), (1, 1));
    assert_eq!(
        best(&mut registry),
        (15, 16),
        "a lost shard was hidden by a wrong number of shards"
    );
}

/// Guards against requests to the wrong endpoint: one crashed, and its address went to one that
/// started later; the order of their announcements must not matter.
#[test]
fn address_belongs_to_the_newest_incarnation() {
    let document =
        Document { rules: Rules { admit: Admit::Any, ..Rules::default() }, ..Document::default() };
    for names in [["old", "new"], ["new", "old"]] {
        let mut registry = Registry::default();
        registry.set_document(Time(0), Arc::new(document.clone()));
        for name in names {
            let incarnation = if name == "new" { 2 } else { 1 };
            registry.announce(Time(0), announcement(name, incarnation, 1));
        }
        let routes = registry.routes();
        let served: Vec<_> = routes.services["kits"].iter().map(|t| &*t.name).collect();
        assert_eq!(served, ["new"]);
    }
}

/// A document in which the zone `north` is in a state since a revision.
fn zone_document(state: ZoneState, changed: u64) -> Arc<Document> {
    let (name, region) = ("north".to_owned(), String::new());
    Arc::new(Document {
        zones: vec![Zone { name, region, state }],
        rules: Rules { admit: Admit::Any, ..Rules::default() },
        zone_changes: [("north".to_owned(), changed)].into(),
        ..Document::default()
    })
}

/// Whether an endpoint is taken to be in cold start, and the limit on its concurrent requests; none if
/// it gets no requests.
fn coldness(registry: &mut Registry) -> Option<(bool, u32)> {
    let routes = registry.routes();
    routes.services.get("kits").and_then(|t| t.first()).map(|t| (t.cold, t.allowed))
}

/// Guards against a zone that is put back and whose endpoints get all its requests at once, though they
/// became cold shortly before and have not said so yet (review/4); also at a host that was cut off or
/// stood still meanwhile, and at one that starts.
#[parameterized(
    taken_out_before = { &[(ZoneState::In, 0), (ZoneState::Out, 3), (ZoneState::In, 4)] },
    missed_that_it_was_out = { &[(ZoneState::In, 2), (ZoneState::In, 4)] },
    host_has_started = { &[(ZoneState::In, 4)] },
    edited_in_the_text = { &[(ZoneState::Out, 0), (ZoneState::In, 0)] },
)]
fn endpoints_of_a_returned_zone_are_taken_to_be_cold(documents: &[(ZoneState, u64)]) {
    const COLD: Span = Span::secs(3);
    let mut host = Gossip::new("a".into());
    host.registry.set_cold_time(Some(COLD));
    for &(state, changed) in documents {
        host.registry.set_document(Time(0), zone_document(state, changed));
    }
    host.announce(Time(0), announcement("leaf", 1, 1));
    assert_eq!(coldness(&mut host.registry), Some((true, 1)));
    // A heartbeat that was sent before the endpoint became cold may come now.
    host.announce(Time(1), announcement("leaf", 1, 2));
    let early = Time(0) + Span(COLD.0 - 1);
    assert!(!host.tick(early).0);
    assert_eq!(coldness(&mut host.registry), Some((true, 1)));
    assert!(host.tick(Time(0) + COLD).0, "the routes change");
    assert_eq!(coldness(&mut host.registry), Some((false, 2)));
    // Other changes of the document do not count.
    let (state, changed) = documents[documents.len() - 1];
    host.registry.set_document(Time(0) + COLD, zone_document(state, changed));
    assert_eq!(coldness(&mut host.registry), Some((false, 2)));
}

/// A zone that has always been in service is no returned one.
#[test]
fn endpoints_of_a_zone_without_changes_are_not_taken_to_be_cold() {
    let mut registry = Registry::default();
    registry.set_document(Time(0), zone_document(ZoneState::In, 0));
    registry.announce(Time(0), announcement("leaf", 1, 1));
    assert_eq!(coldness(&mut registry), Some((false, 2)));
}

/// An endpoint that holds no shard, as under a plan.
fn plain(name: &str, address: u8, incarnation: u64, sequence: u64) -> Announcement {
    let address = ([127, 0, 0, address], 9).into();
    let service = format!("service-{}", name.len() % 3);
    let holdings = Vec::new();
    Announcement { address, service, holdings, ..announcement(name, incarnation, sequence) }
}

fn open_document(revision: u64) -> Arc<Document> {
    let rules = Rules { admit: Admit::Any, ..Rules::default() };
    let zone_changes = [("elsewhere".to_owned(), revision)].into();
    Arc::new(Document { rules, zone_changes, ..Document::default() })
}

/// Targets by name, and the names of each service's replicas.
fn contents(routes: &Routes) -> impl PartialEq + std::fmt::Debug + use<> {
    let mut targets: Vec<_> = routes.targets.values().map(|t| Target::clone(t)).collect();
    targets.sort_by(|a, b| a.name.cmp(&b.name));
    let replicas = |list: &Replicas| {
        let mut names: Vec<_> = list.iter().map(|t| (t.name.clone(), t.incarnation)).collect();
        names.sort();
        names
    };
    let services: BTreeMap<_, _> =
        routes.services.iter().map(|(name, list)| (name.clone(), replicas(list))).collect();
    (targets, services)
}

#[derive(Clone, Debug)]
enum RegistryStep {
    Announce { name: usize, address: u8, incarnation: u64, draining: bool },
    Remove { name: usize, incarnation: u64 },
    Look,
}

fn registry_step() -> impl Strategy<Value = RegistryStep> {
    prop_oneof![
        6 => (0..8usize, 0..5u8, 0..4u64, any::<bool>()).prop_map(
            |(name, address, incarnation, draining)| {
                RegistryStep::Announce { name, address, incarnation, draining }
            }
        ),
        2 => (0..8usize, 0..4u64)
            .prop_map(|(name, incarnation)| RegistryStep::Remove { name, incarnation }),
        2 => Just(RegistryStep::Look),
    ]
}

proptest! {
    #![proptest_config(config(200))]

    /// Applying the changes of single endpoints leads to the same index as building it anew.
    #[test]
    fn index_of_targets_follows_single_changes(
        steps in prop::collection::vec(registry_step(), 0..60),
    ) {
        let mut registry = Registry::default();
        registry.set_document(Time(0), open_document(1));
        for (sequence, step) in (1..).zip(steps) {
            match step {
                RegistryStep::Announce { name, address, incarnation, draining } => {
                    let mut a = plain(&"x".repeat(name + 1), address, incarnation, sequence);
                    if draining {
                        a.state = EndpointState::Draining;
                    }
                    registry.merge(Time(sequence), a);
                }
                RegistryStep::Remove { name, incarnation } => {
                    let name = "x".repeat(name + 1).into();
                    registry.remove(Time(sequence), &name, (incarnation, u64::MAX));
                }
                RegistryStep::Look => drop(registry.routes()),
            }
        }
        let followed = registry.routes();
        registry.set_document(Time(1_000), open_document(2));
        prop_assert_eq!(contents(&followed), contents(&registry.routes()));
    }
}

/// Guards against work for all endpoints at each change of one (issue 47).
#[test]
fn change_of_one_endpoint_takes_work_for_few() {
    const ENDPOINTS: usize = 1_350;
    let mut registry = Registry::default();
    registry.set_document(Time(0), open_document(1));
    let service = |i: usize| format!("s{}", i / 3);
    let announce = |registry: &mut Registry, i: usize, sequence: u64, state: EndpointState| {
        let address = std::net::SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 9));
        let a = plain(&format!("e{i}"), 1, 1, sequence);
        registry.merge(Time(0), Announcement { address, service: service(i), state, ..a });
    };
    (0..ENDPOINTS).for_each(|i| announce(&mut registry, i, 1, EndpointState::Warm));
    let before = registry.routes();
    let updates = registry.target_updates();
    announce(&mut registry, 7, 2, EndpointState::Draining);
    // A document without changes is no reason to look at endpoints.
    registry.set_document(Time(1), open_document(1));
    let after = registry.routes();
    assert_eq!(registry.target_updates() - updates, 1);
    let kept = after.services.iter().filter(|(s, list)| Arc::ptr_eq(&before.services[*s], list));
    assert_eq!(kept.count(), ENDPOINTS / 3 - 1, "other services share their replicas");
    assert!(Arc::ptr_eq(&after, &registry.routes()), "nothing has changed since");
}
