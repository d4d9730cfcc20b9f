//! The leaves of one process and their shared state.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::{Context, Result};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::announce::announce_periodically;
use crate::control;
use crate::executions::{ExecutionLog, Executions};
use crate::faults::{Fault, Target};
use crate::leaf::Leaf;
use crate::profile::Profile;
use crate::server::serve;

/// Leaves with a shared execution log and control port; dropping it stops them.
#[derive(Debug)]
pub struct Group {
    shared: Arc<Shared>,
    control: SocketAddr,
    _tasks: JoinSet<()>,
}

/// State that the control port reads and changes.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) leaves: Vec<Arc<Leaf>>,
    pub(crate) log: Arc<ExecutionLog>,
}

impl Group {
    /// Binds and starts a leaf for each address and profile, and the control port. The leaves
    /// spread their announcements over the entry hosts in `entries`.
    pub async fn start(
        leaves: Vec<(SocketAddr, Profile)>,
        control: SocketAddr,
        entries: &[SocketAddr],
    ) -> Result<Self> {
        let log = Arc::new(ExecutionLog::default());
        let mut tasks = JoinSet::new();
        let mut started = Vec::with_capacity(leaves.len());
        for (index, (address, profile)) in leaves.into_iter().enumerate() {
            let mut entries = entries.to_vec();
            let first = index % entries.len().max(1);
            entries.rotate_left(first);
            let listener = bind(address).await?;
            let leaf = Arc::new(Leaf::new(profile, listener.local_addr()?, Arc::clone(&log)));
            tasks.spawn(serve(Arc::clone(&leaf), listener));
            tasks.spawn(announce_periodically(Arc::clone(&leaf), entries));
            started.push(leaf);
        }
        let shared = Arc::new(Shared { leaves: started, log });
        let listener = bind(control).await?;
        let control = listener.local_addr()?;
        tasks.spawn(control::serve(listener, Arc::clone(&shared)));
        Ok(Self { shared, control, _tasks: tasks })
    }

    /// Leaves in the order of their profiles.
    pub fn leaves(&self) -> &[Arc<Leaf>] {
        &self.shared.leaves
    }

    /// Address of the control port.
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Injects a fault; false if it matches no leaf of this process.
    pub fn inject(&self, fault: &Fault) -> bool {
        self.shared.inject(fault)
    }

    /// Executions and counters so far.
    pub fn executions(&self) -> Executions {
        self.shared.log.snapshot()
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        for leaf in &self.shared.leaves {
            leaf.die();
        }
    }
}

impl Shared {
    pub(crate) fn inject(&self, fault: &Fault) -> bool {
        let mut found = false;
        for (index, leaf) in self.leaves.iter().enumerate() {
            let matches = match &fault.leaf {
                None => true,
                Some(Target::Index(wanted)) => *wanted == index,
                Some(Target::Name(wanted)) => wanted == leaf.name(),
            };
            if matches {
                leaf.inject(fault);
                found = true;
            }
        }
        found
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("could not listen on {address}"))
}
