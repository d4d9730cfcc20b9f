//! Runs the state machine of [`core::budget`](crate::core::budget): issues permits from the slots
//! that this host leases, and leases the slots of endpoints that it owns to the other hosts.

use super::{Allowance, Endpoints, Handler, Members, Observation, Peers, Permit, SlotListener};
use crate::core::budget::lender::Capacity;
use crate::core::budget::{Budgets, Grant, Message};
use crate::core::endpoint::EndpointKey;
use crate::core::message::{Topic, decode, encode};
use crate::core::routes::{Routes, Target};
use crate::kernel::{Context, Service};
use crate::prelude::*;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use slotmap::SecondaryMap;
use std::collections::VecDeque;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// Time between two ticks of the state machine.
const TICK: Duration = Duration::from_millis(5);

/// Minimum time between two requests for a slot of an endpoint: each voids the grants in flight.
const REQUEST_INTERVAL_MIN: Span = Span::millis(20);

/// Driver of the budgets of this host.
pub struct BudgetDriver {
    ctx: Context,
    peers: Arc<dyn Peers>,
    host: Arc<str>,
    state: Mutex<State>,
    listener: OnceLock<SlotListener>,
}

struct State {
    budgets: Budgets,
    routes: Arc<Routes>,
    names: SecondaryMap<EndpointKey, Arc<str>>,
    /// Endpoints at which a slot was requested and not granted yet, and when.
    requested: IndexMap<Arc<str>, Time>,
    /// Endpoints with a free slot that the listener has yet to be called for, one entry per slot.
    free_slots: Vec<EndpointKey>,
}

impl State {
    fn new(budgets: Budgets) -> Self {
        Self {
            budgets,
            routes: Arc::default(),
            names: SecondaryMap::new(),
            requested: IndexMap::new(),
            free_slots: Vec::new(),
        }
    }

    fn set_routes(&mut self, now: Time, routes: Arc<Routes>) -> Vec<(Arc<str>, Message)> {
        self.names = routes.targets.values().map(|t| (t.key, t.name.clone())).collect();
        self.requested.retain(|name, _| routes.targets.contains_key(name));
        self.routes = routes;
        self.set_endpoints(now)
    }

    fn set_endpoints(&mut self, now: Time) -> Vec<(Arc<str>, Message)> {
        let targets = self.routes.targets.values();
        let all = targets.map(|t| (t.name.clone(), t.zone.clone(), capacity(t)));
        self.budgets.set_endpoints(now, all)
    }

    /// Queues one listener call per free slot of an endpoint; returns whether there is any.
    fn queue_free_slots(&mut self, now: Time, endpoint: &str) -> bool {
        let Some(target) = self.routes.targets.get(endpoint) else { return false };
        let free = self.budgets.free(now, endpoint, target.incarnation);
        if free > 0 {
            self.requested.swap_remove(endpoint);
        }
        self.free_slots.extend((0..free).map(|_| target.key));
        free > 0
    }

    /// Requests a slot unless one is free or was requested within [`REQUEST_INTERVAL_MIN`].
    fn request_slot(&mut self, now: Time, at: &Target) {
        if self.budgets.free(now, &at.name, at.incarnation) > 0 {
            self.free_slots.push(at.key);
            return;
        }
        if self.requested.get(&at.name).is_none_or(|t| now.since(*t) >= REQUEST_INTERVAL_MIN) {
            self.budgets.acquire(now, &at.name, at.incarnation);
            self.requested.insert(at.name.clone(), now);
        }
    }

    fn receive(
        &mut self,
        now: Time,
        from: &Arc<str>,
        message: Message,
    ) -> Vec<(Arc<str>, Message)> {
        let granted: Vec<_> = match &message {
            Message::Grants(grants) => grants.iter().map(|g| g.endpoint.clone()).collect(),
            _ => Vec::new(),
        };
        let out = self.budgets.receive(now, from, message);
        for name in &granted {
            self.queue_free_slots(now, name);
        }
        out
    }
}

impl BudgetDriver {
    fn update(&self, transition: impl FnOnce(&mut State, Time) -> Vec<(Arc<str>, Message)>) {
        let mut state = self.state.lock();
        let out = transition(&mut state, self.ctx.now());
        self.dispatch(&mut state, out);
        let free_slots = std::mem::take(&mut state.free_slots);
        drop(state);
        if let Some(listener) = self.listener.get() {
            free_slots.into_iter().for_each(listener);
        }
    }

    /// Sends messages, with the grants to each host combined; messages to this host itself are
    /// handled directly.
    fn dispatch(&self, state: &mut State, out: Vec<(Arc<str>, Message)>) {
        let mut out = VecDeque::from(out);
        let mut grants: IndexMap<Arc<str>, Vec<Grant>> = IndexMap::new();
        while let Some((to, message)) = out.pop_front() {
            match message {
                message if to == self.host => {
                    out.extend(state.receive(self.ctx.now(), &self.host, message));
                }
                Message::Grants(more) => grants.entry(to).or_default().extend(more),
                message => self.peers.send(&to, Topic::Allowance, encode(&message)),
            }
        }
        for (to, grants) in grants {
            self.peers.send(&to, Topic::Allowance, encode(&Message::Grants(grants)));
        }
    }

    fn release(&self, endpoint: &str, started: Time) {
        self.update(|s, now| {
            s.budgets.release(now, endpoint, started);
            // A slot that is still free was not reclaimed by its owner, so nothing is reported yet.
            if s.queue_free_slots(now, endpoint) { Vec::new() } else { s.budgets.due_requests(now) }
        });
    }
}

fn capacity(t: &Target) -> Capacity {
    Capacity { incarnation: t.incarnation, allowed: t.allowed, cold: t.bearable.max(1) }
}

/// Implements [`Allowance`] by a shared driver, to which each permit keeps a reference.
struct AllowanceHandle(Arc<BudgetDriver>);

impl Allowance for AllowanceHandle {
    fn acquire(&self, to: &Target) -> Option<Permit> {
        // The clock is read first, so that a stall makes the permit appear older, never younger.
        let acquired_at = Instant::now();
        let mut state = self.0.state.lock();
        let now = self.0.ctx.now();
        let free = state.budgets.free(now, &to.name, to.incarnation) > 0;
        if !free || !state.budgets.acquire(now, &to.name, to.incarnation) {
            return None;
        }
        let (driver, name) = (Arc::clone(&self.0), to.name.clone());
        Some(Permit::acquired_at(acquired_at, move || driver.release(&name, now)))
    }

    fn is_starved(&self, at: &Target) -> bool {
        let now = self.0.ctx.now();
        self.0.state.lock().budgets.is_starved(now, &at.name)
    }

    fn request_slots(&self, at: &[Target]) {
        self.0.update(|s, now| {
            at.iter().for_each(|t| s.request_slot(now, t));
            s.budgets.due_requests(now)
        });
    }

    fn set_listener(&self, listener: SlotListener) {
        if self.0.listener.set(listener).is_err() {
            log::warn!("a listener for free slots is already set; the second one is ignored");
        }
    }

    fn observe(&self, to: &Target, seen: Observation) {
        self.0.update(|s, now| {
            match seen {
                Observation::Answered(took) => s.budgets.note_answer(now, &to.name, took),
                Observation::Refused(Reason::Busy) => s.budgets.note_busy(&to.name),
                Observation::Failed | Observation::Restarted(_) => {
                    s.budgets.note_cold_start(&to.name)
                }
                Observation::Refused(_) => {}
            }
            s.budgets.due_requests(now)
        });
    }

    fn in_flight(&self, to: EndpointKey) -> u32 {
        let state = self.0.state.lock();
        state.names.get(to).map_or(0, |name| state.budgets.running(name))
    }
}

impl Handler for BudgetDriver {
    fn receive(&self, from: &str, body: &[u8]) {
        match decode::<Message>(body) {
            Ok(message) => self.update(|s, now| s.receive(now, &from.into(), message)),
            Err(e) => log::warn!(
                "could not decode a budget message from host `{from}`; it is ignored: {e}"
            ),
        }
    }
}

/// Service that publishes [`Allowance`].
pub struct AllowanceService {
    boot: u64,
}

impl AllowanceService {
    /// Creates the service; `boot` is a number that rises with each start of the process.
    pub fn new(boot: u64) -> Self {
        Self { boot }
    }
}

impl Service for AllowanceService {
    fn name(&self) -> &'static str {
        <dyn Allowance>::NAME
    }

    fn start<'a>(&'a self, ctx: &'a Context) -> BoxFuture<'a, Result<()>> {
        Box::pin(async move {
            let peers = ctx.find::<dyn Peers>(<dyn Peers>::NAME)?;
            let members = ctx.find::<dyn Members>(<dyn Members>::NAME)?;
            let endpoints = ctx.find::<dyn Endpoints>(<dyn Endpoints>::NAME)?;
            let host: Arc<str> = peers.host().into();
            let budgets = Budgets::new(ctx.now(), host.clone(), peers.zone().into(), self.boot);
            let state = Mutex::new(State::new(budgets));
            let listener = OnceLock::new();
            let driver = BudgetDriver { ctx: ctx.clone(), peers, host, state, listener };
            let driver = Arc::new(driver);
            driver.peers.set_handler(Topic::Allowance, driver.clone());
            ctx.publish::<dyn Allowance>(
                <dyn Allowance>::NAME,
                Arc::new(AllowanceHandle(driver.clone())),
            );
            tokio::spawn(run(driver, members, endpoints));
            Ok(())
        })
    }

    fn stop(&self, _timeout: Span) -> BoxFuture<'_, ()> {
        Box::pin(async {})
    }
}

/// Ticks the state machine and passes it the changes of hosts and endpoints.
async fn run(driver: Arc<BudgetDriver>, members: Arc<dyn Members>, endpoints: Arc<dyn Endpoints>) {
    let mut members = members.watch();
    members.mark_changed();
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut stopped = std::pin::pin!(driver.ctx.stopped());
    loop {
        tokio::select! {
            () = &mut stopped => return,
            _ = tick.tick() => {}
        }
        if members.has_changed().unwrap_or(false) {
            let current = members.borrow_and_update().clone();
            driver.update(|s, now| {
                s.budgets.set_members(&current);
                s.set_endpoints(now)
            });
        }
        let latest = endpoints.routes();
        driver.update(|s, now| {
            let mut out = Vec::new();
            if !Arc::ptr_eq(&latest, &s.routes) {
                out = s.set_routes(now, latest);
            }
            out.extend(s.budgets.tick(now));
            out
        });
    }
}
