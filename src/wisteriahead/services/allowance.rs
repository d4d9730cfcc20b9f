//! Limits the requests that this host has in flight at each endpoint.
//!
//! Each host alone keeps to the endpoint's own limit; the sum over all hosts is
//! not bounded here.

use super::{Allowance, Observation, Permit};
use crate::core::endpoint::EndpointKey;
use crate::core::routes::Target;
use crate::kernel::{Context, Service};
use crate::prelude::*;
use futures::future::BoxFuture;
use parking_lot::Mutex;

type Counts = Arc<Mutex<IndexMap<EndpointKey, u32>>>;

/// The limits of one host.
#[derive(Default)]
pub struct Local {
    counts: Counts,
}

impl Allowance for Local {
    fn acquire(&self, to: &Target) -> Option<Permit> {
        let mut counts = self.counts.lock();
        let n = counts.entry(to.key).or_insert(0);
        if *n >= to.allowed {
            return None;
        }
        *n += 1;
        drop(counts);
        let (key, counts) = (to.key, Arc::clone(&self.counts));
        Some(Permit::new(move || release(&counts, key)))
    }

    fn observe(&self, _to: &Target, _seen: Observation) {}

    fn in_flight(&self, to: EndpointKey) -> u32 {
        self.counts.lock().get(&to).copied().unwrap_or(0)
    }
}

fn release(counts: &Counts, key: EndpointKey) {
    let mut counts = counts.lock();
    if let Some(n) = counts.get_mut(&key) {
        *n -= 1;
        if *n == 0 {
            counts.swap_remove(&key);
        }
    }
}

/// Publishes the allowance.
pub struct AllowanceService;

impl Service for AllowanceService {
    fn name(&self) -> &'static str {
        "allowance"
    }

    fn start<'a>(&'a self, ctx: &'a Context) -> BoxFuture<'a, Result<()>> {
        Box::pin(async move {
            ctx.publish::<dyn Allowance>(<dyn Allowance>::NAME, Arc::new(Local::default()));
            Ok(())
        })
    }

    fn stop(&self, _bound: Span) -> BoxFuture<'_, ()> {
        Box::pin(async {})
    }
}
