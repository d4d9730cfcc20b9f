//! Choice of a replica by the latencies that this host has observed.
//!
//! Each replica has a cost: its average latency, rounded to a power of two, times one more than
//! the requests that this host has in flight there. The replica with the least cost comes first.
//! Among equal costs, a replica in this host's availability zone comes first, then one in the other
//! zone that this host prefers, then a pseudo-random one. Averages approach the usual latency with time,
//! so that a replica that failed is tried again.

use super::endpoint::EndpointKey;
use super::routes::Target;
use super::time::{Span, Time};
use slotmap::SecondaryMap;

/// Weight of the newest sample in the moving average.
const MEAN_WEIGHT: f64 = 0.2;
/// Half-life of an average without new samples.
const HALF_LIFE: Span = Span::secs(2);
/// Latency that the average is set to after a failure.
const FAILURE_LATENCY: Span = Span::secs(1);
/// Latency sample for a refusal by an endpoint without a free slot. It is averaged with the times
/// of answers, so that an endpoint that refuses half of its requests ranks after one that refuses
/// none.
const REFUSAL_LATENCY: Span = Span::millis(200);

#[derive(Clone, Copy, Debug)]
struct Average {
    mean: f64,
    updated: Time,
}

impl Average {
    /// The average now, which approaches `usual`.
    fn decayed(self, now: Time, usual: f64) -> f64 {
        let age = now.since(self.updated).0 as f64 / HALF_LIFE.0 as f64;
        usual + (self.mean - usual) * (-age).exp2()
    }
}

/// Average latencies by endpoint.
#[derive(Debug, Default)]
pub struct Latencies {
    averages: SecondaryMap<EndpointKey, Average>,
}

impl Latencies {
    /// Records the time of an answer.
    pub fn record_answer(&mut self, now: Time, key: EndpointKey, time: Span) {
        let time = time.0 as f64;
        let old = self.averages.get(key).map_or(time, |a| a.mean);
        let mean = old + MEAN_WEIGHT * (time - old);
        self.averages.insert(key, Average { mean, updated: now });
    }

    /// Records a refusal by an endpoint without a free slot.
    pub fn record_refusal(&mut self, now: Time, key: EndpointKey) {
        let old = self.averages.get(key).map_or(0.0, |a| a.decayed(now, 0.0));
        let mean = old + MEAN_WEIGHT * (REFUSAL_LATENCY.0 as f64 - old);
        self.averages.insert(key, Average { mean, updated: now });
    }

    /// Records an attempt that ended without an answer.
    pub fn record_failure(&mut self, now: Time, key: EndpointKey) {
        self.averages.insert(key, Average { mean: FAILURE_LATENCY.0 as f64, updated: now });
    }

    fn cost(&self, now: Time, key: EndpointKey, context: &ChoiceContext<'_>) -> u64 {
        let (usual, in_flight) = (context.usual.0 as f64, (context.in_flight)(key));
        let mean = self.averages.get(key).map_or(usual, |a| a.decayed(now, usual));
        let power = mean.max(1.0).log2().round() as u32;
        (1u64 << power.min(40)) * u64::from(in_flight + 1)
    }

    /// Rank of a replica; the lowest is the best.
    pub fn rank(&self, now: Time, of: &Target, context: &ChoiceContext<'_>) -> (u64, u64, u64) {
        let is_remote = &*of.zone != context.zone;
        let cost = self.cost(now, of.key, context);
        let (doublings, zone) = if is_remote { (context.zone_cost)(&of.zone) } else { (0, 0) };
        (cost << doublings, zone, tie_break(context.seed, of.key))
    }

    /// The replicas that are not in `tried`, the best one first.
    pub fn order<'a>(
        &self,
        now: Time,
        replicas: &'a [Target],
        tried: &[EndpointKey],
        context: &ChoiceContext<'_>,
    ) -> Vec<&'a Target> {
        let mut untried: Vec<_> = replicas.iter().filter(|t| !tried.contains(&t.key)).collect();
        untried.sort_by_cached_key(|t| self.rank(now, t, context));
        untried
    }
}

/// Inputs of a choice besides the latencies.
pub struct ChoiceContext<'a> {
    /// Availability zone of this host.
    pub zone: &'a str,
    /// Number of requests that this host has in flight at an endpoint.
    pub in_flight: &'a dyn Fn(EndpointKey) -> u32,
    /// Latency that an average without new samples approaches. On a host with few requests it is more
    /// than zero, or all endpoints that were used before would rank after those that were not.
    pub usual: Span,
    /// Number of times that the cost of an endpoint in another zone is doubled, and the zone's rank
    /// above 0; of equal costs the lowest rank is preferred.
    pub zone_cost: &'a dyn Fn(&str) -> (u32, u64),
    /// Seed of the pseudo-random tie-break; differs between choices.
    pub seed: u64,
}

fn tie_break(seed: u64, key: EndpointKey) -> u64 {
    use slotmap::Key as _;
    let mut x = seed ^ key.data().as_ffi().wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x ^= x >> 32;
    x = x.wrapping_mul(0xd6e8_feb8_6659_fd93);
    x ^ (x >> 32)
}
