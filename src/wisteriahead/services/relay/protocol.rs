//! The border between the relay and what callers and endpoints speak. A protocol reads and writes
//! messages and decides nothing.

use crate::core::routes::Target;
use crate::prelude::*;
use crate::util::http::Answer;
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::{request, response};
use hyper::{Method, StatusCode, Uri};

/// What a caller says of a request besides its method, path and body.
#[derive(Clone, Debug)]
pub struct RequestMeta {
    /// The caller's name for this request.
    pub id: HeaderValue,
    /// How long the caller waits.
    pub timeout: Option<Span>,
}

/// A request that is passed on.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its method.
    pub method: Method,
    /// Its path and query, as the caller sent them.
    pub uri: Uri,
    /// Its headers, without those that concern one connection only.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
    /// What the caller says of it.
    pub meta: RequestMeta,
}

/// What an endpoint's answer says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It ran the request; the signature names the run.
    Ran {
        /// Whether the answer is a success.
        success: bool,
        /// The endpoint's signature, if it gave one.
        signature: Option<HeaderValue>,
    },
    /// It did not run the request, and will not.
    NotRun(Reason),
    /// The answer belongs to another request.
    Mismatch,
}

/// An endpoint's whole answer.
#[derive(Clone, Debug)]
pub struct EndpointResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers, without those that concern one connection only.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
    /// The endpoint's signature.
    pub signature: Option<HeaderValue>,
}

/// What a caller is answered.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// One endpoint's answer, unchanged.
    Forwarded(EndpointResponse),
    /// The merged records of several.
    Merged {
        /// The records.
        body: Bytes,
        /// Signatures of the answers that are in.
        signatures: Vec<HeaderValue>,
        /// Shards that are not in.
        missing: u32,
    },
    /// No answer, and why.
    Refused {
        /// The cause and whether the request may have run.
        refusal: Refusal,
        /// When the caller may come back; a promise that the request did not run.
        retry_after: Option<Span>,
    },
}

/// Reads and writes what callers and endpoints speak.
pub trait Protocol: Send + Sync + 'static {
    /// Reads what a caller says of its request.
    ///
    /// # Errors
    ///
    /// Refuses a request that lacks what is needed.
    fn read_request(&self, head: &request::Parts) -> Result<RequestMeta, Refusal>;

    /// Writes the headers of a call to an endpoint that has `left` for it.
    fn request_headers(&self, call: &Call, to: &Target, left: Span) -> HeaderMap;

    /// Reads the head of an endpoint's answer to a call.
    fn read_response(&self, call: &Call, head: &response::Parts) -> Reply;

    /// Writes the answer for a caller.
    fn write_response(&self, outcome: Outcome) -> Answer;
}
