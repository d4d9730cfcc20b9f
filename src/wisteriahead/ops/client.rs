//! Client of the operator API.

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

/// Time allowed to connect.
const CONNECT_TIMEOUT: Span = Span::secs(5);
/// Time allowed for a request and its answer.
const ANSWER_TIMEOUT: Span = Span::secs(30);
/// Most bytes read of an answer.
const ANSWER_MAX_BYTES: usize = 64 << 20;

/// Which host to ask, and as whom.
#[derive(Clone, Debug)]
pub struct Server {
    /// Address of the host's operator API.
    pub address: SocketAddr,
    /// Certificates and the operator's private key.
    pub tls: TlsPaths,
}

/// A client that connects anew for each call.
pub struct Client {
    address: SocketAddr,
    tls: TlsConnector,
}

impl Client {
    /// A client with loaded certificates.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Settings`] when the certificates cannot be used.
    pub fn new(server: &Server) -> Result<Self, Failure> {
        let config = Credentials::load(&server.tls)
            .and_then(|c| c.identity(Kind::Operator).and_then(|_| c.client(ALPN_HTTP)))
            .map_err(Failure::Settings)?;
        Ok(Self { address: server.address, tls: Arc::new(config).into() })
    }

    /// Gets what stands at a path.
    ///
    /// # Errors
    ///
    /// Fails when the host cannot be reached or refuses.
    pub async fn get(&self, path: &str) -> Result<Value, Failure> {
        self.request(Method::GET, path, Vec::new()).await
    }

    /// Replaces what stands at a path.
    ///
    /// # Errors
    ///
    /// Fails when the host cannot be reached or refuses, and with [`Failure::Unknown`] when
    /// its answer is lost.
    pub async fn put(&self, path: &str, body: &impl Serialize) -> Result<Value, Failure> {
        let body = serde_json::to_vec(body).context("could not encode the request")?;
        self.request(Method::PUT, path, body).await
    }

    /// Asks for a change at a path.
    ///
    /// # Errors
    ///
    /// Fails when the host cannot be reached or refuses, and with [`Failure::Unknown`] when
    /// its answer is lost.
    pub async fn post(&self, path: &str, body: &impl Serialize) -> Result<Value, Failure> {
        let body = serde_json::to_vec(body).context("could not encode the request")?;
        self.request(Method::POST, path, body).await
    }

    async fn request(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Value, Failure> {
        let address = self.address;
        let mut sender = timeout(CONNECT_TIMEOUT.to_std(), self.connect())
            .await
            .with_context(|| format!("{address} did not answer in {CONNECT_TIMEOUT}"))?
            .with_context(|| format!("could not connect to {address}; check --server"))?;
        let read_only = method == Method::GET;
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .context("malformed request")?;
        let answered = timeout(ANSWER_TIMEOUT.to_std(), exchange(&mut sender, req))
            .await
            .with_context(|| format!("{address} did not answer in {ANSWER_TIMEOUT}"))
            .and_then(|a| {
                a.with_context(|| format!("{address} broke off; it may not let this operator in"))
            });
        let answer = answered.map_err(Failure::from).and_then(|(s, bytes)| decode(s, &bytes));
        answer.map_err(|e| if read_only { e } else { in_doubt(e) })
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>> {
        let stream = TcpStream::connect(self.address).await?;
        // A request is a head and a body: the second must not wait for an acknowledgement.
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
    let body = Limited::new(response.into_body(), ANSWER_MAX_BYTES).collect().await;
    Ok((status, body.map_err(|e| anyhow!(e))?.to_bytes()))
}

fn decode(status: StatusCode, bytes: &[u8]) -> Result<Value, Failure> {
    if status == StatusCode::OK {
        return Ok(serde_json::from_slice(bytes).context("the host's answer is not JSON")?);
    }
    let refusal: Option<Refusal> = serde_json::from_slice(bytes).ok();
    match (status, refusal) {
        (StatusCode::NOT_FOUND, refusal) => Err(Failure::Refused(not_found(refusal))),
        (_, Some(refusal)) => Err(refusal.into()),
        (_, None) => Err(anyhow!("the host answered {status} without a cause").into()),
    }
}

/// A host of an earlier version may lack a call.
fn not_found(refusal: Option<Refusal>) -> Refusal {
    let cause = refusal.map_or_else(|| "it gave no cause".to_owned(), |r| r.detail);
    let detail = format!("the host does not know this: {cause}; its version may be older");
    Refusal::not_run(Reason::BadRequest, detail)
}

/// What failed after the request was sent may have been carried out.
fn in_doubt(failure: Failure) -> Failure {
    match failure {
        Failure::Failed(e) => Failure::Unknown(e),
        other => other,
    }
}
