//! A receiver that sums up the counters that daemons send as metrics over UDP.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use anyhow::Result;

/// Common prefix of the metric names.
const NAME_PREFIX: &str = "wisteriahead.";
/// Longest wait for a datagram before the receiver checks whether to stop.
const READ_TIMEOUT: Duration = Duration::from_millis(100);
/// Size of the receive buffer; UDP allows no longer datagram.
const DATAGRAM_MAX_BYTES: usize = 64 << 10;

/// Sum of each counter by name.
type Sums = Arc<Mutex<BTreeMap<String, i64>>>;

/// Receives metrics on a thread until it is dropped.
pub(crate) struct MetricsReceiver {
    address: SocketAddr,
    sums: Sums,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl MetricsReceiver {
    /// Starts to receive on a free port.
    pub(crate) fn start() -> Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_read_timeout(Some(READ_TIMEOUT))?;
        let address = socket.local_addr()?;
        let (sums, stop) = (Sums::default(), Arc::new(AtomicBool::new(false)));
        let (thread_sums, thread_stop) = (Arc::clone(&sums), Arc::clone(&stop));
        let thread = Some(std::thread::spawn(move || receive(&socket, &thread_sums, &thread_stop)));
        Ok(Self { address, sums, stop, thread })
    }

    /// Address that daemons send metrics to.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sum of a counter over all daemons so far.
    pub(crate) fn sum(&self, name: &str) -> i64 {
        let sums = self.sums.lock().unwrap_or_else(PoisonError::into_inner);
        sums.get(name).copied().unwrap_or(0)
    }
}

impl Drop for MetricsReceiver {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread only ends the counting, so its error is ignored.
            let _ = thread.join();
        }
    }
}

fn receive(socket: &UdpSocket, sums: &Sums, stop: &AtomicBool) {
    let mut bytes = vec![0; DATAGRAM_MAX_BYTES];
    while !stop.load(Ordering::Relaxed) {
        match socket.recv(&mut bytes) {
            Ok(len) => add_counters(&String::from_utf8_lossy(&bytes[..len]), sums),
            Err(e) if [ErrorKind::WouldBlock, ErrorKind::TimedOut].contains(&e.kind()) => {}
            Err(_) => return,
        }
    }
}

/// Adds the counters of a datagram to the sums.
fn add_counters(text: &str, sums: &Sums) {
    let mut sums = sums.lock().unwrap_or_else(PoisonError::into_inner);
    for line in text.lines() {
        if let Some((name, n)) = parse_counter(line) {
            *sums.entry(name.to_owned()).or_default() += n;
        }
    }
}

/// Name and increment of a counter line such as `wisteriahead.NAME:1|c`; nothing for other metrics.
fn parse_counter(line: &str) -> Option<(&str, i64)> {
    let (name, value) = line.strip_prefix(NAME_PREFIX)?.split_once(':')?;
    Some((name, value.strip_suffix("|c")?.parse().ok()?))
}
