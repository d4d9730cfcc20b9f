//! An HTTP/1.1 client with kept connections and several targets.

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

/// A whole response.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
}

/// One target with its idle connections.
#[derive(Debug)]
struct Target {
    address: SocketAddr,
    idle: Mutex<Vec<Sender>>,
}

/// Targets, taken round robin.
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

    /// Sends the request to the next target that takes a connection. A request that may have
    /// been sent is not sent again.
    pub(crate) async fn send(&self, mut request: Request<Full<Bytes>>) -> Result<Reply> {
        let first = self.next.fetch_add(1, Ordering::Relaxed);
        for step in 0..self.targets.len() {
            let target = &self.targets[(first + step) % self.targets.len()];
            match target.send(request).await? {
                Ok(reply) => return Ok(reply),
                Err(unsent) => request = unsent,
            }
        }
        bail!("no target takes a connection")
    }
}

impl Target {
    /// Sends the request, or gives it back if it was not sent.
    async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Result<Reply, Request<Full<Bytes>>>> {
        request.headers_mut().insert(HOST, HeaderValue::from_str(&self.address.to_string())?);
        loop {
            let kept = self.idle.lock().pop();
            let fresh = kept.is_none();
            let mut sender = match kept {
                Some(kept) => kept,
                None => match connect(self.address).await {
                    Ok(sender) => sender,
                    Err(_) => return Ok(Err(request)),
                },
            };
            match sender.try_send_request(request).await {
                Ok(response) => return Ok(Ok(self.read(response, sender).await?)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) if fresh => return Ok(Err(unsent)),
                    Some(unsent) => request = unsent,
                    None => return Err(error.into_error()).context("connection"),
                },
            }
        }
    }

    async fn read(
        &self,
        response: hyper::Response<hyper::body::Incoming>,
        mut sender: Sender,
    ) -> Result<Reply> {
        let (head, body) = response.into_parts();
        let body = body.collect().await.context("body")?.to_bytes();
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

/// Executions that a process of leaves has logged.
pub(crate) async fn executions(control: SocketAddr) -> Result<u64> {
    Ok(logged(control, "/executions/counters").await?.total)
}

/// The id of the order of each execution that a process of leaves has logged.
pub(crate) async fn order_executions(control: SocketAddr) -> Result<Vec<String>> {
    let log = logged(control, "/executions").await?;
    Ok(log.executions.into_iter().filter_map(|e| e.id).collect())
}

async fn logged(control: SocketAddr, path: &str) -> Result<Executions> {
    let stream = TcpStream::connect(control).await.context("connect")?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let request =
        Request::get(path).header(HOST, control.to_string()).body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    ensure!(response.status().is_success(), "status {}", response.status());
    let body = response.into_body().collect().await?.to_bytes();
    Ok(serde_json::from_slice(&body)?)
}
