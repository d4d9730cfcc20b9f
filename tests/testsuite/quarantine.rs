//! Quarantine of requests that crash endpoints: at most two endpoints are lost, and no request that
//! ran beside the faulty one is refused.

use crate::props::config;
use futures::future::BoxFuture;
use hyper::Method;
use proptest::prelude::*;
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use wisteria_testkit::client::{self, Answer};
use wisteria_testkit::process::program_folder;
use wisteria_testkit::tier::Tier;
use wisteria_testkit::wait::wait_until;
use wisteriahead::core::message::Topic;
use wisteriahead::core::quarantine::{
    ANSWERED_DEATHS_MAX, Admission, Death, Digest, Finding, Fingerprint, Quarantine, Record,
    SUSPECT_TTL, SuspectRun, TRIAL_DELAY,
};
use wisteriahead::core::time::Time;
use wisteriahead::kernel::Kernel;
use wisteriahead::prelude::*;
use wisteriahead::services::quarantine::{RequestQuarantine as _, SharedQuarantine};
use wisteriahead::services::{Handler, Peers};

const REPLICAS: usize = 5;
const POISON: u8 = 0;

fn digest(n: u8) -> Digest {
    [n; 16]
}

#[derive(Clone, Debug)]
enum Op {
    /// Sends a request to a replica.
    Send(u8, usize),
    /// Completes the requests in flight at a replica; the poison request crashes it instead.
    End(usize),
    /// Restarts a crashed replica.
    Restart(usize),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        8 => (0u8..6, 0..REPLICAS).prop_map(|(r, i)| Op::Send(r, i)),
        6 => (0..REPLICAS).prop_map(Op::End),
        1 => (0..REPLICAS).prop_map(Op::Restart),
    ]
}

/// One shard, its replicas and the requests in flight there.
struct Shard {
    quarantine: Quarantine,
    alive: [bool; REPLICAS],
    incarnation: usize,
    /// What was known of each request in flight when it was sent.
    in_flight: BTreeMap<(u8, usize), Record>,
    suspects: BTreeMap<u8, usize>,
    killed: usize,
}

impl Shard {
    fn new() -> Self {
        Self {
            quarantine: Quarantine::default(),
            alive: [true; REPLICAS],
            incarnation: 0,
            in_flight: BTreeMap::new(),
            suspects: BTreeMap::new(),
            killed: 0,
        }
    }

    fn fingerprint(request: u8) -> Fingerprint {
        Fingerprint { digest: digest(request), shard: Some(3) }
    }

    fn send(&mut self, request: u8, at: usize) {
        let running = self.in_flight.keys().any(|(r, _)| *r == request);
        if !self.alive[at] || running || self.quarantine.is_banned(Time(1), &digest(request)) {
            return;
        }
        let suspect = self.suspects.contains_key(&request);
        if suspect
            && self.quarantine.begin_run(Time(1), &Self::fingerprint(request))
                != SuspectRun::Allowed
        {
            return;
        }
        let known = self.quarantine.record(Time(1), &Self::fingerprint(request));
        self.in_flight.insert((request, at), known);
    }

    fn end(&mut self, at: usize) {
        if self.in_flight.contains_key(&(POISON, at)) {
            self.killed += 1;
            self.crash(at);
            return;
        }
        let done: Vec<u8> = self.in_flight.keys().filter(|k| k.1 == at).map(|k| k.0).collect();
        for request in done {
            self.in_flight.remove(&(request, at));
            self.suspects.remove(&request);
            self.quarantine.record_answer(&Self::fingerprint(request));
        }
    }

    fn crash(&mut self, at: usize) {
        self.alive[at] = false;
        let lost: Vec<u8> = self.in_flight.keys().filter(|k| k.1 == at).map(|k| k.0).collect();
        for request in lost {
            let known = self.in_flight.remove(&(request, at)).unwrap();
            *self.suspects.entry(request).or_default() += 1;
            let request = Self::fingerprint(request);
            let endpoint = format!("leaf-{at}#{}", self.incarnation);
            self.quarantine
                .record_death(Time(1), &Death { request, endpoint, known, answered: false });
        }
        self.incarnation += 1;
    }
}

proptest! {
    #![proptest_config(config(3_000))]

    /// A poison request crashes at most two endpoints, and no request that ran beside it is
    /// refused.
    #[test]
    fn poison_request_crashes_two_endpoints_and_no_other_is_refused(
        ops in prop::collection::vec(op(), 0..120),
    ) {
        let mut shard = Shard::new();
        for op in ops {
            match op {
                Op::Send(request, at) => shard.send(request, at),
                Op::End(at) => shard.end(at),
                Op::Restart(at) => shard.alive[at] = true,
            }
            prop_assert!(shard.killed <= 2, "{} endpoints lost", shard.killed);
            for request in 1..6 {
                let banned = shard.quarantine.is_banned(Time(1), &digest(request));
                prop_assert!(!banned, "request {request} crashed nothing, but is refused");
            }
        }
    }
}

/// Bounds the false positives: endpoints also crash for unrelated reasons, each with up to five
/// requests in flight; two such crashes in a row quarantine a harmless request.
#[test]
fn false_positive_rate_with_unrelated_crashes_is_below_one_percent() {
    let (mut seed, mut refused, mut requests) = (1u64, 0u32, 0u32);
    let mut random = move |n: u64| {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (seed >> 33) % n
    };
    for _ in 0..2_000 {
        let mut shard = Shard::new();
        for _ in 0..100 {
            let at = random(REPLICAS as u64) as usize;
            match random(100) {
                0 => shard.crash(at),
                1..=60 => shard.send(1 + random(5) as u8, at),
                _ => shard.end(at),
            }
        }
        requests += 5;
        let banned = |r: &u8| shard.quarantine.is_banned(Time(1), &digest(*r));
        refused += (1..6u8).filter(banned).count() as u32;
    }
    println!("{refused} of {requests} harmless requests were refused");
    assert!(refused * 100 <= requests, "{refused} of {requests}");
}

#[test]
fn quarantine_expires() {
    let mut q = Quarantine::default();
    let request = Fingerprint { digest: digest(1), shard: None };
    let first = Record::default();
    let second = Record { deaths: 1, ..first };
    for (endpoint, known) in [("a", first), ("a", first), ("b", second)] {
        assert!(!q.is_banned(Time(5), &request.digest));
        q.record_death(
            Time(5),
            &Death { request, endpoint: endpoint.to_owned(), known, answered: false },
        );
    }
    assert!(q.is_banned(Time(5), &request.digest));
    assert!(!q.is_banned(Time(5) + SUSPECT_TTL, &request.digest));
}

const REQUEST: Fingerprint = Fingerprint { digest: [1; 16], shard: Some(3) };

fn death(known: Record) -> Death {
    Death { request: REQUEST, endpoint: "a".to_owned(), known, answered: false }
}

/// Guards against a quarantine of all requests in flight in an availability zone that fails: its
/// endpoints end together, or one after the other before any host has heard of the first.
#[test]
fn deaths_that_are_seen_together_count_as_one() {
    let mut q = Quarantine::default();
    let known = q.record(Time(1), &REQUEST);
    for _ in 0..20 {
        q.record_death(Time(1), &death(known));
    }
    assert_eq!(q.admit(Time(1), &REQUEST.digest, |_| true), Admission::Suspect(Some(3)));
    q.record_answer(&REQUEST);
    assert_eq!(q.admit(Time(1), &REQUEST.digest, |_| true), Admission::Clear);
    // A run that began before the answer says nothing that is not known.
    q.record_death(Time(1), &death(known));
    assert_eq!(q.admit(Time(1), &REQUEST.digest, |_| true), Admission::Clear);
}

/// Guards against requests that are refused for good though they are harmless: one run is let through
/// from time to time, ever more rarely while it crashes endpoints.
#[test]
fn quarantined_request_is_tried_from_time_to_time() {
    let (mut q, mut now) = (Quarantine::default(), Time(1));
    for _ in 0..2 {
        q.record_death(now, &death(q.record(now, &REQUEST)));
    }
    let mut delay = TRIAL_DELAY;
    for _ in 0..2 {
        assert_eq!(q.admit(now, &REQUEST.digest, |_| true), Admission::Refused(delay));
        assert_eq!(q.begin_run(now, &REQUEST), SuspectRun::Quarantined);
        now += delay;
        assert_eq!(q.admit(now, &REQUEST.digest, |_| true), Admission::Suspect(Some(3)));
        assert_eq!(q.begin_run(now, &REQUEST), SuspectRun::Allowed);
        assert_eq!(q.begin_run(now, &REQUEST), SuspectRun::Quarantined, "one at a time");
        q.record_death(now, &death(q.record(now, &REQUEST)));
        delay = Span(delay.0 * 4);
    }
    q.record_answer(&REQUEST);
    assert_eq!(q.admit(now, &REQUEST.digest, |_| true), Admission::Clear);
}

/// Guards against a popular request that is refused since it was in flight twice beside one that crashes
/// endpoints, while no endpoint was left that could have answered it in between.
#[test]
fn request_that_was_answered_before_is_quarantined_later() {
    let mut q = Quarantine::default();
    q.record_success(REQUEST.digest);
    for deaths in 0..ANSWERED_DEATHS_MAX {
        assert!(!q.is_banned(Time(1), &REQUEST.digest), "after {deaths} deaths");
        q.record_death(Time(1), &death(q.record(Time(1), &REQUEST)));
    }
    assert_eq!(q.admit(Time(1), &REQUEST.digest, |_| true), Admission::Refused(TRIAL_DELAY));
}

/// Guards against a request that stays refused where it went before, once it goes elsewhere.
#[test]
fn request_is_refused_only_where_endpoints_died() {
    let mut q = Quarantine::default();
    for _ in 0..2 {
        q.record_death(Time(1), &death(q.record(Time(1), &REQUEST)));
    }
    let admit = |shard| q.admit(Time(1), &REQUEST.digest, |s| s == Some(shard));
    assert_eq!(admit(3), Admission::Refused(TRIAL_DELAY));
    assert_eq!(admit(4), Admission::Clear);
}

fn record() -> impl Strategy<Value = (Record, bool)> {
    let record = (0u32..3, 0u32..6).prop_map(|(clearances, deaths)| Record { clearances, deaths });
    (record, any::<bool>())
}

proptest! {
    #![proptest_config(config(1_000))]

    /// Hosts that were cut off from each other agree whatever order their reports arrive in, and
    /// however often.
    #[test]
    fn findings_may_arrive_in_any_order(
        records in prop::collection::vec(record(), 0..8),
        order in prop::collection::vec(0usize..8, 0..24),
    ) {
        let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
        let finding = |(record, answered)| Finding { request: REQUEST, record, answered };
        for &record in &records {
            here.merge(Time(1), &finding(record));
        }
        let repeated = order.iter().filter_map(|i| records.get(*i));
        for &record in repeated.chain(records.iter().rev()) {
            there.merge(Time(1), &finding(record));
        }
        prop_assert_eq!(here.record(Time(1), &REQUEST), there.record(Time(1), &REQUEST));
        let digest = &REQUEST.digest;
        prop_assert_eq!(here.is_banned(Time(1), digest), there.is_banned(Time(1), digest));
    }
}

/// Delivers messages to one other host, but loses the first.
#[derive(Default)]
struct LossyPeers {
    sent: AtomicUsize,
    other: OnceLock<Arc<SharedQuarantine>>,
}

impl Peers for LossyPeers {
    fn host(&self) -> &str {
        "a"
    }

    fn zone(&self) -> &str {
        "north"
    }

    fn others(&self) -> Vec<String> {
        vec!["b".to_owned()]
    }

    fn set_handler(&self, _: Topic, _: Arc<dyn Handler>) {}

    fn send(&self, _: &str, _: Topic, body: Vec<u8>) {
        if self.sent.fetch_add(1, Ordering::Relaxed) > 0 {
            self.other.get().unwrap().receive("a", &body);
        }
    }

    fn call<'a>(&'a self, _: &'a str, _: Topic, _: Vec<u8>) -> BoxFuture<'a, Result<Vec<u8>>> {
        Box::pin(std::future::pending())
    }
}

#[tokio::test]
async fn lost_death_report_is_resent() {
    let (kernel, peers) = (Kernel::default(), Arc::new(LossyPeers::default()));
    let here = SharedQuarantine::new(kernel.context(), Some(peers.clone()));
    let other = peers.other.get_or_init(|| Arc::new(SharedQuarantine::new(kernel.context(), None)));
    let request = Fingerprint { digest: digest(1), shard: None };
    for endpoint in ["a", "b"] {
        let known = here.record(&request);
        here.record_death(Death { request, endpoint: endpoint.to_owned(), known, answered: false });
    }
    wait_until("the other host quarantines the request", async || other.is_banned(&request.digest))
        .await;
}

const SHARDS: usize = 6;

async fn search(tier: &Tier, daemon: usize, poison: bool) -> Answer {
    let body = json!({"collection": "kits", "query": {"poison": poison, "text": "rope"}});
    let headers = [("wisteria-timeout-ms", "60000")];
    let callers = tier.daemons[daemon].callers;
    client::send(callers, Method::POST, "/v1/search", &headers, body.to_string()).await.unwrap()
}

/// Number of endpoints that no longer accept a connection.
async fn lost(tier: &Tier) -> usize {
    let mut lost = 0;
    for address in tier.leaves.iter().flat_map(|l| &l.addresses) {
        lost += usize::from(tokio::net::TcpStream::connect(address).await.is_err());
    }
    lost
}

/// Guards against the loss of a whole tier, with real processes: a query that crashes each endpoint
/// that runs it is resent at each host.
#[tokio::test]
async fn poison_query_crashes_two_endpoints_of_the_tier() {
    let mut tier = Tier::new(&program_folder().unwrap()).unwrap();
    for host in ["entry-1", "entry-2"] {
        tier.start_daemon(host, "north", &["--log-level", "info"]).await.unwrap();
    }
    let n = SHARDS.to_string();
    for replica in ["a", "b", "c"] {
        let name = format!("{replica}-{{i}}");
        let args = ["--name", &name, "--shards", &n, "--snapshot", "s1", "--mean-us", "20000"];
        tier.start_leaves(SHARDS, &[0, 1], &args).await.unwrap();
    }
    let inventory = "[[zone]]\nname = \"north\"\n\n[rules]\nadmit = \"any\"\n";
    tier.apply_inventory(0, inventory).await.unwrap();
    for daemon in 0..2 {
        tier.wait_for_endpoints(daemon, 3 * SHARDS).await.unwrap();
        tier.wait_for_shards(daemon, "kits", SHARDS as u64).await.unwrap();
    }
    let first = search(&tier, 0, true).await;
    assert_eq!((first.status.as_u16(), &first.body["verdict"]), (422, &"may-have-run".into()));
    wait_until("two endpoints are lost", async || lost(&tier).await == 2).await;
    wait_until("the other host hears of both deaths", async || {
        tier.log(1).unwrap().matches("says that endpoint").count() == 2
    })
    .await;
    for daemon in [1, 0, 1] {
        let again = search(&tier, daemon, true).await;
        assert_eq!((again.status.as_u16(), &again.body["verdict"]), (422, &"not-run".into()));
        let other = search(&tier, daemon, false).await;
        assert_eq!(other.body["coverage"]["answered"], SHARDS, "{}", other.body);
    }
    assert_eq!(lost(&tier).await, 2);
}
