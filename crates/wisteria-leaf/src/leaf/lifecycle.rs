//! Lifecycle of a leaf: alive or dead, frozen, and its incarnation.

use std::time::Instant;

use tokio::sync::watch;

use super::Leaf;
use super::state::Inner;

/// Whether the leaf is alive (has a listener), and its incarnation, which each revival increments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Lifecycle {
    pub(crate) alive: bool,
    pub(crate) incarnation: u64,
}

impl Leaf {
    pub(crate) fn subscribe_lifecycle(&self) -> watch::Receiver<Lifecycle> {
        self.lifecycle.subscribe()
    }

    pub(crate) fn incarnation(&self) -> u64 {
        self.lifecycle.borrow().incarnation
    }

    /// Waits until this incarnation has ended.
    pub(crate) async fn wait_for_end(&self, incarnation: u64) {
        let mut receiver = self.lifecycle.subscribe();
        let ended = receiver.wait_for(|life| !life.alive || life.incarnation != incarnation).await;
        drop(ended);
    }

    /// Closes the listener and all connections.
    pub(crate) fn die(&self) {
        self.lifecycle.send_modify(|life| life.alive = false);
    }

    pub(super) fn revive(&self, inner: &mut Inner) {
        if self.lifecycle.borrow().alive {
            return;
        }
        inner.cold_until = Instant::now() + self.profile.cold;
        inner.collapsed = false;
        inner.draining = false;
        self.lifecycle.send_modify(|life| {
            *life = Lifecycle { alive: true, incarnation: life.incarnation + 1 };
        });
    }

    pub(super) fn is_frozen(&self) -> bool {
        self.frozen_until.borrow().is_some_and(|until| until > Instant::now())
    }

    /// Waits while the leaf is frozen; true if it had to wait.
    pub(crate) async fn wait_while_frozen(&self) -> bool {
        let mut frozen = self.frozen_until.subscribe();
        let mut waited = false;
        loop {
            let Some(until) = *frozen.borrow_and_update() else { return waited };
            if until <= Instant::now() {
                return waited;
            }
            waited = true;
            tokio::select! {
                () = tokio::time::sleep_until(until.into()) => {}
                _ = frozen.changed() => {}
            }
        }
    }
}
