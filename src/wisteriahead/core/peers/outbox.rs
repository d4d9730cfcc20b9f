//! Messages that wait for the connection to one host.
//!
//! Answers a host that reads slower than this one sends, or not at all: bytes are bounded, the oldest
//! messages go first, and what is too old to be useful is never sent.

use super::super::time::{Span, Time};
use std::collections::VecDeque;

/// Maximum number of messages that wait for one connection.
pub const MESSAGES_MAX: usize = 1024;
/// Maximum number of bytes that wait for one connection.
pub const BYTES_MAX: usize = 16 << 20;
/// Time after which a one-way message is no longer sent.
pub const MESSAGE_MAX_AGE: Span = Span::secs(2);

/// What a message is to its receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A one-way message.
    Message,
    /// A call with a number that its answer repeats.
    Call(u64),
}

/// A message that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// What it is.
    pub kind: Kind,
    /// Encoded envelope.
    pub envelope: Vec<u8>,
    expires: Time,
}

/// Messages that wait for one connection, oldest first.
#[derive(Debug, Default)]
pub struct Outbox {
    messages: VecDeque<Waiting>,
    bytes: usize,
    dropped: u64,
}

impl Outbox {
    /// Adds a message that is of use for `max_age`; drops the oldest ones while a limit is exceeded.
    pub fn push(&mut self, now: Time, max_age: Span, kind: Kind, envelope: Vec<u8>) {
        self.bytes += envelope.len();
        self.messages.push_back(Waiting { kind, envelope, expires: now + max_age });
        while self.messages.len() > MESSAGES_MAX || self.bytes > BYTES_MAX {
            self.drop_first();
        }
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
            taken.extend(self.pop());
        }
        taken
    }

    /// Drops what is no longer of use. Calls, which are kept longer, may stand before messages.
    pub fn drop_expired(&mut self, now: Time) {
        let before = self.messages.len();
        self.messages.retain(|m| now < m.expires);
        let expired = before - self.messages.len();
        if expired > 0 {
            self.bytes = self.messages.iter().map(|m| m.envelope.len()).sum();
            self.dropped += expired as u64;
        }
    }

    /// Removes a call whose caller no longer waits.
    pub fn cancel_call(&mut self, number: u64) {
        if let Some(at) = self.messages.iter().position(|m| m.kind == Kind::Call(number)) {
            let removed = self.messages.remove(at);
            self.bytes -= removed.map_or(0, |m| m.envelope.len());
        }
    }

    /// Drops all messages.
    pub fn clear(&mut self) {
        self.dropped += self.messages.len() as u64;
        self.messages.clear();
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

    fn pop(&mut self) -> Option<Waiting> {
        let first = self.messages.pop_front()?;
        self.bytes -= first.envelope.len();
        Some(first)
    }

    fn drop_first(&mut self) {
        if self.pop().is_some() {
            self.dropped += 1;
        }
    }
}
