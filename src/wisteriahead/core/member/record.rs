//! Records that hosts exchange about each other, and which of two records takes precedence.

use crate::core::digest;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Health of a host as this host sees it; of two, the greater is the worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// Answers probes.
    Alive,
    /// Has announced that it will leave, and still works. Older releases do not know it and drop the
    /// message.
    Leaving,
    /// Has not answered lately and may be lost.
    Suspect,
    /// Is regarded as lost.
    Lost,
    /// Has announced that it leaves.
    Left,
}

/// Host of the tier, as published to the rest of the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the host.
    pub host: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Health as this host sees it.
    pub health: Health,
    /// Number that increases with each start of its process and each refuted suspicion.
    pub incarnation: u64,
    /// Whether it has a data folder.
    pub durable: bool,
}

/// Record of one host, as exchanged between hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Name of the host.
    pub host: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Address on which it listens for other hosts.
    pub address: SocketAddr,
    /// Number that increases with each start of its process and each refuted suspicion.
    pub incarnation: u64,
    /// Its health; for equal incarnations the worse one takes precedence.
    pub health: Health,
    /// Whether it has a data folder.
    pub durable: bool,
}

impl Record {
    /// Whether this record replaces `other`, a record of the same host.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.health) > (other.incarnation, other.health)
    }

    /// Hash of the name, incarnation and health, on which all hosts should agree.
    pub fn digest(&self) -> u64 {
        // Older releases number the health like this.
        let (health, leaving) = match self.health {
            Health::Alive => (0, false),
            Health::Leaving => (0, true),
            Health::Suspect => (1, false),
            Health::Lost => (2, false),
            Health::Left => (3, false),
        };
        let state = digest::mix((self.incarnation << 2) | health) ^ u64::from(leaving);
        digest::mix(digest::hash(&[&self.host]) ^ state)
    }
}
