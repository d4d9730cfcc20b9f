//! Orders run at most once, and what callers are told of them is true.

use crate::props::{Endpoints, config};
use crate::support::{ANY, PATIENCE, until};
use bytes::Bytes;
use futures::future::BoxFuture;
use hyper::Method;
use parking_lot::Mutex;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use wisteria_testkit::client::{self, Answer};
use wisteria_testkit::matrix::Matrix;
use wisteriahead::core::order::{Action, ClaimStatus, Environment, Event, Order, Outcome, digest};
use wisteriahead::core::routes::{Collection, Routes, Snapshot, Target};
use wisteriahead::kernel::{Context, Kernel, Service};
use wisteriahead::prelude::*;
use wisteriahead::services::entry::EntryService;
use wisteriahead::services::{
    self, Allowance, Attempt, Claim, Claims, Observation, Permit, Transport,
};
use wisteriahead::util::metrics::Metrics;

/// Endpoints with room that the test sets.
struct World {
    snapshot: Arc<Snapshot>,
    full: bool,
}

impl Environment for World {
    type Permit = ();

    fn snapshot(&self) -> Option<Arc<Snapshot>> {
        Some(Arc::clone(&self.snapshot))
    }

    fn acquire(&mut self, _: &Target) -> Option<()> {
        (!self.full).then_some(())
    }
}

/// One send of a key by a caller, at any host.
struct Call {
    key: u8,
    order: Order,
    action: Option<Action<()>>,
    /// Executions of attempts of this call.
    ran: u32,
    /// Endpoints that said that they are leaving.
    refused: Vec<EndpointKey>,
}

#[derive(Default)]
struct Tier {
    claims: BTreeMap<u8, ClaimStatus>,
    executions: BTreeMap<u8, u32>,
}

#[derive(Clone, Debug)]
enum Op {
    Call(u8),
    Go(usize, u8),
    Kill(usize),
    Full(bool),
    Time(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        3 => (0u8..3).prop_map(Op::Call),
        12 => (0usize..8, 0u8..6).prop_map(|(i, how)| Op::Go(i, how)),
        1 => (0usize..8).prop_map(Op::Kill),
        1 => any::<bool>().prop_map(Op::Full),
        1 => (0u64..30_000).prop_map(Op::Time),
    ]
}

impl Tier {
    /// Answers a claim; `how` 0 refuses it, 1 grants it and loses the answer.
    fn claim(&mut self, key: u8, how: u8) -> Result<ClaimStatus, Refusal> {
        let lost = || Err(Refusal::not_run(Reason::NoQuorum, ""));
        if how == 0 {
            return lost();
        }
        if let Some(known) = self.claims.get(&key) {
            return Ok(known.clone());
        }
        self.claims.insert(key, ClaimStatus::Running);
        if how == 1 { lost() } else { Ok(ClaimStatus::Granted) }
    }

    /// Runs an attempt or not, and tells of it or not.
    fn send(&mut self, call: &mut Call, how: u8) -> Result<Bytes, Refusal> {
        let run = |tier: &mut Self, call: &mut Call| {
            *tier.executions.entry(call.key).or_default() += 1;
            call.ran += 1;
        };
        match how {
            0 => Err(Refusal::not_run(Reason::Busy, "")),
            1 => Err(Refusal::not_run(Reason::Draining, "")),
            2 => Err(Refusal::may_have_run(Reason::Connection, "")),
            3 => {
                run(self, call);
                Err(Refusal::may_have_run(Reason::Deadline, ""))
            }
            _ => {
                run(self, call);
                Ok(Bytes::from(vec![call.key]))
            }
        }
    }

    /// Records an outcome, or loses it.
    fn record(&mut self, key: u8, outcome: Outcome, how: u8) {
        if how > 0 {
            let known = match outcome {
                Outcome::Ran(body) => ClaimStatus::Ran(body),
                Outcome::NotRun => ClaimStatus::NotRun,
                Outcome::MayHaveRun => ClaimStatus::MayHaveRun,
            };
            self.claims.insert(key, known);
        }
    }

    fn check(&self, call: &Call, answer: &Result<Bytes, Refusal>) {
        let executions = self.executions.get(&call.key).copied().unwrap_or(0);
        match answer {
            Ok(body) => {
                assert_eq!(executions, 1, "answered without one execution");
                assert_eq!(body[0], call.key, "the answer to another key");
            }
            Err(refusal) => {
                let not_run = refusal.verdict == Verdict::NotRun;
                assert!(!not_run || call.ran == 0, "an untrue `not run`: {refusal}");
                assert_ne!(refusal.verdict, Verdict::Ran);
            }
        }
    }
}

proptest! {
    #![proptest_config(config(3_000))]

    /// A request runs at most once, whatever is lost, refused, killed or sent again; each answer's
    /// verdict is true.
    #[test]
    fn order_runs_at_most_once(ops in prop::collection::vec(op(), 0..80)) {
        let snapshot = Endpoints::default().snapshot("s1", &[3, 3]);
        let mut world = World { snapshot, full: false };
        let (mut tier, mut now) = (Tier::default(), Time(0));
        let mut calls: Vec<Call> = Vec::new();
        for op in ops {
            match op {
                Op::Call(key) => {
                    let mut order = Order::new(format!("route-{key}"), now + Span::millis(50));
                    let action = order.step(now, Event::Start, &mut world);
                    calls.push(Call { key, order, action, ran: 0, refused: Vec::new() });
                }
                Op::Full(full) => world.full = full,
                Op::Time(time) => now += Span(time),
                Op::Kill(i) if !calls.is_empty() => {
                    let i = i % calls.len();
                    drop(calls.swap_remove(i));
                }
                Op::Go(i, how) if !calls.is_empty() => {
                    let i = i % calls.len();
                    let call = &mut calls[i];
                    let event = match call.action.take() {
                        None => continue,
                        Some(Action::Claim) => Event::Claimed(tier.claim(call.key, how)),
                        Some(Action::Send { target, .. }) => {
                            let result = tier.send(call, how);
                            if how == 1 {
                                call.refused.push(target.key);
                            }
                            Event::Done(result)
                        }
                        Some(Action::Wake(at)) => {
                            now = now.max(at);
                            Event::Wake
                        }
                        Some(Action::Record(outcome)) => {
                            tier.record(call.key, outcome, how);
                            Event::Recorded
                        }
                        Some(Action::Answer(answer)) => {
                            tier.check(call, &answer);
                            continue;
                        }
                    };
                    call.action = call.order.step(now, event, &mut world);
                    if let Some(Action::Send { target, .. }) = &call.action {
                        prop_assert!(now < call.order.deadline(), "sent after its deadline");
                        prop_assert!(!call.refused.contains(&target.key), "sent there before");
                    }
                }
                _ => {}
            }
            prop_assert!(tier.executions.values().all(|n| *n <= 1), "an order ran twice");
        }
    }

    /// Two requests have the same digest only when all of their parts are the same.
    #[test]
    fn digest_tells_requests_apart(
        a in ("[a-c]{0,3}", "[a-c]{0,3}", "[a-c]{0,3}"),
        b in ("[a-c]{0,3}", "[a-c]{0,3}", "[a-c]{0,3}"),
    ) {
        let of = |x: &(String, String, String)| digest(&x.0, &x.1, x.2.as_bytes());
        prop_assert_eq!(of(&a) == of(&b), a == b);
    }
}

/// What strikes, and at which call of a fake.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Strike {
    fault: &'static str,
    step: &'static str,
}

/// Claims, endpoints and transport that all hosts of a test share.
#[derive(Default)]
struct Shared {
    claims: Mutex<BTreeMap<String, ([u8; 32], Claim)>>,
    executions: Mutex<Vec<String>>,
    strike: Mutex<Option<Strike>>,
    stuck: Mutex<u32>,
    /// Endpoints that ran an order.
    ran_at: Mutex<BTreeSet<String>>,
    /// Holds the next call at a step until notified.
    gate: Mutex<Option<(&'static str, Arc<Notify>)>>,
    routes: Arc<Routes>,
}

impl Shared {
    /// Takes the fault if it strikes at this step.
    fn struck(&self, step: &str) -> Option<&'static str> {
        let mut strike = self.strike.lock();
        let fault = strike.filter(|s| s.step == step).map(|s| s.fault);
        if fault.is_some() {
            *strike = None;
        }
        fault
    }

    /// Waits at the gate if it holds this step.
    async fn pass(&self, step: &str) {
        let gate = self.gate.lock().take_if(|(at, _)| *at == step);
        if let Some((_, gate)) = gate {
            gate.notified().await;
        }
    }

    /// Closes the gate at a step.
    fn close_gate(&self, step: &'static str) -> Arc<Notify> {
        let gate = Arc::new(Notify::new());
        *self.gate.lock() = Some((step, Arc::clone(&gate)));
        gate
    }

    async fn hang(&self) {
        *self.stuck.lock() += 1;
        std::future::pending::<()>().await;
    }
}

impl services::Endpoints for Shared {
    fn routes(&self) -> Arc<Routes> {
        Arc::clone(&self.routes)
    }
}

impl Allowance for Shared {
    fn acquire(&self, _: &Target) -> Option<Permit> {
        Some(Permit::new(|| ()))
    }

    fn observe(&self, _: &Target, _: Observation) {}

    fn in_flight(&self, _: EndpointKey) -> u32 {
        0
    }
}

impl Claims for Shared {
    fn ticket(&self) -> BoxFuture<'_, Result<String, Refusal>> {
        Box::pin(async { Ok("ticket-1".to_owned()) })
    }

    fn claim<'a>(
        &'a self,
        key: &'a str,
        digest: [u8; 32],
    ) -> BoxFuture<'a, Result<Claim, Refusal>> {
        Box::pin(async move {
            let fault = self.struck("claim");
            self.pass("claim").await;
            let lost = Err(Refusal::not_run(Reason::NoQuorum, "no home"));
            if fault == Some("refused") {
                return lost;
            }
            let claim = {
                let mut claims = self.claims.lock();
                match claims.get(key) {
                    Some((known, _)) if *known != digest => {
                        return Err(Refusal::not_run(Reason::KeyReused, "another request"));
                    }
                    Some((_, claim)) => claim.clone(),
                    None => {
                        claims.insert(key.to_owned(), (digest, Claim::Running));
                        Claim::Granted
                    }
                }
            };
            match fault {
                Some("answer lost") => return lost,
                Some("host killed") => self.hang().await,
                _ => {}
            }
            Ok(claim)
        })
    }

    fn record<'a>(&'a self, key: &'a str, outcome: services::Outcome) -> BoxFuture<'a, ()> {
        Box::pin(async move {
            self.pass("record").await;
            match self.struck("record") {
                Some("refused") => return,
                Some("host killed") => self.hang().await,
                _ => {}
            }
            if let Some((_, claim)) = self.claims.lock().get_mut(key) {
                *claim = Claim::Known(outcome);
            }
        })
    }
}

impl Transport for Shared {
    fn run<'a>(
        &'a self,
        to: &'a Target,
        attempt: Attempt,
        _: Permit,
    ) -> BoxFuture<'a, Result<Bytes, Refusal>> {
        Box::pin(async move {
            let key = attempt.key.as_deref().unwrap_or_default().to_owned();
            let may = |reason| Err(Refusal::may_have_run(reason, "fault"));
            match self.struck("send") {
                Some("refused") => return Err(Refusal::not_run(Reason::Draining, "fault")),
                Some("host killed") => self.hang().await,
                _ => {}
            }
            self.pass("send").await;
            self.executions.lock().push(key);
            self.ran_at.lock().insert(to.instance_name());
            self.pass("answer").await;
            match self.struck("answer") {
                Some("answer lost") => return may(Reason::Connection),
                Some("refused") => return may(Reason::Deadline),
                Some("host killed") => self.hang().await,
                _ => {}
            }
            Ok(Bytes::from_static(b"{\"spool\":1}"))
        })
    }

    fn cancel(&self, _: &Target, _: Arc<str>) {}
}

/// A host with an entry that uses the shared fakes.
struct Host {
    kernel: Kernel,
    callers: SocketAddr,
}

impl Host {
    async fn start(shared: &Arc<Shared>, claims: bool) -> Self {
        let mut kernel = Kernel::default();
        let ctx: &Context = kernel.context();
        ctx.publish::<dyn services::Endpoints>(<dyn services::Endpoints>::NAME, shared.clone());
        ctx.publish::<dyn Allowance>(<dyn Allowance>::NAME, shared.clone());
        ctx.publish::<dyn Transport>(<dyn Transport>::NAME, shared.clone());
        if claims {
            ctx.publish::<dyn Claims>(<dyn Claims>::NAME, shared.clone());
        }
        let metrics = Metrics::new(None).unwrap();
        let entry = Arc::new(EntryService::new(ANY, "h1".into(), 1, metrics));
        kernel.start(entry.clone() as Arc<dyn Service>).await.unwrap();
        Self { callers: entry.address().unwrap(), kernel }
    }

    async fn order(&self, key: &str, order: u32) -> Answer {
        self.order_by(key, order, "r").await
    }

    async fn order_by(&self, key: &str, order: u32, route: &str) -> Answer {
        let body = format!(r#"{{"collection":"kits","route":"{route}","order":{{"id":{order}}}}}"#);
        let headers = [("idempotency-key", key), ("wisteria-timeout-ms", "10000")];
        let sent = client::send(self.callers, Method::POST, "/v1/orders", &headers, body);
        tokio::time::timeout(PATIENCE, sent).await.unwrap().unwrap()
    }
}

fn shared(strike: Option<Strike>) -> Arc<Shared> {
    let snapshot = Endpoints::default().snapshot("s1", &[2, 2]);
    let collection = Collection { snapshots: vec![snapshot] };
    let collections = [("kits".to_owned(), collection)].into_iter().collect();
    let routes = Routes { collections, ..Routes::default() };
    Arc::new(Shared { strike: Mutex::new(strike), routes: Arc::new(routes), ..Shared::default() })
}

const FAULTS: [&str; 4] = ["refused", "answer lost", "caller gone", "host killed"];
const STEPS: [&str; 4] = ["claim", "send", "answer", "record"];

/// A host is killed, a message refused or lost, or the caller goes away, at each step; the caller
/// then sends the order again at another host.
#[tokio::test]
async fn every_fault_at_every_step() {
    let invariant = "the order ran at most once, a `not-run` is true, and a resend at another \
                     host is answered without a second execution";
    let mut matrix = Matrix::new("orders", invariant, &FAULTS, &STEPS);
    for fault in FAULTS {
        for step in STEPS {
            if fault == "answer lost" && ["send", "record"].contains(&step) {
                matrix.mark_impossible(fault, step, "it carries no answer that could be lost");
                continue;
            }
            strike(Strike { fault, step }).await;
            matrix.record_held(fault, step);
        }
    }
    matrix.finish();
}

async fn strike(strike: Strike) {
    let shared = shared(Some(strike));
    let (one, two) = (Host::start(&shared, true).await, Host::start(&shared, true).await);
    if strike.fault == "host killed" {
        let callers = one.callers;
        let first = tokio::spawn(async move {
            let headers = [("idempotency-key", "k-1"), ("wisteria-timeout-ms", "10000")];
            let body = r#"{"collection":"kits","route":"r","order":{"id":7}}"#;
            client::send(callers, Method::POST, "/v1/orders", &headers, body).await.map(drop)
        });
        until("the host hangs at the step", || *shared.stuck.lock() > 0).await;
        first.abort();
    } else if strike.fault == "caller gone" {
        caller_gone(&shared, &one, strike.step).await;
    } else {
        check(&shared, &one.order("k-1", 7).await, strike);
    }
    let before = shared.executions.lock().len();
    for host in [&two, &one] {
        let answer = host.order("k-1", 7).await;
        check(&shared, &answer, strike);
        if answer.status == 200 {
            assert_eq!(answer.body["result"]["spool"], 1);
        }
    }
    let after = shared.executions.lock().len();
    let unclaimed = strike == Strike { fault: "refused", step: "claim" };
    assert!(after == before || unclaimed, "{strike:?}: a resend ran it again");
    assert!(after <= 1, "{strike:?}: ran {after} times");
}

/// Sends the order and closes the connection while it is at the step; the order goes on.
async fn caller_gone(shared: &Arc<Shared>, host: &Host, step: &'static str) {
    let (callers, gate) = (host.callers, shared.close_gate(step));
    let sent = tokio::spawn(async move {
        let headers = [("idempotency-key", "k-1"), ("wisteria-timeout-ms", "10000")];
        let body = r#"{"collection":"kits","route":"r","order":{"id":7}}"#;
        client::send(callers, Method::POST, "/v1/orders", &headers, body).await.map(drop)
    });
    until("the order has come to the step", || shared.gate.lock().is_none()).await;
    sent.abort();
    assert!(sent.await.unwrap_err().is_cancelled());
    // Long enough for the host to see that the connection is closed.
    tokio::time::sleep(Duration::from_millis(100)).await;
    gate.notify_one();
    until("the outcome is recorded", || {
        matches!(shared.claims.lock().get("k-1"), Some((_, Claim::Known(_))))
    })
    .await;
}

fn check(shared: &Shared, answer: &Answer, strike: Strike) {
    let ran = shared.executions.lock().len();
    match answer.body["verdict"].as_str() {
        Some("ran") => assert_eq!((ran, answer.status.as_u16()), (1, 200), "{strike:?}"),
        Some("not-run") => assert_eq!(ran, 0, "{strike:?}: an untrue `not-run`"),
        Some("may-have-run") => assert_ne!(answer.status, 200),
        other => panic!("{strike:?}: verdict {other:?}"),
    }
}

#[tokio::test]
async fn host_without_claims_takes_no_orders() {
    let shared = shared(None);
    let host = Host::start(&shared, false).await;
    let answer = host.order("k-1", 7).await;
    assert_eq!((answer.status.as_u16(), &answer.body["verdict"]), (503, &"not-run".into()));
    assert_eq!(answer.body["reason"], "no-quorum");
    assert!(shared.executions.lock().is_empty());
}

#[tokio::test]
async fn resend_gets_the_first_outcome_and_another_order_is_refused() {
    let shared = shared(None);
    let mut host = Host::start(&shared, true).await;
    let first = host.order("k-1", 7).await;
    let again = host.order("k-1", 7).await;
    assert_eq!((first.status.as_u16(), &first.body), (200, &again.body));
    let other = host.order("k-1", 8).await;
    assert_eq!((other.status.as_u16(), &other.body["reason"]), (409, &"key-reused".into()));
    assert_eq!(*shared.executions.lock(), ["k-1"]);
    let ticket = client::send(host.callers, Method::POST, "/v1/tickets", &[], "").await.unwrap();
    assert_eq!(ticket.body["ticket"], "ticket-1");
    host.kernel.stop(Span::secs(5)).await;
}

#[tokio::test]
async fn order_without_a_key_is_refused() {
    let host = Host::start(&shared(None), true).await;
    let body = r#"{"collection":"kits","route":"r","order":{}}"#;
    let sent = client::send(host.callers, Method::POST, "/v1/orders", &[], body).await.unwrap();
    assert_eq!((sent.status.as_u16(), &sent.body["verdict"]), (400, &"not-run".into()));
}

/// A host that leaves says so first and serves on; a stop finishes what is in flight.
#[tokio::test]
async fn stop_cuts_off_no_request() {
    let shared = shared(None);
    let mut host = Host::start(&shared, true).await;
    let callers = host.callers;
    assert_eq!(client::get(callers, "/v1/health").await.unwrap().status, 200);
    host.kernel.enter_lame_duck();
    assert_eq!(client::get(callers, "/v1/health").await.unwrap().status, 503);
    assert_eq!(host.order("k-1", 7).await.status, 200);
    let gate = shared.close_gate("send");
    let body = r#"{"collection":"kits","route":"r","order":{"id":8}}"#;
    let flying = tokio::spawn(async move {
        let headers = [("idempotency-key", "k-2"), ("wisteria-timeout-ms", "30000")];
        client::send(callers, Method::POST, "/v1/orders", &headers, body).await
    });
    until("the order is in flight", || shared.gate.lock().is_none()).await;
    let ctx = host.kernel.context().clone();
    let stop = tokio::spawn(async move { host.kernel.stop(Span::secs(30)).await });
    while tokio::net::TcpStream::connect(callers).await.is_ok() {
        tokio::task::yield_now().await;
    }
    assert!(!ctx.is_stopping(), "the services below stopped under a request in flight");
    gate.notify_one();
    assert_eq!(flying.await.unwrap().unwrap().status, 200);
    stop.await.unwrap();
    assert!(ctx.is_stopping());
}

/// An order that stops each endpoint that runs it, sent again under fresh keys.
#[tokio::test]
async fn order_that_stops_endpoints_stops_two() {
    let shared = shared(None);
    let host = Host::start(&shared, true).await;
    let mut refused = 0;
    for n in 0..12 {
        *shared.strike.lock() = Some(Strike { fault: "answer lost", step: "answer" });
        let before = shared.executions.lock().len();
        let answer = host.order_by(&format!("k-{n}"), 7, &format!("route-{n}")).await;
        if answer.status == 422 {
            assert_eq!(answer.body["verdict"], "not-run");
            assert_eq!(shared.executions.lock().len(), before, "a quarantined order ran");
            refused += 1;
        } else {
            assert_eq!(answer.body["verdict"], "may-have-run");
        }
    }
    assert!(refused > 0);
    assert_eq!(shared.ran_at.lock().len(), 2, "endpoints stopped");
    *shared.strike.lock() = None;
    assert_eq!(host.order("k-other", 8).await.status, 200, "another order is refused");
}
