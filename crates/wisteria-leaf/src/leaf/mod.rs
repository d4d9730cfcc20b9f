//! One leaf: its identity, its announcements and the faults that hit it.

mod life;
mod slot;
mod state;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::sync::watch;

use self::life::Life;
pub(crate) use self::slot::{ConnectionGuard, Slot};
use self::state::Inner;
use crate::announce::{Announcement, State};
use crate::executions::ExecutionLog;
use crate::faults::{Fault, Hitting, Kind, Stage};
use crate::message::Answer;
use crate::profile::Profile;

/// One leaf.
#[derive(Debug)]
pub struct Leaf {
    profile: Profile,
    address: SocketAddr,
    log: Arc<ExecutionLog>,
    life: watch::Sender<Life>,
    frozen: watch::Sender<Option<Instant>>,
    inner: Mutex<Inner>,
}

impl Leaf {
    pub(crate) fn new(profile: Profile, address: SocketAddr, log: Arc<ExecutionLog>) -> Self {
        let inner = Inner::new(&profile);
        let life = watch::Sender::new(Life { alive: true, incarnation: 1 });
        let frozen = watch::Sender::new(None);
        Self { profile, address, log, life, frozen, inner: Mutex::new(inner) }
    }

    /// Name that it announces.
    pub fn name(&self) -> &str {
        &self.profile.name
    }

    /// Where it serves.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn profile(&self) -> &Profile {
        &self.profile
    }

    /// The next announcement; none while dead or frozen.
    pub(crate) fn announcement(&self) -> Option<Announcement> {
        let life = *self.life.borrow();
        if !life.alive || self.is_frozen() {
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
            incarnation: life.incarnation,
            sequence: inner.sequence,
            state,
            slots: profile.slots,
            connections: profile.connections,
            bearable: if lying { profile.slots } else { profile.bearable },
            holdings: inner.holdings.clone(),
        })
    }

    /// Brings a fault about.
    pub(crate) fn inject(&self, fault: &Fault) {
        let forever = Duration::from_secs(u64::from(u32::MAX));
        let until = Instant::now() + fault.duration().unwrap_or(forever);
        let mut inner = self.inner.lock();
        match fault.kind {
            Kind::Freeze => drop(self.frozen.send_replace(Some(until))),
            Kind::Die => self.die(),
            Kind::Revive => self.revive(&mut inner),
            Kind::Cold => {
                let span = fault.duration().unwrap_or(self.profile.cold);
                inner.cold_until = Instant::now() + span;
            }
            Kind::LoseSnapshot => inner.lose(fault.snapshot.as_deref()),
            Kind::AddSnapshot => inner.add(fault.snapshot.as_deref()),
            Kind::Lie => inner.lying_until = Some(until),
            Kind::Drain => inner.draining = true,
            Kind::Clear => {
                inner.armed.clear();
                inner.lying_until = None;
                inner.draining = false;
                self.frozen.send_replace(None);
            }
            Kind::ResetBefore
            | Kind::ResetAfter
            | Kind::Late
            | Kind::Crossed
            | Kind::Truncate
            | Kind::Poison => inner.armed.arm(fault),
        }
    }

    /// Cancels the attempt, also one that has not arrived yet.
    pub(crate) fn cancel(&self, attempt: &str) {
        self.inner.lock().cancel(attempt);
    }

    pub(crate) fn take_fault(&self, stage: Stage) -> Option<Hitting> {
        self.inner.lock().armed.take(stage)
    }

    /// Swaps this answer for the one before it, or for one that nobody asked for.
    pub(crate) fn cross(&self, answer: &Answer) -> Answer {
        self.inner.lock().last_answer.clone().unwrap_or_else(|| Answer {
            attempt: format!("{}-other", answer.attempt),
            ..answer.clone()
        })
    }

    pub(crate) fn remember(&self, answer: &Answer) {
        self.inner.lock().last_answer = Some(answer.clone());
    }
}
