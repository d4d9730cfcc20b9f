//! What a caller asks: headers and body, checked.

use crate::core::admission::AdmissionRequest;
use crate::core::document::Rules;
use crate::core::endpoint::check_name;
use crate::core::order;
use crate::core::quarantine::Digest;
use crate::core::wait_queue::Urgency;
use crate::prelude::*;
use crate::util::http::read_body;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::str::FromStr;

/// Most bytes of a caller's body.
const BODY_MAX_BYTES: usize = 256 << 10;
/// Longest route of an order, in bytes.
const ROUTE_MAX_BYTES: usize = 256;
/// Longest key of an order, in bytes.
const KEY_MAX_BYTES: usize = 256;
/// Time allowed when the caller names none.
const TIMEOUT_DEFAULT: Span = Span::secs(1);
/// Priority of callers without a class.
const PRIORITY_DEFAULT: u8 = 100;
/// Longest time that a caller may name.
const TIMEOUT_MAX: Span = Span::secs(60);
/// Hits in an answer when the caller names no limit.
const LIMIT_DEFAULT: usize = 10;
/// Most hits that a caller may ask for.
const LIMIT_MAX: usize = 1_000;

/// What the headers of a request say, with the defaults of its class.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Time allowed for the whole answer.
    pub timeout: Span,
    /// Class of the caller; empty for one without a known class.
    pub class: Arc<str>,
    /// Order of service: a lower number goes first.
    pub priority: u8,
    /// Requests of the class that may run at once.
    pub limit: Option<u32>,
    /// Least share of shards that the class takes.
    pub least: f64,
    /// Name of the caller.
    pub caller: Option<Arc<str>>,
}

#[derive(Deserialize)]
struct SearchFields {
    collection: String,
    query: Box<RawValue>,
    limit: Option<usize>,
    min_coverage: Option<f64>,
}

/// The body of a search.
#[derive(Clone, Debug)]
pub struct SearchBody {
    /// Collection to search.
    pub collection: Arc<str>,
    /// Query as the caller wrote it, for the endpoints.
    pub query: Bytes,
    /// Most hits in the answer.
    pub limit: usize,
    /// Least share of shards that the answer must cover, 0 to 1.
    pub least: f64,
}

#[derive(Deserialize)]
struct OrderFields {
    collection: String,
    route: String,
    order: Box<RawValue>,
}

/// The body of an order.
#[derive(Clone, Debug)]
pub struct OrderBody {
    /// Collection that takes it.
    pub collection: Arc<str>,
    /// What chooses the endpoint: equal routes go to the same one.
    pub route: String,
    /// Order as the caller wrote it, for the endpoint.
    pub order: Bytes,
}

impl OrderBody {
    /// Digest of the order for the quarantine, whatever its key.
    pub fn digest(&self) -> Digest {
        digest(&self.collection, &self.order)
    }

    /// Reads and checks the body of an order.
    ///
    /// # Errors
    ///
    /// Refuses what is malformed or out of bounds, naming what is allowed.
    pub async fn read(body: Incoming) -> Result<Self, Refusal> {
        let bytes = read_body(body, BODY_MAX_BYTES).await?;
        let f: OrderFields = serde_json::from_slice(&bytes)
            .map_err(|e| bad(format!("the body is no order: {e}")))?;
        check_name("collection", &f.collection).map_err(bad)?;
        if f.route.is_empty() || f.route.len() > ROUTE_MAX_BYTES {
            return Err(bad(format!("`route` needs 1 to {ROUTE_MAX_BYTES} bytes")));
        }
        let order = Bytes::from(Box::<str>::from(f.order).into_boxed_bytes());
        Ok(Self { collection: f.collection.into(), route: f.route, order })
    }
}

/// The key of a non-idempotent request.
///
/// # Errors
///
/// Refuses a request without a key, and a key that is out of bounds.
pub fn key(headers: &HeaderMap) -> Result<Arc<str>, Refusal> {
    let value = headers.get("idempotency-key").map(|v| v.to_str().unwrap_or_default());
    let value = value.ok_or_else(|| bad("an order needs the header `idempotency-key`".into()))?;
    let plain = |b: u8| b.is_ascii_graphic();
    if value.is_empty() || value.len() > KEY_MAX_BYTES || !value.bytes().all(plain) {
        return Err(bad(format!(
            "`idempotency-key` needs 1 to {KEY_MAX_BYTES} visible ASCII characters"
        )));
    }
    Ok(value.into())
}

impl Asked {
    /// Reads and checks the headers.
    ///
    /// # Errors
    ///
    /// Refuses what is malformed or out of bounds, naming what is allowed.
    pub fn read(headers: &HeaderMap, rules: &Rules) -> Result<Self, Refusal> {
        let class = name(headers, "wisteria-class")?;
        // A class that no rule names yet must not make a caller fail: it gets the defaults.
        let class = class.and_then(|c| rules.classes.iter().find(|r| r.name == c));
        let usual = class.and_then(|c| c.timeout_ms).map_or(TIMEOUT_DEFAULT, Span::millis);
        Ok(Self {
            timeout: timeout(headers)?.unwrap_or(usual.min(TIMEOUT_MAX)),
            class: class.map_or("", |c| &c.name).into(),
            priority: class.map_or(PRIORITY_DEFAULT, |c| c.priority),
            limit: class.and_then(|c| c.concurrency),
            least: class.and_then(|c| c.min_coverage).unwrap_or(0.0),
            caller: name(headers, "wisteria-caller")?.map(Into::into),
        })
    }

    /// What to ask of admission for the request `serial` that came at `begun`.
    pub fn ask(&self, begun: Time, serial: u64) -> AdmissionRequest {
        let deadline = begun + self.timeout;
        AdmissionRequest {
            urgency: Urgency { priority: self.priority, deadline, serial },
            timeout: self.timeout,
            class: Arc::clone(&self.class),
            limit: self.limit,
            caller: self.caller.clone(),
        }
    }
}

fn digest(collection: &str, body: &[u8]) -> Digest {
    let whole = order::digest(collection, "", body);
    let mut digest = Digest::default();
    digest.copy_from_slice(&whole[..size_of::<Digest>()]);
    digest
}

impl SearchBody {
    /// Digest of the query for the quarantine.
    pub fn digest(&self) -> Digest {
        digest(&self.collection, &self.query)
    }

    /// Reads and checks the body of a search; it covers `least` when it names no share itself.
    ///
    /// # Errors
    ///
    /// Refuses what is malformed or out of bounds, naming what is allowed.
    pub async fn read(body: Incoming, least: f64) -> Result<Self, Refusal> {
        Self::parse(&read_body(body, BODY_MAX_BYTES).await?, least)
    }

    fn parse(bytes: &[u8], least: f64) -> Result<Self, Refusal> {
        let f: SearchFields = serde_json::from_slice(bytes)
            .map_err(|e| bad(format!("the body is no search: {e}")))?;
        check_name("collection", &f.collection).map_err(bad)?;
        let limit = f.limit.unwrap_or(LIMIT_DEFAULT);
        if limit > LIMIT_MAX {
            return Err(bad(format!("`limit` is {limit}; at most {LIMIT_MAX} is allowed")));
        }
        let least = f.min_coverage.unwrap_or(least);
        if !(0.0..=1.0).contains(&least) {
            return Err(bad(format!("`min_coverage` is {least}; 0 to 1 is allowed")));
        }
        let query = Bytes::from(Box::<str>::from(f.query).into_boxed_bytes());
        Ok(Self { collection: f.collection.into(), query, limit, least })
    }
}

fn bad(detail: String) -> Refusal {
    Refusal::not_run(Reason::BadRequest, detail)
}

fn timeout(headers: &HeaderMap) -> Result<Option<Span>, Refusal> {
    let Some(ms) = number::<u64>(headers, "wisteria-timeout-ms")? else { return Ok(None) };
    let max = TIMEOUT_MAX.as_millis();
    if ms == 0 || ms > max {
        return Err(bad(format!("`wisteria-timeout-ms` is {ms}; 1 to {max} is allowed")));
    }
    Ok(Some(Span::millis(ms)))
}

fn name<'a>(headers: &'a HeaderMap, header: &str) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(header) else { return Ok(None) };
    let value = value.to_str().map_err(|_| bad(format!("`{header}` is not plain text")))?;
    check_name(header, value).map_err(bad)?;
    Ok(Some(value))
}

fn number<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<Option<T>, Refusal> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let parsed = value.to_str().ok().and_then(|v| v.parse().ok());
    parsed.map(Some).ok_or_else(|| bad(format!("`{name}` is not a whole number")))
}
