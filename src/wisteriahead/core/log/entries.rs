//! The entries that a replica holds in memory.

use super::{BATCH_MAX_BYTES, Config, Entry, Index, Payload, Snapshot, Term};
use crate::prelude::*;
use std::collections::VecDeque;

/// Consecutive entries after a base position.
#[derive(Clone, Debug)]
pub struct Entries {
    base: Index,
    base_term: Term,
    list: VecDeque<Arc<Entry>>,
    /// Configurations with the positions of their entries, the first at or before the base.
    configs: Vec<(Index, Config)>,
}

impl Entries {
    /// The empty log after a snapshot.
    pub fn after(snapshot: &Snapshot) -> Self {
        Self {
            base: snapshot.index,
            base_term: snapshot.term,
            list: VecDeque::new(),
            configs: vec![(snapshot.index, snapshot.config.clone())],
        }
    }

    /// Position before the first entry held.
    pub const fn base(&self) -> Index {
        self.base
    }

    /// Position of the last entry.
    pub fn last(&self) -> Index {
        self.base + self.list.len() as u64
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> Term {
        self.list.back().map_or(self.base_term, |e| e.term)
    }

    /// Term of the entry at a position, if that is known.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.base { Some(self.base_term) } else { self.get(index).map(|e| e.term) }
    }

    /// The entry at a position.
    pub fn get(&self, index: Index) -> Option<&Arc<Entry>> {
        self.list.get(usize::try_from(index.checked_sub(self.base + 1)?).ok()?)
    }

    /// Entries from a position on, up to [`BATCH_MAX_BYTES`] but at least one.
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

    /// Adds an entry in place of all from its position on.
    pub fn put(&mut self, entry: Arc<Entry>) {
        self.truncate(entry.index);
        if let Payload::Config(config) = &entry.payload {
            self.configs.push((entry.index, config.clone()));
        }
        self.list.push_back(entry);
    }

    fn truncate(&mut self, from: Index) {
        let keep = from.saturating_sub(self.base + 1);
        self.list.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        self.configs.retain(|(i, _)| *i < from || *i <= self.base);
    }

    /// Forgets entries up to `trail` before a position.
    pub fn trim(&mut self, index: Index, trail: u64) {
        let to = index.saturating_sub(trail);
        while self.base < to {
            let Some(entry) = self.list.pop_front() else { break };
            (self.base, self.base_term) = (entry.index, entry.term);
        }
        let known = self.configs.iter().rposition(|(i, _)| *i <= self.base).unwrap_or(0);
        self.configs.drain(..known);
    }

    /// The configuration in force: the last in the log, committed or not.
    pub fn config(&self) -> &Config {
        // There is one for the base at all times.
        &self.configs[self.configs.len() - 1].1
    }

    /// Position of the configuration in force.
    pub fn config_index(&self) -> Index {
        self.configs[self.configs.len() - 1].0
    }

    /// The configuration after the entry at a position.
    pub fn config_at(&self, index: Index) -> Config {
        let at = self.configs.iter().rev().find(|(i, _)| *i <= index);
        at.map_or_else(Config::default, |(_, c)| c.clone())
    }
}
