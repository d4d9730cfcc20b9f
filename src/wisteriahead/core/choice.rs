//! Choice of a replica by what this host itself has seen.
//!
//! Each replica has a cost: its recent latency, in powers of two, times the
//! requests that this host has in flight there. The least cost goes first; between
//! equals one in this host's availability zone, then one by lot. What was seen
//! fades with time, so that a replica that failed is tried again.

use super::endpoint::EndpointKey;
use super::routes::Target;
use super::time::{Span, Time};
use slotmap::SecondaryMap;

/// Weight of the newest time in the mean.
const NEWEST: f64 = 0.2;
/// Time in which what was seen fades to half.
const HALF_LIFE: Span = Span::secs(2);
/// Latency that a failure counts as.
const FAILURE: Span = Span::secs(1);
/// Latency that a refusal for lack of room counts as, beside the times of answers: an endpoint
/// that refuses half of its requests goes after one that refuses none.
const REFUSAL: Span = Span::millis(200);

#[derive(Clone, Copy, Debug)]
struct Seen {
    mean: f64,
    at: Time,
}

impl Seen {
    fn faded(self, now: Time) -> f64 {
        let age = now.since(self.at).0 as f64 / HALF_LIFE.0 as f64;
        self.mean * (-age).exp2()
    }
}

/// Recent latencies by endpoint.
#[derive(Debug, Default)]
pub struct Latencies {
    seen: SecondaryMap<EndpointKey, Seen>,
}

impl Latencies {
    /// Adds the time of an answer.
    pub fn record_answer(&mut self, now: Time, key: EndpointKey, time: Span) {
        let time = time.0 as f64;
        let old = self.seen.get(key).map_or(time, |s| s.mean);
        let mean = old + NEWEST * (time - old);
        self.seen.insert(key, Seen { mean, at: now });
    }

    /// Takes note of a refusal for lack of room.
    pub fn record_refusal(&mut self, now: Time, key: EndpointKey) {
        let old = self.seen.get(key).map_or(0.0, |s| s.faded(now));
        let mean = old + NEWEST * (REFUSAL.0 as f64 - old);
        self.seen.insert(key, Seen { mean, at: now });
    }

    /// Takes note of an attempt without an answer.
    pub fn record_failure(&mut self, now: Time, key: EndpointKey) {
        self.seen.insert(key, Seen { mean: FAILURE.0 as f64, at: now });
    }

    fn cost(&self, now: Time, key: EndpointKey, in_flight: u32) -> u64 {
        let mean = self.seen.get(key).map_or(0.0, |s| s.faded(now));
        let power = mean.max(1.0).log2().round() as u32;
        (1u64 << power.min(40)) * u64::from(in_flight + 1)
    }

    /// The replicas not in `tried`, the best first.
    pub fn order<'a>(
        &self,
        now: Time,
        replicas: &'a [Target],
        tried: &[EndpointKey],
        context: &ChoiceContext<'_>,
    ) -> Vec<&'a Target> {
        let mut free: Vec<_> = replicas.iter().filter(|t| !tried.contains(&t.key)).collect();
        free.sort_by_cached_key(|t| {
            let away = &*t.zone != context.zone;
            let cost = self.cost(now, t.key, (context.in_flight)(t.key));
            (cost << if away { context.zone_penalty } else { 0 }, away, lot(context.seed, t.key))
        });
        free
    }
}

/// What a choice depends on besides latencies.
pub struct ChoiceContext<'a> {
    /// Availability zone of this host.
    pub zone: &'a str,
    /// Requests in flight from this host.
    pub in_flight: &'a dyn Fn(EndpointKey) -> u32,
    /// Powers of two by which an endpoint in another zone must be better.
    pub zone_penalty: u32,
    /// Number that differs from choice to choice.
    pub seed: u64,
}

fn lot(seed: u64, key: EndpointKey) -> u64 {
    use slotmap::Key as _;
    let mut x = seed ^ key.data().as_ffi().wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x ^= x >> 32;
    x = x.wrapping_mul(0xd6e8_feb8_6659_fd93);
    x ^ (x >> 32)
}
