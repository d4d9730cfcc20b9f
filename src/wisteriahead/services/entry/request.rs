//! Parses and validates the headers and bodies of callers' requests.

use crate::core::admission::AdmissionRequest;
use crate::core::document::Rules;
use crate::core::endpoint::check_name;
use crate::core::quarantine::{Digest, request_digest};
use crate::core::wait_queue::Urgency;
use crate::prelude::*;
use crate::util::http::read_body;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::str::FromStr;

/// Maximum size of a request body.
const BODY_MAX_BYTES: usize = 256 << 10;
/// Maximum length of an order's route.
const ROUTE_MAX_BYTES: usize = 256;
/// Maximum length of an order's idempotency key.
const KEY_MAX_BYTES: usize = 256;
/// Timeout of requests for which neither the caller nor its class gives one.
const TIMEOUT_DEFAULT: Span = Span::secs(1);
/// Priority of requests without a known class.
const PRIORITY_DEFAULT: u8 = 100;
/// Maximum timeout of a request.
const TIMEOUT_MAX: Span = Span::secs(60);
/// Maximum number of hits in an answer if the request gives no limit.
const LIMIT_DEFAULT: usize = 10;
/// Largest limit on the number of hits that a request may give.
const LIMIT_MAX: usize = 1_000;

/// Parameters from the headers of a request, with the defaults of its class.
#[derive(Clone, Debug)]
pub struct RequestHeaders {
    /// Time allowed for the whole answer.
    pub timeout: Span,
    /// Name of the request's class; empty if it has none or it is unknown.
    pub class: Arc<str>,
    /// Priority in the queues; a lower number goes first.
    pub priority: u8,
    /// Maximum number of requests of the class that run at once; `None` for no limit.
    pub limit: Option<u32>,
    /// Default of the class for the minimum fraction of shards that must answer, 0 to 1.
    pub min_coverage: f64,
    /// Name of the caller, if given.
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
    /// Query in JSON as the caller wrote it; passed to the endpoints unchanged.
    pub query: Bytes,
    /// Maximum number of hits in the answer.
    pub limit: usize,
    /// Minimum fraction of shards that must answer, 0 to 1.
    pub min_coverage: f64,
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
    /// Collection that the order is for.
    pub collection: Arc<str>,
    /// Routing key: orders with the same one go to the same endpoint.
    pub route: String,
    /// Order in JSON as the caller wrote it; passed to the endpoint unchanged.
    pub order: Bytes,
}

impl OrderBody {
    /// Digest that identifies the order in the quarantine, regardless of its key.
    pub fn digest(&self) -> Digest {
        request_digest(&self.collection, "", &self.order)
    }

    /// Reads and validates the body of an order.
    ///
    /// # Errors
    ///
    /// Refuses a malformed body or a field out of bounds, and states the bounds.
    pub async fn read(body: Incoming) -> Result<Self, Refusal> {
        let bytes = read_body(body, BODY_MAX_BYTES).await?;
        let f: OrderFields = serde_json::from_slice(&bytes)
            .map_err(|e| bad_request(format!("the body is no order: {e}")))?;
        check_name("collection", &f.collection).map_err(bad_request)?;
        if f.route.is_empty() || f.route.len() > ROUTE_MAX_BYTES {
            return Err(bad_request(format!("`route` needs 1 to {ROUTE_MAX_BYTES} bytes")));
        }
        let order = Bytes::from(Box::<str>::from(f.order).into_boxed_bytes());
        Ok(Self { collection: f.collection.into(), route: f.route, order })
    }
}

/// The idempotency key in the headers of an order.
///
/// # Errors
///
/// Refuses a missing, malformed or overlong key.
pub fn key(headers: &HeaderMap) -> Result<Arc<str>, Refusal> {
    let value = headers.get("idempotency-key").map(|v| v.to_str().unwrap_or_default());
    let value =
        value.ok_or_else(|| bad_request("an order needs the header `idempotency-key`".into()))?;
    let is_valid = |b: u8| b.is_ascii_graphic();
    if value.is_empty() || value.len() > KEY_MAX_BYTES || !value.bytes().all(is_valid) {
        return Err(bad_request(format!(
            "`idempotency-key` needs 1 to {KEY_MAX_BYTES} visible ASCII characters"
        )));
    }
    Ok(value.into())
}

impl RequestHeaders {
    /// Reads and validates the headers.
    ///
    /// # Errors
    ///
    /// Refuses a malformed header or a value out of bounds, and states the bounds.
    pub fn read(headers: &HeaderMap, rules: &Rules) -> Result<Self, Refusal> {
        let class = parse_name(headers, "wisteria-class")?;
        // A class without a rule gets the defaults instead of a refusal, so that callers can use
        // a class before its rule is in force.
        let class = class.and_then(|c| rules.classes.iter().find(|r| r.name == c));
        let default = class.and_then(|c| c.timeout_ms).map_or(TIMEOUT_DEFAULT, Span::millis);
        Ok(Self {
            timeout: parse_timeout(headers)?.unwrap_or(default.min(TIMEOUT_MAX)),
            class: class.map_or("", |c| &c.name).into(),
            priority: class.map_or(PRIORITY_DEFAULT, |c| c.priority),
            limit: class.and_then(|c| c.concurrency),
            min_coverage: class.and_then(|c| c.min_coverage).unwrap_or(0.0),
            caller: parse_name(headers, "wisteria-caller")?.map(Into::into),
        })
    }

    /// The request to admission control for request number `serial`, which arrived at `start`.
    pub fn admission_request(&self, start: Time, serial: u64) -> AdmissionRequest {
        let deadline = start + self.timeout;
        AdmissionRequest {
            urgency: Urgency { priority: self.priority, deadline, serial },
            timeout: self.timeout,
            class: Arc::clone(&self.class),
            limit: self.limit,
            caller: self.caller.clone(),
        }
    }
}

impl SearchBody {
    /// Digest that identifies the query in the quarantine.
    pub fn digest(&self) -> Digest {
        request_digest(&self.collection, "", &self.query)
    }

    /// Reads and validates the body of a search; `min_coverage` is used if the body gives none.
    ///
    /// # Errors
    ///
    /// Refuses a malformed body or a field out of bounds, and states the bounds.
    pub async fn read(body: Incoming, min_coverage: f64) -> Result<Self, Refusal> {
        Self::parse(&read_body(body, BODY_MAX_BYTES).await?, min_coverage)
    }

    fn parse(bytes: &[u8], min_coverage: f64) -> Result<Self, Refusal> {
        let f: SearchFields = serde_json::from_slice(bytes)
            .map_err(|e| bad_request(format!("the body is no search: {e}")))?;
        check_name("collection", &f.collection).map_err(bad_request)?;
        let limit = f.limit.unwrap_or(LIMIT_DEFAULT);
        if limit > LIMIT_MAX {
            return Err(bad_request(format!("`limit` is {limit}; at most {LIMIT_MAX} is allowed")));
        }
        let min_coverage = f.min_coverage.unwrap_or(min_coverage);
        if !(0.0..=1.0).contains(&min_coverage) {
            return Err(bad_request(format!(
                "`min_coverage` is {min_coverage}; 0 to 1 is allowed"
            )));
        }
        let query = Bytes::from(Box::<str>::from(f.query).into_boxed_bytes());
        Ok(Self { collection: f.collection.into(), query, limit, min_coverage })
    }
}

fn bad_request(detail: String) -> Refusal {
    Refusal::not_run(Reason::BadRequest, detail)
}

fn parse_timeout(headers: &HeaderMap) -> Result<Option<Span>, Refusal> {
    let Some(ms) = parse_number::<u64>(headers, "wisteria-timeout-ms")? else { return Ok(None) };
    let max = TIMEOUT_MAX.as_millis();
    if ms == 0 || ms > max {
        return Err(bad_request(format!("`wisteria-timeout-ms` is {ms}; 1 to {max} is allowed")));
    }
    Ok(Some(Span::millis(ms)))
}

fn parse_name<'a>(headers: &'a HeaderMap, header: &str) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(header) else { return Ok(None) };
    let value = value.to_str().map_err(|_| bad_request(format!("`{header}` is not plain text")))?;
    check_name(header, value).map_err(bad_request)?;
    Ok(Some(value))
}

fn parse_number<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<Option<T>, Refusal> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let parsed = value.to_str().ok().and_then(|v| v.parse().ok());
    parsed.map(Some).ok_or_else(|| bad_request(format!("`{name}` is not a whole number")))
}
