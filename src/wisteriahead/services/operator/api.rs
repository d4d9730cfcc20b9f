//! Routes and error responses of the operator API.

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

/// Maximum bytes in the body of a request: a document with every byte escaped in JSON, and the other
/// fields.
const BODY_MAX_BYTES: usize = 2 * DOCUMENT_MAX_BYTES + (64 << 10);
/// Time allowed for a client to send the body of a request.
const BODY_TIMEOUT: Span = Span::secs(10);

/// Body of `PUT /v1/inventory`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// Identifier by which a resent change is recognized.
    pub id: String,
    /// Revision that the operator edited.
    pub base: Revision,
    /// The new document as TOML.
    pub text: String,
}

/// Error response: HTTP status and the refusal in its body.
pub(super) struct ApiError {
    status: StatusCode,
    refusal: Refusal,
}

pub(super) type ApiResult = Result<Value, ApiError>;

/// HTTP handler of the operator API.
pub struct Api {
    ctx: Context,
}

impl Api {
    /// An API over the services that are published in the given context.
    pub fn new(ctx: Context) -> Self {
        Self { ctx }
    }

    /// Answers one request of the named operator.
    ///
    /// # Errors
    ///
    /// Never fails: errors are answered as JSON.
    pub async fn serve(
        self: Arc<Self>,
        operator: Arc<str>,
        req: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let allowed = allowed_methods(req.uri().path());
        let mut response = match self.route(&operator, req).await {
            Ok(body) => render(StatusCode::OK, &body),
            Err(error) => render(error.status, &error.refusal),
        };
        if response.status() == StatusCode::METHOD_NOT_ALLOWED
            && let Ok(value) = allowed.join(", ").parse()
        {
            response.headers_mut().insert(ALLOW, value);
        }
        Ok(response)
    }

    async fn route(&self, operator: &str, req: Request<Incoming>) -> ApiResult {
        let path = req.uri().path().to_owned();
        match (req.method(), path.as_str()) {
            (&Method::GET, "/v1/status") => self.status(),
            (&Method::GET, "/v1/inventory") => self.inventory(),
            (&Method::PUT, "/v1/inventory") => self.edit(operator, req).await,
            (&Method::POST, path) if calls::zone_state(path).is_some() => {
                self.set_zone_state(operator, path, req).await
            }
            (&Method::GET, "/v1/revisions") => self.revisions().await,
            (&Method::GET, "/v1/audit") => self.audit(req.uri().query().unwrap_or("")).await,
            (&Method::GET, "/v1/voters") => self.voters().await,
            (&Method::POST, "/v1/voters") => self.set_voters(operator, req).await,
            (&Method::GET, "/v1/zones") => self.view("zones"),
            (&Method::GET, "/v1/endpoints") => self.view("endpoints"),
            (method, path) => Err(unknown_route(method, path)),
        }
    }

    fn status(&self) -> ApiResult {
        let peers = self.find::<dyn Peers>(<dyn Peers>::NAME)?;
        Ok(json!({
            "host": peers.host(),
            "zone": peers.zone(),
            "revision": self.control()?.watch().borrow().revision,
            "others": peers.others(),
            "silent_ms": self.admin()?.quorum_silence().as_millis(),
        }))
    }

    fn inventory(&self) -> ApiResult {
        let accepted = self.control()?.watch().borrow().clone();
        Ok(json!({ "revision": accepted.revision, "text": accepted.text }))
    }

    async fn edit(&self, operator: &str, req: Request<Incoming>) -> ApiResult {
        let Edit { id, base, text } = read_body(req.into_body()).await?;
        let change = Change { id, operator: operator.to_owned(), base, text };
        let revision = self.control()?.propose(change).await?;
        Ok(json!({ "revision": revision }))
    }

    fn view(&self, what: &str) -> ApiResult {
        let view = self.find::<dyn Views>(<dyn Views>::NAME)?.view(what);
        view.ok_or_else(|| unavailable(format!("this host has no view of {what}")))
    }

    fn control(&self) -> Result<Arc<dyn Control>, ApiError> {
        self.find(<dyn Control>::NAME)
    }

    pub(super) fn find<T: ?Sized + Send + Sync + 'static>(
        &self,
        name: &'static str,
    ) -> Result<Arc<T>, ApiError> {
        self.ctx.find(name).map_err(|e| unavailable(format!("{e}")))
    }
}

impl From<Refusal> for ApiError {
    fn from(refusal: Refusal) -> Self {
        let status = http::status(refusal.reason);
        Self { status, refusal }
    }
}

pub(super) async fn read_body<T: DeserializeOwned>(body: Incoming) -> Result<T, ApiError> {
    let body = timeout(BODY_TIMEOUT.to_std(), Limited::new(body, BODY_MAX_BYTES).collect())
        .await
        .map_err(|_| bad_request(format!("the body did not arrive in {BODY_TIMEOUT}")))?;
    let bytes = match body {
        Ok(body) => body.to_bytes(),
        Err(e) if e.is::<LengthLimitError>() => {
            let e = format!("the body exceeds {BODY_MAX_BYTES} bytes");
            return Err(ApiError { status: StatusCode::PAYLOAD_TOO_LARGE, ..bad_request(e) });
        }
        Err(e) => return Err(bad_request(format!("the body could not be read: {e}"))),
    };
    serde_json::from_slice(&bytes)
        .map_err(|e| bad_request(format!("the body is not a change: {e}")))
}

pub(super) fn bad_request(detail: String) -> ApiError {
    Refusal::not_run(Reason::BadRequest, detail).into()
}

fn unavailable(detail: String) -> ApiError {
    let refusal = Refusal::not_run(Reason::Unavailable, detail);
    ApiError { status: StatusCode::SERVICE_UNAVAILABLE, refusal }
}

fn unknown_route(method: &Method, path: &str) -> ApiError {
    let allowed = allowed_methods(path);
    let (status, detail) = if allowed.is_empty() {
        (StatusCode::NOT_FOUND, format!("there is nothing at {path}; see docs/API.md"))
    } else {
        let detail = format!("{path} takes {}, not {method}", allowed.join(" or "));
        (StatusCode::METHOD_NOT_ALLOWED, detail)
    };
    ApiError { status, ..bad_request(detail) }
}

fn allowed_methods(path: &str) -> &'static [&'static str] {
    match path {
        "/v1/inventory" => &["GET", "PUT"],
        "/v1/voters" => &["GET", "POST"],
        "/v1/status" | "/v1/zones" | "/v1/endpoints" | "/v1/revisions" | "/v1/audit" => &["GET"],
        path if calls::zone_state(path).is_some() => &["POST"],
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
