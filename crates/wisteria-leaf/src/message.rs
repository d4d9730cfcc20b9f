//! Requests and responses of `/v1/run` as typed values.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use serde::Serialize;
use serde_json::Value;

/// Status for an attempt that its caller cancelled.
const CANCELLED: u16 = 499;

pub(crate) type Body = BoxBody<Bytes, io::Error>;

/// Where a request wants to run.
#[derive(Clone, Debug)]
pub(crate) struct RunRequest {
    pub(crate) attempt: String,
    pub(crate) order: bool,
    pub(crate) collection: String,
    pub(crate) snapshot: String,
    pub(crate) shard: u32,
    pub(crate) shards: u32,
    pub(crate) timeout: Option<Duration>,
    pub(crate) key: Option<String>,
    pub(crate) body: Bytes,
}

impl RunRequest {
    /// Reads the headers; the error names the header at fault.
    pub(crate) fn parse(headers: &HeaderMap, body: Bytes) -> Result<Self, &'static str> {
        let order = match text(headers, "wisteria-kind") {
            Some("search") => false,
            Some("order") => true,
            _ => return Err("wisteria-kind"),
        };
        let timeout = text(headers, "wisteria-timeout-ms")
            .map(|value| value.parse().map_err(|_| "wisteria-timeout-ms"))
            .transpose()?;
        let number = |name| required(headers, name)?.parse().map_err(|_| name);
        Ok(Self {
            attempt: required(headers, "wisteria-attempt")?,
            order,
            collection: required(headers, "wisteria-collection")?,
            snapshot: required(headers, "wisteria-snapshot")?,
            shard: number("wisteria-shard")?,
            shards: number("wisteria-shards")?,
            timeout: timeout.map(Duration::from_millis),
            key: text(headers, "idempotency-key").map(str::to_owned),
            body,
        })
    }

    /// Id that an order names in its body.
    pub(crate) fn id(&self) -> Option<String> {
        let order: Value = self.order.then(|| serde_json::from_slice(&self.body).ok())??;
        order.get("id")?.as_str().map(str::to_owned)
    }

    pub(crate) fn kind(&self) -> &'static str {
        if self.order { "order" } else { "search" }
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn required(headers: &HeaderMap, name: &'static str) -> Result<String, &'static str> {
    text(headers, name).map(str::to_owned).ok_or(name)
}

/// Why a request got no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    BadRequest,
    WrongSnapshot,
    Busy,
    Draining,
    Deadline { started: bool },
    Cancelled { started: bool },
}

impl Refusal {
    /// Whether nobody waits for the request any more.
    pub(crate) fn is_late(self) -> bool {
        matches!(self, Self::Deadline { .. } | Self::Cancelled { .. })
    }

    fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::WrongSnapshot => StatusCode::CONFLICT,
            Self::Busy | Self::Draining => StatusCode::SERVICE_UNAVAILABLE,
            Self::Deadline { .. } => StatusCode::GATEWAY_TIMEOUT,
            Self::Cancelled { .. } => {
                StatusCode::from_u16(CANCELLED).unwrap_or(StatusCode::BAD_REQUEST)
            }
        }
    }

    fn reason(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::WrongSnapshot => "wrong-snapshot",
            Self::Busy => "busy",
            Self::Draining => "draining",
            Self::Deadline { .. } => "deadline",
            Self::Cancelled { .. } => "cancelled",
        }
    }

    fn verdict(self) -> &'static str {
        match self {
            Self::Deadline { started: true } | Self::Cancelled { started: true } => "may-have-run",
            _ => "not-run",
        }
    }
}

#[derive(Serialize)]
struct RefusalBody<'a> {
    verdict: &'a str,
    reason: &'a str,
}

/// A result, with the identity that the response repeats.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) attempt: String,
    pub(crate) snapshot: String,
    pub(crate) shard: u32,
    pub(crate) shards: u32,
    pub(crate) body: Bytes,
}

/// The response to a request that ran.
pub(crate) fn answered(answer: Answer, incarnation: u64, cut: bool) -> Response<Body> {
    let length = answer.body.len();
    let body = if cut { cut_body(&answer.body) } else { full(answer.body) };
    let mut response = Response::new(body);
    let identity = Identity {
        attempt: &answer.attempt,
        snapshot: &answer.snapshot,
        shard: answer.shard,
        shards: answer.shards,
        incarnation,
        verdict: "ran",
    };
    identity.write(response.headers_mut());
    set(response.headers_mut(), "content-length", &length.to_string());
    response
}

/// The response to a request that was refused or stopped.
pub(crate) fn refused(run: &RunRequest, refusal: Refusal, incarnation: u64) -> Response<Body> {
    let body = RefusalBody { verdict: refusal.verdict(), reason: refusal.reason() };
    let mut response = json(refusal.status(), &body);
    let identity = Identity {
        attempt: &run.attempt,
        snapshot: &run.snapshot,
        shard: run.shard,
        shards: run.shards,
        incarnation,
        verdict: refusal.verdict(),
    };
    identity.write(response.headers_mut());
    set(response.headers_mut(), "wisteria-reason", refusal.reason());
    response
}

/// The response to a request that can't be read.
pub(crate) fn malformed(detail: &str) -> Response<Body> {
    #[derive(Serialize)]
    struct Malformed<'a> {
        verdict: &'a str,
        reason: &'a str,
        detail: &'a str,
    }
    let refusal = Refusal::BadRequest;
    let body = Malformed { verdict: refusal.verdict(), reason: refusal.reason(), detail };
    let mut response = json(refusal.status(), &body);
    set(response.headers_mut(), "wisteria-verdict", refusal.verdict());
    set(response.headers_mut(), "wisteria-reason", refusal.reason());
    response
}

struct Identity<'a> {
    attempt: &'a str,
    snapshot: &'a str,
    shard: u32,
    shards: u32,
    incarnation: u64,
    verdict: &'a str,
}

impl Identity<'_> {
    fn write(&self, headers: &mut HeaderMap) {
        set(headers, "wisteria-attempt", self.attempt);
        set(headers, "wisteria-snapshot", self.snapshot);
        set(headers, "wisteria-shard", &self.shard.to_string());
        set(headers, "wisteria-shards", &self.shards.to_string());
        set(headers, "wisteria-incarnation", &self.incarnation.to_string());
        set(headers, "wisteria-verdict", self.verdict);
        set(headers, "content-type", "application/json");
    }
}

fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        headers.insert(name, value);
    }
}

/// A whole body.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

/// The first half of a body, then an error that closes the connection.
fn cut_body(bytes: &Bytes) -> Body {
    let half = bytes.slice(..bytes.len() / 2);
    let frames = [Ok(Frame::data(half)), Err(io::Error::from(io::ErrorKind::ConnectionReset))];
    BodyExt::boxed(StreamBody::new(stream::iter(frames)))
}

/// A JSON response.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let mut response = Response::new(full(serde_json::to_vec(value).unwrap_or_default()));
    *response.status_mut() = status;
    set(response.headers_mut(), "content-type", "application/json");
    response
}

/// A response without a body.
pub(crate) fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = status;
    response
}
