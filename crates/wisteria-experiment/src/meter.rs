//! Adds up the counters that daemons send as metrics.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use anyhow::Result;

/// Prefix of every metric's name.
const PREFIX: &str = "wisteriahead.";
/// Longest wait for a datagram before the meter looks whether it is to end.
const LOOK: Duration = Duration::from_millis(100);
/// Most bytes of a datagram.
const DATAGRAM_MAX_BYTES: usize = 64 << 10;

type Sums = Arc<Mutex<BTreeMap<String, i64>>>;

/// Listens for metrics until it is dropped.
pub(crate) struct Meter {
    address: SocketAddr,
    sums: Sums,
    stop: Arc<AtomicBool>,
    listener: Option<JoinHandle<()>>,
}

impl Meter {
    /// Listens on a free port.
    pub(crate) fn start() -> Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_read_timeout(Some(LOOK))?;
        let address = socket.local_addr()?;
        let (sums, stop) = (Sums::default(), Arc::new(AtomicBool::new(false)));
        let (own, end) = (Arc::clone(&sums), Arc::clone(&stop));
        let listener = Some(std::thread::spawn(move || listen(&socket, &own, &end)));
        Ok(Self { address, sums, stop, listener })
    }

    /// Address to send metrics to.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sum of a counter over all daemons so far.
    pub(crate) fn sum(&self, name: &str) -> i64 {
        let sums = self.sums.lock().unwrap_or_else(PoisonError::into_inner);
        sums.get(name).copied().unwrap_or(0)
    }
}

impl Drop for Meter {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(listener) = self.listener.take() {
            // A listener that panicked has nothing more to count.
            let _ = listener.join();
        }
    }
}

fn listen(socket: &UdpSocket, sums: &Sums, stop: &AtomicBool) {
    let mut bytes = vec![0; DATAGRAM_MAX_BYTES];
    while !stop.load(Ordering::Relaxed) {
        match socket.recv(&mut bytes) {
            Ok(len) => add(&String::from_utf8_lossy(&bytes[..len]), sums),
            Err(e) if [ErrorKind::WouldBlock, ErrorKind::TimedOut].contains(&e.kind()) => {}
            Err(_) => return,
        }
    }
}

fn add(text: &str, sums: &Sums) {
    let mut sums = sums.lock().unwrap_or_else(PoisonError::into_inner);
    for line in text.lines() {
        if let Some((name, n)) = counter(line) {
            *sums.entry(name.to_owned()).or_default() += n;
        }
    }
}

fn counter(line: &str) -> Option<(&str, i64)> {
    let (name, value) = line.strip_prefix(PREFIX)?.split_once(':')?;
    Some((name, value.strip_suffix("|c")?.parse().ok()?))
}
