//! What messages between hosts cost, in counts that do not depend on the machine.

use crate::support::{ANY, Authority, HANG_TIMEOUT, ZONE, until};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::net::UdpSocket;
use tokio::time::timeout;
use wisteriahead::core::message::Topic;
use wisteriahead::core::time::Span;
use wisteriahead::kernel::Kernel;
use wisteriahead::services::peers::{PeerSettings, PeersService};
use wisteriahead::services::{Handler, Peers};
use wisteriahead::util::metrics::Metrics;
use wisteriahead::util::tls::{HostKeys, Kind};

/// Counts the messages that it receives.
#[derive(Default)]
struct Counter(AtomicU64);

impl Handler for Counter {
    fn receive(&self, _: &str, _: &[u8]) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// A host that serves nothing but messages, and the metrics that it reports.
struct CountedHost {
    kernel: Kernel,
    peers: Arc<dyn Peers>,
    address: SocketAddr,
    received: Arc<Counter>,
    metrics: UdpSocket,
    writes: i64,
}

impl CountedHost {
    async fn start(ca: &Authority, name: &str, seeds: &[SocketAddr]) -> Self {
        let metrics = UdpSocket::bind(ANY).await.unwrap();
        let settings = PeerSettings {
            host: name.to_owned(),
            zone: ZONE.to_owned(),
            listen: ANY,
            seeds: seeds.to_vec(),
            keys: HostKeys::Files(ca.issue(Kind::Host, name)),
        };
        let to = Some(metrics.local_addr().unwrap());
        let service = Arc::new(PeersService::new(settings).with_metrics(Metrics::new(to).unwrap()));
        let mut kernel = Kernel::default();
        kernel.start(service.clone()).await.unwrap();
        let peers: Arc<dyn Peers> = kernel.context().find(<dyn Peers>::NAME).unwrap();
        let received = Arc::new(Counter::default());
        peers.set_handler(Topic::Member, received.clone());
        let address = service.address().unwrap();
        Self { kernel, peers, address, received, metrics, writes: 0 }
    }

    /// Number of writes so far, after two more reports: the first one may have begun before.
    async fn writes(&mut self) -> i64 {
        let mut reports = 0;
        let mut bytes = [0; 2_048];
        while reports < 2 {
            let len = timeout(HANG_TIMEOUT, self.metrics.recv(&mut bytes)).await.unwrap().unwrap();
            for line in String::from_utf8_lossy(&bytes[..len]).lines() {
                if let Some(n) = line.strip_prefix("wisteriahead.peers.writes:") {
                    self.writes += n.strip_suffix("|c").unwrap().parse::<i64>().unwrap();
                    reports += 1;
                }
            }
        }
        self.writes
    }
}

/// Guards against messages that take more than one system call, such as one for an acknowledgement.
#[tokio::test]
async fn message_at_rest_takes_one_write_and_no_acknowledgement() {
    const MESSAGES: u64 = 40;
    let ca = Authority::new();
    let mut a = CountedHost::start(&ca, "a", &[]).await;
    let mut b = CountedHost::start(&ca, "b", &[a.address]).await;
    until("a", || b.peers.others() == ["a"]).await;
    b.peers.send("a", Topic::Member, vec![1; 200]);
    until("the first message", || a.received.0.load(Ordering::Relaxed) == 1).await;
    let before = a.writes().await + b.writes().await;
    for n in 0..MESSAGES {
        b.peers.send("a", Topic::Member, vec![1; 200]);
        until("a message", || a.received.0.load(Ordering::Relaxed) == n + 2).await;
    }
    let writes = a.writes().await + b.writes().await - before;
    assert_eq!(writes, MESSAGES as i64);
    for mut host in [a, b] {
        host.kernel.stop(Span::secs(5)).await;
    }
}
