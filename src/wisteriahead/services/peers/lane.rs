//! One of the two connections to a host: what waits for it, and the calls that wait for answers.

use super::wire::{Answer, write_call, write_message, write_timed};
use crate::core::peers::clock::Reading;
use crate::core::peers::outbox::{Kind, Outbox, Waiting};
use crate::prelude::*;
use anyhow::anyhow;
use bytes::BytesMut;
use parking_lot::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use tokio::sync::{Notify, oneshot};

/// Bytes of messages written at once.
const WRITE_BYTES: usize = 64 << 10;

/// A call that waits for its answer.
struct PendingCall {
    /// Connection that it was written to, if any.
    connection: Option<u64>,
    answer: oneshot::Sender<Result<Answer>>,
}

/// What waits for a connection to a host.
#[derive(Default)]
pub struct OutboundLane {
    outbox: Mutex<Outbox>,
    calls: Mutex<IndexMap<u64, PendingCall>>,
    next_call: AtomicU64,
    changed: Notify,
    /// Whether a connection is wanted though nothing waits.
    wanted: AtomicBool,
    /// Whether a connection is open, and whether something is being written to it.
    open: AtomicBool,
    writing: AtomicBool,
    /// Question for this host's clock that waits for an answer.
    question: Mutex<Option<Reading>>,
}

impl OutboundLane {
    /// Adds a one-way message that is of use for `useful`.
    pub fn send(&self, now: Time, useful: Span, kind: Kind, envelope: Vec<u8>) {
        self.outbox.lock().push(now, useful, kind, envelope);
        self.changed.notify_one();
    }

    /// Removes a request that still waits; returns whether it did.
    pub fn withdraw(&self, number: u64) -> bool {
        self.outbox.lock().withdraw(number)
    }

    /// Takes the question for this host's clock that waits for an answer.
    pub fn take_question(&self) -> Option<Reading> {
        self.question.lock().take()
    }

    /// Has a question for this host's clock answered.
    pub fn ask_clock(&self, question: Reading) {
        *self.question.lock() = Some(question);
        self.changed.notify_one();
    }

    /// Adds a call; dropping the result cancels it.
    pub fn call(self: Arc<Self>, now: Time, max_age: Span, envelope: Vec<u8>) -> Call {
        let number = self.next_call.fetch_add(1, Ordering::Relaxed);
        let (answer, result) = oneshot::channel();
        self.calls.lock().insert(number, PendingCall { connection: None, answer });
        self.outbox.lock().push(now, max_age, Kind::Call(number), envelope);
        self.changed.notify_one();
        Call { lane: self, number, result }
    }

    /// Waits until something was added since the last call.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Lets another task know that something waits.
    pub fn notify(&self) {
        self.changed.notify_one();
    }

    /// Has a connection opened unless there is one, and kept for the idle time.
    pub fn want_connection(&self) {
        self.wanted.store(true, Ordering::Relaxed);
        if !self.open.load(Ordering::Relaxed) {
            self.changed.notify_one();
        }
    }

    /// Whether a connection was wanted since the last call.
    pub fn take_wanted(&self) -> bool {
        self.wanted.swap(false, Ordering::Relaxed)
    }

    /// Whether anything of use waits.
    pub fn has_waiting(&self, now: Time) -> bool {
        let mut outbox = self.outbox.lock();
        outbox.drop_expired(now);
        !outbox.is_empty()
    }

    /// Whether something waits for a connection that is open, or is being written to it.
    pub fn is_writing(&self, now: Time) -> bool {
        self.writing.load(Ordering::Relaxed)
            || self.open.load(Ordering::Relaxed) && self.has_waiting(now)
    }

    /// Records that a connection is open; the host that accepted it may ask for this host's clock.
    pub fn open(&self, question: Option<Reading>) {
        *self.question.lock() = question;
        self.open.store(true, Ordering::Relaxed);
        self.writing.store(false, Ordering::Relaxed);
    }

    /// Records that the connection has ended.
    pub fn close(&self, now: Time) {
        self.open.store(false, Ordering::Relaxed);
        self.writing.store(false, Ordering::Relaxed);
        self.outbox.lock().record_connection_end(now);
    }

    /// Moves the next messages into `out` as frames; returns their number, zero if none waits. `timed` tells
    /// whether the host reads timed messages.
    pub fn write_next(&self, now: Time, connection: u64, timed: bool, out: &mut BytesMut) -> usize {
        let taken = self.outbox.lock().take(now, WRITE_BYTES);
        for Waiting { kind, envelope, sent, useful } in &taken {
            match *kind {
                Kind::Timed(_) if timed => write_timed(out, (*sent).into(), *useful, envelope),
                Kind::Message | Kind::Timed(_) => write_message(out, envelope),
                Kind::Call(number) => {
                    if let Some(call) = self.calls.lock().get_mut(&number) {
                        call.connection = Some(connection);
                        write_call(out, number, envelope);
                    }
                }
            }
        }
        self.writing.store(!taken.is_empty(), Ordering::Relaxed);
        taken.len()
    }

    /// Passes an answer to the call that waits for it.
    pub fn answer(&self, number: u64, answer: Answer) {
        if let Some(call) = self.calls.lock().swap_remove(&number) {
            // The caller may have given up in this moment.
            let _ = call.answer.send(Ok(answer));
        }
    }

    /// Whether a call that was written to a connection waits for its answer.
    pub fn awaits_answer(&self, connection: u64) -> bool {
        self.calls.lock().values().any(|c| c.connection == Some(connection))
    }

    /// Fails the calls of a connection that has ended, and counts messages that it took along.
    pub fn fail_calls(&self, connection: u64, cause: &anyhow::Error, lost: usize) {
        self.outbox.lock().count_lost(lost);
        let mut calls = self.calls.lock();
        let ended: Vec<u64> = calls
            .iter()
            .filter(|(_, c)| c.connection == Some(connection))
            .map(|(n, _)| *n)
            .collect();
        for number in ended {
            if let Some(call) = calls.swap_remove(&number) {
                let _ = call.answer.send(Err(anyhow!("the connection ended: {cause:#}")));
            }
        }
    }

    /// Drops all that waits.
    pub fn clear(&self) {
        self.outbox.lock().clear();
    }

    /// Number of messages dropped so far.
    pub fn dropped(&self) -> u64 {
        self.outbox.lock().dropped()
    }
}

/// A call that waits for its answer.
pub struct Call {
    lane: Arc<OutboundLane>,
    number: u64,
    result: oneshot::Receiver<Result<Answer>>,
}

impl Call {
    /// Waits for the answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection ended after the call was written to it.
    pub async fn answer(mut self) -> Result<Answer> {
        (&mut self.result).await.context("the call was dropped")?
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        if self.lane.calls.lock().swap_remove(&self.number).is_some() {
            self.lane.outbox.lock().cancel_call(self.number);
        }
    }
}
