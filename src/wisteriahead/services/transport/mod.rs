//! Sends attempts to endpoints over pooled HTTP/1.1 connections.
//!
//! A connection carries one request at a time and goes back to its pool only
//! after its whole response was read and matched its request. An attempt that is
//! no longer wanted is cancelled at the endpoint; its connection is kept busy
//! until the endpoint has answered, so the late answer cannot meet another request.

mod exchange;
mod pool;
pub(super) use self::pool::{Lease, Pool};

use self::exchange::Ended;

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

/// Time in which a connection must be set up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after an attempt's own deadline in which its connection may still be saved.
const GRACE: Span = Span::millis(500);
/// Silence after which the pool of an address is dropped.
const POOL_IDLE: Duration = Duration::from_secs(30);

/// A pool and the connections that its endpoint accepts from all hosts.
struct Shared {
    pool: Arc<Pool>,
    accepted: u32,
}

/// This host and all hosts, which share each endpoint's connections.
struct Hosts {
    host: Arc<str>,
    all: Vec<Arc<str>>,
}

impl Hosts {
    fn share(&self, address: SocketAddr, accepted: u32) -> u32 {
        host_share(&address.to_string(), accepted, &self.host, &self.all)
    }
}

/// Pools of connections to all endpoints.
#[derive(Default)]
pub struct Connections {
    pools: Mutex<IndexMap<SocketAddr, Shared>>,
    hosts: Mutex<Option<Hosts>>,
    allowance: Option<Arc<dyn Allowance>>,
}

impl Connections {
    /// Pools that tell `allowance` how each attempt ended.
    pub fn new(allowance: Option<Arc<dyn Allowance>>) -> Self {
        Self { allowance, ..Self::default() }
    }

    /// Sets the hosts that share the connections with `host`, which is one of them.
    pub fn set_hosts(&self, host: Arc<str>, all: Vec<Arc<str>>) {
        let pools = self.pools.lock();
        let hosts = Hosts { host, all };
        for (address, s) in &*pools {
            s.pool.set_max(hosts.share(*address, s.accepted));
        }
        *self.hosts.lock() = Some(hosts);
    }

    fn pool(&self, to: &Target) -> Arc<Pool> {
        let mut pools = self.pools.lock();
        let shared = pools.entry(to.address).or_insert_with(|| {
            let pool = Arc::new(Pool::new(to.address));
            Shared { pool, accepted: 0 }
        });
        if shared.accepted != to.connections {
            shared.accepted = to.connections;
            let hosts = self.hosts.lock();
            let most = hosts.as_ref().map(|h| h.share(to.address, to.connections));
            shared.pool.set_max(most.unwrap_or(to.connections));
        }
        shared.pool.touch();
        Arc::clone(&shared.pool)
    }

    /// Connections that are open to all endpoints.
    pub fn open(&self) -> u32 {
        self.pools.lock().values().map(|s| s.pool.open()).sum()
    }

    /// Shares with all hosts that have not left, lost ones included: they may still be at work.
    fn follow(&self, host: &Arc<str>, members: &[Member]) {
        let there = members.iter().filter(|m| m.health != Health::Left);
        let all: IndexSet<_> = there.map(|m| m.host.clone()).chain([host.clone()]).collect();
        self.set_hosts(host.clone(), all.into_iter().collect());
    }

    fn sweep(&self) {
        self.pools.lock().retain(|_, s| !s.pool.is_idle_for(POOL_IDLE));
    }
}

/// What an attempt showed of its endpoint, the restart first.
fn observations(to: &Target, ended: &Ended, time: Span) -> impl Iterator<Item = Observation> {
    let restarted = ended.incarnation.filter(|i| *i != to.incarnation).map(Observation::Restarted);
    let seen = match &ended.result {
        Ok(_) => Observation::Answered(time),
        Err(refusal) if ended.incarnation.is_some() => Observation::Refused(refusal.reason),
        Err(_) => Observation::Failed,
    };
    restarted.into_iter().chain([seen])
}

/// Sends one attempt to its end and reports it; the permit is held until then.
async fn exchange(
    lease: Lease,
    to: Target,
    mut attempt: Attempt,
    asked: Instant,
    permit: Permit,
    allowance: Option<Arc<dyn Allowance>>,
) -> Result<Bytes, Refusal> {
    let begun = Instant::now();
    let waited = Span::from(asked.elapsed());
    // Owners of budgets rely on this bound when a borrower is lost.
    let Some(left) = time_left(attempt.timeout, waited, permit.age()) else {
        lease.give_back().await;
        return Err(Refusal::not_run(Reason::Deadline, "no time was left to send the request"));
    };
    attempt.timeout = left;
    let bound = Span(attempt.timeout.0.saturating_add(GRACE.0)).to_std();
    let sent = exchange::run(lease, &attempt);
    let ended = tokio::time::timeout(bound, sent).await.unwrap_or_else(|_| no_answer().into());
    if let Some(allowance) = allowance {
        let time = Span::from(begun.elapsed());
        observations(&to, &ended, time).for_each(|seen| allowance.observe(&to, seen));
    }
    drop(permit);
    ended.result
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
        let asked = Instant::now();
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
            // The exchange outlives its caller, so that a late answer still frees the connection.
            let allowance = self.allowance.clone();
            let task = tokio::spawn(exchange(lease, to.clone(), attempt, asked, permit, allowance));
            match tokio::time::timeout(timeout.to_std(), task).await {
                Ok(Ok(result)) => result,
                Ok(Err(_)) => Err(Refusal::may_have_run(Reason::Internal, "the exchange stopped")),
                Err(_) => Err(no_answer()),
            }
        })
    }

    fn cancel(&self, to: &Target, id: Arc<str>) {
        let pool = self.pool(to);
        tokio::spawn(async move {
            if let Ok(lease) = connect(pool, Span::from(CONNECT_TIMEOUT)).await {
                let sent = exchange::cancel(lease, &id);
                // A cancel that fails costs the endpoint some work and nothing else.
                let _ = tokio::time::timeout(CONNECT_TIMEOUT, sent).await;
            }
        });
    }
}

async fn connect(pool: Arc<Pool>, timeout: Span) -> Result<Lease, Refusal> {
    let bound = timeout.to_std().min(CONNECT_TIMEOUT);
    let late = |_| Refusal::not_run(Reason::Connection, "no connection could be set up in time");
    tokio::time::timeout(bound, Pool::lease(pool)).await.unwrap_or_else(|e| Err(late(e)))
}

/// Closes what nobody uses, and follows the hosts that share the connections.
async fn keep(
    connections: Arc<Connections>,
    host: Arc<str>,
    mut members: watch::Receiver<Arc<Vec<Member>>>,
    ctx: Context,
) {
    let mut stopped = std::pin::pin!(ctx.stopped());
    let mut tick = tokio::time::interval(POOL_IDLE);
    loop {
        tokio::select! {
            () = &mut stopped => return,
            _ = tick.tick() => connections.sweep(),
            Ok(()) = members.changed() => {
                let now = members.borrow_and_update().clone();
                connections.follow(&host, &now);
            }
        }
    }
}

/// Publishes the transport.
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
            connections.follow(&host, &members.borrow());
            tokio::spawn(keep(connections, host, members, ctx.clone()));
            Ok(())
        })
    }

    fn stop(&self, _bound: Span) -> BoxFuture<'_, ()> {
        Box::pin(async {})
    }
}
