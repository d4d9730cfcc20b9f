//! Interface to the protocol that callers and endpoints use.
//!
//! An implementation only reads and writes messages; the relay makes all decisions.

use crate::core::quarantine::{Digest, request_digest};
use crate::core::relay::notices::Notice;
use crate::core::routes::Target;
use crate::prelude::*;
use crate::services::transport::MemoryShare;
use crate::util::http::Answer;
use bytes::Bytes;
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::http::{request, response};
use hyper::{Method, StatusCode, Uri};

/// Metadata of a caller's request, read from its headers.
#[derive(Clone, Debug)]
pub struct RequestMeta {
    /// Identifier that the caller chose for the request.
    pub id: HeaderValue,
    /// Time for which the caller waits.
    pub timeout: Option<Span>,
}

/// A request to be relayed.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub uri: Uri,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Metadata from the headers.
    pub meta: RequestMeta,
}

impl Call {
    /// Digest that identifies the request in the quarantine, whoever sends it and however often.
    pub fn digest(&self) -> Digest {
        let host = self.headers.get(HOST).map_or(&[][..], HeaderValue::as_bytes);
        let host = String::from_utf8_lossy(host);
        let route = format!("{} {}", self.method, self.uri);
        request_digest(&host, &route, &self.body)
    }
}

/// Meaning of an endpoint's response, read from its head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The endpoint ran the request.
    Ran {
        /// Whether the status is a success.
        success: bool,
        /// The endpoint's signature of this run, if present.
        signature: Option<HeaderValue>,
    },
    /// The endpoint has not run the request and will not run it.
    NotRun(Reason),
    /// The response does not belong to this request, or cannot be used as its answer.
    Mismatch,
}

/// An endpoint's complete response.
#[derive(Clone, Debug)]
pub struct EndpointResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers; only the end-to-end ones once the outcome is known.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// The endpoint's signature, if present.
    pub signature: Option<HeaderValue>,
    /// Share of the host's memory for answers that a large body takes.
    pub memory: MemoryShare,
}

/// Result of a request, from which the caller's response is written.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// One endpoint's response, unchanged.
    Forwarded(EndpointResponse),
    /// Records merged from the responses of several shards.
    Merged {
        /// Merged records.
        body: Bytes,
        /// Signatures of the responses that the records are merged from.
        signatures: Vec<HeaderValue>,
        /// Number of shards whose records are missing.
        missing: u32,
    },
    /// No endpoint's answer can be returned.
    Refused {
        /// Reason, and whether the request may have run.
        refusal: Refusal,
        /// Delay after which the caller may retry. If set, the request has not run.
        retry_after: Option<Span>,
    },
}

/// Reads and writes the messages of callers and endpoints.
pub trait Protocol: Send + Sync + 'static {
    /// Reads the metadata of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns a refusal when required metadata is missing.
    fn read_request(&self, head: &request::Parts) -> Result<RequestMeta, Refusal>;

    /// Builds the headers of a call to an endpoint, which has `left` to answer it.
    fn request_headers(&self, call: &Call, to: &Target, left: Span) -> HeaderMap;

    /// Interprets the head of an endpoint's response to a call.
    fn read_response(&self, call: &Call, head: &response::Parts) -> Reply;

    /// Whether an endpoint's response names the request that it answers.
    fn names_request(&self, call: &Call, head: &response::Parts) -> bool;

    /// Reads what an endpoint's response says about further requests.
    fn read_notice(&self, head: &response::Parts) -> Notice;

    /// Builds the response to a caller.
    fn write_response(&self, outcome: Outcome) -> Answer;
}
