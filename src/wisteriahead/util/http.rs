//! The HTTP server side that all listeners share: limits, JSON answers and a
//! graceful stop.

use crate::core::time::Span;
use crate::core::verdict::{Reason, Refusal};
use crate::util::write_timeout::WriteTimeout;
use anyhow::{Context as _, Result, anyhow};
use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};

/// Time in which a client must send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which a client must send a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which a client must read some of its answer.
const READ_TIMEOUT: Span = Span::secs(10);
/// Most bytes of a request's head.
const HEAD_MAX_BYTES: usize = 32 << 10;
/// Most headers of a request.
const HEADERS_MAX: usize = 64;
/// Most connections open at one listener.
pub const CONNECTIONS_MAX: usize = 4_096;
/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What a listener allows its clients.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time in which a request's head must arrive, from the end of the last answer on.
    pub head_time: Duration,
    /// Bytes of a request's head.
    pub head_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { head_time: HEAD_TIMEOUT, head_bytes: HEAD_MAX_BYTES }
    }
}

/// A response with its whole body.
pub type Answer = Response<Full<Bytes>>;

/// Answers requests.
pub trait Routes: Send + Sync + 'static {
    /// Answers one request.
    fn answer(&self, request: Request<Incoming>) -> BoxFuture<'_, Answer>;
}

/// A JSON answer.
pub fn json<T: Serialize>(status: StatusCode, body: &T) -> Answer {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut r = Response::new(Full::new(Bytes::from(bytes)));
    *r.status_mut() = status;
    r.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    r
}

/// The HTTP status of a refusal.
pub fn status(reason: Reason) -> StatusCode {
    match reason {
        Reason::BadRequest => StatusCode::BAD_REQUEST,
        Reason::UnknownCollection => StatusCode::NOT_FOUND,
        Reason::InProgress | Reason::KeyReused | Reason::Conflict => StatusCode::CONFLICT,
        Reason::ExpiredKey => StatusCode::GONE,
        Reason::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        Reason::Connection | Reason::Mismatch => StatusCode::BAD_GATEWAY,
        Reason::Internal => StatusCode::INTERNAL_SERVER_ERROR,
        Reason::NoSnapshot
        | Reason::Coverage
        | Reason::Busy
        | Reason::Draining
        | Reason::WrongSnapshot
        | Reason::WrongEndpoint
        | Reason::Cancelled
        | Reason::Unavailable
        | Reason::NoQuorum => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// The answer that carries a refusal.
pub fn refuse(refusal: &Refusal) -> Answer {
    let mut r = json(status(refusal.reason), refusal);
    let verdict = HeaderValue::from_static(refusal.verdict.name());
    r.headers_mut().insert("wisteria-verdict", verdict);
    r
}

/// Reads a whole body of at most `max` bytes.
///
/// # Errors
///
/// Returns a refusal that says what is allowed.
pub async fn read_body(body: Incoming, max: usize) -> Result<Bytes, Refusal> {
    let read = Limited::new(body, max).collect();
    match tokio::time::timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(all)) => Ok(all.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(Refusal::not_run(
            Reason::BadRequest,
            format!("the body is too large; at most {max} bytes are allowed"),
        )),
        Ok(Err(e)) => {
            Err(Refusal::not_run(Reason::BadRequest, format!("the body could not be read: {e}")))
        }
        Err(_) => Err(Refusal::not_run(Reason::BadRequest, "the body did not arrive in time")),
    }
}

/// Binds a listener.
///
/// # Errors
///
/// Fails when the address is in use or is not this host's.
pub async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("could not listen on {address}; choose a free address"))
}

/// A listener that serves until it is stopped.
pub struct Server {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    open: Arc<Semaphore>,
}

impl Server {
    /// Serves `routes` on `listener`.
    ///
    /// # Errors
    ///
    /// Fails when the listener has no local address.
    pub fn start(listener: TcpListener, routes: Arc<dyn Routes>) -> Result<Self> {
        Self::start_with(listener, routes, Limits::default())
    }

    /// Serves `routes` on `listener` under limits of its own.
    ///
    /// # Errors
    ///
    /// Fails when the listener has no local address.
    pub fn start_with(
        listener: TcpListener,
        routes: Arc<dyn Routes>,
        limits: Limits,
    ) -> Result<Self> {
        let address = listener.local_addr().context("could not read the listener's address")?;
        let (stop, stopping) = watch::channel(false);
        let open = Arc::new(Semaphore::new(CONNECTIONS_MAX));
        tokio::spawn(accept(listener, routes, limits, stopping, Arc::clone(&open)));
        Ok(Self { address, stop, open })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no new connections and finishes requests in flight, within `bound`.
    ///
    /// # Errors
    ///
    /// Fails when requests are still in flight after `bound`.
    pub async fn stop(&self, bound: Span) -> Result<()> {
        self.stop.send_replace(true);
        let all = self.open.acquire_many(CONNECTIONS_MAX as u32);
        match tokio::time::timeout(bound.to_std(), all).await {
            Ok(_) => Ok(()),
            Err(_) => Err(anyhow!(
                "{} connections to {} were still open after {bound}",
                CONNECTIONS_MAX - self.open.available_permits(),
                self.address
            )),
        }
    }

    /// Stops as the last act of the service `of`, which has no one to tell of requests that are cut
    /// off but the log.
    pub async fn stop_or_warn(&self, of: &str, bound: Span) {
        if let Err(e) = self.stop(bound).await {
            log::warn!("{of}: {e}");
        }
    }
}

async fn accept(
    listener: TcpListener,
    routes: Arc<dyn Routes>,
    limits: Limits,
    mut stopping: watch::Receiver<bool>,
    open: Arc<Semaphore>,
) {
    loop {
        let Ok(permit) = Arc::clone(&open).acquire_owned().await else { return };
        let stream = tokio::select! {
            () = turned(&mut stopping) => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(e) => {
                    log::warn!("could not accept a connection: {e}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            },
        };
        // Without this, small answers wait for the client's delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        let (routes, stopping) = (Arc::clone(&routes), stopping.clone());
        tokio::spawn(async move {
            serve_with(stream, routes, limits, stopping).await;
            drop(permit);
        });
    }
}

/// Serves one connection until it closes or `stopping` turns true and it is idle.
pub async fn serve<S>(stream: S, routes: Arc<dyn Routes>, stopping: watch::Receiver<bool>)
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    serve_with(stream, routes, Limits::default(), stopping).await;
}

async fn serve_with<S>(
    stream: S,
    routes: Arc<dyn Routes>,
    limits: Limits,
    mut stopping: watch::Receiver<bool>,
) where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let service = service_fn(move |request| {
        let routes = Arc::clone(&routes);
        async move { Ok::<_, std::convert::Infallible>(routes.answer(request).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_time)
        .max_buf_size(limits.head_bytes)
        .max_headers(HEADERS_MAX)
        .serve_connection(TokioIo::new(WriteTimeout::new(stream, READ_TIMEOUT)), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = turned(&mut stopping) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = ended {
        log::debug!("a connection ended early: {e}");
    }
}

/// Completes when the value turns true or its sender is gone.
async fn turned(stopping: &mut watch::Receiver<bool>) {
    let _ = stopping.wait_for(|s| *s).await;
}
