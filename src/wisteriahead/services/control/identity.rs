//! Identity of a data folder: a random disk identifier, the tier and the replicas stored in it.
//!
//! The identifier is generated when the folder is first used, so that a host that restarts with an
//! empty disk counts as a new replica.

use super::wire::TierInfo;
use crate::core::message::{decode, encode};
use crate::prelude::*;
use crate::util::disk::{Disk, Journal};
use anyhow::bail;
use serde::{Deserialize, Serialize};

const JOURNAL_NAME: &str = "identity";

#[derive(Debug, Serialize, Deserialize)]
enum IdentityRecord {
    Disk(u64),
    Founded(TierInfo),
    /// Name of a group whose journal has been created.
    Group(String),
}

/// The identity of a data folder.
pub struct DiskIdentity {
    journal: Journal,
    /// Random identifier of the disk.
    pub disk: u64,
    /// Tier that the disk belongs to.
    pub tier: Option<TierInfo>,
    groups: Vec<String>,
}

impl DiskIdentity {
    /// Reads the identity, or generates one for an empty folder.
    ///
    /// # Errors
    ///
    /// Fails if the journal is corrupt, or if the journal of a listed group is missing.
    pub fn open(disk: &Arc<dyn Disk>) -> Result<Self> {
        let opened = Journal::open(disk.clone(), JOURNAL_NAME)?;
        let mut identity =
            Self { journal: opened.journal, disk: 0, tier: None, groups: Vec::new() };
        for record in &opened.records {
            match decode(record)? {
                IdentityRecord::Disk(id) => identity.disk = id,
                IdentityRecord::Founded(tier) => identity.tier = Some(tier),
                IdentityRecord::Group(name) => identity.groups.push(name),
            }
        }
        if opened.records.is_empty() {
            identity.disk = rand::random();
            identity.write(&IdentityRecord::Disk(identity.disk))?;
        }
        for name in &identity.groups {
            if !Journal::exists(&**disk, name)? {
                bail!(
                    "journal `{name}` is missing from the data folder; a replica that lost its \
                     log must not vote: move the folder away and start with an empty one"
                );
            }
        }
        Ok(identity)
    }

    /// Durably records the tier that the disk belongs to; it never changes.
    ///
    /// # Errors
    ///
    /// Fails on a disk error.
    pub fn set_tier(&mut self, tier: TierInfo) -> Result<()> {
        self.write(&IdentityRecord::Founded(tier.clone()))?;
        self.tier = Some(tier);
        Ok(())
    }

    /// Durably records that a group's journal exists.
    ///
    /// # Errors
    ///
    /// Fails on a disk error.
    pub fn add_group(&mut self, group: &str) -> Result<()> {
        if !self.has_group(group) {
            self.write(&IdentityRecord::Group(group.to_owned()))?;
            self.groups.push(group.to_owned());
        }
        Ok(())
    }

    /// Whether the group's journal is recorded to exist.
    pub fn has_group(&self, group: &str) -> bool {
        self.groups.iter().any(|g| g == group)
    }

    fn write(&mut self, record: &IdentityRecord) -> Result<()> {
        self.journal.append(&encode(record))?;
        Ok(self.journal.sync()?)
    }
}
