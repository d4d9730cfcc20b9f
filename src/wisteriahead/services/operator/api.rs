//! The calls of the operator API.

use super::calls;
use crate::core::document::{DOCUMENT_MAX_BYTES, Revision};
use crate::kernel::Context;
use crate::prelude::*;
use crate::services::{Change, Control, Peers, Views};
use crate::util::http;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{ALLOW, CONTENT_TYPE};
use hyper::{Method, Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::convert::Infallible;
use tokio::time::timeout;

/// Most bytes in the body of a request: a document whose every byte is escaped.
const BODY_MAX_BYTES: usize = 2 * DOCUMENT_MAX_BYTES + (64 << 10);
/// Time allowed to send the body of a request.
const BODY_TIMEOUT: Span = Span::secs(10);

/// Body of `PUT /v1/inventory`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// Identifier that makes a resend recognisable.
    pub id: String,
    /// Revision that the operator edited.
    pub base: Revision,
    /// The new document as TOML.
    pub text: String,
}

/// An answer that is not the wanted one.
pub(super) struct Fault {
    status: StatusCode,
    refusal: Refusal,
}

pub(super) type Answer = Result<Value, Fault>;

/// Answers the calls.
pub struct Api {
    ctx: Context,
}

impl Api {
    /// An API that finds the services it shows in the given context.
    pub fn new(ctx: Context) -> Self {
        Self { ctx }
    }

    /// Answers one request of the named operator.
    ///
    /// # Errors
    ///
    /// Never fails: faults are answered as JSON.
    pub async fn serve(
        self: Arc<Self>,
        operator: Arc<str>,
        req: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let allowed = methods(req.uri().path());
        let mut response = match self.route(&operator, req).await {
            Ok(body) => render(StatusCode::OK, &body),
            Err(fault) => render(fault.status, &fault.refusal),
        };
        if response.status() == StatusCode::METHOD_NOT_ALLOWED
            && let Ok(value) = allowed.join(", ").parse()
        {
            response.headers_mut().insert(ALLOW, value);
        }
        Ok(response)
    }

    async fn route(&self, operator: &str, req: Request<Incoming>) -> Answer {
        let path = req.uri().path().to_owned();
        match (req.method(), path.as_str()) {
            (&Method::GET, "/v1/status") => self.status(),
            (&Method::GET, "/v1/inventory") => self.inventory(),
            (&Method::PUT, "/v1/inventory") => self.change(operator, req).await,
            (&Method::POST, path) if calls::zone(path).is_some() => {
                self.turn(operator, path, req).await
            }
            (&Method::GET, "/v1/revisions") => self.revisions().await,
            (&Method::GET, "/v1/audit") => self.audit(req.uri().query().unwrap_or("")).await,
            (&Method::GET, "/v1/voters") => self.voters().await,
            (&Method::POST, "/v1/voters") => self.set_voters(operator, req).await,
            (&Method::GET, "/v1/zones") => self.view("zones"),
            (&Method::GET, "/v1/endpoints") => self.view("endpoints"),
            (method, path) => Err(unknown(method, path)),
        }
    }

    fn status(&self) -> Answer {
        let peers = self.find::<dyn Peers>(<dyn Peers>::NAME)?;
        Ok(json!({
            "host": peers.host(),
            "zone": peers.zone(),
            "revision": self.control()?.watch().borrow().revision,
            "others": peers.others(),
            "silent_ms": self.admin()?.quorum_silence().as_millis(),
        }))
    }

    fn inventory(&self) -> Answer {
        let accepted = self.control()?.watch().borrow().clone();
        Ok(json!({ "revision": accepted.revision, "text": accepted.text }))
    }

    async fn change(&self, operator: &str, req: Request<Incoming>) -> Answer {
        let Edit { id, base, text } = read(req.into_body()).await?;
        let change = Change { id, operator: operator.to_owned(), base, text };
        let revision = self.control()?.propose(change).await?;
        Ok(json!({ "revision": revision }))
    }

    fn view(&self, what: &str) -> Answer {
        let view = self.find::<dyn Views>(<dyn Views>::NAME)?.view(what);
        view.ok_or_else(|| unavailable(format!("this host has no view of {what}")))
    }

    fn control(&self) -> Result<Arc<dyn Control>, Fault> {
        self.find(<dyn Control>::NAME)
    }

    pub(super) fn find<T: ?Sized + Send + Sync + 'static>(
        &self,
        name: &'static str,
    ) -> Result<Arc<T>, Fault> {
        self.ctx.find(name).map_err(|e| unavailable(format!("{e}")))
    }
}

impl From<Refusal> for Fault {
    fn from(refusal: Refusal) -> Self {
        let status = http::status(refusal.reason);
        Self { status, refusal }
    }
}

pub(super) async fn read<T: DeserializeOwned>(body: Incoming) -> Result<T, Fault> {
    let body = timeout(BODY_TIMEOUT.to_std(), Limited::new(body, BODY_MAX_BYTES).collect())
        .await
        .map_err(|_| bad(format!("the body did not arrive in {BODY_TIMEOUT}")))?;
    let bytes = match body {
        Ok(body) => body.to_bytes(),
        Err(e) if e.is::<LengthLimitError>() => {
            let e = format!("the body exceeds {BODY_MAX_BYTES} bytes");
            return Err(Fault { status: StatusCode::PAYLOAD_TOO_LARGE, ..bad(e) });
        }
        Err(e) => return Err(bad(format!("the body could not be read: {e}"))),
    };
    serde_json::from_slice(&bytes).map_err(|e| bad(format!("the body is not a change: {e}")))
}

pub(super) fn bad(detail: String) -> Fault {
    Refusal::not_run(Reason::BadRequest, detail).into()
}

fn unavailable(detail: String) -> Fault {
    let refusal = Refusal::not_run(Reason::Unavailable, detail);
    Fault { status: StatusCode::SERVICE_UNAVAILABLE, refusal }
}

fn unknown(method: &Method, path: &str) -> Fault {
    let allowed = methods(path);
    let (status, detail) = if allowed.is_empty() {
        (StatusCode::NOT_FOUND, format!("there is nothing at {path}; see docs/API.md"))
    } else {
        let detail = format!("{path} takes {}, not {method}", allowed.join(" or "));
        (StatusCode::METHOD_NOT_ALLOWED, detail)
    };
    Fault { status, ..bad(detail) }
}

fn methods(path: &str) -> &'static [&'static str] {
    match path {
        "/v1/inventory" => &["GET", "PUT"],
        "/v1/voters" => &["GET", "POST"],
        "/v1/status" | "/v1/zones" | "/v1/endpoints" | "/v1/revisions" | "/v1/audit" => &["GET"],
        path if calls::zone(path).is_some() => &["POST"],
        _ => &[],
    }
}

fn render(status: StatusCode, body: &impl Serialize) -> Response<Full<Bytes>> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Full::new(bytes.into()));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static("application/json"));
    response
}
