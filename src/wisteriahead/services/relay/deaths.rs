//! Tells whether an endpoint whose connection failed has ended, or has only closed that connection.

use crate::prelude::*;
use futures::future::{BoxFuture, FutureExt as _, Shared};
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Time from a failure to the check, in which the sockets of a process that ends are closed.
const CHECK_DELAY: Duration = Duration::from_millis(10);
/// Time limit for a connection to an endpoint that is checked.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

type Check = Shared<BoxFuture<'static, bool>>;

/// Checks under way, by address. Calls that fail together share one.
#[derive(Default)]
pub struct DeathChecks {
    checks: Mutex<IndexMap<SocketAddr, Check>>,
}

impl DeathChecks {
    /// Whether no process accepts connections at an address where a connection has just failed.
    pub async fn is_gone(&self, address: SocketAddr) -> bool {
        let check = || {
            let connect = async move {
                sleep(CHECK_DELAY).await;
                !matches!(timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await, Ok(Ok(_)))
            };
            connect.boxed().shared()
        };
        let pending = self.checks.lock().entry(address).or_insert_with(check).clone();
        let gone = pending.clone().await;
        let mut checks = self.checks.lock();
        if checks.get(&address).is_some_and(|current| current.ptr_eq(&pending)) {
            checks.swap_remove(&address);
        }
        gone
    }
}
