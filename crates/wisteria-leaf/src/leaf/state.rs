//! Mutable state of a leaf and its rules for refusing requests.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use indexmap::IndexMap;
use tokio::sync::Notify;

use crate::announce::{Holding, State};
use crate::faults::PendingFaults;
use crate::message::{Answer, Refusal, RunRequest};
use crate::profile::Profile;

/// Maximum number of remembered cancellations for attempts that have not arrived yet.
const EARLY_CANCELS_MAX: usize = 1024;

#[derive(Debug)]
pub(super) struct Inner {
    pub(super) sequence: u64,
    pub(super) running: u32,
    pub(super) connections: u32,
    pub(super) cold_until: Instant,
    pub(super) collapsed: bool,
    pub(super) draining: bool,
    pub(super) lying_until: Option<Instant>,
    pub(super) holdings: Vec<Holding>,
    pub(super) pending_faults: PendingFaults,
    /// Cancellation signals of running attempts by attempt id.
    pub(super) attempts: IndexMap<String, Arc<Notify>>,
    pub(super) early_cancels: VecDeque<String>,
    pub(super) last_answer: Option<Answer>,
}

impl Inner {
    pub(super) fn new(profile: &Profile) -> Self {
        Self {
            sequence: 0,
            running: 0,
            connections: 0,
            cold_until: Instant::now() + profile.cold,
            collapsed: false,
            draining: false,
            lying_until: None,
            holdings: profile.holdings.clone(),
            pending_faults: PendingFaults::default(),
            attempts: IndexMap::new(),
            early_cancels: VecDeque::new(),
            last_answer: None,
        }
    }

    pub(super) fn is_cold(&self) -> bool {
        self.cold_until > Instant::now()
    }

    pub(super) fn state(&self) -> State {
        if self.draining {
            State::Draining
        } else if self.is_cold() {
            State::Starting
        } else {
            State::Warm
        }
    }

    pub(super) fn check_request(&mut self, run: &RunRequest, slots: u32) -> Result<(), Refusal> {
        if let Some(index) = self.early_cancels.iter().position(|a| *a == run.attempt) {
            self.early_cancels.remove(index);
            return Err(Refusal::Cancelled { started: false });
        }
        if self.draining {
            return Err(Refusal::Draining);
        }
        if run.timeout.is_some_and(|left| left.is_zero()) {
            return Err(Refusal::Deadline { started: false });
        }
        if !self.holds(run) {
            return Err(Refusal::WrongSnapshot);
        }
        if self.running >= slots { Err(Refusal::Busy) } else { Ok(()) }
    }

    fn holds(&self, run: &RunRequest) -> bool {
        self.holdings.iter().any(|h| {
            let same = h.collection == run.collection && h.snapshot == run.snapshot;
            same && (h.shard, h.shards) == (run.shard, run.shards)
        })
    }

    pub(super) fn remove_snapshot(&mut self, snapshot: Option<&str>) {
        self.holdings.retain(|h| snapshot.is_some_and(|removed| h.snapshot != removed));
    }

    pub(super) fn add_snapshot(&mut self, snapshot: Option<&str>) {
        let Some(snapshot) = snapshot else { return };
        let added: Vec<Holding> = self
            .holdings
            .iter()
            .map(|held| Holding { snapshot: snapshot.to_owned(), ..held.clone() })
            .collect();
        for holding in added {
            if !self.holdings.contains(&holding) {
                self.holdings.push(holding);
            }
        }
    }

    /// Cancels a running attempt, or remembers the cancellation if the attempt is unknown.
    pub(super) fn cancel(&mut self, attempt: &str) {
        if let Some(notify) = self.attempts.get(attempt) {
            notify.notify_one();
            return;
        }
        if self.early_cancels.len() == EARLY_CANCELS_MAX {
            self.early_cancels.pop_front();
        }
        self.early_cancels.push_back(attempt.to_owned());
    }
}
