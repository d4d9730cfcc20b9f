//! CPU time, system calls and bytes of one message between two hosts, by its size.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anyhow::{Context, Result};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use wisteriahead::core::message::Topic;
use wisteriahead::core::time::Span;
use wisteriahead::kernel::Kernel;
use wisteriahead::services::peers::{PeerSettings, PeersService};
use wisteriahead::services::{Handler, Peers};
use wisteriahead::util::metrics::Metrics;
use wisteriahead::util::secret::Secret;
use wisteriahead::util::tls::HostKeys;

use super::{Output, Plan};
use crate::metrics::MetricsReceiver;
use crate::page::{Findings, Table};
use crate::plot::{Plot, Series};
use crate::proc;
use crate::stats::Spread;

/// Sizes of a message's body.
const SIZES: [usize; 3] = [200, 4 << 10, 64 << 10];
/// Numbers of messages that are sent before the next ones are.
const BURSTS: [u64; 2] = [1, 16];
/// Messages of one run.
const MESSAGES: u64 = 8_000;
/// Longest wait for a message.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which the daemons' counters are reported.
const REPORT_TIME: Duration = Duration::from_millis(2_200);
const US_PER_SECOND: f64 = 1e6;

/// Counts the messages that it receives.
#[derive(Default)]
struct Counter {
    received: AtomicU64,
    more: Notify,
}

impl Counter {
    /// Waits until so many messages were received.
    async fn wait(&self, messages: u64) -> Result<()> {
        let received = async {
            while self.received.load(Ordering::Relaxed) < messages {
                self.more.notified().await;
            }
        };
        timeout(RECEIVE_TIMEOUT, received).await.context("a message never arrived")
    }
}

impl Handler for Counter {
    fn receive(&self, _: &str, _: &[u8]) {
        self.received.fetch_add(1, Ordering::Relaxed);
        self.more.notify_one();
    }
}

/// Cost of one message at both hosts together.
#[derive(Clone, Copy, Debug)]
struct Cost {
    cpu_us: f64,
    system_calls: f64,
    bytes: f64,
}

/// Measures each size and burst, with one run for each seed.
pub(crate) async fn run(plan: Plan) -> Result<Output> {
    let mut table = Table::new(&[
        "bytes of the body",
        "sent at a time",
        "CPU us a message",
        "system calls a message",
        "bytes on the connection a message",
    ]);
    let mut points = Vec::new();
    for burst in BURSTS {
        for size in SIZES {
            let mut costs = Vec::new();
            for _ in plan.seeds() {
                costs.push(measure(size, burst).await?);
            }
            let spread = |f: fn(&Cost) -> f64| Spread::new(costs.iter().map(f));
            if burst == 1 {
                points.push((size as f64, spread(|c| c.cpu_us).median()));
            }
            table.add_row([
                size.to_string(),
                burst.to_string(),
                spread(|c| c.cpu_us).format(1),
                spread(|c| c.system_calls).format(2),
                spread(|c| c.bytes).format(0),
            ]);
        }
    }
    let findings = Findings {
        title: "Cost of a message between hosts",
        about: "Processor time of both hosts together, which are one process, user and system, from \
                `/proc`; system calls and bytes are those that the transport counts, reads and \
                writes of both hosts.",
        setup: format!(
            "Two hosts on loopback, {MESSAGES} one-way messages a run, the next ones sent once the \
             last ones were received. Bodies are random and do not compress."
        ),
        tables: vec![table],
        conclusion: "The test that waits for each message is part of the processor time."
            .to_owned(),
    };
    let plot = Plot {
        title: "Processor time of a message sent alone".to_owned(),
        x_label: "bytes",
        y_label: "microseconds",
        series: vec![Series::new("median over runs", points)],
    };
    Ok(Output { findings, plot })
}

/// One run.
async fn measure(size: usize, burst: u64) -> Result<Cost> {
    let receiver = MetricsReceiver::start()?;
    let metrics = Metrics::new(Some(receiver.address()))?;
    let counter = Arc::new(Counter::default());
    let (mut to_kernel, to) = start("a", None, &metrics).await?;
    let peers: Arc<dyn Peers> = to_kernel.context().find(<dyn Peers>::NAME)?;
    peers.set_handler(Topic::Member, counter.clone());
    let (mut from_kernel, _) = start("b", to.address(), &metrics).await?;
    let from: Arc<dyn Peers> = from_kernel.context().find(<dyn Peers>::NAME)?;
    while from.others().is_empty() {
        sleep(Duration::from_millis(10)).await;
    }
    let body: Vec<u8> = std::iter::repeat_with(rand::random).take(size).collect();
    let send = async |messages: u64| {
        let mut received = counter.received.load(Ordering::Relaxed);
        for _ in 0..messages / burst {
            (0..burst).for_each(|_| from.send("a", Topic::Member, body.clone()));
            received += burst;
            counter.wait(received).await?;
        }
        anyhow::Ok(())
    };
    send(MESSAGES / 10).await?;
    sleep(REPORT_TIME).await;
    let counted = |name| receiver.sum(name) as f64;
    let calls = || counted("peers.writes") + counted("peers.reads");
    let (calls_before, bytes_before) = (calls(), counted("peers.sent_bytes"));
    let cpu_before = proc::own_cpu_time()?;
    send(MESSAGES).await?;
    let cpu = proc::own_cpu_time()? - cpu_before;
    sleep(REPORT_TIME).await;
    let each = |total: f64| total / MESSAGES as f64;
    let cost = Cost {
        cpu_us: each(cpu.as_secs_f64() * US_PER_SECOND),
        system_calls: each(calls() - calls_before),
        bytes: each(counted("peers.sent_bytes") - bytes_before),
    };
    for kernel in [&mut from_kernel, &mut to_kernel] {
        kernel.stop(Span::secs(5)).await;
    }
    Ok(cost)
}

async fn start(
    name: &str,
    seed: Option<std::net::SocketAddr>,
    metrics: &Metrics,
) -> Result<(Kernel, Arc<PeersService>)> {
    let secret = Secret::new("secret of an experiment").map_err(anyhow::Error::msg)?;
    let service = PeersService::new(PeerSettings {
        host: name.to_owned(),
        zone: "north".to_owned(),
        listen: ([127, 0, 0, 1], 0).into(),
        seeds: seed.into_iter().collect(),
        keys: HostKeys::Secret(secret),
    });
    let service = Arc::new(service.with_metrics(metrics.clone()));
    let mut kernel = Kernel::default();
    kernel.start(service.clone()).await?;
    Ok((kernel, service))
}
