//! Drives the budgets: grants permits from the slots lent to this host, and lends the
//! slots of the endpoints that this host owns.

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

/// Time in which an endpoint's owner is not asked again: an ask voids the grants on their way.
const ASK_GAP: Span = Span::millis(20);

/// Permits of this host, and slots that it lends.
pub struct Lender {
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
    /// When an endpoint's owner was asked for a slot that has not come yet.
    asked: IndexMap<Arc<str>, Time>,
    /// Endpoints with room of which the listener is to be told.
    gained: Vec<EndpointKey>,
}

impl State {
    fn new(budgets: Budgets) -> Self {
        Self {
            budgets,
            routes: Arc::default(),
            names: SecondaryMap::new(),
            asked: IndexMap::new(),
            gained: Vec::new(),
        }
    }

    fn set_routes(&mut self, now: Time, routes: Arc<Routes>) -> Vec<(Arc<str>, Message)> {
        self.names = routes.targets.values().map(|t| (t.key, t.name.clone())).collect();
        self.asked.retain(|name, _| routes.targets.contains_key(name));
        self.routes = routes;
        self.set_endpoints(now)
    }

    fn set_endpoints(&mut self, now: Time) -> Vec<(Arc<str>, Message)> {
        let targets = self.routes.targets.values();
        let all = targets.map(|t| (t.name.clone(), t.zone.clone(), bearing(t)));
        self.budgets.set_endpoints(now, all)
    }

    /// Notes that the listener is to be told of the free slots of an endpoint; says if there are.
    fn look(&mut self, now: Time, endpoint: &str) -> bool {
        let Some(target) = self.routes.targets.get(endpoint) else { return false };
        let free = self.budgets.free(now, endpoint, target.incarnation);
        if free > 0 {
            self.asked.swap_remove(endpoint);
        }
        self.gained.extend((0..free).map(|_| target.key));
        free > 0
    }

    /// Notes the demand for a slot, unless the owner was asked for one just now.
    fn want(&mut self, now: Time, at: &Target) {
        if self.budgets.free(now, &at.name, at.incarnation) > 0 {
            self.gained.push(at.key);
            return;
        }
        if self.asked.get(&at.name).is_none_or(|t| now.since(*t) >= ASK_GAP) {
            self.budgets.acquire(now, &at.name, at.incarnation);
            self.asked.insert(at.name.clone(), now);
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
            self.look(now, name);
        }
        out
    }
}

impl Lender {
    fn act(&self, change: impl FnOnce(&mut State, Time) -> Vec<(Arc<str>, Message)>) {
        let mut state = self.state.lock();
        let out = change(&mut state, self.ctx.now());
        self.carry(&mut state, out);
        let gained = std::mem::take(&mut state.gained);
        drop(state);
        if let Some(listener) = self.listener.get() {
            gained.into_iter().for_each(listener);
        }
    }

    /// Sends messages, those to this host itself without the network.
    fn carry(&self, state: &mut State, out: Vec<(Arc<str>, Message)>) {
        let mut out = VecDeque::from(out);
        let mut grants: IndexMap<Arc<str>, Vec<Grant>> = IndexMap::new();
        while let Some((to, message)) = out.pop_front() {
            match message {
                message if to == self.host => {
                    out.extend(state.receive(self.ctx.now(), &self.host, message));
                }
                Message::Grants(some) => grants.entry(to).or_default().extend(some),
                message => self.peers.send(&to, Topic::Allowance, encode(&message)),
            }
        }
        for (to, grants) in grants {
            self.peers.send(&to, Topic::Allowance, encode(&Message::Grants(grants)));
        }
    }

    fn release(&self, endpoint: &str, begun: Time) {
        self.act(|s, now| {
            s.budgets.release(now, endpoint, begun);
            // A slot that is free here was not asked back.
            if s.look(now, endpoint) { Vec::new() } else { s.budgets.due_requests(now) }
        });
    }
}

fn bearing(t: &Target) -> Capacity {
    Capacity { incarnation: t.incarnation, allowed: t.allowed, cold: t.bearable.max(1) }
}

/// The lender as [`Allowance`]: permits outlive the borrow of it.
struct Permits(Arc<Lender>);

impl Allowance for Permits {
    fn acquire(&self, to: &Target) -> Option<Permit> {
        // Read first: a stall from here on makes the permit older, never younger.
        let taken = Instant::now();
        let mut state = self.0.state.lock();
        let now = self.0.ctx.now();
        let free = state.budgets.free(now, &to.name, to.incarnation) > 0;
        if !free || !state.budgets.acquire(now, &to.name, to.incarnation) {
            return None;
        }
        let (lender, name) = (Arc::clone(&self.0), to.name.clone());
        Some(Permit::acquired_at(taken, move || lender.release(&name, now)))
    }

    fn is_starved(&self, at: &Target) -> bool {
        let now = self.0.ctx.now();
        self.0.state.lock().budgets.is_starved(now, &at.name)
    }

    fn request_slots(&self, at: &[Target]) {
        self.0.act(|s, now| {
            at.iter().for_each(|t| s.want(now, t));
            s.budgets.due_requests(now)
        });
    }

    fn set_listener(&self, listener: SlotListener) {
        if self.0.listener.set(listener).is_err() {
            log::warn!("a second listener for room at endpoints was dropped");
        }
    }

    fn observe(&self, to: &Target, seen: Observation) {
        self.0.act(|s, now| {
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

impl Handler for Lender {
    fn receive(&self, from: &str, body: &[u8]) {
        match decode::<Message>(body) {
            Ok(message) => self.act(|s, now| s.receive(now, &from.into(), message)),
            Err(e) => log::warn!("budget message of host `{from}` dropped: {e}"),
        }
    }
}

/// The service: publishes [`Allowance`].
pub struct AllowanceService {
    boot: u64,
}

impl AllowanceService {
    /// A service of the process named by `boot`, a number that rises with each start.
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
            let lender = Lender { ctx: ctx.clone(), peers, host, state, listener };
            let lender = Arc::new(lender);
            lender.peers.set_handler(Topic::Allowance, lender.clone());
            ctx.publish::<dyn Allowance>(<dyn Allowance>::NAME, Arc::new(Permits(lender.clone())));
            tokio::spawn(keep(lender, members, endpoints));
            Ok(())
        })
    }

    fn stop(&self, _bound: Span) -> BoxFuture<'_, ()> {
        Box::pin(async {})
    }
}

/// Follows the hosts and the endpoints, and lets time pass.
async fn keep(lender: Arc<Lender>, members: Arc<dyn Members>, endpoints: Arc<dyn Endpoints>) {
    let mut members = members.watch();
    members.mark_changed();
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut stopped = std::pin::pin!(lender.ctx.stopped());
    loop {
        tokio::select! {
            () = &mut stopped => return,
            _ = tick.tick() => {}
        }
        if members.has_changed().unwrap_or(false) {
            let now = members.borrow_and_update().clone();
            lender.act(|s, t| {
                s.budgets.set_members(&now);
                s.set_endpoints(t)
            });
        }
        let latest = endpoints.routes();
        lender.act(|s, t| {
            let mut out = Vec::new();
            if !Arc::ptr_eq(&latest, &s.routes) {
                out = s.set_routes(t, latest);
            }
            out.extend(s.budgets.tick(t));
            out
        });
    }
}
