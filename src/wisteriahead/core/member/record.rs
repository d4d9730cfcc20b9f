//! What hosts tell each other of a host, and which of two reports holds.

use crate::core::digest;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// How a host of the tier is seen from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// It answers.
    Alive,
    /// It was silent lately, and may be lost.
    Suspect,
    /// It is taken for lost.
    Lost,
    /// It said that it leaves.
    Left,
}

/// A host of the tier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the host.
    pub host: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// How it is seen.
    pub health: Health,
    /// Number that rises with each start of its process.
    pub incarnation: u64,
    /// Whether it has a data folder.
    pub durable: bool,
}

/// A report on one host, as it goes from host to host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Name of the host.
    pub host: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Address that it listens on for other hosts.
    pub address: SocketAddr,
    /// Rises with each start of its process and each refutation of a suspicion.
    pub incarnation: u64,
    /// Its health; of equal incarnations the worse holds.
    pub health: Health,
    /// Whether it has a data folder.
    pub durable: bool,
}

impl Record {
    /// Whether this report replaces `other` on the same host.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.health) > (other.incarnation, other.health)
    }

    /// Hash of what two hosts must agree on.
    pub fn digest(&self) -> u64 {
        let state = (self.incarnation << 2) | self.health as u64;
        digest::mix(digest::hash(&[&self.host]) ^ digest::mix(state))
    }
}
