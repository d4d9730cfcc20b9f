//! Sends attempts to endpoints over pooled HTTP/1.1 connections.
//!
//! A connection carries one request at a time and returns to its pool only after the whole response
//! was read and matches the request. An attempt whose answer is no longer needed is cancelled at
//! the endpoint. Its connection stays in use until the endpoint responds, so that a late response
//! isn't taken for the one to another request.

mod exchange;
mod memory;
mod pool;
pub use self::memory::MemoryShare;
pub(super) use self::memory::ResponseMemory;
pub(super) use self::pool::{Lease, Pool, RequestKey};

use self::exchange::AttemptResult;

use super::{Allowance, Attempt, Members, Observation, Peers, Permit, Transport};
use crate::core::budget::{ATTEMPT_MAX, time_left};
use crate::core::endpoint::host_share;
use crate::core::member::{Health, Member};
use crate::core::routes::Target;
use crate::kernel::{Context, Service};
use crate::prelude::*;
use bytes::Bytes;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Maximum time for setting up a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after an attempt's deadline for which its response is awaited, so that the connection can be
/// reused.
const RESPONSE_GRACE: Span = Span::millis(500);
/// Idle time after which the pool of an address is removed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The pool of one endpoint.
struct EndpointPool {
    pool: Arc<Pool>,
    /// Number of connections that the endpoint accepts from all hosts together.
    accepted: u32,
}

/// The hosts that share each endpoint's connections.
struct Hosts {
    /// This host.
    host: Arc<str>,
    /// All hosts, this one included.
    all: Vec<Arc<str>>,
}

impl Hosts {
    /// Maximum number of connections that this host opens to an endpoint.
    fn share(&self, address: SocketAddr, accepted: u32) -> u32 {
        host_share(&address.to_string(), accepted, &self.host, &self.all)
    }
}

/// Connection pools of all endpoints.
#[derive(Default)]
pub struct Connections {
    pools: Mutex<IndexMap<SocketAddr, EndpointPool>>,
    hosts: Mutex<Option<Hosts>>,
    allowance: Option<Arc<dyn Allowance>>,
    memory: ResponseMemory,
}

impl Connections {
    /// Creates an empty set of pools; `allowance` is told the result of each attempt.
    pub fn new(allowance: Option<Arc<dyn Allowance>>) -> Self {
        Self { allowance, ..Self::default() }
    }

    /// Sets the hosts that share each endpoint's connections; `all` includes `host`, this host.
    pub fn set_hosts(&self, host: Arc<str>, all: Vec<Arc<str>>) {
        let pools = self.pools.lock();
        let hosts = Hosts { host, all };
        for (address, p) in &*pools {
            p.pool.set_max(hosts.share(*address, p.accepted));
        }
        *self.hosts.lock() = Some(hosts);
    }

    fn pool(&self, to: &Target) -> Arc<Pool> {
        let mut pools = self.pools.lock();
        let entry = pools.entry(to.address).or_insert_with(|| {
            let pool = Arc::new(Pool::new(to.address));
            EndpointPool { pool, accepted: 0 }
        });
        if entry.accepted != to.connections {
            entry.accepted = to.connections;
            let hosts = self.hosts.lock();
            let max = hosts.as_ref().map(|h| h.share(to.address, to.connections));
            entry.pool.set_max(max.unwrap_or(to.connections));
        }
        entry.pool.touch();
        Arc::clone(&entry.pool)
    }

    /// Number of open connections, to all endpoints together.
    pub fn open(&self) -> u32 {
        self.pools.lock().values().map(|p| p.pool.open()).sum()
    }

    /// Sets the hosts from the members of the tier. Those that have left don't count, but lost ones
    /// do: they may still be running.
    fn set_members(&self, host: &Arc<str>, members: &[Member]) {
        let present = members.iter().filter(|m| m.health != Health::Left);
        let all: IndexSet<_> = present.map(|m| m.host.clone()).chain([host.clone()]).collect();
        self.set_hosts(host.clone(), all.into_iter().collect());
    }

    /// Removes the pools that have been idle for [`POOL_IDLE_TIMEOUT`].
    fn remove_idle(&self) {
        self.pools.lock().retain(|_, p| !p.pool.is_idle_for(POOL_IDLE_TIMEOUT));
    }
}

/// Observations of an endpoint that follow from an attempt's result; a restart comes first.
fn observations(
    to: &Target,
    attempt: &AttemptResult,
    time: Span,
) -> impl Iterator<Item = Observation> {
    let restarted =
        attempt.incarnation.filter(|i| *i != to.incarnation).map(Observation::Restarted);
    let seen = match &attempt.result {
        Ok(_) => Observation::Answered(time),
        Err(refusal) if attempt.incarnation.is_some() => Observation::Refused(refusal.reason),
        Err(_) => Observation::Failed,
    };
    restarted.into_iter().chain([seen])
}

/// Runs one attempt and reports its result to the allowance; holds the permit until it has ended.
async fn exchange(
    lease: Lease,
    to: Target,
    mut attempt: Attempt,
    requested: Instant,
    permit: Permit,
    (allowance, memory): (Option<Arc<dyn Allowance>>, ResponseMemory),
) -> Result<Bytes, Refusal> {
    let start = Instant::now();
    let waited = Span::from(requested.elapsed());
    // No attempt may run at the endpoint for longer than `ATTEMPT_MAX` after its permit was taken:
    // the owner of the endpoint's budget relies on this when a host that borrowed slots is lost.
    let Some(left) = time_left(attempt.timeout, waited, permit.age()) else {
        lease.give_back().await;
        return Err(Refusal::not_run(Reason::Deadline, "no time was left to send the request"));
    };
    attempt.timeout = left;
    let bound = Span(attempt.timeout.0.saturating_add(RESPONSE_GRACE.0)).to_std();
    let sent = exchange::run(lease, &attempt, &memory);
    let done = tokio::time::timeout(bound, sent).await.unwrap_or_else(|_| no_answer().into());
    if let Some(allowance) = allowance {
        let time = Span::from(start.elapsed());
        observations(&to, &done, time).for_each(|seen| allowance.observe(&to, seen));
    }
    drop(permit);
    done.result
}

fn no_answer() -> Refusal {
    Refusal::may_have_run(Reason::Deadline, "the endpoint did not answer")
}

impl Transport for Connections {
    fn run<'a>(
        &'a self,
        to: &'a Target,
        attempt: Attempt,
        permit: Permit,
    ) -> BoxFuture<'a, Result<Bytes, Refusal>> {
        let requested = Instant::now();
        let pool = self.pool(to);
        Box::pin(async move {
            let timeout = attempt.timeout.min(ATTEMPT_MAX);
            let lease = match connect(pool, timeout).await {
                Ok(lease) => lease,
                Err(refusal) => {
                    let failed = refusal.reason == Reason::Connection;
                    if let Some(allowance) = self.allowance.as_ref().filter(|_| failed) {
                        allowance.observe(to, Observation::Failed);
                    }
                    return Err(refusal);
                }
            };
            // The exchange runs in its own task, which continues when this future is dropped, so
            // that a late response still releases the connection.
            let shared = (self.allowance.clone(), self.memory.clone());
            let task =
                tokio::spawn(exchange(lease, to.clone(), attempt, requested, permit, shared));
            match tokio::time::timeout(timeout.to_std(), task).await {
                Ok(Ok(result)) => result,
                Ok(Err(_)) => Err(Refusal::may_have_run(Reason::Internal, "the exchange stopped")),
                Err(_) => Err(no_answer()),
            }
        })
    }

    fn cancel(&self, to: &Target, id: Arc<str>) {
        let (pool, memory) = (self.pool(to), self.memory.clone());
        tokio::spawn(async move {
            if let Ok(lease) = connect(pool, Span::from(CONNECT_TIMEOUT)).await {
                let sent = exchange::cancel(lease, &id, &memory);
                // If cancelling fails, the endpoint only does work that is no longer needed.
                let _ = tokio::time::timeout(CONNECT_TIMEOUT, sent).await;
            }
        });
    }
}

/// Takes a connection from the pool or sets one up, within `timeout` and [`CONNECT_TIMEOUT`].
async fn connect(pool: Arc<Pool>, timeout: Span) -> Result<Lease, Refusal> {
    let bound = timeout.to_std().min(CONNECT_TIMEOUT);
    let late = |_| Refusal::not_run(Reason::Connection, "no connection could be set up in time");
    tokio::time::timeout(bound, Pool::lease(pool)).await.unwrap_or_else(|e| Err(late(e)))
}

/// Removes idle pools and follows changes of the members, until the daemon stops.
async fn maintain(
    connections: Arc<Connections>,
    host: Arc<str>,
    mut members: watch::Receiver<Arc<Vec<Member>>>,
    ctx: Context,
) {
    let mut stopped = std::pin::pin!(ctx.stopped());
    let mut tick = tokio::time::interval(POOL_IDLE_TIMEOUT);
    loop {
        tokio::select! {
            () = &mut stopped => return,
            _ = tick.tick() => connections.remove_idle(),
            Ok(()) = members.changed() => {
                let now = members.borrow_and_update().clone();
                connections.set_members(&host, &now);
            }
        }
    }
}

/// Service that publishes [`Connections`] as the transport.
pub struct TransportService;

impl Service for TransportService {
    fn name(&self) -> &'static str {
        "transport"
    }

    fn start<'a>(&'a self, ctx: &'a Context) -> BoxFuture<'a, Result<()>> {
        Box::pin(async move {
            let allowance = ctx.find::<dyn Allowance>(<dyn Allowance>::NAME).ok();
            let connections = Arc::new(Connections::new(allowance));
            ctx.publish::<dyn Transport>(<dyn Transport>::NAME, connections.clone());
            let host: Arc<str> = ctx.find::<dyn Peers>(<dyn Peers>::NAME)?.host().into();
            let members = ctx.find::<dyn Members>(<dyn Members>::NAME)?.watch();
            connections.set_members(&host, &members.borrow());
            tokio::spawn(maintain(connections, host, members, ctx.clone()));
            Ok(())
        })
    }

    fn stop(&self, _bound: Span) -> BoxFuture<'_, ()> {
        Box::pin(async {})
    }
}
