//! Orders run at most once, and the verdict of each answer is correct.

use crate::props::{Endpoints, config};
use crate::support::{ANY, HANG_TIMEOUT, until};
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

/// A snapshot whose endpoints have free slots unless `full` is set.
struct FakeEnvironment {
    snapshot: Arc<Snapshot>,
    full: bool,
}

impl Environment for FakeEnvironment {
    type Permit = ();

    fn snapshot(&self) -> Option<Arc<Snapshot>> {
        Some(Arc::clone(&self.snapshot))
    }

    fn acquire(&mut self, _: &Target) -> Option<()> {
        (!self.full).then_some(())
    }
}

/// One request with an idempotency key, at any host.
struct Call {
    key: u8,
    order: Order,
    action: Option<Action<()>>,
    /// Executions caused by this call.
    ran: u32,
    /// Endpoints that refused the order because they are draining.
    refused: Vec<EndpointKey>,
}

#[derive(Default)]
struct Tier {
    claims: BTreeMap<u8, ClaimStatus>,
    executions: BTreeMap<u8, u32>,
}

#[derive(Clone, Debug)]
enum Op {
    /// Sends a request with a key.
    Call(u8),
    /// Completes the pending action of a call in the given mode.
    Advance(usize, u8),
    /// Drops a call, as when its host is killed.
    Kill(usize),
    Full(bool),
    /// Advances the clock by microseconds.
    Elapse(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        3 => (0u8..3).prop_map(Op::Call),
        12 => (0usize..8, 0u8..6).prop_map(|(i, mode)| Op::Advance(i, mode)),
        1 => (0usize..8).prop_map(Op::Kill),
        1 => any::<bool>().prop_map(Op::Full),
        1 => (0u64..30_000).prop_map(Op::Elapse),
    ]
}

impl Tier {
    /// Answers a claim; `mode` 0 refuses it, 1 grants it and loses the answer, others grant it.
    fn claim(&mut self, key: u8, mode: u8) -> Result<ClaimStatus, Refusal> {
        let lost = || Err(Refusal::not_run(Reason::NoQuorum, ""));
        if mode == 0 {
            return lost();
        }
        if let Some(known) = self.claims.get(&key) {
            return Ok(known.clone());
        }
        self.claims.insert(key, ClaimStatus::Running);
        if mode == 1 { lost() } else { Ok(ClaimStatus::Granted) }
    }

    /// Answers an attempt; `mode` 0 to 2 do not run it, 3 runs it and loses the answer, others run
    /// it.
    fn send(&mut self, call: &mut Call, mode: u8) -> Result<Bytes, Refusal> {
        let run = |tier: &mut Self, call: &mut Call| {
            *tier.executions.entry(call.key).or_default() += 1;
            call.ran += 1;
        };
        match mode {
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

    /// Records an outcome; `mode` 0 loses it.
    fn record(&mut self, key: u8, outcome: Outcome, mode: u8) {
        if mode > 0 {
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
                assert!(!not_run || call.ran == 0, "`not run` for an executed order: {refusal}");
                assert_ne!(refusal.verdict, Verdict::Ran);
            }
        }
    }
}

proptest! {
    #![proptest_config(config(3_000))]

    /// A request runs at most once, whatever is lost, refused, killed or sent again; each answer's
    /// verdict is correct.
    #[test]
    fn order_runs_at_most_once(ops in prop::collection::vec(op(), 0..80)) {
        let snapshot = Endpoints::default().snapshot("s1", &[3, 3]);
        let mut env = FakeEnvironment { snapshot, full: false };
        let (mut tier, mut now) = (Tier::default(), Time(0));
        let mut calls: Vec<Call> = Vec::new();
        for op in ops {
            match op {
                Op::Call(key) => {
                    let mut order = Order::new(format!("route-{key}"), now + Span::millis(50));
                    let action = order.step(now, Event::Start, &mut env);
                    calls.push(Call { key, order, action, ran: 0, refused: Vec::new() });
                }
                Op::Full(full) => env.full = full,
                Op::Elapse(time) => now += Span(time),
                Op::Kill(i) if !calls.is_empty() => {
                    let i = i % calls.len();
                    drop(calls.swap_remove(i));
                }
                Op::Advance(i, mode) if !calls.is_empty() => {
                    let i = i % calls.len();
                    let call = &mut calls[i];
                    let event = match call.action.take() {
                        None => continue,
                        Some(Action::Claim) => Event::Claimed(tier.claim(call.key, mode)),
                        Some(Action::Send { target, .. }) => {
                            let result = tier.send(call, mode);
                            if mode == 1 {
                                call.refused.push(target.key);
                            }
                            Event::Done(result)
                        }
                        Some(Action::Wake(at)) => {
                            now = now.max(at);
                            Event::Wake
                        }
                        Some(Action::Record(outcome)) => {
                            tier.record(call.key, outcome, mode);
                            Event::Recorded
                        }
                        Some(Action::Answer(answer)) => {
                            tier.check(call, &answer);
                            continue;
                        }
                    };
                    call.action = call.order.step(now, event, &mut env);
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
    fn digests_are_equal_only_for_equal_requests(
        a in ("[a-c]{0,3}", "[a-c]{0,3}", "[a-c]{0,3}"),
        b in ("[a-c]{0,3}", "[a-c]{0,3}", "[a-c]{0,3}"),
    ) {
        let of = |x: &(String, String, String)| digest(&x.0, &x.1, x.2.as_bytes());
        prop_assert_eq!(of(&a) == of(&b), a == b);
    }
}

/// A fault, and the call of a fake at which it occurs once.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Injection {
    fault: &'static str,
    step: &'static str,
}

/// Fake claims, endpoints and transport that all hosts of a test share.
#[derive(Default)]
struct FakeServices {
    claims: Mutex<BTreeMap<String, ([u8; 32], Claim)>>,
    executions: Mutex<Vec<String>>,
    injection: Mutex<Option<Injection>>,
    hung_calls: Mutex<u32>,
    /// Endpoints that ran an order.
    ran_on: Mutex<BTreeSet<String>>,
    /// Holds the next call at a step until notified.
    gate: Mutex<Option<(&'static str, Arc<Notify>)>>,
    routes: Arc<Routes>,
}

impl FakeServices {
    /// Takes the fault if it is injected at this step.
    fn take_fault(&self, step: &str) -> Option<&'static str> {
        let mut injection = self.injection.lock();
        let fault = injection.filter(|s| s.step == step).map(|s| s.fault);
        if fault.is_some() {
            *injection = None;
        }
        fault
    }

    /// Waits at the gate if it holds this step.
    async fn wait_at_gate(&self, step: &str) {
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
        *self.hung_calls.lock() += 1;
        std::future::pending::<()>().await;
    }
}

impl services::Endpoints for FakeServices {
    fn routes(&self) -> Arc<Routes> {
        Arc::clone(&self.routes)
    }
}

impl Allowance for FakeServices {
    fn acquire(&self, _: &Target) -> Option<Permit> {
        Some(Permit::new(|| ()))
    }

    fn observe(&self, _: &Target, _: Observation) {}

    fn in_flight(&self, _: EndpointKey) -> u32 {
        0
    }
}

impl Claims for FakeServices {
    fn ticket(&self) -> BoxFuture<'_, Result<String, Refusal>> {
        Box::pin(async { Ok("ticket-1".to_owned()) })
    }

    fn claim<'a>(
        &'a self,
        key: &'a str,
        digest: [u8; 32],
    ) -> BoxFuture<'a, Result<Claim, Refusal>> {
        Box::pin(async move {
            let fault = self.take_fault("claim");
            self.wait_at_gate("claim").await;
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
            self.wait_at_gate("record").await;
            match self.take_fault("record") {
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

impl Transport for FakeServices {
    fn run<'a>(
        &'a self,
        to: &'a Target,
        attempt: Attempt,
        _: Permit,
    ) -> BoxFuture<'a, Result<Bytes, Refusal>> {
        Box::pin(async move {
            let key = attempt.key.as_deref().unwrap_or_default().to_owned();
            let may = |reason| Err(Refusal::may_have_run(reason, "fault"));
            match self.take_fault("send") {
                Some("refused") => return Err(Refusal::not_run(Reason::Draining, "fault")),
                Some("host killed") => self.hang().await,
                _ => {}
            }
            self.wait_at_gate("send").await;
            self.executions.lock().push(key);
            self.ran_on.lock().insert(to.instance_name());
            self.wait_at_gate("answer").await;
            match self.take_fault("answer") {
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

/// A host whose entry service uses the fakes.
struct Host {
    kernel: Kernel,
    callers: SocketAddr,
}

impl Host {
    async fn start(fakes: &Arc<FakeServices>, claims: bool) -> Self {
        let mut kernel = Kernel::default();
        let ctx: &Context = kernel.context();
        ctx.publish::<dyn services::Endpoints>(<dyn services::Endpoints>::NAME, fakes.clone());
        ctx.publish::<dyn Allowance>(<dyn Allowance>::NAME, fakes.clone());
        ctx.publish::<dyn Transport>(<dyn Transport>::NAME, fakes.clone());
        if claims {
            ctx.publish::<dyn Claims>(<dyn Claims>::NAME, fakes.clone());
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
        tokio::time::timeout(HANG_TIMEOUT, sent).await.unwrap().unwrap()
    }
}

fn fakes(injection: Option<Injection>) -> Arc<FakeServices> {
    let snapshot = Endpoints::default().snapshot("s1", &[2, 2]);
    let collection = Collection { snapshots: vec![snapshot] };
    let collections = [("kits".to_owned(), collection)].into_iter().collect();
    let routes = Routes { collections, ..Routes::default() };
    Arc::new(FakeServices {
        injection: Mutex::new(injection),
        routes: Arc::new(routes),
        ..FakeServices::default()
    })
}

const FAULTS: [&str; 4] = ["refused", "answer lost", "caller gone", "host killed"];
const STEPS: [&str; 4] = ["claim", "send", "answer", "record"];

/// Guards against a second execution after a fault: a host is killed, a message is refused or lost,
/// or the caller disconnects at each step, and the order is resent to another host.
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
            run_with_fault(Injection { fault, step }).await;
            matrix.record_held(fault, step);
        }
    }
    matrix.finish();
}

async fn run_with_fault(injection: Injection) {
    let fakes = fakes(Some(injection));
    let (one, two) = (Host::start(&fakes, true).await, Host::start(&fakes, true).await);
    if injection.fault == "host killed" {
        let callers = one.callers;
        let first = tokio::spawn(async move {
            let headers = [("idempotency-key", "k-1"), ("wisteria-timeout-ms", "10000")];
            let body = r#"{"collection":"kits","route":"r","order":{"id":7}}"#;
            client::send(callers, Method::POST, "/v1/orders", &headers, body).await.map(drop)
        });
        until("the host hangs at the step", || *fakes.hung_calls.lock() > 0).await;
        first.abort();
    } else if injection.fault == "caller gone" {
        disconnect_caller(&fakes, &one, injection.step).await;
    } else {
        check(&fakes, &one.order("k-1", 7).await, injection);
    }
    let before = fakes.executions.lock().len();
    for host in [&two, &one] {
        let answer = host.order("k-1", 7).await;
        check(&fakes, &answer, injection);
        if answer.status == 200 {
            assert_eq!(answer.body["result"]["spool"], 1);
        }
    }
    let after = fakes.executions.lock().len();
    let unclaimed = injection == Injection { fault: "refused", step: "claim" };
    assert!(after == before || unclaimed, "{injection:?}: a resend ran it again");
    assert!(after <= 1, "{injection:?}: ran {after} times");
}

/// Closes the caller's connection while the order is at the step; the order continues.
async fn disconnect_caller(fakes: &Arc<FakeServices>, host: &Host, step: &'static str) {
    let (callers, gate) = (host.callers, fakes.close_gate(step));
    let sent = tokio::spawn(async move {
        let headers = [("idempotency-key", "k-1"), ("wisteria-timeout-ms", "10000")];
        let body = r#"{"collection":"kits","route":"r","order":{"id":7}}"#;
        client::send(callers, Method::POST, "/v1/orders", &headers, body).await.map(drop)
    });
    until("the order reaches the step", || fakes.gate.lock().is_none()).await;
    sent.abort();
    assert!(sent.await.unwrap_err().is_cancelled());
    // Long enough for the host to see that the connection is closed.
    tokio::time::sleep(Duration::from_millis(100)).await;
    gate.notify_one();
    until("the outcome is recorded", || {
        matches!(fakes.claims.lock().get("k-1"), Some((_, Claim::Known(_))))
    })
    .await;
}

fn check(fakes: &FakeServices, answer: &Answer, injection: Injection) {
    let ran = fakes.executions.lock().len();
    match answer.body["verdict"].as_str() {
        Some("ran") => assert_eq!((ran, answer.status.as_u16()), (1, 200), "{injection:?}"),
        Some("not-run") => assert_eq!(ran, 0, "{injection:?}: `not-run` for an executed order"),
        Some("may-have-run") => assert_ne!(answer.status, 200),
        other => panic!("{injection:?}: verdict {other:?}"),
    }
}

#[tokio::test]
async fn host_without_claims_refuses_orders() {
    let fakes = fakes(None);
    let host = Host::start(&fakes, false).await;
    let answer = host.order("k-1", 7).await;
    assert_eq!((answer.status.as_u16(), &answer.body["verdict"]), (503, &"not-run".into()));
    assert_eq!(answer.body["reason"], "no-quorum");
    assert!(fakes.executions.lock().is_empty());
}

#[tokio::test]
async fn resend_returns_first_outcome_and_reused_key_is_refused() {
    let fakes = fakes(None);
    let mut host = Host::start(&fakes, true).await;
    let first = host.order("k-1", 7).await;
    let again = host.order("k-1", 7).await;
    assert_eq!((first.status.as_u16(), &first.body), (200, &again.body));
    let other = host.order("k-1", 8).await;
    assert_eq!((other.status.as_u16(), &other.body["reason"]), (409, &"key-reused".into()));
    assert_eq!(*fakes.executions.lock(), ["k-1"]);
    let ticket = client::send(host.callers, Method::POST, "/v1/tickets", &[], "").await.unwrap();
    assert_eq!(ticket.body["ticket"], "ticket-1");
    host.kernel.stop(Span::secs(5)).await;
}

#[tokio::test]
async fn order_without_idempotency_key_is_refused() {
    let host = Host::start(&fakes(None), true).await;
    let body = r#"{"collection":"kits","route":"r","order":{}}"#;
    let sent = client::send(host.callers, Method::POST, "/v1/orders", &[], body).await.unwrap();
    assert_eq!((sent.status.as_u16(), &sent.body["verdict"]), (400, &"not-run".into()));
}

/// Guards against requests cut off by a shutdown: in lame duck a host fails its health check but
/// serves requests, and a stop waits for those in flight.
#[tokio::test]
async fn stop_waits_for_requests_in_flight() {
    let fakes = fakes(None);
    let mut host = Host::start(&fakes, true).await;
    let callers = host.callers;
    assert_eq!(client::get(callers, "/v1/health").await.unwrap().status, 200);
    host.kernel.enter_lame_duck(Span::secs(60));
    assert_eq!(client::get(callers, "/v1/health").await.unwrap().status, 503);
    assert_eq!(host.order("k-1", 7).await.status, 200);
    let gate = fakes.close_gate("send");
    let body = r#"{"collection":"kits","route":"r","order":{"id":8}}"#;
    let in_flight_order = tokio::spawn(async move {
        let headers = [("idempotency-key", "k-2"), ("wisteria-timeout-ms", "30000")];
        client::send(callers, Method::POST, "/v1/orders", &headers, body).await
    });
    until("the order is in flight", || fakes.gate.lock().is_none()).await;
    let ctx = host.kernel.context().clone();
    let stop = tokio::spawn(async move { host.kernel.stop(Span::secs(30)).await });
    while tokio::net::TcpStream::connect(callers).await.is_ok() {
        tokio::task::yield_now().await;
    }
    assert!(!ctx.is_stopping(), "lower services stopped while a request was in flight");
    gate.notify_one();
    assert_eq!(in_flight_order.await.unwrap().unwrap().status, 200);
    stop.await.unwrap();
    assert!(ctx.is_stopping());
}

/// Guards against the loss of all endpoints when an order that crashes every endpoint that runs it
/// is resent under new keys.
#[tokio::test]
async fn poison_order_crashes_at_most_two_endpoints() {
    let fakes = fakes(None);
    let host = Host::start(&fakes, true).await;
    let mut refused = 0;
    for n in 0..12 {
        *fakes.injection.lock() = Some(Injection { fault: "answer lost", step: "answer" });
        let before = fakes.executions.lock().len();
        let answer = host.order_by(&format!("k-{n}"), 7, &format!("route-{n}")).await;
        if answer.status == 422 {
            assert_eq!(answer.body["verdict"], "not-run");
            assert_eq!(fakes.executions.lock().len(), before, "a quarantined order ran");
            refused += 1;
        } else {
            assert_eq!(answer.body["verdict"], "may-have-run");
        }
    }
    assert!(refused > 0);
    assert_eq!(fakes.ran_on.lock().len(), 2, "endpoints stopped");
    *fakes.injection.lock() = None;
    assert_eq!(host.order("k-other", 8).await.status, 200, "another order is refused");
}
