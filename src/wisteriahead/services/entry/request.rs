//! What a caller asks: headers and body, checked.

use crate::core::endpoint::check_name;
use crate::prelude::*;
use crate::util::http::read_body;
use bytes::Bytes;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::str::FromStr;

/// Most bytes of a caller's body.
const BODY_MAX_BYTES: usize = 256 << 10;
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

/// What the headers of a request say.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Time allowed for the whole answer.
    pub timeout: Span,
    /// Order of service: a lower number goes first.
    pub priority: u8,
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

impl Asked {
    /// Reads and checks a search.
    ///
    /// # Errors
    ///
    /// Refuses what is malformed or out of bounds, naming what is allowed.
    pub async fn read(request: Request<Incoming>) -> Result<(Self, SearchBody), Refusal> {
        let (head, body) = request.into_parts();
        let asked = Self { timeout: timeout(&head.headers)?, priority: PRIORITY_DEFAULT };
        let bytes = read_body(body, BODY_MAX_BYTES).await?;
        Ok((asked, SearchBody::parse(&bytes)?))
    }
}

impl SearchBody {
    /// Reads and checks the body of a search.
    ///
    /// # Errors
    ///
    /// Refuses what is malformed or out of bounds, naming what is allowed.
    pub fn parse(bytes: &[u8]) -> Result<Self, Refusal> {
        let f: SearchFields = serde_json::from_slice(bytes)
            .map_err(|e| bad(format!("the body is no search: {e}")))?;
        check_name("collection", &f.collection).map_err(bad)?;
        let limit = f.limit.unwrap_or(LIMIT_DEFAULT);
        if limit > LIMIT_MAX {
            return Err(bad(format!("`limit` is {limit}; at most {LIMIT_MAX} is allowed")));
        }
        let least = f.min_coverage.unwrap_or(0.0);
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

fn timeout(headers: &HeaderMap) -> Result<Span, Refusal> {
    let Some(ms) = number::<u64>(headers, "wisteria-timeout-ms")? else {
        return Ok(TIMEOUT_DEFAULT);
    };
    let max = TIMEOUT_MAX.as_millis();
    if ms == 0 || ms > max {
        return Err(bad(format!("`wisteria-timeout-ms` is {ms}; 1 to {max} is allowed")));
    }
    Ok(Span::millis(ms))
}

fn number<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<Option<T>, Refusal> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let parsed = value.to_str().ok().and_then(|v| v.parse().ok());
    parsed.map(Some).ok_or_else(|| bad(format!("`{name}` is not a whole number")))
}
