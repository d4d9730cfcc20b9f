//! Budget of extra requests to one service: hedges, retries and attempts that were refused.
//!
//! An arrival is an attempt that may reach an endpoint, even if the endpoint refuses it. All
//! arrivals of a request after the first are extra arrivals.
//!
//! In any window, all hosts together may cause `ratio` extra arrivals per request, plus `slack`.
//! Each host applies the ratio to its own requests and takes an equal share of the slack. The
//! slack is divided by one more than the number of hosts, in case one has joined unnoticed.

use crate::core::time::{Span, Time};
use std::collections::VecDeque;

/// Buckets in a window; a bucket's counts expire together.
const BUCKETS: u64 = 20;
/// Fraction of the ratio and slack that is used. The rest covers counts at the boundary of two
/// buckets, arrivals in a later window than they were sent in, and arrivals at another service
/// that has taken over an endpoint's address. These can add a fifth to what the hosts count.
const USABLE_FRACTION: f64 = 0.75;

/// Bounds on extra arrivals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Extra arrivals per request.
    pub ratio: f64,
    /// Extra arrivals beyond the ratio, summed over all hosts.
    pub slack: f64,
    /// Length of the window.
    pub window: Span,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    number: u64,
    requests: u32,
    extras: u32,
}

/// Requests and extra arrivals that this host sent to one service in the last window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    buckets: VecDeque<Bucket>,
    requests: u32,
    extras: u32,
}

impl RetryBudget {
    /// Counts a request for the service.
    pub fn record_request(&mut self, now: Time, bounds: &Bounds) {
        self.bucket(now, bounds).requests += 1;
        self.requests += 1;
    }

    /// Spends one extra arrival, if this host's share of the bounds among `hosts` allows it.
    pub fn try_spend(&mut self, now: Time, bounds: &Bounds, hosts: usize) -> bool {
        self.bucket(now, bounds);
        let slack = bounds.slack / (hosts + 1) as f64;
        let limit = USABLE_FRACTION * (bounds.ratio * f64::from(self.requests) + slack);
        let granted = f64::from(self.extras + 1) <= limit;
        if granted {
            self.bucket(now, bounds).extras += 1;
            self.extras += 1;
        }
        granted
    }

    /// Returns the current bucket, after it drops those that have left the window.
    fn bucket(&mut self, now: Time, bounds: &Bounds) -> &mut Bucket {
        let number = now.0 / (bounds.window.0 / BUCKETS).max(1);
        while let Some(old) = self.buckets.front().filter(|b| b.number + BUCKETS < number) {
            self.requests -= old.requests;
            self.extras -= old.extras;
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|b| b.number < number) {
            self.buckets.push_back(Bucket { number, requests: 0, extras: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
