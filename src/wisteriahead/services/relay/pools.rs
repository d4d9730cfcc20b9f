//! Connections to endpoints, and one call over one of them.

use super::protocol::{Call, EndpointResponse, Protocol, Reply};
use crate::core::routes::Target;
use crate::prelude::*;
use crate::services::transport::{Lease, Pool};
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::Request;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Most bytes of an endpoint's answer.
const ANSWER_MAX_BYTES: usize = 4 << 20;
/// Silence after which the connections to an address are closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// One connection in so many is kept while idle. An endpoint holds the connections of hosts that were
/// cut off or lost power until they have been idle for long; the rest of what it accepts is free then.
const IDLE_DIVISOR: u32 = 2;
/// Least time left for which a call is sent: endpoints count in whole milliseconds.
const REMAINING_MIN: Span = Span::millis(1);

/// Connections to all endpoints.
#[derive(Default)]
pub struct ConnectionPools {
    by_address: Mutex<IndexMap<SocketAddr, Arc<Pool>>>,
}

/// The time that a call has.
#[derive(Clone, Copy, Debug)]
pub struct CallTimes {
    /// Time in which a connection must be set up.
    pub connect_timeout: Span,
    /// When the answer is of no use any more.
    pub deadline: Instant,
}

impl ConnectionPools {
    fn pool(&self, to: SocketAddr, connections: u32) -> Arc<Pool> {
        let mut pools = self.by_address.lock();
        let pool = pools.entry(to).or_insert_with(|| Arc::new(Pool::new(to)));
        pool.set_bounds(connections, connections.div_ceil(IDLE_DIVISOR));
        pool.touch();
        Arc::clone(pool)
    }

    /// Closes what nobody uses.
    pub fn remove_idle(&self) {
        self.by_address.lock().retain(|_, pool| !pool.is_idle_for(POOL_IDLE_TIMEOUT));
    }

    /// Sends a call to an endpoint over one of at most `connections`, and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Refuses with "not run" when it was not sent or the endpoint says so, otherwise with
    /// "may have run".
    pub async fn send(
        &self,
        protocol: &dyn Protocol,
        call: &Call,
        to: &Target,
        connections: u32,
        times: CallTimes,
    ) -> Result<EndpointResponse, Refusal> {
        let pool = self.pool(to.address, connections);
        let timed_out = || Refusal::not_run(Reason::Connection, "no connection was set up in time");
        let lease = timeout(times.connect_timeout.to_std(), Pool::lease(pool)).await;
        let mut lease = lease.unwrap_or_else(|_| Err(timed_out()))?;
        let left = Span::from(times.deadline.saturating_duration_since(Instant::now()));
        if left < REMAINING_MIN {
            lease.give_back().await;
            return Err(Refusal::not_run(Reason::Deadline, "no time was left to send the request"));
        }
        let request = build_request(protocol.request_headers(call, to, left), call);
        let exchanged = timeout(left.to_std(), exchange(protocol, call, &mut lease, request)).await;
        let (part, reusable) = exchanged.unwrap_or_else(|_| {
            Err(Refusal::may_have_run(Reason::Deadline, "the endpoint did not answer in time"))
        })?;
        if reusable {
            lease.give_back().await;
        }
        part
    }
}

fn build_request(headers: HeaderMap, call: &Call) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = headers;
    request
}

/// The answer, and whether the connection may be used again.
async fn exchange(
    protocol: &dyn Protocol,
    call: &Call,
    lease: &mut Lease,
    request: Request<Full<Bytes>>,
) -> Result<(Result<EndpointResponse, Refusal>, bool), Refusal> {
    let (head, body) = lease.send(request).await?.into_parts();
    let result = match protocol.read_response(call, &head) {
        Reply::Ran { signature, .. } => Ok(signature),
        Reply::NotRun(reason) => {
            Err(Refusal::not_run(reason, format!("the endpoint answered {}", head.status)))
        }
        Reply::Mismatch => {
            let detail = "the answer belongs to another request";
            return Err(Refusal::may_have_run(Reason::Mismatch, detail));
        }
    };
    let body = Limited::new(body, ANSWER_MAX_BYTES).collect().await.map_err(|e| {
        Refusal::may_have_run(Reason::Connection, format!("the answer broke off: {e}"))
    })?;
    let body = body.to_bytes();
    let (status, reusable) = (head.status, !closes_connection(&head.headers));
    let part =
        |signature| EndpointResponse { status, headers: end_to_end(head.headers), body, signature };
    Ok((result.map(part), reusable))
}

fn closes_connection(headers: &HeaderMap) -> bool {
    headers.get(CONNECTION).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// The headers without those that concern one connection only.
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
