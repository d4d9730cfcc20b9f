//! What this host has learnt from its attempts: latencies by service and endpoint,
//! and the budget of extra attempts of each service.

use crate::core::choice::{ChoiceContext, Latencies};
use crate::core::hedge::{self, AttemptBudget};
use crate::core::latency::Histogram;
use crate::core::routes::Target;
use crate::prelude::*;
use crate::services::{Allowance, Permit};
use parking_lot::Mutex;

/// Lead before anything is learnt.
const LEAD_DEFAULT: Span = Span::millis(50);

#[derive(Default)]
struct Service {
    times: Histogram,
    extras: AttemptBudget,
}

#[derive(Default)]
struct State {
    services: IndexMap<Arc<str>, Service>,
    latencies: Latencies,
    serial: u64,
}

impl State {
    fn service(&mut self, name: &Arc<str>) -> &mut Service {
        if !self.services.contains_key(name) {
            self.services.insert(Arc::clone(name), Service::default());
        }
        &mut self.services[name]
    }
}

/// What one host has learnt.
pub struct Learned {
    zone: Arc<str>,
    state: Mutex<State>,
}

impl Learned {
    /// A host in `zone` that has seen nothing yet.
    pub fn new(zone: &str) -> Self {
        Self { zone: zone.into(), state: Mutex::default() }
    }

    /// Chooses a replica that is not in `tried` and has room.
    ///
    /// # Errors
    ///
    /// Gives the replicas without room, the best first, after all others those where asking has
    /// brought nothing for a while.
    pub fn acquire(
        &self,
        now: Time,
        replicas: &[Target],
        tried: &[EndpointKey],
        allowance: &dyn Allowance,
    ) -> Result<(Target, Permit), Vec<Target>> {
        let mut s = self.state.lock();
        s.serial += 1;
        let in_flight = |key| allowance.in_flight(key);
        let context = ChoiceContext {
            zone: &self.zone,
            in_flight: &in_flight,
            seed: s.serial,
            zone_penalty: 0,
        };
        let order = s.latencies.order(now, replicas, tried, &context);
        let found = order.iter().find_map(|t| Some(((*t).clone(), allowance.acquire(t)?)));
        // No slot is no refusal: slots are lent on demand, so the first try often finds none.
        if let Some((to, _)) = found.as_ref().filter(|_| tried.is_empty()) {
            s.service(&to.service).extras.earn(1);
        }
        found.ok_or_else(|| {
            let mut full: Vec<_> = order.into_iter().cloned().collect();
            full.sort_by_cached_key(|t| allowance.is_starved(t));
            full
        })
    }

    /// Takes one extra attempt from the budget of the replicas' service.
    pub fn extra(&self, replicas: &[Target]) -> bool {
        replicas.first().is_some_and(|t| self.with(&t.service, |s| s.extras.spend()))
    }

    /// Time after which an attempt at the replicas' service is hedged.
    pub fn hedge_delay(&self, replicas: &[Target]) -> Option<Span> {
        self.with(&replicas.first()?.service, |s| hedge::delay(&s.times))
    }

    /// Time that a request runs at one endpoint of the service before it goes to the others.
    pub fn lead(&self, replicas: &[Target]) -> Span {
        let first = replicas.first();
        let learnt = first.and_then(|t| self.with(&t.service, |s| hedge::canary_wait(&s.times)));
        learnt.unwrap_or(LEAD_DEFAULT)
    }

    /// Takes note of an answer.
    pub fn answered(&self, now: Time, from: &Target, time: Span) {
        self.with(&from.service, |s| s.times.record(time));
        self.state.lock().latencies.record_answer(now, from.key, time);
    }

    /// Takes note of a cancelled attempt: its time is at least `time`.
    pub fn cancelled(&self, now: Time, from: &Target, time: Span) {
        self.answered(now, from, time);
    }

    /// Takes note of an attempt that ended without an answer.
    pub fn failed(&self, now: Time, from: &Target, refusal: &Refusal) {
        match refusal.reason {
            Reason::Busy => self.with(&from.service, |s| s.extras.record_refusal()),
            Reason::Connection | Reason::Deadline | Reason::Mismatch => {
                self.state.lock().latencies.record_failure(now, from.key);
            }
            _ => {}
        }
    }

    fn with<T>(&self, service: &Arc<str>, f: impl FnOnce(&mut Service) -> T) -> T {
        f(self.state.lock().service(service))
    }
}
