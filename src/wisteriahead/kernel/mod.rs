//! The micro-kernel: starts services in order, stops them in reverse, and lets
//! them find each other by name.
//!
//! A service sees another only through a trait object that the other publishes
//! under a name, so that a test can put a fake in its place.

use crate::core::time::{Span, Time};
use anyhow::{Result, anyhow};
use futures::future::BoxFuture;
use indexmap::IndexMap;
use parking_lot::RwLock;
use std::any::Any;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::watch;

/// A part of the daemon that runs from start to stop.
pub trait Service: Send + Sync {
    /// Name in logs.
    fn name(&self) -> &'static str;

    /// Starts the service and publishes what others may use.
    ///
    /// # Errors
    ///
    /// Returns what keeps the service from running; the daemon then stops.
    fn start<'a>(&'a self, ctx: &'a Context) -> BoxFuture<'a, Result<()>>;

    /// Stops the service: takes no new work and finishes what is in flight within `bound`.
    fn stop(&self, bound: Span) -> BoxFuture<'_, ()>;
}

/// What the kernel gives each service: clock, names and the stop signal.
#[derive(Clone)]
pub struct Context {
    names: Arc<RwLock<IndexMap<&'static str, Box<dyn Any + Send + Sync>>>>,
    epoch: Instant,
    leaving: watch::Receiver<bool>,
    stopping: watch::Receiver<bool>,
}

impl Context {
    /// The time now.
    pub fn now(&self) -> Time {
        Time(Span::from(self.epoch.elapsed()).0)
    }

    /// Publishes a trait object under a name.
    pub fn publish<T: ?Sized + Send + Sync + 'static>(&self, name: &'static str, object: Arc<T>) {
        self.names.write().insert(name, Box::new(object));
    }

    /// Finds the trait object published under a name.
    ///
    /// # Errors
    ///
    /// Fails when nothing of that type is published under the name yet.
    pub fn find<T: ?Sized + Send + Sync + 'static>(&self, name: &'static str) -> Result<Arc<T>> {
        self.names
            .read()
            .get(name)
            .and_then(|o| o.downcast_ref::<Arc<T>>())
            .cloned()
            .ok_or_else(|| anyhow!("service `{name}` is not running; start it before its users"))
    }

    /// Whether the daemon is about to stop: it still serves, and asks to be sent nothing new.
    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Whether the daemon is stopping.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Completes when the daemon begins to stop.
    pub fn stopped(&self) -> impl Future<Output = ()> + Send + 'static {
        let mut rx = self.stopping.clone();
        async move {
            // A closed channel means that the kernel is gone, which is a stop too.
            let _ = rx.wait_for(|stop| *stop).await;
        }
    }
}

/// Runs services.
pub struct Kernel {
    ctx: Context,
    leave: watch::Sender<bool>,
    stop: watch::Sender<bool>,
    running: Vec<Arc<dyn Service>>,
}

impl Default for Kernel {
    fn default() -> Self {
        let (stop, stopping) = watch::channel(false);
        let (leave, leaving) = watch::channel(false);
        let ctx = Context { names: Arc::default(), epoch: Instant::now(), leaving, stopping };
        Self { ctx, leave, stop, running: Vec::new() }
    }
}

impl Kernel {
    /// The context that services are given.
    pub fn context(&self) -> &Context {
        &self.ctx
    }

    /// Starts one service; services start in the order of the calls.
    ///
    /// # Errors
    ///
    /// Returns the service's own error with its name.
    pub async fn start(&mut self, service: Arc<dyn Service>) -> Result<()> {
        let name = service.name();
        log::debug!("starting {name}");
        service.start(&self.ctx).await.map_err(|e| e.context(format!("could not start {name}")))?;
        self.running.push(service);
        Ok(())
    }

    /// Has the daemon ask to be sent nothing new, while it serves on.
    pub fn leave(&self) {
        self.leave.send_replace(true);
    }

    /// Stops all services, the last started first, each within `bound`.
    ///
    /// The last started one serves callers: it stops while all others still run, so that requests
    /// in flight find what they need.
    pub async fn stop(&mut self, bound: Span) {
        self.leave();
        if let Some(service) = self.running.pop() {
            log::debug!("stopping {}", service.name());
            service.stop(bound).await;
        }
        self.stop.send_replace(true);
        while let Some(service) = self.running.pop() {
            log::debug!("stopping {}", service.name());
            service.stop(bound).await;
        }
    }
}
