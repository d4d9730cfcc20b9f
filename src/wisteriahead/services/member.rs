//! Runs the state machine of [`core::member`](crate::core::member): ticks it, sends and receives
//! its messages, and publishes the known hosts as [`Members`].

use super::{Handler, Member, Members, Peers};
use crate::core::member::{Action, Event, Membership, Message, Record};
use crate::core::message::{Topic, decode, encode};
use crate::kernel::{Context, Service};
use crate::prelude::*;
use crate::services::Health;
use crate::util::metrics::Metrics;
use crate::util::work::{self, Work};
use futures::future::BoxFuture;
use parking_lot::Mutex;
use std::sync::OnceLock;
use std::time::Duration;
use tokio::sync::watch;

/// Time between two ticks of the state machine.
const TICK: Duration = Duration::from_millis(200);
/// Number of ticks between two reports of the metrics.
const REPORT_TICKS: u32 = 5;
/// Maximum number of unknown hosts to exchange all records with per tick; the first answer names most of
/// the others.
const DISCOVERIES_PER_TICK: usize = 2;

/// What this host reports about itself to the others.
#[derive(Clone, Copy, Debug)]
pub struct MemberSettings {
    /// Number that rises with each start of the process.
    pub incarnation: u64,
    /// Whether the host has a data folder, so that it can hold replicas.
    pub durable: bool,
}

/// Service that publishes [`Members`].
pub struct MemberService {
    settings: MemberSettings,
    metrics: Metrics,
    driver: OnceLock<Arc<Driver>>,
}

struct Driver {
    ctx: Context,
    peers: Arc<dyn Peers>,
    machine: Mutex<Membership>,
    metrics: Metrics,
    published: watch::Sender<Arc<Vec<Member>>>,
}

impl MemberService {
    /// Creates the service without starting it.
    pub fn new(settings: MemberSettings, metrics: Metrics) -> Self {
        Self { settings, metrics, driver: OnceLock::new() }
    }

    async fn run(&self, ctx: &Context) -> Result<()> {
        let peers = ctx.find::<dyn Peers>(<dyn Peers>::NAME)?;
        let own = Record {
            host: peers.host().into(),
            zone: peers.zone().into(),
            address: peers
                .listen_address()
                .context("the socket for messages between hosts is not bound yet")?,
            incarnation: self.settings.incarnation,
            health: Health::Alive,
            durable: self.settings.durable,
        };
        let machine = Membership::new(ctx.now(), own);
        let published = watch::channel(Arc::new(machine.members().to_vec())).0;
        let (ctx, metrics, machine) = (ctx.clone(), self.metrics.clone(), Mutex::new(machine));
        let driver = Arc::new(Driver { ctx, peers, machine, metrics, published });
        driver.peers.set_handler(Topic::Member, driver.clone());
        driver.ctx.publish::<dyn Members>(<dyn Members>::NAME, driver.clone());
        tokio::spawn(run(driver.clone()));
        if self.driver.set(driver).is_err() {
            anyhow::bail!("the service was already started; create a new one");
        }
        Ok(())
    }
}

impl Service for MemberService {
    fn name(&self) -> &'static str {
        <dyn Members>::NAME
    }

    fn start<'a>(&'a self, ctx: &'a Context) -> BoxFuture<'a, Result<()>> {
        Box::pin(self.run(ctx))
    }

    fn stop(&self, _timeout: Span) -> BoxFuture<'_, ()> {
        Box::pin(async {
            if let Some(driver) = self.driver.get() {
                driver.step(Event::Leave);
            }
        })
    }
}

impl Driver {
    fn step(&self, event: Event) {
        work::measure(Work::Members, || self.run_step(event));
    }

    fn run_step(&self, event: Event) {
        let mut machine = self.machine.lock();
        for action in machine.step(self.ctx.now(), event) {
            match action {
                Action::Send(to, message) => {
                    if let Some(known) = machine.record(&to) {
                        self.peers.learn(&to, known.address);
                    }
                    self.peers.send(&to, Topic::Member, encode(&message));
                    self.metrics.incr("member.messages_sent");
                }
                // Published while the lock is held, so that watchers see the changes in order.
                Action::Changed(hosts) => {
                    let records = hosts.iter().filter_map(|host| machine.record(host));
                    records.for_each(|r| self.peers.learn(&r.host, r.address));
                    self.published.send_replace(Arc::new(machine.members().to_vec()));
                }
            }
        }
    }

    /// Tells the state machine of hosts that it doesn't know yet, of some at each tick; `known` is the version
    /// of the other hosts when it knew all.
    fn discover(&self, known: &mut Option<u64>, tick: u32) {
        // Read first, so that a host that is added meanwhile is found the next time.
        let version = self.peers.others_version();
        if version.is_some() && version == *known {
            return;
        }
        let mut unknown = self.peers.others();
        let machine = self.machine.lock();
        // A host that was blocked when its record changed may be allowed again.
        machine.records().for_each(|r| self.peers.learn(&r.host, r.address));
        unknown.retain(|host| machine.record(host).is_none());
        drop(machine);
        *known = version.filter(|_| unknown.is_empty());
        // Hosts that never answer must not keep the others from their turn.
        let turn = tick as usize * DISCOVERIES_PER_TICK % unknown.len().max(1);
        unknown.rotate_left(turn);
        let next = unknown.into_iter().take(DISCOVERIES_PER_TICK);
        next.for_each(|host| self.step(Event::Discovered(host.into())));
    }

    /// Reports the number of hosts in each state of health.
    fn report(&self) {
        let members = Arc::clone(&self.published.borrow());
        let count = |health| members.iter().filter(|m| m.health == health).count() as u64;
        self.metrics.gauge("hosts.alive", count(Health::Alive));
        self.metrics.gauge("hosts.leaving", count(Health::Leaving));
        self.metrics.gauge("hosts.suspect", count(Health::Suspect));
        self.metrics.gauge("hosts.lost", count(Health::Lost));
    }
}

impl Members for Driver {
    fn watch(&self) -> watch::Receiver<Arc<Vec<Member>>> {
        self.published.subscribe()
    }
}

impl Handler for Driver {
    fn receive(&self, from: &str, body: &[u8]) {
        match decode::<Message>(body) {
            Ok(message) => self.step(Event::Received(from.into(), message)),
            Err(e) => log::warn!(
                "could not decode a membership message from host `{from}`; it is ignored: {e}"
            ),
        }
    }
}

async fn run(driver: Arc<Driver>) {
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut stopped = std::pin::pin!(driver.ctx.stopped());
    let (mut ticks, mut known) = (0u32, None);
    loop {
        tokio::select! {
            () = &mut stopped => return,
            _ = tick.tick() => {
                if driver.ctx.is_lame_duck() {
                    driver.step(Event::Retire);
                }
                driver.discover(&mut known, ticks);
                driver.step(Event::Tick);
                ticks = ticks.wrapping_add(1);
                if ticks.is_multiple_of(REPORT_TICKS) {
                    driver.report();
                }
            }
        }
    }
}
