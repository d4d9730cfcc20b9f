//! The connections to one endpoint.

use crate::prelude::*;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// The sending side of one connection.
pub type Sender = SendRequest<Full<Bytes>>;

#[derive(Default)]
struct State {
    idle: Vec<Sender>,
    open: u32,
    max: u32,
    /// Most idle connections that are kept.
    spare: usize,
}

/// Connections to one address, at most `max` of them open.
pub struct Pool {
    address: SocketAddr,
    state: Mutex<State>,
    used: Mutex<Instant>,
}

impl Pool {
    /// A pool without connections.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, state: Mutex::default(), used: Mutex::new(Instant::now()) }
    }

    /// Notes that the pool is used.
    pub fn touch(&self) {
        *self.used.lock() = Instant::now();
    }

    /// Sets how many connections may be open; idle ones above that are closed.
    pub fn set_max(&self, max: u32) {
        self.set_bounds(max, max);
    }

    /// Sets how many connections may be open, and how many of them are kept while idle.
    pub fn set_bounds(&self, max: u32, spare: u32) {
        let mut s = self.state.lock();
        (s.max, s.spare) = (max, spare as usize);
        while (s.open > max || s.idle.len() > s.spare) && s.idle.pop().is_some() {
            s.open -= 1;
        }
    }

    /// Connections that are open.
    pub fn open(&self) -> u32 {
        self.state.lock().open
    }

    /// Whether no request used the pool for `span` and none holds a connection.
    pub fn is_idle_for(&self, span: Duration) -> bool {
        let s = self.state.lock();
        s.open as usize == s.idle.len() && self.used.lock().elapsed() >= span
    }

    /// Takes an idle connection or sets one up.
    ///
    /// # Errors
    ///
    /// Refuses with "not run": nothing was sent.
    pub async fn lease(pool: Arc<Self>) -> Result<Lease, Refusal> {
        let slot = match pool.take()? {
            Taken::Idle(sender) => return Ok(Lease { pool, sender: Some(sender), kept: false }),
            // From here on the slot is given back when the lease is dropped.
            Taken::Slot => Lease { pool, sender: None, kept: false },
        };
        slot.connect().await
    }

    fn take(&self) -> Result<Taken, Refusal> {
        let mut s = self.state.lock();
        while let Some(sender) = s.idle.pop() {
            if sender.is_ready() {
                return Ok(Taken::Idle(sender));
            }
            s.open -= 1;
        }
        if s.open >= s.max {
            return Err(Refusal::not_run(Reason::Busy, "all connections to the endpoint are busy"));
        }
        s.open += 1;
        Ok(Taken::Slot)
    }
}

enum Taken {
    Idle(Sender),
    Slot,
}

/// One connection in use; dropping it closes the connection.
pub struct Lease {
    pool: Arc<Pool>,
    sender: Option<Sender>,
    /// Whether the connection stays open in the pool.
    kept: bool,
}

impl Lease {
    async fn connect(mut self) -> Result<Self, Refusal> {
        let failed = |e: &dyn std::fmt::Display| {
            Refusal::not_run(Reason::Connection, format!("could not connect: {e}"))
        };
        let stream = TcpStream::connect(self.pool.address).await.map_err(|e| failed(&e))?;
        // Requests are one small write each; waiting to fill a packet only delays them.
        let _ = stream.set_nodelay(true);
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|e| failed(&e))?;
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::trace!("a connection to an endpoint ended: {e}");
            }
        });
        self.sender = Some(sender);
        Ok(self)
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Refuses with "not run" when nothing was written, otherwise with "may have run".
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Refusal> {
        let Some(sender) = &mut self.sender else {
            return Err(Refusal::not_run(Reason::Connection, "the connection is closed"));
        };
        match sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut e) => match e.take_message() {
                // The library hands the request back only when it wrote none of it.
                Some(_) => Err(Refusal::not_run(Reason::Connection, "the connection was closed")),
                None => {
                    let detail = format!("the connection failed: {}", e.error());
                    Err(Refusal::may_have_run(Reason::Connection, detail))
                }
            },
        }
    }

    /// Gives the connection back for reuse; its last response was read whole.
    pub async fn give_back(mut self) {
        let Some(mut sender) = self.sender.take() else { return };
        if sender.ready().await.is_ok() {
            let mut s = self.pool.state.lock();
            if s.open <= s.max && s.idle.len() < s.spare {
                s.idle.push(sender);
                self.kept = true;
            }
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if !self.kept {
            self.pool.state.lock().open -= 1;
        }
    }
}
