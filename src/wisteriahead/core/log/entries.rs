//! In-memory log entries of a replica.

use super::{BATCH_MAX_BYTES, Config, Entry, Index, Payload, Snapshot, Term};
use crate::prelude::*;
use std::collections::VecDeque;

/// Consecutive log entries after the position `base`; a snapshot covers all entries up to there.
#[derive(Clone, Debug)]
pub struct Entries {
    base: Index,
    base_term: Term,
    entries: VecDeque<Arc<Entry>>,
    /// Configurations with the positions of their entries; the first is at or before `base`.
    configs: Vec<(Index, Config)>,
}

impl Entries {
    /// An empty log that continues after a snapshot.
    pub fn after(snapshot: &Snapshot) -> Self {
        Self {
            base: snapshot.index,
            base_term: snapshot.term,
            entries: VecDeque::new(),
            configs: vec![(snapshot.index, snapshot.config.clone())],
        }
    }

    /// Position before the first entry in memory.
    pub const fn base(&self) -> Index {
        self.base
    }

    /// Position of the last entry.
    pub fn last(&self) -> Index {
        self.base + self.entries.len() as u64
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    /// Term of the entry at a position, if it is in memory or is the base.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.base { Some(self.base_term) } else { self.get(index).map(|e| e.term) }
    }

    /// The entry at a position.
    pub fn get(&self, index: Index) -> Option<&Arc<Entry>> {
        self.entries.get(usize::try_from(index.checked_sub(self.base + 1)?).ok()?)
    }

    /// Entries from a position on, at most [`BATCH_MAX_BYTES`] but at least one if there is any.
    pub fn batch(&self, from: Index) -> Vec<Arc<Entry>> {
        let mut bytes = 0;
        let fits = |e: &&Arc<Entry>| {
            let first = bytes == 0;
            bytes += e.bytes().max(1);
            first || bytes <= BATCH_MAX_BYTES
        };
        (from..=self.last()).map_while(|i| self.get(i)).take_while(fits).cloned().collect()
    }

    /// All entries after a position.
    pub fn tail(&self, after: Index) -> Vec<Arc<Entry>> {
        (after + 1..=self.last()).filter_map(|i| self.get(i)).cloned().collect()
    }

    /// Appends an entry after removing all entries from its position on.
    pub fn put(&mut self, entry: Arc<Entry>) {
        self.truncate(entry.index);
        if let Payload::Config(config) = &entry.payload {
            self.configs.push((entry.index, config.clone()));
        }
        self.entries.push_back(entry);
    }

    fn truncate(&mut self, from: Index) {
        let keep = from.saturating_sub(self.base + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        self.configs.retain(|(i, _)| *i < from || *i <= self.base);
    }

    /// Discards entries up to a position, except the last `kept` of them.
    pub fn trim(&mut self, index: Index, kept: u64) {
        let to = index.saturating_sub(kept);
        while self.base < to {
            let Some(entry) = self.entries.pop_front() else { break };
            (self.base, self.base_term) = (entry.index, entry.term);
        }
        let known = self.configs.iter().rposition(|(i, _)| *i <= self.base).unwrap_or(0);
        self.configs.drain(..known);
    }

    /// Current configuration: the last one in the log, whether committed or not, as Raft requires.
    pub fn config(&self) -> &Config {
        // The list always has an entry for the base.
        &self.configs[self.configs.len() - 1].1
    }

    /// Position of the entry with the current configuration.
    pub fn config_index(&self) -> Index {
        self.configs[self.configs.len() - 1].0
    }

    /// Configuration in effect after the entry at a position.
    pub fn config_at(&self, index: Index) -> Config {
        let at = self.configs.iter().rev().find(|(i, _)| *i <= index);
        at.map_or_else(Config::default, |(_, c)| c.clone())
    }
}
