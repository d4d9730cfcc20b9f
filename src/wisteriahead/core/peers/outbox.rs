//! Messages that wait for the connection to one host.
//!
//! Answers a host that reads slower than this one sends, or not at all: bytes are bounded, the oldest
//! messages go first, and what is too old to be useful is never sent. A cancellation goes last, takes back
//! the request that still waits, and is sent again when its connection ends.

use super::super::time::{Span, Time};
use super::Role;
use std::collections::VecDeque;

/// Maximum number of messages that wait for one connection.
pub const MESSAGES_MAX: usize = 1024;
/// Maximum number of bytes that wait for one connection.
pub const BYTES_MAX: usize = 16 << 20;
/// Time after which a one-way message is no longer sent.
pub const MESSAGE_MAX_AGE: Span = Span::secs(2);
/// Maximum number of cancellations kept to be sent again.
pub const CANCELLATIONS_MAX: usize = 256;

/// What a message is to its receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A one-way message.
    Message,
    /// A one-way message whose receiver learns its age.
    Timed(Role),
    /// A call with a number that its answer repeats.
    Call(u64),
}

impl Kind {
    const fn is_cancellation(self) -> bool {
        matches!(self, Self::Timed(Role::Cancel(_)))
    }
}

/// A message that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// What it is.
    pub kind: Kind,
    /// Encoded envelope.
    pub envelope: Vec<u8>,
    /// When it was added.
    pub sent: Time,
    /// Time after which it is of no use.
    pub useful: Span,
}

impl Waiting {
    fn is_useful(&self, now: Time) -> bool {
        now < self.sent + self.useful
    }
}

/// Messages that wait for one connection, oldest first.
#[derive(Debug, Default)]
pub struct Outbox {
    messages: VecDeque<Waiting>,
    bytes: usize,
    dropped: u64,
    /// Cancellations that were taken and may be lost with their connection.
    taken_cancellations: VecDeque<Waiting>,
}

impl Outbox {
    /// Adds a message that is of use for `useful`; drops the oldest ones while a limit is exceeded,
    /// cancellations last.
    pub fn push(&mut self, now: Time, useful: Span, kind: Kind, envelope: Vec<u8>) {
        self.bytes += envelope.len();
        self.messages.push_back(Waiting { kind, envelope, sent: now, useful });
        self.drop_excess();
    }

    /// Takes the oldest messages that are still of use: at least one if there is any, and no more than
    /// fit `max_bytes` beside it.
    pub fn take(&mut self, now: Time, max_bytes: usize) -> Vec<Waiting> {
        self.drop_expired(now);
        let mut taken = Vec::new();
        let mut bytes = 0;
        while let Some(next) = self.messages.front() {
            bytes += next.envelope.len();
            if !taken.is_empty() && bytes > max_bytes {
                break;
            }
            taken.extend(self.remove(0));
        }
        let cancellations = taken.iter().filter(|m: &&Waiting| m.kind.is_cancellation());
        self.taken_cancellations.extend(cancellations.cloned());
        while self.taken_cancellations.len() > CANCELLATIONS_MAX {
            self.taken_cancellations.pop_front();
        }
        taken
    }

    /// Records the end of the connection: cancellations that were sent over it wait again, since they
    /// may be lost.
    pub fn record_connection_end(&mut self, now: Time) {
        for message in std::mem::take(&mut self.taken_cancellations).into_iter().rev() {
            if message.is_useful(now) {
                self.bytes += message.envelope.len();
                self.messages.push_front(message);
            }
        }
        self.drop_excess();
    }

    /// Drops what is no longer of use. Calls, which are kept longer, may stand before messages.
    pub fn drop_expired(&mut self, now: Time) {
        self.taken_cancellations.retain(|m| m.is_useful(now));
        let before = self.messages.len();
        self.messages.retain(|m| m.is_useful(now));
        let expired = before - self.messages.len();
        if expired > 0 {
            self.bytes = self.messages.iter().map(|m| m.envelope.len()).sum();
            self.dropped += expired as u64;
        }
    }

    /// Removes a call whose caller no longer waits.
    pub fn cancel_call(&mut self, number: u64) {
        self.remove_kind(Kind::Call(number));
    }

    /// Removes a request that still waits; returns whether it did.
    pub fn withdraw(&mut self, number: u64) -> bool {
        self.remove_kind(Kind::Timed(Role::Work(number)))
    }

    /// Drops all messages.
    pub fn clear(&mut self) {
        self.dropped += self.messages.len() as u64;
        self.messages.clear();
        self.taken_cancellations.clear();
        self.bytes = 0;
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Bytes that wait.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Counts messages that were taken and could not be sent.
    pub fn count_lost(&mut self, messages: usize) {
        self.dropped += messages as u64;
    }

    /// Number of messages dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn remove(&mut self, at: usize) -> Option<Waiting> {
        let removed = self.messages.remove(at)?;
        self.bytes -= removed.envelope.len();
        Some(removed)
    }

    fn remove_kind(&mut self, kind: Kind) -> bool {
        let at = self.messages.iter().position(|m| m.kind == kind);
        at.is_some_and(|at| self.remove(at).is_some())
    }

    fn drop_excess(&mut self) {
        while self.messages.len() > MESSAGES_MAX || self.bytes > BYTES_MAX {
            let oldest = self.messages.iter().position(|m| !m.kind.is_cancellation());
            if self.remove(oldest.unwrap_or_default()).is_some() {
                self.dropped += 1;
            }
        }
    }
}
