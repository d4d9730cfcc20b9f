//! One leaf: its identity, announcements and injected faults.

mod lifecycle;
mod slot;
mod state;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::sync::watch;

use self::lifecycle::Lifecycle;
pub(crate) use self::slot::{ConnectionGuard, Slot};
use self::state::Inner;
use crate::announce::{Announcement, State};
use crate::executions::ExecutionLog;
use crate::faults::{Fault, Kind, RequestFault, Stage};
use crate::message::Answer;
use crate::profile::Profile;

/// A stand-in endpoint.
#[derive(Debug)]
pub struct Leaf {
    profile: Profile,
    address: SocketAddr,
    log: Arc<ExecutionLog>,
    lifecycle: watch::Sender<Lifecycle>,
    /// End of the freeze, if one was injected.
    frozen_until: watch::Sender<Option<Instant>>,
    inner: Mutex<Inner>,
}

impl Leaf {
    pub(crate) fn new(profile: Profile, address: SocketAddr, log: Arc<ExecutionLog>) -> Self {
        let inner = Inner::new(&profile);
        let lifecycle = watch::Sender::new(Lifecycle { alive: true, incarnation: 1 });
        let frozen_until = watch::Sender::new(None);
        Self { profile, address, log, lifecycle, frozen_until, inner: Mutex::new(inner) }
    }

    /// Announced name.
    pub fn name(&self) -> &str {
        &self.profile.name
    }

    /// Listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn profile(&self) -> &Profile {
        &self.profile
    }

    /// Builds the next announcement; `None` while the leaf is dead or frozen.
    pub(crate) fn next_announcement(&self) -> Option<Announcement> {
        let lifecycle = *self.lifecycle.borrow();
        if !lifecycle.alive || self.is_frozen() {
            return None;
        }
        let mut inner = self.inner.lock();
        inner.sequence += 1;
        let lying = inner.lying_until.is_some_and(|until| until > Instant::now());
        let state = if lying { State::Warm } else { inner.state() };
        let profile = &self.profile;
        Some(Announcement {
            endpoint: profile.name.clone(),
            host: profile.host.clone(),
            address: self.address,
            zone: profile.zone.clone(),
            service: profile.service.clone(),
            incarnation: lifecycle.incarnation,
            sequence: inner.sequence,
            state,
            slots: profile.slots,
            connections: profile.connections,
            bearable: if lying { profile.slots } else { profile.bearable },
            holdings: inner.holdings.clone(),
        })
    }

    /// Injects a fault.
    pub(crate) fn inject(&self, fault: &Fault) {
        let forever = Duration::from_secs(u64::from(u32::MAX));
        let until = Instant::now() + fault.duration().unwrap_or(forever);
        let mut inner = self.inner.lock();
        match fault.kind {
            Kind::Freeze => drop(self.frozen_until.send_replace(Some(until))),
            Kind::Die => self.die(),
            Kind::Revive => self.revive(&mut inner),
            Kind::Cold => {
                let duration = fault.duration().unwrap_or(self.profile.cold);
                inner.cold_until = Instant::now() + duration;
            }
            Kind::LoseSnapshot => inner.remove_snapshot(fault.snapshot.as_deref()),
            Kind::AddSnapshot => inner.add_snapshot(fault.snapshot.as_deref()),
            Kind::Lie => inner.lying_until = Some(until),
            Kind::Drain => inner.draining = true,
            Kind::Clear => {
                inner.pending_faults.clear();
                inner.lying_until = None;
                inner.draining = false;
                self.frozen_until.send_replace(None);
            }
            Kind::ResetBefore
            | Kind::ResetAfter
            | Kind::Late
            | Kind::Crossed
            | Kind::Truncate
            | Kind::Poison => inner.pending_faults.add(fault),
        }
    }

    /// Cancels an attempt. An attempt that has not arrived yet will be refused.
    pub(crate) fn cancel(&self, attempt: &str) {
        self.inner.lock().cancel(attempt);
    }

    pub(crate) fn take_fault(&self, stage: Stage) -> Option<RequestFault> {
        self.inner.lock().pending_faults.take(stage)
    }

    /// Returns the previous answer in place of this one, or an answer to an unknown attempt if
    /// there is none.
    pub(crate) fn crossed_answer(&self, answer: &Answer) -> Answer {
        self.inner.lock().last_answer.clone().unwrap_or_else(|| Answer {
            attempt: format!("{}-other", answer.attempt),
            ..answer.clone()
        })
    }

    pub(crate) fn set_last_answer(&self, answer: &Answer) {
        self.inner.lock().last_answer = Some(answer.clone());
    }
}
