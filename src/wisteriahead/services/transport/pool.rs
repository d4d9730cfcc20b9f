//! Connection pool of one endpoint.

use crate::core::log_limiter::LogLimiter;
use crate::prelude::*;
use crate::util::clock;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Maximum number of bytes read ahead on a connection, and of the head of a response.
const BUFFER_MAX_BYTES: usize = 64 << 10;

/// Statuses of final responses to requests that ask for no other protocol.
const FINAL_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;
/// Maximum number of interim responses before a final one.
const INTERIM_MAX: u32 = 16;

/// Number of refusals after which a connection is closed, so that it need not remember more.
const REFUSALS_MAX: usize = 32;

/// Key of a request, the same for all its attempts.
pub type RequestKey = u64;

/// A connection, and the requests that were refused on it. An endpoint may send a refusal twice; the
/// late copy names the request and would be taken for the response to its next attempt.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    refused: Vec<RequestKey>,
}

#[derive(Default)]
struct State {
    idle: Vec<Connection>,
    /// Number of connections that are idle, in use or being set up.
    open: u32,
    /// Maximum of `open`.
    max: u32,
    /// Maximum number of idle connections.
    max_idle: usize,
    /// Whether nothing listened at the address when a connection was last set up.
    refused: bool,
}

/// Connections to one address, limited in number.
pub struct Pool {
    address: SocketAddr,
    state: Mutex<State>,
    last_used: Mutex<Instant>,
    invalid_log: Mutex<LogLimiter>,
}

impl Pool {
    /// Creates an empty pool; no connection may be open until the limits are set.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            state: Mutex::default(),
            last_used: Mutex::new(Instant::now()),
            invalid_log: Mutex::default(),
        }
    }

    /// Marks the pool as used now; see [`Self::is_idle_for`].
    pub fn touch(&self) {
        *self.last_used.lock() = Instant::now();
    }

    /// Sets the maximum number of open connections; idle ones beyond it are closed.
    pub fn set_max(&self, max: u32) {
        self.set_bounds(max, max);
    }

    /// Sets the maximum numbers of open connections and of idle ones among them; idle ones beyond
    /// either are closed.
    pub fn set_bounds(&self, max: u32, max_idle: u32) {
        let mut s = self.state.lock();
        (s.max, s.max_idle) = (max, max_idle as usize);
        while (s.open > max || s.idle.len() > s.max_idle) && s.idle.pop().is_some() {
            s.open -= 1;
        }
    }

    /// Number of connections that are idle, in use or being set up.
    pub fn open(&self) -> u32 {
        self.state.lock().open
    }

    /// Whether nothing listened at the address when a connection was last set up.
    pub fn is_refused(&self) -> bool {
        self.state.lock().refused
    }

    /// Whether no connection is in use and the pool was not used for `span`.
    pub fn is_idle_for(&self, span: Duration) -> bool {
        let s = self.state.lock();
        s.open as usize == s.idle.len() && self.last_used.lock().elapsed() >= span
    }

    /// Takes an idle connection or sets up a new one.
    ///
    /// # Errors
    ///
    /// Refuses with "not run" if the limit is reached or the connection can't be set up.
    pub async fn lease(pool: Arc<Self>) -> Result<Lease, Refusal> {
        Self::take(pool, None)?.connect().await
    }

    /// Takes an idle connection or sets up a new one, within a time limit, for a request that was not
    /// refused on it.
    ///
    /// # Errors
    ///
    /// Refuses with "not run" if the limit of connections is reached or none can be set up in time.
    pub async fn lease_for(
        pool: Arc<Self>,
        request: RequestKey,
        limit: Duration,
    ) -> Result<Lease, Refusal> {
        let slot = Self::take(pool, Some(request))?;
        let timed_out =
            |_| Refusal::not_run(Reason::Connection, "no connection was set up in time");
        timeout(limit, slot.connect()).await.map_err(timed_out)?
    }

    /// Refusal for a response that is no valid answer; logs what came, once a second.
    fn invalid_response(&self, detail: String) -> Refusal {
        if self.invalid_log.lock().admit(Time(clock::since_boot().0), 1).is_some() {
            log::warn!(
                event = "invalid-response", endpoint = self.address.to_string();
                "the endpoint at {} sent no valid answer, which counts as its failure: {detail}",
                self.address
            );
        }
        Refusal::may_have_run(Reason::Mismatch, detail)
    }

    /// Takes an idle connection on which the request was not refused or, if there is none, a slot for a
    /// new one. Dropping the lease releases it.
    fn take(pool: Arc<Self>, request: Option<RequestKey>) -> Result<Lease, Refusal> {
        let mut s = pool.state.lock();
        let is_usable = |c: &Connection| request.is_none_or(|key| !c.refused.contains(&key));
        while let Some(at) = s.idle.iter().rposition(is_usable) {
            let connection = s.idle.remove(at);
            if connection.sender.is_ready() {
                drop(s);
                return Ok(Lease { pool, connection: Some(connection), returned: false });
            }
            s.open -= 1;
        }
        // At the limit, a connection on which the request was refused makes room for another one.
        if s.open >= s.max && s.idle.pop().is_some() {
            s.open -= 1;
        }
        if s.open >= s.max {
            return Err(Refusal::not_run(Reason::Busy, "all connections to the endpoint are busy"));
        }
        s.open += 1;
        drop(s);
        Ok(Lease { pool, connection: None, returned: false })
    }
}

/// A connection in use; dropping it closes the connection and releases its slot in the pool.
pub struct Lease {
    pool: Arc<Pool>,
    connection: Option<Connection>,
    /// Whether the connection was returned to the pool, open.
    returned: bool,
}

impl Lease {
    /// Sets up the connection unless there is one.
    async fn connect(mut self) -> Result<Self, Refusal> {
        if self.connection.is_some() {
            return Ok(self);
        }
        let failed = |e: &dyn std::fmt::Display| {
            Refusal::not_run(Reason::Connection, format!("could not connect: {e}"))
        };
        let connected = TcpStream::connect(self.pool.address).await;
        let refused =
            connected.as_ref().is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionRefused);
        self.pool.state.lock().refused = refused;
        let stream = connected.map_err(|e| failed(&e))?;
        // A request is one small write, which Nagle's algorithm would only delay.
        let _ = stream.set_nodelay(true);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(BUFFER_MAX_BYTES);
        let (sender, connection) =
            builder.handshake(TokioIo::new(stream)).await.map_err(|e| failed(&e))?;
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::trace!("connection to an endpoint failed: {e}");
            }
        });
        self.connection = Some(Connection { sender, refused: Vec::new() });
        Ok(self)
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Refuses with "not run" if nothing of the request was written, otherwise with "may have run"; also if
    /// the response has no status of a final answer, which says nothing that can be relied on.
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Refusal> {
        let Some(Connection { sender, .. }) = &mut self.connection else {
            return Err(Refusal::not_run(Reason::Connection, "the connection is closed"));
        };
        let interim = Arc::new(InterimResponses::default());
        let counter = Arc::clone(&interim);
        hyper::ext::on_informational(&mut request, move |_| counter.record());
        let sent = tokio::select! {
            sent = sender.try_send_request(request) => sent,
            () = interim.exceeded.notified() => {
                let detail = format!("more than {INTERIM_MAX} interim responses without a final one");
                return Err(self.pool.invalid_response(detail));
            }
        };
        match sent {
            Ok(response) if FINAL_STATUSES.contains(&response.status().as_u16()) => Ok(response),
            Ok(response) => {
                let detail = format!("status {} is no final answer", response.status().as_u16());
                Err(self.pool.invalid_response(detail))
            }
            Err(mut e) => match e.take_message() {
                // hyper returns the request only if nothing of it was written.
                Some(_) => Err(Refusal::not_run(Reason::Connection, "the connection was closed")),
                None => {
                    let detail = format!("the connection failed: {}", e.error());
                    Err(Refusal::may_have_run(Reason::Connection, detail))
                }
            },
        }
    }

    /// Records that a request was refused on this connection, which is not used for it again.
    pub fn record_refusal(&mut self, request: RequestKey) {
        if let Some(connection) = &mut self.connection {
            connection.refused.push(request);
        }
    }

    /// Returns the connection to the pool; its last response must have been read completely. It is
    /// closed instead if it is no longer usable or the pool is at its limits.
    pub async fn give_back(mut self) {
        let Some(mut connection) = self.connection.take() else { return };
        if connection.refused.len() < REFUSALS_MAX && connection.sender.ready().await.is_ok() {
            let mut s = self.pool.state.lock();
            if s.open <= s.max && s.idle.len() < s.max_idle {
                s.idle.push(connection);
                self.returned = true;
            }
        }
    }
}

/// Counts the interim responses to one request.
#[derive(Default)]
struct InterimResponses {
    received: AtomicU32,
    /// Notified when there were too many.
    exceeded: Notify,
}

impl InterimResponses {
    fn record(&self) {
        if self.received.fetch_add(1, Ordering::Relaxed) == INTERIM_MAX {
            self.exceeded.notify_one();
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if !self.returned {
            self.pool.state.lock().open -= 1;
        }
    }
}
