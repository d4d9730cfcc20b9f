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
const POOL_IDLE: Duration = Duration::from_secs(30);
/// One connection in so many is kept while idle. An endpoint holds the connections of hosts that were
/// cut off or lost power until they have been idle for long; the rest of what it accepts is free then.
const SPARE_PART: u32 = 2;
/// Least time left for which a call is sent: endpoints count in whole milliseconds.
const LEFT_MIN: Span = Span::millis(1);

/// Connections to all endpoints.
#[derive(Default)]
pub struct Links {
    pools: Mutex<IndexMap<SocketAddr, Arc<Pool>>>,
}

/// The time that a call has.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Time in which a connection must be set up.
    pub connect: Span,
    /// When the answer is of no use any more.
    pub until: Instant,
}

impl Links {
    fn pool(&self, to: SocketAddr, connections: u32) -> Arc<Pool> {
        let mut pools = self.pools.lock();
        let pool = pools.entry(to).or_insert_with(|| Arc::new(Pool::new(to)));
        pool.set_bounds(connections, connections.div_ceil(SPARE_PART));
        pool.touch();
        Arc::clone(pool)
    }

    /// Closes what nobody uses.
    pub fn sweep(&self) {
        self.pools.lock().retain(|_, pool| !pool.is_idle_for(POOL_IDLE));
    }

    /// Sends a call to an endpoint over one of at most `connections`, and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Refuses with "not run" when it was not sent or the endpoint says so, otherwise with
    /// "may have run".
    pub async fn run(
        &self,
        protocol: &dyn Protocol,
        call: &Call,
        to: &Target,
        connections: u32,
        times: Times,
    ) -> Result<EndpointResponse, Refusal> {
        let pool = self.pool(to.address, connections);
        let late = || Refusal::not_run(Reason::Connection, "no connection was set up in time");
        let lease = timeout(times.connect.to_std(), Pool::lease(pool)).await;
        let mut lease = lease.unwrap_or_else(|_| Err(late()))?;
        let left = Span::from(times.until.saturating_duration_since(Instant::now()));
        if left < LEFT_MIN {
            lease.give_back().await;
            return Err(Refusal::not_run(Reason::Deadline, "no time was left to send the request"));
        }
        let request = write(protocol.request_headers(call, to, left), call);
        let exchanged = timeout(left.to_std(), exchange(protocol, call, &mut lease, request)).await;
        let (part, keep) = exchanged.unwrap_or_else(|_| {
            Err(Refusal::may_have_run(Reason::Deadline, "the endpoint did not answer in time"))
        })?;
        if keep {
            lease.give_back().await;
        }
        part
    }
}

fn write(headers: HeaderMap, call: &Call) -> Request<Full<Bytes>> {
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
    let answered = match protocol.read_response(call, &head) {
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
    let (status, keep) = (head.status, !closes(&head.headers));
    let part =
        |signature| EndpointResponse { status, headers: end_to_end(head.headers), body, signature };
    Ok((answered.map(part), keep))
}

fn closes(headers: &HeaderMap) -> bool {
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
