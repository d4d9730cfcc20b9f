//! Endpoints that another one answered for: their address has gone to it.

use crate::core::endpoint::EndpointKey;
use crate::core::routes::Target;
use slotmap::SecondaryMap;
use std::net::SocketAddr;

/// Endpoints that are not where they were announced, until they announce otherwise.
#[derive(Debug, Default)]
pub struct Absent {
    marks: SecondaryMap<EndpointKey, (u64, SocketAddr)>,
}

impl Absent {
    /// Notes that another endpoint answered at a target's address.
    pub fn note(&mut self, target: &Target) {
        self.marks.insert(target.key, (target.incarnation, target.address));
    }

    /// Whether a target was found absent and has announced nothing else since.
    pub fn holds(&self, target: &Target) -> bool {
        self.marks.get(target.key) == Some(&(target.incarnation, target.address))
    }
}
