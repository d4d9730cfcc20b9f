//! Drives the [`Admission`] state machine.
//!
//! A request waits until it is admitted. Its guard removes it from the state machine when dropped.

use crate::core::admission::{Action, Admission, AdmissionRequest, Event, Rejection};
use crate::core::wait_queue::Urgency;
use crate::kernel::Context;
use crate::prelude::*;
use parking_lot::Mutex;
use tokio::sync::oneshot;

/// Delay before a request that was woken but not decided on wakes admission control again.
const REWAKE_DELAY: Span = Span::millis(1);

type Decision = Result<(), Rejection>;

struct State {
    admission: Admission,
    waiting: IndexMap<Urgency, oneshot::Sender<Decision>>,
}

/// Admission control of one host.
pub struct AdmissionDriver {
    ctx: Context,
    state: Mutex<State>,
}

impl AdmissionDriver {
    /// Admission control on the clock of `ctx`; at most `caller_max` requests run or wait for one
    /// caller.
    pub fn new(ctx: Context, caller_max: usize) -> Arc<Self> {
        let admission = Admission::with_caller_max(caller_max);
        Arc::new(Self { ctx, state: Mutex::new(State { admission, waiting: IndexMap::new() }) })
    }

    /// Waits until the request is admitted.
    ///
    /// # Errors
    ///
    /// Returns why the request is rejected; it has not run.
    pub async fn admit(
        self: &Arc<Self>,
        request: AdmissionRequest,
    ) -> Result<AdmissionGuard, Rejection> {
        let urgency = request.urgency;
        let (tx, mut rx) = oneshot::channel();
        let mut guard = AdmissionGuard {
            driver: Arc::clone(self),
            urgency,
            start: self.ctx.now(),
            slot_wait: Span::ZERO,
        };
        self.state.lock().waiting.insert(urgency, tx);
        let mut wake = self.feed(Event::Arrive(request));
        loop {
            let wait = wake.since(self.ctx.now()).to_std();
            tokio::select! {
                decision = &mut rx => {
                    guard.start = self.ctx.now();
                    return decision.unwrap_or(Err(Rejection::QueueFull)).map(|()| guard);
                }
                () = tokio::time::sleep(wait) => {
                    self.feed(Event::Wake);
                    wake = self.ctx.now() + REWAKE_DELAY;
                }
            }
        }
    }

    /// Feeds an event to the state machine and notifies the requests that it decides on. Returns
    /// when the next [`Event::Wake`] is due.
    fn feed(&self, event: Event) -> Time {
        let now = self.ctx.now();
        let mut wake = Time(u64::MAX);
        let mut s = self.state.lock();
        for action in s.admission.step(now, event) {
            let (query, decision) = match action {
                Action::Start(query) => (query, Ok(())),
                Action::Refuse(query, rejection) => (query, Err(rejection)),
                Action::Wake(at) => {
                    wake = at;
                    continue;
                }
            };
            // Without a sender, the request's guard is being dropped, which removes the request from
            // the state machine.
            if let Some(tx) = s.waiting.swap_remove(&query) {
                let _ = tx.send(decision);
            }
        }
        wake
    }
}

/// An admitted request or its place in the queue; dropping it releases either.
pub struct AdmissionGuard {
    driver: Arc<AdmissionDriver>,
    urgency: Urgency,
    /// When the request was admitted; until then, when it arrived.
    start: Time,
    /// Time from the start until the request last waited for a slot at an endpoint.
    slot_wait: Span,
}

impl AdmissionGuard {
    /// Priority, deadline and serial number of the request.
    pub fn urgency(&self) -> Urgency {
        self.urgency
    }

    /// Sets when the request last waited for a slot at an endpoint; `None` if it never did.
    pub fn set_last_slot_wait(&mut self, last: Option<Time>) {
        self.slot_wait = last.map_or(Span::ZERO, |t| t.since(self.start));
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        let (query, slot_wait) = (self.urgency, self.slot_wait);
        self.driver.state.lock().waiting.swap_remove(&query);
        self.driver.feed(Event::Abandon(query));
        self.driver.feed(Event::Finish { query, slot_wait });
    }
}
