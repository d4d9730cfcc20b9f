//! Which inbound connections may begin their handshake.
//!
//! Answers strangers that connect without a certificate, or open connections and say nothing: each
//! address gets a few handshakes at a time, an address that was refused gets one at a time for a while,
//! and each refused address is logged once a minute.

use super::super::time::{Span, Time};
use indexmap::IndexMap;
use std::net::IpAddr;

/// Maximum number of handshakes in progress from one address.
pub const HANDSHAKES_MAX: usize = 32;
/// Time between two handshakes of an address after one was refused.
pub const REFUSED_PAUSE: Span = Span::millis(200);
/// Time between two log lines about one address.
pub const LOG_PAUSE: Span = Span::secs(60);
/// Maximum number of refused addresses remembered.
const REFUSED_MAX: usize = 1024;

#[derive(Clone, Copy, Debug)]
struct Refused {
    last: Time,
    logged: Time,
}

/// Handshakes in progress and addresses that were refused.
#[derive(Debug, Default)]
pub struct Admission {
    open: IndexMap<IpAddr, usize>,
    refused: IndexMap<IpAddr, Refused>,
}

impl Admission {
    /// Whether a connection may begin its handshake; [`Self::record_end`] must follow if so.
    pub fn try_begin(&mut self, now: Time, from: IpAddr) -> bool {
        let open = self.open.get(&from).copied().unwrap_or(0);
        let paused = self.refused.get(&from).is_some_and(|r| now.since(r.last) < REFUSED_PAUSE);
        let max = if self.refused.contains_key(&from) { 1 } else { HANDSHAKES_MAX };
        if paused || open >= max {
            return false;
        }
        *self.open.entry(from).or_default() += 1;
        true
    }

    /// Records the end of a handshake. Returns whether a refusal is to be logged.
    pub fn record_end(&mut self, now: Time, from: IpAddr, accepted: bool) -> bool {
        if let Some(open) = self.open.get_mut(&from) {
            *open -= 1;
            if *open == 0 {
                self.open.swap_remove(&from);
            }
        }
        if accepted {
            self.refused.swap_remove(&from);
            return false;
        }
        if let Some(refused) = self.refused.get_mut(&from) {
            refused.last = now;
            let log = now.since(refused.logged) >= LOG_PAUSE;
            if log {
                refused.logged = now;
            }
            return log;
        }
        if self.refused.len() >= REFUSED_MAX {
            self.refused.shift_remove_index(0);
        }
        self.refused.insert(from, Refused { last: now, logged: now });
        true
    }
}
