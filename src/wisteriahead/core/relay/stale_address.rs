//! Endpoints whose announced address now belongs to another endpoint.

use crate::core::endpoint::EndpointKey;
use crate::core::routes::Target;
use slotmap::SecondaryMap;
use std::net::SocketAddr;

/// Endpoints that are not at their announced address, by the incarnation and address found wrong.
#[derive(Debug, Default)]
pub struct StaleAddresses {
    found: SecondaryMap<EndpointKey, (u64, SocketAddr)>,
}

impl StaleAddresses {
    /// Records that another endpoint answered at a target's address.
    pub fn insert(&mut self, target: &Target) {
        self.found.insert(target.key, (target.incarnation, target.address));
    }

    /// Whether a target's address is stale, and it has announced no other incarnation or address.
    pub fn contains(&self, target: &Target) -> bool {
        self.found.get(target.key) == Some(&(target.incarnation, target.address))
    }
}
