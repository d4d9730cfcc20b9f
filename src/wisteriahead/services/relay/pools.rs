//! Connection pools for endpoints, and sending a call over a pooled connection.

use super::Relay;
use super::protocol::{Call, EndpointResponse, Reply};
use crate::core::relay::notices::Access;
use crate::core::routes::Target;
use crate::prelude::*;
use crate::services::transport::{Lease, Pool, RequestKey, ResponseMemory};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use parking_lot::Mutex;
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Maximum size of an endpoint's response body.
pub const RESPONSE_MAX_BYTES: usize = 4 << 20;
/// Maximum size of the response body of one shard of a gather, so that endpoints that send without
/// end do not fill the host's memory, however many shards there are.
pub const PART_MAX_BYTES: usize = 256 << 10;
/// Time without use after which the connections to an address are closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Divisor of the maximum of connections that gives the idle connections kept. An endpoint keeps the
/// connections of hosts that lost their network or power until a long idle timeout; keeping fewer
/// idle leaves room within the endpoint's limit for the remaining hosts.
const IDLE_DIVISOR: u32 = 2;
/// Time limit for a connection that no call waits for.
const EARLY_TIMEOUT: Span = Span::secs(1);
/// Least remaining time for a call to be sent; endpoints take their deadline in whole milliseconds.
const REMAINING_MIN: Span = Span::millis(1);

/// Connection pools of all endpoints.
#[derive(Default)]
pub struct ConnectionPools {
    by_address: Mutex<IndexMap<SocketAddr, Arc<Pool>>>,
    memory: ResponseMemory,
}

/// Limits of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallTimes {
    /// Time limit for getting a connection.
    pub connect_timeout: Span,
    /// Time after which the call is no longer sent.
    pub start_by: Instant,
    /// Time after which the answer is no longer needed.
    pub deadline: Instant,
    /// Maximum size of the response body.
    pub max_bytes: usize,
    /// Whether the request may run only once. A refusal that does not name it then proves nothing.
    pub once: bool,
    /// Whether a call ends itself at its deadline; otherwise whoever waits for it drops it then.
    pub own_timer: bool,
}

impl ConnectionPools {
    fn pool(&self, to: SocketAddr, connections: u32) -> Arc<Pool> {
        let mut pools = self.by_address.lock();
        let pool = pools.entry(to).or_insert_with(|| Arc::new(Pool::new(to)));
        pool.set_bounds(connections, connections.div_ceil(IDLE_DIVISOR));
        pool.touch();
        Arc::clone(pool)
    }

    /// Removes the pools that have been idle for too long.
    pub fn remove_idle(&self) {
        self.by_address.lock().retain(|_, pool| !pool.is_idle_for(POOL_IDLE_TIMEOUT));
    }

    /// Opens a connection to an endpoint for later calls, unless there is one.
    pub fn open_early(&self, to: &Target, connections: u32) {
        let pool = self.pool(to.address, connections);
        if pool.open() > 0 {
            return;
        }
        tokio::spawn(async move {
            // A failure needs no answer: the first call connects by itself.
            if let Ok(Ok(lease)) = timeout(EARLY_TIMEOUT.to_std(), Pool::lease(pool)).await {
                lease.give_back().await;
            }
        });
    }

    /// Sends a call to an endpoint over one of at most `connections`, and reads the whole response.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the verdict "not run" if the call was not sent or the endpoint says
    /// that it did not run it, and with "may have run" otherwise.
    pub async fn send(
        &self,
        relay: &Relay,
        call: &Call,
        to: &Target,
        connections: u32,
        times: CallTimes,
    ) -> Result<EndpointResponse, Refusal> {
        let pool = self.pool(to.address, connections);
        let to_start = times.start_by.saturating_duration_since(Instant::now());
        let wait = times.connect_timeout.to_std().min(to_start);
        let key = request_key(call);
        let leased = Pool::lease_for(pool.clone(), key, wait).await;
        if leased.is_err() && pool.is_refused() {
            relay.traffic.record_endpoint_end(relay.ctx.now(), to);
        }
        let mut lease = leased?;
        let now = Instant::now();
        let left = Span::from(times.deadline.saturating_duration_since(now));
        if left < REMAINING_MIN || now >= times.start_by {
            lease.give_back().await;
            return Err(Refusal::not_run(Reason::Deadline, "no time was left to send the request"));
        }
        // Checked when a connection is there, since the endpoint may have said so in the meantime.
        if matches!(relay.traffic.notice_access(relay.ctx.now(), to), Access::Closed(_)) {
            lease.give_back().await;
            return Err(Refusal::not_run(Reason::Unavailable, "the endpoint wants no requests"));
        }
        let request = build_request(relay.protocol.request_headers(call, to, left), call);
        let exchange = exchange(relay, call, to, &mut lease, request, times);
        let exchanged = match times.own_timer {
            true => timeout(left.to_std(), exchange).await.unwrap_or_else(|_| {
                Err(Refusal::may_have_run(Reason::Deadline, "the endpoint did not answer in time"))
            }),
            false => exchange.await,
        };
        let (part, reusable) = exchanged?;
        if part.is_err() {
            lease.record_refusal(key);
        }
        if reusable {
            lease.give_back().await;
        }
        part
    }
}

/// Key of a request, by the identifier that its caller chose.
fn request_key(call: &Call) -> RequestKey {
    let mut hasher = DefaultHasher::new();
    call.meta.id.as_bytes().hash(&mut hasher);
    hasher.finish()
}

fn build_request(headers: HeaderMap, call: &Call) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = headers;
    request
}

/// Sends a request and reads the response; also returns whether the connection can be reused.
async fn exchange(
    relay: &Relay,
    call: &Call,
    to: &Target,
    lease: &mut Lease,
    request: Request<Full<Bytes>>,
    times: CallTimes,
) -> Result<(Result<EndpointResponse, Refusal>, bool), Refusal> {
    let (head, body) = lease.send(request).await?.into_parts();
    let is_named = !times.once || relay.protocol.names_request(call, &head);
    let reply = match relay.protocol.read_response(call, &head) {
        Reply::NotRun(_) if !is_named => Reply::Mismatch,
        reply => reply,
    };
    // An answer that is not this endpoint's says nothing about it.
    if !matches!(reply, Reply::Mismatch | Reply::NotRun(Reason::WrongEndpoint)) {
        let id = call.meta.id.to_str().unwrap_or_default();
        relay.traffic.record_notice(relay.ctx.now(), id, to, relay.protocol.read_notice(&head));
    }
    let result = match reply {
        Reply::Ran { signature, .. } => Ok(signature),
        Reply::NotRun(reason) => {
            Err(Refusal::not_run(reason, format!("the endpoint answered {}", head.status)))
        }
        Reply::Mismatch => {
            let detail = "the answer belongs to another request";
            return Err(Refusal::may_have_run(Reason::Mismatch, detail));
        }
    };
    let (body, memory) = relay.pools.memory.read(body, times.max_bytes).await?;
    let (status, reusable) = (head.status, !closes_connection(&head.headers));
    let headers = head.headers;
    let part = |signature| EndpointResponse { status, headers, body, signature, memory };
    Ok((result.map(part), reusable))
}

fn closes_connection(headers: &HeaderMap) -> bool {
    headers.get(CONNECTION).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// Removes the hop-by-hop headers, which apply to a single connection.
pub fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let known = [
        CONNECTION,
        CONTENT_LENGTH,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        HeaderName::from_static("keep-alive"),
    ];
    listed.iter().chain(&known).for_each(|name| {
        headers.remove(name);
    });
    headers
}
