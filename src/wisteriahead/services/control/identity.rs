//! Which disk this is, and which tier it belongs to.
//!
//! The identifier is drawn when a data folder is first used, so a host that lost its
//! disk is told from the one that it was.

use super::wire::Founded;
use crate::core::message::{decode, encode};
use crate::prelude::*;
use crate::util::disk::{Disk, Journal};
use anyhow::bail;
use serde::{Deserialize, Serialize};

const NAME: &str = "identity";

#[derive(Debug, Serialize, Deserialize)]
enum Line {
    Disk(u64),
    Founded(Founded),
    /// A journal of this name exists from here on.
    Group(String),
}

/// The identity of a data folder.
pub struct Identity {
    journal: Journal,
    /// Random identifier of the disk.
    pub disk: u64,
    /// The tier that it belongs to.
    pub founded: Option<Founded>,
    groups: Vec<String>,
}

impl Identity {
    /// Reads the identity, or draws one for an empty folder.
    ///
    /// # Errors
    ///
    /// Fails when the journal is damaged, or a journal that once existed is gone.
    pub fn open(disk: &Arc<dyn Disk>) -> Result<Self> {
        let opened = Journal::open(disk.clone(), NAME)?;
        let mut identity =
            Self { journal: opened.journal, disk: 0, founded: None, groups: Vec::new() };
        for record in &opened.records {
            match decode(record)? {
                Line::Disk(id) => identity.disk = id,
                Line::Founded(founded) => identity.founded = Some(founded),
                Line::Group(name) => identity.groups.push(name),
            }
        }
        if opened.records.is_empty() {
            identity.disk = rand::random();
            identity.write(&Line::Disk(identity.disk))?;
        }
        for name in &identity.groups {
            if !Journal::exists(&**disk, name)? {
                bail!(
                    "journal `{name}` is gone from the data folder; a replica must not vote \
                     without its memory: move the folder away and start with an empty one"
                );
            }
        }
        Ok(identity)
    }

    /// Notes which tier the disk belongs to, for good.
    ///
    /// # Errors
    ///
    /// Fails when the disk does.
    pub fn found(&mut self, founded: Founded) -> Result<()> {
        self.write(&Line::Founded(founded.clone()))?;
        self.founded = Some(founded);
        Ok(())
    }

    /// Notes that a group's journal exists.
    ///
    /// # Errors
    ///
    /// Fails when the disk does.
    pub fn keep(&mut self, group: &str) -> Result<()> {
        if !self.has(group) {
            self.write(&Line::Group(group.to_owned()))?;
            self.groups.push(group.to_owned());
        }
        Ok(())
    }

    /// Whether the group's journal exists.
    pub fn has(&self, group: &str) -> bool {
        self.groups.iter().any(|g| g == group)
    }

    fn write(&mut self, line: &Line) -> Result<()> {
        self.journal.append(&encode(line))?;
        Ok(self.journal.sync()?)
    }
}
