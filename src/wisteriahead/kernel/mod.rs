//! Service container: starts services in order, stops them in reverse, and looks them up by name.
//!
//! A service accesses another only through a trait object that the other publishes under a name,
//! so that a test can substitute a fake.

use crate::core::time::{Span, Time};
use anyhow::{Result, anyhow};
use futures::future::BoxFuture;
use indexmap::IndexMap;
use parking_lot::RwLock;
use std::any::Any;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::watch;

/// A component of the daemon that is started and stopped with it.
pub trait Service: Send + Sync {
    /// Name in log lines.
    fn name(&self) -> &'static str;

    /// Starts the service and publishes its interfaces.
    ///
    /// # Errors
    ///
    /// Returns why the service cannot run; the daemon then stops.
    fn start<'a>(&'a self, ctx: &'a Context) -> BoxFuture<'a, Result<()>>;

    /// Stops the service: refuses new work and completes work in flight within `timeout`.
    fn stop(&self, timeout: Span) -> BoxFuture<'_, ()>;
}

/// Handle that each service is given: clock, published objects and the phase of shutdown.
#[derive(Clone)]
pub struct Context {
    published: Arc<RwLock<IndexMap<&'static str, Box<dyn Any + Send + Sync>>>>,
    started: Instant,
    answers_due: watch::Receiver<Option<Time>>,
    stopping: watch::Receiver<bool>,
}

impl Context {
    /// Current time on the daemon's clock.
    pub fn now(&self) -> Time {
        Time(Span::from(self.started.elapsed()).0)
    }

    /// Publishes a trait object under a name.
    pub fn publish<T: ?Sized + Send + Sync + 'static>(&self, name: &'static str, object: Arc<T>) {
        self.published.write().insert(name, Box::new(object));
    }

    /// Looks up the trait object published under a name.
    ///
    /// # Errors
    ///
    /// Fails when nothing of that type is published under the name yet.
    pub fn find<T: ?Sized + Send + Sync + 'static>(&self, name: &'static str) -> Result<Arc<T>> {
        self.published
            .read()
            .get(name)
            .and_then(|o| o.downcast_ref::<Arc<T>>())
            .cloned()
            .ok_or_else(|| anyhow!("service `{name}` is not running; start it before its users"))
    }

    /// Whether the daemon is about to stop: it still serves, but asks callers to go elsewhere.
    pub fn is_lame_duck(&self) -> bool {
        self.answers_due.borrow().is_some()
    }

    /// Time by which the daemon, once it is about to stop, must have answered all requests: those that
    /// are still open then are cut off.
    pub fn answers_due(&self) -> Option<Time> {
        *self.answers_due.borrow()
    }

    /// Whether services other than the last one started are being stopped.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Completes when services other than the last one started begin to stop.
    pub fn stopped(&self) -> impl Future<Output = ()> + Send + 'static {
        let mut rx = self.stopping.clone();
        async move {
            // The channel closes when the kernel is dropped, which counts as a stop.
            let _ = rx.wait_for(|stop| *stop).await;
        }
    }
}

/// Starts and stops services.
pub struct Kernel {
    ctx: Context,
    answers_due: watch::Sender<Option<Time>>,
    stop: watch::Sender<bool>,
    running: Vec<Arc<dyn Service>>,
}

impl Default for Kernel {
    fn default() -> Self {
        let (stop, stopping) = watch::channel(false);
        let (answers_due_sender, answers_due) = watch::channel(None);
        let ctx =
            Context { published: Arc::default(), started: Instant::now(), answers_due, stopping };
        Self { ctx, answers_due: answers_due_sender, stop, running: Vec::new() }
    }
}

impl Kernel {
    /// Context that services are given.
    pub fn context(&self) -> &Context {
        &self.ctx
    }

    /// Starts a service.
    ///
    /// # Errors
    ///
    /// Returns the service's error, with the service's name as context.
    pub async fn start(&mut self, service: Arc<dyn Service>) -> Result<()> {
        let name = service.name();
        log::debug!("starting {name}");
        service.start(&self.ctx).await.map_err(|e| e.context(format!("could not start {name}")))?;
        self.running.push(service);
        Ok(())
    }

    /// Enters the lame-duck phase: the daemon still serves, but asks callers to go elsewhere. Requests
    /// that are open after `left` are cut off.
    pub fn enter_lame_duck(&self, left: Span) {
        let due = self.ctx.now() + left;
        self.answers_due.send_modify(|at| *at = Some(at.map_or(due, |at| at.min(due))));
    }

    /// Stops all services in reverse order, each within `timeout`.
    ///
    /// The last one started serves callers. It completes its requests in flight before the
    /// services that these depend on are told to stop.
    pub async fn stop(&mut self, timeout: Span) {
        self.enter_lame_duck(timeout);
        if let Some(service) = self.running.pop() {
            log::debug!("stopping {}", service.name());
            service.stop(timeout).await;
        }
        self.stop.send_replace(true);
        while let Some(service) = self.running.pop() {
            log::debug!("stopping {}", service.name());
            service.stop(timeout).await;
        }
    }
}
