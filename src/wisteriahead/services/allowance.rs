//! Drives the budgets: grants permits from the slots lent to this host, and lends the
//! slots of the endpoints that this host owns.

use super::{Allowance, Endpoints, Handler, Members, Observation, Peers, Permit};
use crate::core::budget::lender::Bearing;
use crate::core::budget::{Budgets, Message};
use crate::core::endpoint::EndpointKey;
use crate::core::message::{Topic, decode, encode};
use crate::core::routes::{Routes, Target};
use crate::kernel::{Context, Service};
use crate::prelude::*;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use std::time::{Duration, Instant};

/// Time between two ticks of the state machine.
const TICK: Duration = Duration::from_millis(5);

/// Permits of this host, and slots that it lends.
pub struct Lender {
    ctx: Context,
    peers: Arc<dyn Peers>,
    host: Arc<str>,
    state: Mutex<State>,
}

struct State {
    budgets: Budgets,
    names: IndexMap<EndpointKey, Arc<str>>,
}

impl Lender {
    fn act(&self, change: impl FnOnce(&mut Budgets, Time) -> Vec<(Arc<str>, Message)>) {
        let mut state = self.state.lock();
        let out = change(&mut state.budgets, self.ctx.now());
        self.carry(&mut state, out);
    }

    /// Sends messages, those to this host itself without the network.
    fn carry(&self, state: &mut State, out: Vec<(Arc<str>, Message)>) {
        let mut out = std::collections::VecDeque::from(out);
        while let Some((to, message)) = out.pop_front() {
            if to == self.host {
                out.extend(state.budgets.receive(self.ctx.now(), &self.host, message));
            } else {
                self.peers.send(&to, Topic::Allowance, encode(&message));
            }
        }
    }

    fn release(&self, endpoint: &str, begun: Time) {
        self.act(|b, now| {
            b.release(now, endpoint, begun);
            b.due(now)
        });
    }

    fn set_endpoints(&self, routes: &Routes) {
        let mut state = self.state.lock();
        let all = routes.targets.values().map(|t| (t.name.clone(), t.zone.clone(), bearing(t)));
        let out = state.budgets.set_endpoints(self.ctx.now(), all);
        self.carry(&mut state, out);
    }
}

fn bearing(t: &Target) -> Bearing {
    Bearing { incarnation: t.incarnation, allowed: t.allowed, cold: t.bearable.max(1) }
}

/// The lender as [`Allowance`]: permits outlive the borrow of it.
struct Permits(Arc<Lender>);

impl Allowance for Permits {
    fn acquire(&self, to: &Target) -> Option<Permit> {
        // Read first: a stall from here on makes the permit older, never younger.
        let taken = Instant::now();
        let (mut granted, mut begun) = (false, Time(0));
        self.0.act(|b, now| {
            (granted, begun) = (b.acquire(now, &to.name, to.incarnation), now);
            // Slots of this host's own endpoints may come with the answer to the ask.
            if granted { Vec::new() } else { b.due(now) }
        });
        if !granted {
            self.0.act(|b, now| {
                (granted, begun) = (b.acquire(now, &to.name, to.incarnation), now);
                Vec::new()
            });
        }
        if !granted {
            return None;
        }
        let (lender, name) = (Arc::clone(&self.0), to.name.clone());
        self.0.state.lock().names.insert(to.key, name.clone());
        Some(Permit::since(taken, move || lender.release(&name, begun)))
    }

    fn observe(&self, to: &Target, seen: Observation) {
        self.0.act(|b, now| {
            match seen {
                Observation::Answered(took) => b.answered(now, &to.name, took),
                Observation::Refused(Reason::Busy) => b.refused(&to.name),
                Observation::Failed | Observation::Restarted(_) => b.chilled(&to.name),
                Observation::Refused(_) => {}
            }
            b.due(now)
        });
    }

    fn in_flight(&self, to: EndpointKey) -> u32 {
        let state = self.0.state.lock();
        state.names.get(&to).map_or(0, |name| state.budgets.running(name))
    }
}

impl Handler for Lender {
    fn receive(&self, from: &str, body: &[u8]) {
        match decode::<Message>(body) {
            Ok(message) => self.act(|b, now| b.receive(now, &from.into(), message)),
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
            let state = State { budgets, names: IndexMap::new() };
            let state = Mutex::new(state);
            let lender = Arc::new(Lender { ctx: ctx.clone(), peers, host, state });
            lender.peers.handle(Topic::Allowance, lender.clone());
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
    let mut routes = Arc::<Routes>::default();
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
            lender.state.lock().budgets.set_members(&now);
            lender.set_endpoints(&routes);
        }
        let latest = endpoints.routes();
        if !Arc::ptr_eq(&latest, &routes) {
            routes = latest;
            lender.set_endpoints(&routes);
        }
        lender.act(Budgets::tick);
    }
}
