//! Decides which endpoints a host connects to before a request needs them.
//!
//! Answers the load right after the start of a tier, or of many endpoints: if connections were opened
//! on demand, all gathers of the first seconds would wait for them.

use crate::core::routes::Target;
use indexmap::IndexMap;
use std::net::SocketAddr;

/// Maximum number of endpoints to connect to in one round, so that a slow host has time left for
/// requests.
pub const ROUND_MAX: usize = 4;

/// Endpoints that this host has connected to early, with their incarnations. An endpoint that closes
/// an unused connection is not connected to again before a request needs it.
#[derive(Clone, Debug, Default)]
pub struct EarlyConnections {
    opened: IndexMap<SocketAddr, u64>,
}

impl EarlyConnections {
    /// Endpoints to connect to now, out of those that this host sends gathers to.
    pub fn next_round<'a>(&mut self, targets: impl Iterator<Item = &'a Target>) -> Vec<&'a Target> {
        let targets: IndexMap<_, _> = targets.map(|t| (t.address, t)).collect();
        self.opened.retain(|address, _| targets.contains_key(address));
        let is_new = |t: &&&Target| self.opened.get(&t.address) != Some(&t.incarnation);
        let round: Vec<_> = targets.values().filter(is_new).take(ROUND_MAX).copied().collect();
        self.opened.extend(round.iter().map(|t| (t.address, t.incarnation)));
        round
    }
}
