//! Statistics of this host's attempts: latencies by service and endpoint, and each service's
//! budget of extra attempts.

use crate::core::choice::{ChoiceContext, Latencies};
use crate::core::hedge::{self, AttemptBudget};
use crate::core::latency::Histogram;
use crate::core::routes::Target;
use crate::prelude::*;
use crate::services::{Allowance, Permit};
use parking_lot::Mutex;

/// Canary wait while there are too few samples of a service.
const CANARY_WAIT_DEFAULT: Span = Span::millis(50);

#[derive(Default)]
struct ServiceStats {
    latencies: Histogram,
    budget: AttemptBudget,
}

#[derive(Default)]
struct State {
    services: IndexMap<Arc<str>, ServiceStats>,
    latencies: Latencies,
    serial: u64,
}

impl State {
    fn service(&mut self, name: &Arc<str>) -> &mut ServiceStats {
        if !self.services.contains_key(name) {
            self.services.insert(Arc::clone(name), ServiceStats::default());
        }
        &mut self.services[name]
    }
}

/// Statistics of one host's attempts, used to choose replicas and to time hedges.
pub struct AttemptStats {
    zone: Arc<str>,
    state: Mutex<State>,
}

impl AttemptStats {
    /// Empty statistics of a host in `zone`.
    pub fn new(zone: &str) -> Self {
        Self { zone: zone.into(), state: Mutex::default() }
    }

    /// Chooses a replica that is not in `tried` and takes a permit for it.
    ///
    /// # Errors
    ///
    /// Returns the remaining replicas if none has a free slot: best first, but those that have
    /// granted no requested slot for a while come last.
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
            usual: Span::ZERO,
            zone_cost: &|_| (0, 1),
        };
        let order = s.latencies.order(now, replicas, tried, &context);
        let found = order.iter().find_map(|t| Some(((*t).clone(), allowance.acquire(t)?)));
        // The budget earns only for a first attempt that got a permit. To find no free slot does
        // not count as a refusal: slots are lent on demand, so the first try often finds none.
        if let Some((to, _)) = found.as_ref().filter(|_| tried.is_empty()) {
            s.service(&to.service).budget.earn(1);
        }
        found.ok_or_else(|| {
            let mut full: Vec<_> = order.into_iter().cloned().collect();
            full.sort_by_cached_key(|t| allowance.is_starved(t));
            full
        })
    }

    /// Takes one extra attempt from the budget of the replicas' service; false if it is used up.
    pub fn take_extra(&self, replicas: &[Target]) -> bool {
        replicas.first().is_some_and(|t| self.with_service(&t.service, |s| s.budget.spend()))
    }

    /// Delay after which an attempt at the replicas' service is hedged; `None` for no hedge.
    pub fn hedge_delay(&self, replicas: &[Target]) -> Option<Span> {
        self.with_service(&replicas.first()?.service, |s| hedge::delay(&s.latencies))
    }

    /// Time for which a query runs on the canary shard only, before it goes to the others.
    pub fn canary_wait(&self, replicas: &[Target]) -> Span {
        let first = replicas.first();
        let wait =
            first.and_then(|t| self.with_service(&t.service, |s| hedge::canary_wait(&s.latencies)));
        wait.unwrap_or(CANARY_WAIT_DEFAULT)
    }

    /// Records an answered attempt and its latency.
    pub fn record_answer(&self, now: Time, from: &Target, time: Span) {
        self.with_service(&from.service, |s| s.latencies.record(time));
        self.state.lock().latencies.record_answer(now, from.key, time);
    }

    /// Records a cancelled attempt with the time until its cancellation, a lower bound of its
    /// latency.
    pub fn record_cancel(&self, now: Time, from: &Target, time: Span) {
        self.record_answer(now, from, time);
    }

    /// Records an attempt that failed or was refused.
    pub fn record_failure(&self, now: Time, from: &Target, refusal: &Refusal) {
        match refusal.reason {
            Reason::Busy => self.with_service(&from.service, |s| s.budget.record_refusal()),
            Reason::Connection | Reason::Deadline | Reason::Mismatch => {
                self.state.lock().latencies.record_failure(now, from.key);
            }
            _ => {}
        }
    }

    fn with_service<T>(&self, service: &Arc<str>, f: impl FnOnce(&mut ServiceStats) -> T) -> T {
        f(self.state.lock().service(service))
    }
}
