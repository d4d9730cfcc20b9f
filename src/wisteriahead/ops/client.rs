//! HTTP client of the operator API, over mutually authenticated TLS.

use super::failure::Failure;
use crate::prelude::*;
use crate::util::tls::{ALPN_HTTP, Credentials, Identity, Kind, SERVER_NAME, TlsPaths};
use anyhow::anyhow;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use rustls_pki_types::ServerName;
use serde::Serialize;
use serde_json::Value;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_rustls::TlsConnector;

/// Longest time for the TCP connection and the TLS handshake.
const CONNECT_TIMEOUT: Span = Span::secs(5);
/// Longest time from the sending of a request to the end of its response.
const RESPONSE_TIMEOUT: Span = Span::secs(30);
/// Largest response body accepted.
const RESPONSE_MAX_BYTES: usize = 64 << 20;

/// Host to ask, and the operator's credentials.
#[derive(Clone, Debug)]
pub struct Server {
    /// Address of the host's operator API.
    pub address: SocketAddr,
    /// Files of the authority's certificate and of the operator's certificate and private key.
    pub tls: TlsPaths,
}

/// A client that opens a new connection for each request.
pub struct Client {
    address: SocketAddr,
    tls: TlsConnector,
}

impl Client {
    /// Creates a client, loading its certificates and private key.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Settings`] when the files cannot be used or do not belong to an operator.
    pub fn new(server: &Server) -> Result<Self, Failure> {
        let config = Credentials::load(&server.tls)
            .and_then(|c| c.identity(Kind::Operator).and_then(|_| c.client(ALPN_HTTP)))
            .map_err(Failure::Settings)?;
        Ok(Self { address: server.address, tls: Arc::new(config).into() })
    }

    /// Sends a GET request.
    ///
    /// # Errors
    ///
    /// Fails when the host cannot be reached or refuses the request.
    pub async fn get(&self, path: &str) -> Result<Value, Failure> {
        self.request(Method::GET, path, Vec::new()).await
    }

    /// Sends a PUT request.
    ///
    /// # Errors
    ///
    /// Fails when the host cannot be reached or refuses the request, and with
    /// [`Failure::Unknown`] when the request was sent but no valid response arrived.
    pub async fn put(&self, path: &str, body: &impl Serialize) -> Result<Value, Failure> {
        let body = serde_json::to_vec(body).context("could not encode the request")?;
        self.request(Method::PUT, path, body).await
    }

    /// Sends a POST request.
    ///
    /// # Errors
    ///
    /// Fails when the host cannot be reached or refuses the request, and with
    /// [`Failure::Unknown`] when the request was sent but no valid response arrived.
    pub async fn post(&self, path: &str, body: &impl Serialize) -> Result<Value, Failure> {
        let body = serde_json::to_vec(body).context("could not encode the request")?;
        self.request(Method::POST, path, body).await
    }

    async fn request(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Value, Failure> {
        let address = self.address;
        let mut sender = timeout(CONNECT_TIMEOUT.to_std(), self.connect())
            .await
            .with_context(|| format!("could not connect to {address} within {CONNECT_TIMEOUT}"))?
            .with_context(|| format!("could not connect to {address}; check --server"))?;
        let read_only = method == Method::GET;
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .context("malformed request")?;
        let response = timeout(RESPONSE_TIMEOUT.to_std(), exchange(&mut sender, req))
            .await
            .with_context(|| format!("{address} did not respond within {RESPONSE_TIMEOUT}"))
            .and_then(|r| {
                r.with_context(|| {
                    format!("no complete response from {address}; it may not accept this operator")
                })
            });
        let result =
            response.map_err(Failure::from).and_then(|(s, bytes)| decode_response(s, &bytes));
        result.map_err(|e| if read_only { e } else { outcome_unknown(e) })
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>> {
        let stream = TcpStream::connect(self.address).await?;
        // A request's head and body are written separately; without TCP_NODELAY the body would wait
        // until the head is acknowledged.
        let _ = stream.set_nodelay(true);
        let name = ServerName::try_from(SERVER_NAME)?;
        let stream = self.tls.connect(name, stream).await?;
        Identity::expect(stream.get_ref().1.peer_certificates(), Kind::Host)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(sender)
    }
}

async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    req: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes)> {
    let response = sender.send_request(req).await?;
    let status = response.status();
    let body = Limited::new(response.into_body(), RESPONSE_MAX_BYTES).collect().await;
    Ok((status, body.map_err(|e| anyhow!(e))?.to_bytes()))
}

fn decode_response(status: StatusCode, bytes: &[u8]) -> Result<Value, Failure> {
    if status == StatusCode::OK {
        return Ok(serde_json::from_slice(bytes).context("the host's response is not JSON")?);
    }
    let refusal: Option<Refusal> = serde_json::from_slice(bytes).ok();
    match (status, refusal) {
        (StatusCode::NOT_FOUND, refusal) => Err(Failure::Refused(not_found(refusal))),
        (_, Some(refusal)) => Err(refusal.into()),
        (_, None) => {
            Err(anyhow!("the host responded with status {status} and gave no reason").into())
        }
    }
}

/// Refusal for status 404, with a hint that a host of an earlier version may lack the request.
fn not_found(refusal: Option<Refusal>) -> Refusal {
    let reason = refusal.map_or_else(|| "it gave no reason".to_owned(), |r| r.detail);
    let detail = format!(
        "the host does not know this request: {reason}; its version may be older than wisteriactl's"
    );
    Refusal::not_run(Reason::BadRequest, detail)
}

/// Turns a failure after the request was sent into an unknown outcome, since the host may have
/// carried the request out.
fn outcome_unknown(failure: Failure) -> Failure {
    match failure {
        Failure::Failed(e) => Failure::Unknown(e),
        other => other,
    }
}
