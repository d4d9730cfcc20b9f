//! The state of one leaf: slots, connections, cold start, drain, attempts in flight and faults.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use crate::announce::{Announcement, Holding, State};
use crate::executions::{Entry, Execution, ExecutionLog, Outcome};
use crate::faults::{ArmedFaults, Fault, Hitting, Kind, Stage};
use crate::hits;
use crate::message::{Answer, Refusal, RunRequest};
use crate::profile::Profile;

/// How many times longer an execution takes on a collapsed leaf.
const COLLAPSE_FACTOR: u32 = 10;
/// Cancellations kept for attempts that have not arrived yet.
const EARLY_CANCELS: usize = 1024;

/// Whether the leaf has a listener; each revival raises the incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Life {
    pub(crate) alive: bool,
    pub(crate) incarnation: u64,
}

#[derive(Debug)]
struct Inner {
    sequence: u64,
    running: u32,
    connections: u32,
    cold_until: Instant,
    collapsed: bool,
    draining: bool,
    lying_until: Option<Instant>,
    holdings: Vec<Holding>,
    armed: ArmedFaults,
    attempts: IndexMap<String, Arc<Notify>>,
    early_cancels: VecDeque<String>,
    last_answer: Option<Answer>,
}

/// One leaf.
#[derive(Debug)]
pub struct Leaf {
    profile: Profile,
    address: SocketAddr,
    log: Arc<ExecutionLog>,
    life: watch::Sender<Life>,
    frozen: watch::Sender<Option<Instant>>,
    inner: Mutex<Inner>,
}

impl Leaf {
    pub(crate) fn new(profile: Profile, address: SocketAddr, log: Arc<ExecutionLog>) -> Self {
        let inner = Inner {
            sequence: 0,
            running: 0,
            connections: 0,
            cold_until: Instant::now() + profile.cold,
            collapsed: false,
            draining: false,
            lying_until: None,
            holdings: profile.holdings.clone(),
            armed: ArmedFaults::default(),
            attempts: IndexMap::new(),
            early_cancels: VecDeque::new(),
            last_answer: None,
        };
        let life = watch::Sender::new(Life { alive: true, incarnation: 1 });
        let frozen = watch::Sender::new(None);
        Self { profile, address, log, life, frozen, inner: Mutex::new(inner) }
    }

    /// Name that it announces.
    pub fn name(&self) -> &str {
        &self.profile.name
    }

    /// Where it serves.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn profile(&self) -> &Profile {
        &self.profile
    }

    pub(crate) fn life(&self) -> watch::Receiver<Life> {
        self.life.subscribe()
    }

    pub(crate) fn incarnation(&self) -> u64 {
        self.life.borrow().incarnation
    }

    /// Waits until this incarnation is over.
    pub(crate) async fn ended(&self, incarnation: u64) {
        let mut life = self.life.subscribe();
        let over = life.wait_for(|life| !life.alive || life.incarnation != incarnation).await;
        drop(over);
    }

    /// The next announcement; none while dead or frozen.
    pub(crate) fn announcement(&self) -> Option<Announcement> {
        let life = *self.life.borrow();
        if !life.alive || self.is_frozen() {
            return None;
        }
        let mut inner = self.inner.lock();
        inner.sequence += 1;
        let lying = inner.lying_until.is_some_and(|until| until > Instant::now());
        let state = if lying { State::Warm } else { inner.state() };
        let profile = &self.profile;
        Some(Announcement {
            endpoint: profile.name.clone(),
            host: profile.host.clone(),
            address: self.address,
            zone: profile.zone.clone(),
            service: profile.service.clone(),
            incarnation: life.incarnation,
            sequence: inner.sequence,
            state,
            slots: profile.slots,
            connections: profile.connections,
            bearable: if lying { profile.slots } else { profile.bearable },
            holdings: inner.holdings.clone(),
        })
    }

    /// Brings a fault about.
    pub(crate) fn inject(&self, fault: &Fault) {
        let forever = Duration::from_secs(u64::from(u32::MAX));
        let until = Instant::now() + fault.duration().unwrap_or(forever);
        let mut inner = self.inner.lock();
        match fault.kind {
            Kind::Freeze => drop(self.frozen.send_replace(Some(until))),
            Kind::Die => self.die(),
            Kind::Revive => self.revive(&mut inner),
            Kind::Cold => {
                let span = fault.duration().unwrap_or(self.profile.cold);
                inner.cold_until = Instant::now() + span;
            }
            Kind::LoseSnapshot => inner.lose(fault.snapshot.as_deref()),
            Kind::AddSnapshot => inner.add(fault.snapshot.as_deref()),
            Kind::Lie => inner.lying_until = Some(until),
            Kind::Drain => inner.draining = true,
            Kind::Clear => {
                inner.armed.clear();
                inner.lying_until = None;
                inner.draining = false;
                self.frozen.send_replace(None);
            }
            Kind::ResetBefore
            | Kind::ResetAfter
            | Kind::Late
            | Kind::Crossed
            | Kind::Truncate
            | Kind::Poison => inner.armed.arm(fault),
        }
    }

    /// Closes the listener and all connections.
    pub(crate) fn die(&self) {
        self.life.send_modify(|life| life.alive = false);
    }

    fn revive(&self, inner: &mut Inner) {
        if self.life.borrow().alive {
            return;
        }
        inner.cold_until = Instant::now() + self.profile.cold;
        inner.collapsed = false;
        inner.draining = false;
        self.life.send_modify(|life| {
            *life = Life { alive: true, incarnation: life.incarnation + 1 };
        });
    }

    fn is_frozen(&self) -> bool {
        self.frozen.borrow().is_some_and(|until| until > Instant::now())
    }

    /// Waits until the leaf is not frozen; true if it had to wait.
    pub(crate) async fn thaw(&self) -> bool {
        let mut frozen = self.frozen.subscribe();
        let mut waited = false;
        loop {
            let Some(until) = *frozen.borrow_and_update() else { return waited };
            if until <= Instant::now() {
                return waited;
            }
            waited = true;
            tokio::select! {
                () = tokio::time::sleep_until(until.into()) => {}
                _ = frozen.changed() => {}
            }
        }
    }

    pub(crate) fn take_fault(&self, stage: Stage) -> Option<Hitting> {
        self.inner.lock().armed.take(stage)
    }

    /// Cancels the attempt, or remembers the cancellation when the attempt is unknown.
    pub(crate) fn cancel(&self, attempt: &str) {
        let mut inner = self.inner.lock();
        if let Some(notify) = inner.attempts.get(attempt) {
            notify.notify_one();
            return;
        }
        if inner.early_cancels.len() == EARLY_CANCELS {
            inner.early_cancels.pop_front();
        }
        inner.early_cancels.push_back(attempt.to_owned());
    }

    /// Swaps this answer for the one before it, or for one that nobody asked for.
    pub(crate) fn cross(&self, answer: &Answer) -> Answer {
        self.inner.lock().last_answer.clone().unwrap_or_else(|| Answer {
            attempt: format!("{}-other", answer.attempt),
            ..answer.clone()
        })
    }

    pub(crate) fn remember(&self, answer: &Answer) {
        self.inner.lock().last_answer = Some(answer.clone());
    }

    /// Takes a connection, unless the limit is reached.
    pub(crate) fn connect(self: &Arc<Self>) -> Option<ConnectionGuard> {
        let mut inner = self.inner.lock();
        if inner.connections >= self.profile.connections {
            self.log.count(self.name(), |c| c.extra_connections += 1);
            return None;
        }
        inner.connections += 1;
        let now = inner.connections;
        self.log.count(self.name(), |c| c.max_connections = c.max_connections.max(now));
        Some(ConnectionGuard(Arc::clone(self)))
    }

    /// Gives the request a slot, or refuses it.
    pub(crate) fn admit(self: &Arc<Self>, run: &RunRequest) -> Result<Slot, Refusal> {
        let mut inner = self.inner.lock();
        if let Err(refusal) = inner.check(run, self.profile.slots) {
            self.log.count(self.name(), |c| c.refused += 1);
            return Err(refusal);
        }
        inner.running += 1;
        let running = inner.running;
        let cold = inner.is_cold();
        inner.collapsed = cold && (inner.collapsed || running > self.profile.bearable);
        let collapsed = inner.collapsed;
        let sample = self.profile.latency.draw(self.profile.seed, run.shard, &run.body);
        let cancelled = Arc::new(Notify::new());
        inner.attempts.insert(run.attempt.clone(), Arc::clone(&cancelled));
        self.log.count(self.name(), |c| {
            c.max_concurrent = c.max_concurrent.max(running);
            c.max_cold = c.max_cold.max(if cold { running } else { 0 });
            c.collapsed += u64::from(collapsed);
        });
        let entry = self.log.start(self.execution(run));
        let time = if collapsed { sample * COLLAPSE_FACTOR } else { sample };
        let attempt = run.attempt.clone();
        let outcome = Outcome::Abandoned;
        Ok(Slot { leaf: Arc::clone(self), attempt, cancelled, time, entry, outcome })
    }

    fn execution(&self, run: &RunRequest) -> Execution {
        Execution {
            attempt: run.attempt.clone(),
            kind: run.kind().to_owned(),
            body: format!("{:016x}", hits::hash(&run.body)),
            key: run.key.clone(),
            collection: run.collection.clone(),
            snapshot: run.snapshot.clone(),
            shard: run.shard,
            leaf: self.profile.name.clone(),
            outcome: Outcome::Running,
        }
    }
}

impl Inner {
    fn is_cold(&self) -> bool {
        self.cold_until > Instant::now()
    }

    fn state(&self) -> State {
        if self.draining {
            State::Draining
        } else if self.is_cold() {
            State::Starting
        } else {
            State::Warm
        }
    }

    fn check(&mut self, run: &RunRequest, slots: u32) -> Result<(), Refusal> {
        if let Some(at) = self.early_cancels.iter().position(|a| *a == run.attempt) {
            self.early_cancels.remove(at);
            return Err(Refusal::Cancelled { started: false });
        }
        if self.draining {
            return Err(Refusal::Draining);
        }
        if run.timeout.is_some_and(|left| left.is_zero()) {
            return Err(Refusal::Deadline { started: false });
        }
        if !self.holds(run) {
            return Err(Refusal::WrongSnapshot);
        }
        if self.running >= slots { Err(Refusal::Busy) } else { Ok(()) }
    }

    fn holds(&self, run: &RunRequest) -> bool {
        self.holdings.iter().any(|h| {
            h.collection == run.collection && h.snapshot == run.snapshot && h.shard == run.shard
        })
    }

    fn lose(&mut self, snapshot: Option<&str>) {
        self.holdings.retain(|h| snapshot.is_some_and(|lost| h.snapshot != lost));
    }

    fn add(&mut self, snapshot: Option<&str>) {
        let Some(snapshot) = snapshot else { return };
        let added: Vec<Holding> = self
            .holdings
            .iter()
            .map(|held| Holding { snapshot: snapshot.to_owned(), ..held.clone() })
            .collect();
        for holding in added {
            if !self.holdings.contains(&holding) {
                self.holdings.push(holding);
            }
        }
    }
}

/// A connection that counts against the limit.
#[derive(Debug)]
pub(crate) struct ConnectionGuard(Arc<Leaf>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.inner.lock().connections -= 1;
    }
}

/// A slot taken by one execution; dropping it frees the slot and logs the outcome.
#[derive(Debug)]
pub(crate) struct Slot {
    leaf: Arc<Leaf>,
    attempt: String,
    pub(crate) cancelled: Arc<Notify>,
    pub(crate) time: Duration,
    entry: Entry,
    outcome: Outcome,
}

impl Slot {
    pub(crate) fn finish(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut inner = self.leaf.inner.lock();
        inner.running -= 1;
        inner.collapsed &= inner.running > 0;
        inner.attempts.swap_remove(&self.attempt);
        self.leaf.log.finish(self.entry, self.outcome);
    }
}
