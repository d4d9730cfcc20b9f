//! An HTTP/1.1 client that reuses connections and spreads requests over several targets.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

use anyhow::{Context, Result, bail, ensure};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use serde::Deserialize;
use tokio::net::TcpStream;

type Sender = SendRequest<Full<Bytes>>;

/// A response with its body read in full.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
}

/// A target and its pool of idle connections.
#[derive(Debug)]
struct Target {
    address: SocketAddr,
    idle: Mutex<Vec<Sender>>,
}

/// A client that picks targets in round-robin order.
#[derive(Debug)]
pub(crate) struct Client {
    targets: Vec<Target>,
    next: AtomicUsize,
}

impl Client {
    pub(crate) fn new(targets: &[SocketAddr]) -> Self {
        let targets =
            targets.iter().map(|&address| Target { address, idle: Mutex::default() }).collect();
        Self { targets, next: AtomicUsize::new(0) }
    }

    /// Sends the request to the next target that accepts a connection. A request that may have
    /// reached a target is not retried.
    pub(crate) async fn send(&self, mut request: Request<Full<Bytes>>) -> Result<Reply> {
        let first = self.next.fetch_add(1, Ordering::Relaxed);
        for offset in 0..self.targets.len() {
            let target = &self.targets[(first + offset) % self.targets.len()];
            match target.send(request).await? {
                Ok(reply) => return Ok(reply),
                Err(unsent) => request = unsent,
            }
        }
        bail!("no target accepted a connection")
    }
}

impl Target {
    /// Sends the request; the inner `Err` returns it when it was certainly not sent.
    async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Result<Reply, Request<Full<Bytes>>>> {
        request.headers_mut().insert(HOST, HeaderValue::from_str(&self.address.to_string())?);
        loop {
            let pooled = self.idle.lock().pop();
            let is_new = pooled.is_none();
            let mut sender = match pooled {
                Some(sender) => sender,
                None => match connect(self.address).await {
                    Ok(sender) => sender,
                    Err(_) => return Ok(Err(request)),
                },
            };
            match sender.try_send_request(request).await {
                Ok(response) => return Ok(Ok(self.read_response(response, sender).await?)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) if is_new => return Ok(Err(unsent)),
                    Some(unsent) => request = unsent,
                    None => return Err(error.into_error()).context("HTTP connection failed"),
                },
            }
        }
    }

    /// Reads the body and returns the connection to the pool if it can be reused.
    async fn read_response(
        &self,
        response: hyper::Response<hyper::body::Incoming>,
        mut sender: Sender,
    ) -> Result<Reply> {
        let (head, body) = response.into_parts();
        let body = body.collect().await.context("failed to read the response body")?.to_bytes();
        if sender.ready().await.is_ok() {
            self.idle.lock().push(sender);
        }
        Ok(Reply { status: head.status, body })
    }
}

async fn connect(address: SocketAddr) -> Result<Sender> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender)
}

/// Execution log of a leaf process, as its control port returns it.
#[derive(Deserialize)]
struct Executions {
    total: u64,
    #[serde(default)]
    executions: Vec<Execution>,
}

#[derive(Deserialize)]
struct Execution {
    id: Option<String>,
}

/// Number of executions that a leaf process has logged.
pub(crate) async fn execution_count(control: SocketAddr) -> Result<u64> {
    Ok(fetch_executions(control, "/executions/counters").await?.total)
}

/// Order id of each execution that a leaf process has logged.
pub(crate) async fn executed_orders(control: SocketAddr) -> Result<Vec<String>> {
    let log = fetch_executions(control, "/executions").await?;
    Ok(log.executions.into_iter().filter_map(|e| e.id).collect())
}

async fn fetch_executions(control: SocketAddr, path: &str) -> Result<Executions> {
    let stream = TcpStream::connect(control).await.context("could not connect")?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let request =
        Request::get(path).header(HOST, control.to_string()).body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    ensure!(
        response.status().is_success(),
        "control port answered with status {}",
        response.status()
    );
    let body = response.into_body().collect().await?.to_bytes();
    Ok(serde_json::from_slice(&body)?)
}
