//! Drives admission: each request waits for its turn, and gives it back when dropped.

use crate::core::admission::{Action, Admission, AdmissionRequest, Event, Rejection};
use crate::core::wait_queue::Urgency;
use crate::kernel::Context;
use crate::prelude::*;
use parking_lot::Mutex;
use tokio::sync::oneshot;

/// Time until a request that was woken too early looks again.
const WAKE_AGAIN: Span = Span::millis(1);

type Answer = Result<(), Rejection>;

struct State {
    admission: Admission,
    waiting: IndexMap<Urgency, oneshot::Sender<Answer>>,
}

/// The turns of one host.
pub struct Turns {
    ctx: Context,
    state: Mutex<State>,
}

impl Turns {
    /// Turns by the clock of `ctx`, with so many requests of one caller at most.
    pub fn new(ctx: Context, caller_max: usize) -> Arc<Self> {
        let admission = Admission::with_caller_max(caller_max);
        Arc::new(Self { ctx, state: Mutex::new(State { admission, waiting: IndexMap::new() }) })
    }

    /// Waits until the request may run.
    ///
    /// # Errors
    ///
    /// Says why it is refused; it has not run.
    pub async fn take(self: &Arc<Self>, ask: AdmissionRequest) -> Result<Turn, Rejection> {
        let query = ask.urgency;
        let (tx, mut rx) = oneshot::channel();
        let mut turn =
            Turn { turns: Arc::clone(self), query, begun: self.ctx.now(), crowded: Span::ZERO };
        self.state.lock().waiting.insert(query, tx);
        let mut wake = self.feed(Event::Arrive(ask));
        loop {
            let wait = wake.since(self.ctx.now()).to_std();
            tokio::select! {
                answer = &mut rx => {
                    turn.begun = self.ctx.now();
                    return answer.unwrap_or(Err(Rejection::QueueFull)).map(|()| turn);
                }
                () = tokio::time::sleep(wait) => {
                    self.feed(Event::Wake);
                    wake = self.ctx.now() + WAKE_AGAIN;
                }
            }
        }
    }

    /// Feeds an event and tells the requests what became of them; returns when to wake.
    fn feed(&self, event: Event) -> Time {
        let now = self.ctx.now();
        let mut wake = Time(u64::MAX);
        let mut s = self.state.lock();
        for action in s.admission.step(now, event) {
            let (query, answer) = match action {
                Action::Start(query) => (query, Ok(())),
                Action::Refuse(query, denial) => (query, Err(denial)),
                Action::Wake(at) => {
                    wake = at;
                    continue;
                }
            };
            // The turn of a request that went away comes back when its guard is dropped.
            if let Some(tx) = s.waiting.swap_remove(&query) {
                let _ = tx.send(answer);
            }
        }
        wake
    }
}

/// A request's turn to run, or its place in the queue; dropping it gives it back.
pub struct Turn {
    turns: Arc<Turns>,
    query: Urgency,
    begun: Time,
    crowded: Span,
}

impl Turn {
    /// The request.
    pub fn query(&self) -> Urgency {
        self.query
    }

    /// Notes when the request last waited for room at an endpoint.
    pub fn crowded(&mut self, until: Option<Time>) {
        self.crowded = until.map_or(Span::ZERO, |t| t.since(self.begun));
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        let (query, crowded) = (self.query, self.crowded);
        self.turns.state.lock().waiting.swap_remove(&query);
        self.turns.feed(Event::Abandon(query));
        self.turns.feed(Event::Finish { query, slot_wait: crowded });
    }
}
