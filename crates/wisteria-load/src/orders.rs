//! Orders with idempotency keys, sent again at other hosts, against what really ran.
//!
//! Each order carries an id of its own, which the stand-in endpoints log. After the load the
//! report holds every reply against the log: an order that ran twice, an answer "ran" without an
//! execution, or a refusal "not run" of an order that ran.

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
use crate::client::{Client, Reply, order_executions};
use crate::report::{Histogram, Quantiles};
use crate::run::GRACE;
use crate::settings::Settings;

/// Time after which an order without an answer is sent again.
const RESEND_AFTER: Duration = Duration::from_millis(30);

/// What became of the orders.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OrderReport {
    /// Orders that arrived.
    pub orders: u64,
    /// Requests sent, resends included.
    pub sends: u64,
    /// Orders that some answer says have run.
    pub ran: u64,
    /// Orders whose every answer says that they did not run.
    pub not_run: u64,
    /// Orders whose end no answer tells.
    pub unknown: u64,
    /// Time from the arrival to the first answer that tells the end.
    pub latency: Quantiles,
    /// Answers and refusals by `verdict/reason`, errors by kind.
    pub replies: IndexMap<String, u64>,
    /// Executions of these orders that the endpoints logged.
    pub executions: u64,
    /// Orders that ran more than once.
    pub doubled: Vec<String>,
    /// Orders that "ran" by an answer and of which no endpoint knows.
    pub lost: Vec<String>,
    /// Orders that "did not run" by some answer after which none says otherwise, and that ran.
    pub untrue: Vec<String>,
}

/// What a reply says of the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum End {
    NotRun,
    Unknown,
    Ran,
}

#[derive(Debug)]
struct Told {
    end: End,
    reply: String,
}

#[derive(Debug)]
struct Order {
    id: String,
    told: Vec<Told>,
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

/// Sends the orders, waits for every answer and counts what ran.
///
/// # Errors
///
/// Fails without a control port, or when one does not answer.
pub async fn run_orders(settings: &Settings) -> Result<OrderReport> {
    ensure!(!settings.leaf_control.is_empty(), "--orders needs --leaf-control to count what ran");
    let orders = send_all(settings).await?;
    let mut executions: IndexMap<String, u64> = IndexMap::new();
    for &control in &settings.leaf_control {
        for id in order_executions(control).await? {
            *executions.entry(id).or_default() += 1;
        }
    }
    report(&orders, &executions)
}

async fn send_all(settings: &Settings) -> Result<Vec<Order>> {
    let client = Arc::new(Client::new(&settings.target));
    let settings = Arc::new(settings.clone());
    let span = Duration::from_secs_f64(settings.seconds);
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    // Ids differ from run to run on the same endpoints.
    let run: u64 = rand::random();
    for (n, arrival) in (0_u64..).zip(Arrivals::new(settings.seed, settings.rate, span)) {
        let intended = start + arrival;
        sleep_until(intended).await;
        let id = format!("order-{run:016x}-{n}");
        tasks.spawn(place(Arc::clone(&client), Arc::clone(&settings), id, intended));
    }
    Ok(tasks.join_all().await)
}

/// Sends one order and its resends, which do not wait for an answer that takes long.
async fn place(client: Arc<Client>, settings: Arc<Settings>, id: String, begun: Instant) -> Order {
    let key = if settings.tickets {
        match ticket(&client, &settings).await {
            Some(ticket) => ticket,
            None => return Order { id, told: Vec::new(), latency: None },
        }
    } else {
        id.clone()
    };
    let mut sends = JoinSet::new();
    for _ in 0..=settings.resends {
        sends.spawn(send(Arc::clone(&client), Arc::clone(&settings), id.clone(), key.clone()));
        sleep(RESEND_AFTER).await;
    }
    let (mut told, mut latency) = (Vec::new(), None);
    while let Some(joined) = sends.join_next().await {
        let Ok(next) = joined else { continue };
        if next.end == End::Ran && latency.is_none() {
            latency = Some(begun.elapsed());
        }
        told.push(next);
    }
    Order { id, told, latency }
}

async fn ticket(client: &Client, settings: &Settings) -> Option<String> {
    let request = Request::post("/v1/tickets").body(Full::new(Bytes::new())).ok()?;
    let reply = timeout(limit(settings), client.send(request)).await.ok()?.ok()?;
    let ticket: Ticket = serde_json::from_slice(&reply.body).ok()?;
    Some(ticket.ticket)
}

fn limit(settings: &Settings) -> Duration {
    Duration::from_millis(settings.timeout_ms) + GRACE
}

async fn send(client: Arc<Client>, settings: Arc<Settings>, id: String, key: String) -> Told {
    let Ok(request) = request(&settings, &id, &key) else {
        return Told { end: End::NotRun, reply: "error/unsent".to_owned() };
    };
    match timeout(limit(&settings), client.send(request)).await {
        Ok(Ok(reply)) => read(&reply),
        Ok(Err(_)) => Told { end: End::Unknown, reply: "error/connection".to_owned() },
        Err(_) => Told { end: End::Unknown, reply: "error/no-answer".to_owned() },
    }
}

fn request(settings: &Settings, id: &str, key: &str) -> Result<Request<Full<Bytes>>> {
    let body = json!({"collection": settings.collection, "route": id, "order": {"id": id}});
    let request = Request::post("/v1/orders")
        .header("content-type", "application/json")
        .header("idempotency-key", key)
        .header("wisteria-timeout-ms", settings.timeout_ms);
    Ok(request.body(Full::new(Bytes::from(body.to_string())))?)
}

fn read(reply: &Reply) -> Told {
    let Ok(verdict) = serde_json::from_slice::<Verdict>(&reply.body) else {
        return Told { end: End::Unknown, reply: "error/malformed".to_owned() };
    };
    // A refusal of a resend speaks of the resend, not of the order that is in progress.
    let end = match (verdict.verdict.as_str(), verdict.reason.as_str()) {
        ("ran", _) => End::Ran,
        ("not-run", "in-progress") => End::Unknown,
        ("not-run", _) => End::NotRun,
        _ => End::Unknown,
    };
    Told { end, reply: format!("{}/{}", verdict.verdict, verdict.reason) }
}

impl Order {
    /// The strongest that the replies say.
    fn end(&self) -> End {
        self.told.iter().map(|t| t.end).max().unwrap_or(End::NotRun)
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
    fn add(&mut self, order: &Order, ran: u64) {
        self.orders += 1;
        self.sends += order.told.len() as u64;
        self.executions += ran;
        for told in &order.told {
            *self.replies.entry(told.reply.clone()).or_default() += 1;
        }
        match order.end() {
            End::Ran => self.ran += 1,
            End::NotRun => self.not_run += 1,
            End::Unknown => self.unknown += 1,
        }
        if ran > 1 {
            self.doubled.push(order.id.clone());
        }
        if ran == 0 && order.end() == End::Ran {
            self.lost.push(order.id.clone());
        }
        if ran > 0 && order.end() == End::NotRun {
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
