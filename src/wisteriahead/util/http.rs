//! The HTTP server shared by all listeners: limits, JSON responses and graceful shutdown.

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

/// Time within which a client must send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which a client must send the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time for which a client may read nothing of a pending response.
const READ_TIMEOUT: Span = Span::secs(10);
/// Maximum size of the head of a request, in bytes.
const HEAD_MAX_BYTES: usize = 32 << 10;
/// Maximum number of headers of a request.
const HEADERS_MAX: usize = 64;
/// Maximum number of open connections per listener.
pub const CONNECTIONS_MAX: usize = 4_096;
/// Delay after a failed accept, to avoid a busy loop while file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Limits of a listener on its clients.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time within which the head of a request must arrive, from the end of the previous response.
    pub head_time: Duration,
    /// Maximum size of the head of a request, in bytes.
    pub head_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { head_time: HEAD_TIMEOUT, head_bytes: HEAD_MAX_BYTES }
    }
}

/// A response with its complete body.
pub type Answer = Response<Full<Bytes>>;

/// A request handler.
pub trait Routes: Send + Sync + 'static {
    /// Handles one request.
    fn answer(&self, request: Request<Incoming>) -> BoxFuture<'_, Answer>;
}

/// A JSON response.
pub fn json<T: Serialize>(status: StatusCode, body: &T) -> Answer {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut r = Response::new(Full::new(Bytes::from(bytes)));
    *r.status_mut() = status;
    r.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    r
}

/// The HTTP status for a reason.
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

/// The response for a refusal.
pub fn refuse(refusal: &Refusal) -> Answer {
    let mut r = json(status(refusal.reason), refusal);
    let verdict = HeaderValue::from_static(refusal.verdict.name());
    r.headers_mut().insert("wisteria-verdict", verdict);
    r
}

/// Reads a complete body of at most `max` bytes.
///
/// # Errors
///
/// Refuses a body that is too large, late or interrupted.
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
/// Fails if the address is in use or does not belong to this host.
pub async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("could not listen on {address}; choose a free address"))
}

/// A running HTTP server on one listener.
pub struct Server {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    /// One permit per connection; open connections hold theirs.
    permits: Arc<Semaphore>,
}

impl Server {
    /// Serves `routes` on `listener` with the default limits.
    ///
    /// # Errors
    ///
    /// Fails if the listener has no local address.
    pub fn start(listener: TcpListener, routes: Arc<dyn Routes>) -> Result<Self> {
        Self::start_with(listener, routes, Limits::default())
    }

    /// Serves `routes` on `listener` with the given limits.
    ///
    /// # Errors
    ///
    /// Fails if the listener has no local address.
    pub fn start_with(
        listener: TcpListener,
        routes: Arc<dyn Routes>,
        limits: Limits,
    ) -> Result<Self> {
        let address = listener.local_addr().context("could not read the listener's address")?;
        let (stop, stopping) = watch::channel(false);
        let permits = Arc::new(Semaphore::new(CONNECTIONS_MAX));
        tokio::spawn(accept(listener, routes, limits, stopping, Arc::clone(&permits)));
        Ok(Self { address, stop, permits })
    }

    /// Address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts no new connections and waits for requests in flight, for at most `timeout`.
    ///
    /// # Errors
    ///
    /// Fails if connections are still open after `timeout`.
    pub async fn stop(&self, timeout: Span) -> Result<()> {
        self.stop.send_replace(true);
        let all = self.permits.acquire_many(CONNECTIONS_MAX as u32);
        match tokio::time::timeout(timeout.to_std(), all).await {
            Ok(_) => Ok(()),
            Err(_) => Err(anyhow!(
                "{} connections to {} were still open after {timeout}",
                CONNECTIONS_MAX - self.permits.available_permits(),
                self.address
            )),
        }
    }

    /// Stops like [`Self::stop`]; logs a failure as a warning under the name of the service.
    pub async fn stop_or_warn(&self, service: &str, timeout: Span) {
        if let Err(e) = self.stop(timeout).await {
            log::warn!("{service}: {e}");
        }
    }
}

async fn accept(
    listener: TcpListener,
    routes: Arc<dyn Routes>,
    limits: Limits,
    mut stopping: watch::Receiver<bool>,
    permits: Arc<Semaphore>,
) {
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
        let stream = tokio::select! {
            () = wait_for_stop(&mut stopping) => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(e) => {
                    log::warn!("could not accept a connection: {e}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            },
        };
        // Under Nagle's algorithm, small responses wait for the client's delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        let (routes, stopping) = (Arc::clone(&routes), stopping.clone());
        tokio::spawn(async move {
            serve_with(stream, routes, limits, stopping).await;
            drop(permit);
        });
    }
}

/// Serves one connection until it closes, or until it is idle once `stopping` is true.
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
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = wait_for_stop(&mut stopping) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = result {
        log::debug!("connection closed with an error: {e}");
    }
}

/// Completes when the value is true or its sender was dropped.
async fn wait_for_stop(stopping: &mut watch::Receiver<bool>) {
    let _ = stopping.wait_for(|s| *s).await;
}
