//! Whether a leaf is alive or frozen, and its incarnation.

use std::time::Instant;

use tokio::sync::watch;

use super::Leaf;
use super::state::Inner;

/// Whether the leaf has a listener; each revival raises the incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Life {
    pub(crate) alive: bool,
    pub(crate) incarnation: u64,
}

impl Leaf {
    pub(crate) fn life(&self) -> watch::Receiver<Life> {
        self.life.subscribe()
    }

    pub(crate) fn incarnation(&self) -> u64 {
        self.life.borrow().incarnation
    }

    /// Waits until this incarnation is over.
    pub(crate) async fn ended(&self, incarnation: u64) {
        let mut life = self.life.subscribe();
        let over = life.wait_for(|life| !life.alive || life.incarnation != incarnation).await;
        drop(over);
    }

    /// Closes the listener and all connections.
    pub(crate) fn die(&self) {
        self.life.send_modify(|life| life.alive = false);
    }

    pub(super) fn revive(&self, inner: &mut Inner) {
        if self.life.borrow().alive {
            return;
        }
        inner.cold_until = Instant::now() + self.profile.cold;
        inner.collapsed = false;
        inner.draining = false;
        self.life.send_modify(|life| {
            *life = Life { alive: true, incarnation: life.incarnation + 1 };
        });
    }

    pub(super) fn is_frozen(&self) -> bool {
        self.frozen.borrow().is_some_and(|until| until > Instant::now())
    }

    /// Waits until the leaf is not frozen; true if it had to wait.
    pub(crate) async fn thaw(&self) -> bool {
        let mut frozen = self.frozen.subscribe();
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
