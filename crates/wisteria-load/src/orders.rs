//! Checks at-most-once execution of orders that are resent to other hosts under one idempotency
//! key.
//!
//! Each order carries a unique id, which the stand-in endpoints log. After the load, the report
//! compares every reply with the log. It lists orders that ran more than once, orders that were
//! answered "ran" but not executed, and orders that were refused as "not run" but executed.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Result, ensure};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::arrivals::Arrivals;
use crate::client::{Client, Reply, executed_orders};
use crate::report::{Histogram, Quantiles};
use crate::run::TIMEOUT_GRACE;
use crate::settings::Settings;

/// Interval between two sends of the same order.
const RESEND_INTERVAL: Duration = Duration::from_millis(30);

/// Results of a run of orders.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OrderReport {
    /// Orders that arrived.
    pub orders: u64,
    /// Requests sent, resends included.
    pub sends: u64,
    /// Orders that at least one reply reports as run.
    pub ran: u64,
    /// Orders that every reply reports as not run.
    pub not_run: u64,
    /// Orders that no reply reports as run, with at least one reply that leaves it open.
    pub unknown: u64,
    /// Time from the intended arrival to the first reply that the order ran.
    pub latency: Quantiles,
    /// Number of answers and refusals by `verdict/reason`, and of errors by kind.
    pub replies: IndexMap<String, u64>,
    /// Executions of these orders that the endpoints logged.
    pub executions: u64,
    /// Ids of orders that ran more than once.
    pub doubled: Vec<String>,
    /// Ids of orders that a reply reports as run, but that no endpoint has executed.
    pub lost: Vec<String>,
    /// Ids of orders that every reply reports as not run, but that an endpoint has executed.
    pub untrue: Vec<String>,
}

/// What a reply says about the order. The variants are ordered by strength: the outcome of an order
/// is the greatest of its replies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum OrderOutcome {
    NotRun,
    Unknown,
    Ran,
}

/// One send of an order and its reply.
#[derive(Debug)]
struct Attempt {
    outcome: OrderOutcome,
    /// `verdict/reason`, or the kind of error.
    reply: String,
}

/// An order with all its attempts.
#[derive(Debug)]
struct Order {
    id: String,
    attempts: Vec<Attempt>,
    /// Time from the intended arrival to the first reply that the order ran.
    latency: Option<Duration>,
}

#[derive(Deserialize)]
struct Ticket {
    ticket: String,
}

#[derive(Deserialize)]
struct Verdict {
    verdict: String,
    #[serde(default)]
    reason: String,
}

/// Sends the orders, waits for all replies and compares them with the endpoints' execution logs.
///
/// # Errors
///
/// Fails when no control port is set, or when one does not answer.
pub async fn run_orders(settings: &Settings) -> Result<OrderReport> {
    ensure!(!settings.leaf_control.is_empty(), "--orders needs --leaf-control to count executions");
    let orders = send_all(settings).await?;
    let mut executions: IndexMap<String, u64> = IndexMap::new();
    for &control in &settings.leaf_control {
        for id in executed_orders(control).await? {
            *executions.entry(id).or_default() += 1;
        }
    }
    report(&orders, &executions)
}

async fn send_all(settings: &Settings) -> Result<Vec<Order>> {
    let client = Arc::new(Client::new(&settings.target));
    let settings = Arc::new(settings.clone());
    let duration = Duration::from_secs_f64(settings.seconds);
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    // Makes ids unique across runs, because the endpoints' logs may hold those of earlier runs.
    let run_id: u64 = rand::random();
    for (n, arrival) in (0_u64..).zip(Arrivals::new(settings.seed, settings.rate, duration)) {
        let arrival_time = start + arrival;
        sleep_until(arrival_time).await;
        let id = format!("order-{run_id:016x}-{n}");
        tasks.spawn(send_order(Arc::clone(&client), Arc::clone(&settings), id, arrival_time));
    }
    Ok(tasks.join_all().await)
}

/// Sends one order and its resends at a fixed interval, without waiting for the replies between.
async fn send_order(
    client: Arc<Client>,
    settings: Arc<Settings>,
    id: String,
    arrival: Instant,
) -> Order {
    let key = if settings.tickets {
        match fetch_ticket(&client, &settings).await {
            Some(ticket) => ticket,
            None => return Order { id, attempts: Vec::new(), latency: None },
        }
    } else {
        id.clone()
    };
    let mut sends = JoinSet::new();
    for _ in 0..=settings.resends {
        sends.spawn(send_attempt(
            Arc::clone(&client),
            Arc::clone(&settings),
            id.clone(),
            key.clone(),
        ));
        sleep(RESEND_INTERVAL).await;
    }
    let (mut attempts, mut latency) = (Vec::new(), None);
    while let Some(joined) = sends.join_next().await {
        let Ok(attempt) = joined else { continue };
        if attempt.outcome == OrderOutcome::Ran && latency.is_none() {
            latency = Some(arrival.elapsed());
        }
        attempts.push(attempt);
    }
    Order { id, attempts, latency }
}

/// Requests a ticket to use as the idempotency key; nothing if the request fails.
async fn fetch_ticket(client: &Client, settings: &Settings) -> Option<String> {
    let request = Request::post("/v1/tickets").body(Full::new(Bytes::new())).ok()?;
    let reply = timeout(reply_timeout(settings), client.send(request)).await.ok()?.ok()?;
    let ticket: Ticket = serde_json::from_slice(&reply.body).ok()?;
    Some(ticket.ticket)
}

/// Time that a request waits for its reply.
fn reply_timeout(settings: &Settings) -> Duration {
    Duration::from_millis(settings.timeout_ms) + TIMEOUT_GRACE
}

async fn send_attempt(
    client: Arc<Client>,
    settings: Arc<Settings>,
    id: String,
    key: String,
) -> Attempt {
    let Ok(request) = build_request(&settings, &id, &key) else {
        return Attempt { outcome: OrderOutcome::NotRun, reply: "error/unsent".to_owned() };
    };
    match timeout(reply_timeout(&settings), client.send(request)).await {
        Ok(Ok(reply)) => parse_reply(&reply),
        Ok(Err(_)) => {
            Attempt { outcome: OrderOutcome::Unknown, reply: "error/connection".to_owned() }
        }
        Err(_) => Attempt { outcome: OrderOutcome::Unknown, reply: "error/no-answer".to_owned() },
    }
}

fn build_request(settings: &Settings, id: &str, key: &str) -> Result<Request<Full<Bytes>>> {
    let body = json!({"collection": settings.collection, "route": id, "order": {"id": id}});
    let request = Request::post("/v1/orders")
        .header("content-type", "application/json")
        .header("idempotency-key", key)
        .header("wisteria-timeout-ms", settings.timeout_ms);
    Ok(request.body(Full::new(Bytes::from(body.to_string())))?)
}

fn parse_reply(reply: &Reply) -> Attempt {
    let Ok(verdict) = serde_json::from_slice::<Verdict>(&reply.body) else {
        return Attempt { outcome: OrderOutcome::Unknown, reply: "error/malformed".to_owned() };
    };
    // "in-progress" refuses a resend while an earlier send of the order still runs, so it doesn't
    // tell whether the order will have run.
    let outcome = match (verdict.verdict.as_str(), verdict.reason.as_str()) {
        ("ran", _) => OrderOutcome::Ran,
        ("not-run", "in-progress") => OrderOutcome::Unknown,
        ("not-run", _) => OrderOutcome::NotRun,
        _ => OrderOutcome::Unknown,
    };
    Attempt { outcome, reply: format!("{}/{}", verdict.verdict, verdict.reason) }
}

impl Order {
    /// The strongest outcome of all replies; `NotRun` when nothing was sent.
    fn outcome(&self) -> OrderOutcome {
        self.attempts.iter().map(|a| a.outcome).max().unwrap_or(OrderOutcome::NotRun)
    }
}

fn report(orders: &[Order], executions: &IndexMap<String, u64>) -> Result<OrderReport> {
    let mut report = OrderReport::default();
    let mut latencies = Histogram::new()?;
    for order in orders {
        let ran = executions.get(&order.id).copied().unwrap_or(0);
        report.add(order, ran);
        if let Some(latency) = order.latency {
            latencies.record(latency)?;
        }
    }
    report.latency = latencies.quantiles();
    Ok(report)
}

impl OrderReport {
    /// Adds an order that the endpoints executed `ran` times.
    fn add(&mut self, order: &Order, ran: u64) {
        self.orders += 1;
        self.sends += order.attempts.len() as u64;
        self.executions += ran;
        for attempt in &order.attempts {
            *self.replies.entry(attempt.reply.clone()).or_default() += 1;
        }
        match order.outcome() {
            OrderOutcome::Ran => self.ran += 1,
            OrderOutcome::NotRun => self.not_run += 1,
            OrderOutcome::Unknown => self.unknown += 1,
        }
        if ran > 1 {
            self.doubled.push(order.id.clone());
        }
        if ran == 0 && order.outcome() == OrderOutcome::Ran {
            self.lost.push(order.id.clone());
        }
        if ran > 0 && order.outcome() == OrderOutcome::NotRun {
            self.untrue.push(order.id.clone());
        }
    }
}

impl fmt::Display for OrderReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { orders, sends, ran, not_run, unknown, .. } = self;
        writeln!(f, "orders        {orders}, sent {sends} times")?;
        writeln!(f, "ends          ran {ran}, not run {not_run}, unknown {unknown}")?;
        writeln!(f, "latency       {}", self.latency)?;
        write!(f, "replies       ")?;
        for (reply, n) in &self.replies {
            write!(f, "{reply} {n}  ")?;
        }
        writeln!(f, "\nexecutions    {}", self.executions)?;
        for (name, ids) in
            [("doubled", &self.doubled), ("lost", &self.lost), ("untrue", &self.untrue)]
        {
            writeln!(f, "{name:<14}{} {}", ids.len(), ids.join(" "))?;
        }
        Ok(())
    }
}
