//! Typed requests and responses of `/v1/run`.

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

/// HTTP status of a cancelled attempt.
const STATUS_CANCELLED: u16 = 499;

pub(crate) type Body = BoxBody<Bytes, io::Error>;

/// A parsed request to `/v1/run`.
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
    /// Parses the headers; the error is the name of the missing or invalid header.
    pub(crate) fn parse(headers: &HeaderMap, body: Bytes) -> Result<Self, &'static str> {
        let order = match header_text(headers, "wisteria-kind") {
            Some("search") => false,
            Some("order") => true,
            _ => return Err("wisteria-kind"),
        };
        let timeout = header_text(headers, "wisteria-timeout-ms")
            .map(|value| value.parse().map_err(|_| "wisteria-timeout-ms"))
            .transpose()?;
        let number = |name| required_header(headers, name)?.parse().map_err(|_| name);
        Ok(Self {
            attempt: required_header(headers, "wisteria-attempt")?,
            order,
            collection: required_header(headers, "wisteria-collection")?,
            snapshot: required_header(headers, "wisteria-snapshot")?,
            shard: number("wisteria-shard")?,
            shards: number("wisteria-shards")?,
            timeout: timeout.map(Duration::from_millis),
            key: header_text(headers, "idempotency-key").map(str::to_owned),
            body,
        })
    }

    /// Order id from the body, for orders.
    pub(crate) fn id(&self) -> Option<String> {
        let order: Value = self.order.then(|| serde_json::from_slice(&self.body).ok())??;
        order.get("id")?.as_str().map(str::to_owned)
    }

    pub(crate) fn kind(&self) -> &'static str {
        if self.order { "order" } else { "search" }
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn required_header(headers: &HeaderMap, name: &'static str) -> Result<String, &'static str> {
    header_text(headers, name).map(str::to_owned).ok_or(name)
}

/// Reason why a request was refused or stopped.
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
    /// Whether the caller no longer waits for the request.
    pub(crate) fn is_expired_or_cancelled(self) -> bool {
        matches!(self, Self::Deadline { .. } | Self::Cancelled { .. })
    }

    fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::WrongSnapshot => StatusCode::CONFLICT,
            Self::Busy | Self::Draining => StatusCode::SERVICE_UNAVAILABLE,
            Self::Deadline { .. } => StatusCode::GATEWAY_TIMEOUT,
            Self::Cancelled { .. } => {
                StatusCode::from_u16(STATUS_CANCELLED).unwrap_or(StatusCode::BAD_REQUEST)
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

/// The result of a request, with the request's identity, which the response headers repeat.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) attempt: String,
    pub(crate) snapshot: String,
    pub(crate) shard: u32,
    pub(crate) shards: u32,
    pub(crate) body: Bytes,
}

/// Response to an executed request; `truncate` sends only half of the body.
pub(crate) fn success_response(answer: Answer, incarnation: u64, truncate: bool) -> Response<Body> {
    let length = answer.body.len();
    let body = if truncate { truncated_body(&answer.body) } else { full(answer.body) };
    let mut response = Response::new(body);
    let headers = ResponseHeaders {
        attempt: &answer.attempt,
        snapshot: &answer.snapshot,
        shard: answer.shard,
        shards: answer.shards,
        incarnation,
        verdict: "ran",
    };
    headers.write(response.headers_mut());
    set_header(response.headers_mut(), "content-length", &length.to_string());
    response
}

/// Response to a refused or stopped request.
pub(crate) fn refusal_response(
    run: &RunRequest,
    refusal: Refusal,
    incarnation: u64,
) -> Response<Body> {
    let body = RefusalBody { verdict: refusal.verdict(), reason: refusal.reason() };
    let mut response = json_response(refusal.status(), &body);
    let headers = ResponseHeaders {
        attempt: &run.attempt,
        snapshot: &run.snapshot,
        shard: run.shard,
        shards: run.shards,
        incarnation,
        verdict: refusal.verdict(),
    };
    headers.write(response.headers_mut());
    set_header(response.headers_mut(), "wisteria-reason", refusal.reason());
    response
}

/// Response to a malformed request.
pub(crate) fn bad_request(detail: &str) -> Response<Body> {
    #[derive(Serialize)]
    struct BadRequestBody<'a> {
        verdict: &'a str,
        reason: &'a str,
        detail: &'a str,
    }
    let refusal = Refusal::BadRequest;
    let body = BadRequestBody { verdict: refusal.verdict(), reason: refusal.reason(), detail };
    let mut response = json_response(refusal.status(), &body);
    set_header(response.headers_mut(), "wisteria-verdict", refusal.verdict());
    set_header(response.headers_mut(), "wisteria-reason", refusal.reason());
    response
}

/// Headers of every response to a parsed request.
struct ResponseHeaders<'a> {
    attempt: &'a str,
    snapshot: &'a str,
    shard: u32,
    shards: u32,
    incarnation: u64,
    verdict: &'a str,
}

impl ResponseHeaders<'_> {
    fn write(&self, headers: &mut HeaderMap) {
        set_header(headers, "wisteria-attempt", self.attempt);
        set_header(headers, "wisteria-snapshot", self.snapshot);
        set_header(headers, "wisteria-shard", &self.shard.to_string());
        set_header(headers, "wisteria-shards", &self.shards.to_string());
        set_header(headers, "wisteria-incarnation", &self.incarnation.to_string());
        set_header(headers, "wisteria-verdict", self.verdict);
        set_header(headers, "content-type", "application/json");
    }
}

fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        headers.insert(name, value);
    }
}

/// A complete body.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

/// The first half of a body, then an error that closes the connection.
fn truncated_body(bytes: &Bytes) -> Body {
    let half = bytes.slice(..bytes.len() / 2);
    let frames = [Ok(Frame::data(half)), Err(io::Error::from(io::ErrorKind::ConnectionReset))];
    BodyExt::boxed(StreamBody::new(stream::iter(frames)))
}

/// Response with a JSON body.
pub(crate) fn json_response(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let mut response = Response::new(full(serde_json::to_vec(value).unwrap_or_default()));
    *response.status_mut() = status;
    set_header(response.headers_mut(), "content-type", "application/json");
    response
}

/// Response with an empty body.
pub(crate) fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = status;
    response
}
