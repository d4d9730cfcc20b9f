//! Drives the [`Order`] state machine of one order: claims its key, sends it, records its outcome.
//!
//! An order continues after its caller disconnects, so that its outcome is recorded.

use super::Entry;
use super::request::OrderBody;
use crate::core::order::{self, Action, ClaimStatus, Environment, Event, Order, Outcome};
use crate::core::quarantine::{Admission, Death, Fingerprint};
use crate::core::routes::{Snapshot, Target};
use crate::prelude::*;
use crate::services::{self, Attempt, Claim, Claims, Permit};
use bytes::Bytes;
use serde::Serialize;
use serde_json::value::RawValue;

/// Maximum time for which the caller's answer waits for the outcome to be recorded.
const RECORD_TIMEOUT: Span = Span::millis(500);

/// The answer to an order, sent to the caller as JSON.
#[derive(Debug, Serialize)]
pub struct Answer {
    verdict: Verdict,
    result: Box<RawValue>,
}

/// Environment of an order: the routes of its collection and this host's permits.
struct OrderEnvironment<'a> {
    entry: &'a Entry,
    collection: &'a str,
}

impl Environment for OrderEnvironment<'_> {
    type Permit = Permit;

    fn snapshot(&self) -> Option<Arc<Snapshot>> {
        self.entry.endpoints.routes().collections.get(self.collection)?.best()
    }

    fn acquire(&mut self, to: &Target) -> Option<Permit> {
        let permit = self.entry.allowance.acquire(to);
        if permit.is_none() {
            self.entry.allowance.request_slots(std::slice::from_ref(to));
        }
        permit
    }
}

/// Driver of one order.
struct OrderDriver {
    entry: Arc<Entry>,
    claims: Arc<dyn Claims>,
    key: Arc<str>,
    body: OrderBody,
    deadline: Time,
}

/// Runs one order and returns its answer; the order continues when this future is dropped.
///
/// # Errors
///
/// Returns a refusal whose verdict states whether the order may have run.
pub async fn run(
    entry: Arc<Entry>,
    key: Arc<str>,
    body: OrderBody,
    deadline: Time,
) -> Result<Answer, Refusal> {
    let Some(claims) = entry.claims() else {
        let detail = "this host can claim no keys, so it takes no orders; ask another";
        return Err(Refusal::not_run(Reason::NoQuorum, detail));
    };
    if !entry.endpoints.routes().collections.contains_key(&*body.collection) {
        let detail = format!("no endpoint holds collection `{}`", body.collection);
        return Err(Refusal::not_run(Reason::UnknownCollection, detail));
    }
    let digest = body.digest();
    if matches!(entry.quarantine.admit(&digest, &|_| true), Admission::Refused(_)) {
        let detail = "endpoints died while they ran this order";
        return Err(Refusal::not_run(Reason::Quarantined, detail));
    }
    let driver = OrderDriver { entry, claims, key, body, deadline };
    let stopped = |_| Refusal::may_have_run(Reason::Internal, "the order was stopped");
    let body = tokio::spawn(driver.run()).await.map_err(stopped)??;
    let text = String::from_utf8(body.to_vec()).ok();
    let result = text.and_then(|t| RawValue::from_string(t).ok());
    // A result that is not JSON is replaced by `null`, since the order has run.
    let result = result.unwrap_or_else(|| RawValue::NULL.to_owned());
    Ok(Answer { verdict: Verdict::Ran, result })
}

impl OrderDriver {
    async fn run(self) -> Result<Bytes, Refusal> {
        let mut order = Order::new(self.body.route.clone(), self.deadline);
        let mut event = Event::Start;
        loop {
            let action = {
                let collection = &*self.body.collection;
                let mut env = OrderEnvironment { entry: &self.entry, collection };
                order.step(self.entry.ctx.now(), event, &mut env)
            };
            event = match action {
                Some(Action::Claim) => Event::Claimed(self.claim().await),
                Some(Action::Send { snapshot, shard, target, permit }) => {
                    Event::Done(self.send(snapshot, shard, &target, permit).await)
                }
                Some(Action::Wake(at)) => {
                    tokio::time::sleep(at.since(self.entry.ctx.now()).to_std()).await;
                    Event::Wake
                }
                Some(Action::Record(outcome)) => {
                    self.record(outcome).await;
                    Event::Recorded
                }
                Some(Action::Answer(answer)) => return answer,
                None => {
                    let detail = "the order stopped in an unknown state";
                    return Err(Refusal::may_have_run(Reason::Internal, detail));
                }
            };
        }
    }

    /// Claims the key of the order.
    async fn claim(&self) -> Result<ClaimStatus, Refusal> {
        let digest = order::digest(&self.body.collection, &self.body.route, &self.body.order);
        Ok(match self.claims.claim(&self.key, digest).await? {
            Claim::Granted => ClaimStatus::Granted,
            Claim::Running => ClaimStatus::Running,
            Claim::Known(services::Outcome::Ran(body)) => ClaimStatus::Ran(body.into()),
            Claim::Known(services::Outcome::NotRun) => ClaimStatus::NotRun,
            Claim::Known(services::Outcome::MayHaveRun) => ClaimStatus::MayHaveRun,
        })
    }

    /// Sends the order to an endpoint; reports it to the quarantine if the endpoint seems to die.
    async fn send(
        &self,
        snapshot: Arc<Snapshot>,
        shard: u32,
        target: &Target,
        permit: Permit,
    ) -> Result<Bytes, Refusal> {
        let attempt = Attempt {
            id: self.entry.attempt_id(),
            idempotent: false,
            key: Some(Arc::clone(&self.key)),
            collection: Arc::clone(&self.body.collection),
            snapshot: Arc::clone(&snapshot.name),
            shard,
            shards: snapshot.shard_count(),
            timeout: self.deadline.since(self.entry.ctx.now()),
            body: self.body.order.clone(),
        };
        let quarantine = &self.entry.quarantine;
        let request = Fingerprint { digest: self.body.digest(), shard: None };
        let known = quarantine.record(&request);
        let result = self.entry.transport.run(target, attempt, permit).await;
        match &result {
            Ok(_) => quarantine.record_answer(&request),
            Err(refusal) if refusal.suggests_death() => {
                let endpoint = target.instance_name();
                quarantine.record_death(Death { request, endpoint, known, answered: false });
            }
            Err(_) => {}
        }
        result
    }

    /// Records the outcome; returns early if that takes longer than [`RECORD_TIMEOUT`].
    async fn record(&self, outcome: Outcome) {
        let outcome = match outcome {
            Outcome::Ran(body) => services::Outcome::Ran(body.to_vec()),
            Outcome::NotRun => services::Outcome::NotRun,
            Outcome::MayHaveRun => services::Outcome::MayHaveRun,
        };
        let (claims, key) = (Arc::clone(&self.claims), Arc::clone(&self.key));
        let record = tokio::spawn(async move { claims.record(&key, outcome).await });
        if tokio::time::timeout(RECORD_TIMEOUT.to_std(), record).await.is_err() {
            log::warn!(
                "could not record the outcome of an order within {RECORD_TIMEOUT}; \
                 recording continues in the background"
            );
        }
    }
}
