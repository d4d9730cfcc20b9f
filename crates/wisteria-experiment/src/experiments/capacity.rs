//! Resources that an idle host uses, by the number of hosts and of endpoints.
//!
//! The daemons get no queries, and the endpoints only announce themselves. CPU time and memory come
//! from `/proc`. Sent bytes come from the daemons' metrics of traffic between hosts.

use std::time::Duration;

use anyhow::Result;
use tokio::time::{Instant, sleep};

use super::{Output, Plan};
use crate::metrics::MetricsReceiver;
use crate::page::{Findings, Table};
use crate::plot::{Plot, Series};
use crate::proc;
use crate::stats::{Spread, least_squares};
use crate::testbed::{LeafConfig, Testbed};

const ZONES: [&str; 4] = ["north", "south", "west", "east"];
/// Numbers of hosts in the first sweep, at `ENDPOINTS_FIXED` endpoints.
const HOSTS: [usize; 5] = [3, 7, 15, 30, 60];
const ENDPOINTS_FIXED: usize = 100;
/// Numbers of endpoints in the second sweep, at `HOSTS_FIXED` hosts.
const ENDPOINTS: [usize; 4] = [0, 100, 400, 1_000];
const HOSTS_FIXED: usize = 7;
/// Default length of a measurement.
const SECONDS: f64 = 10.0;
/// Delay before a measurement in which the hosts discover each other.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Size of the TCP and IPv4 headers of a segment, timestamps included; a write is one segment or more.
const HEADER_BYTES: i64 = 52;
/// Tier size that the limits apply to.
const DESIGN_HOSTS: f64 = 430.0;
const DESIGN_ENDPOINTS: f64 = 2_000.0;
const BYTES_PER_KB: f64 = 1_000.0;
const BYTES_PER_MB: f64 = 1e6;

/// Resource usage of one host in one run: the mean over all hosts, except for memory.
#[derive(Clone, Copy, Debug)]
struct HostUsage {
    /// CPU time as a percentage of one core.
    cpu_percent: f64,
    /// Greatest resident memory of any host, in MB.
    memory_mb: f64,
    /// Data sent to other hosts, headers included, in KB per second.
    sent_kb: f64,
}

/// A figure of the tables.
struct Figure {
    name: &'static str,
    /// Greatest allowed value at the design size.
    limit: f64,
    value: fn(&HostUsage) -> f64,
}

const FIGURES: [Figure; 3] = [
    Figure { name: "per cent of a core", limit: 1.4, value: |u| u.cpu_percent },
    Figure { name: "MB", limit: 32.0, value: |u| u.memory_mb },
    Figure { name: "KB sent a second", limit: 27.0, value: |u| u.sent_kb },
];

/// Runs both sweeps, with one run of each size for each seed.
pub(crate) async fn run(plan: Plan) -> Result<Output> {
    let seconds = plan.seconds(SECONDS);
    let hosts = sweep(plan, HOSTS.map(|n| (n, ENDPOINTS_FIXED)), seconds).await?;
    let endpoints = sweep(plan, ENDPOINTS.map(|n| (HOSTS_FIXED, n)), seconds).await?;
    let points = medians(&hosts, &FIGURES[0]).map(|((n, _), cpu)| (n as f64, cpu)).collect();
    let findings = Findings {
        title: "Control at rest, by hosts and endpoints",
        about: "Idle daemons in four zones and announcing endpoints, no queries. Means over the \
                hosts of a run; memory is the greatest of any host. Sent bytes are those to other \
                hosts, from the daemons' metrics `peers.sent_bytes` and `peers.writes`, \
                52 bytes of headers added to each write; announcements of endpoints and the \
                answers to them go over another port and are not in it.",
        setup: format!(
            "{seconds} s a measurement. The daemons report once a second, so that the bytes of a \
             host are off by those of a second at most."
        ),
        tables: vec![usage_table(&hosts), usage_table(&endpoints), fit_table([&hosts, &endpoints])],
        conclusion: "The last table is a least-squares fit over both sweeps, read far beyond the \
                  measured sizes: it ranks the costs and shows misses; it proves no hold."
            .to_owned(),
    };
    let plot = Plot {
        title: "Processor time of a host at rest".to_owned(),
        x_label: "hosts (at 100 endpoints)",
        y_label: "per cent of a core",
        series: vec![Series::new("median over runs", points)],
    };
    Ok(Output { findings, plot })
}

/// Numbers of hosts and of endpoints.
type Size = (usize, usize);
/// Usage at each size, for all runs.
type Sweep = Vec<(Size, Vec<HostUsage>)>;

/// Measures each size, with one run for each seed.
async fn sweep(plan: Plan, sizes: impl IntoIterator<Item = Size>, seconds: f64) -> Result<Sweep> {
    let mut all = Vec::new();
    for size in sizes {
        let mut usage = Vec::new();
        for seed in plan.seeds() {
            usage.push(run_seed(size, seconds, seed).await?);
        }
        all.push((size, usage));
    }
    Ok(all)
}

/// Measures one size with one seed.
async fn run_seed((hosts, endpoints): Size, seconds: f64, seed: u64) -> Result<HostUsage> {
    let receiver = MetricsReceiver::start()?;
    let zones = hosts.min(ZONES.len());
    let metrics = receiver.address().to_string();
    let mut testbed = Testbed::start_with(hosts, &ZONES[..zones], &["--metrics", &metrics]).await?;
    for (i, zone) in ZONES.iter().enumerate().take(zones) {
        let n = endpoints / zones + usize::from(i < endpoints % zones);
        if n > 0 {
            testbed.start_leaves(&LeafConfig::new(zone, n, seed)).await?;
        }
    }
    testbed.admit_endpoints().await?;
    sleep(SETTLE_TIME).await;
    let (start, sent_before, cpu_before) =
        (Instant::now(), sent_bytes(&receiver), cpu_time(&testbed)?);
    sleep(Duration::from_secs_f64(seconds)).await;
    let elapsed = start.elapsed().as_secs_f64();
    let sent_kb =
        (sent_bytes(&receiver) - sent_before) as f64 / BYTES_PER_KB / elapsed / hosts as f64;
    let cores = (cpu_time(&testbed)? - cpu_before).as_secs_f64() / elapsed / hosts as f64;
    let memory = testbed.tier.daemons.iter().map(|d| proc::resident_bytes(&d.process));
    let memory = memory.collect::<Result<Vec<u64>>>()?.into_iter().max().unwrap_or(0);
    Ok(HostUsage { cpu_percent: 100.0 * cores, memory_mb: memory as f64 / BYTES_PER_MB, sent_kb })
}

/// Total bytes that all hosts have sent to each other, headers included.
fn sent_bytes(receiver: &MetricsReceiver) -> i64 {
    receiver.sum("peers.sent_bytes") + HEADER_BYTES * receiver.sum("peers.writes")
}

/// Total CPU time of all hosts.
fn cpu_time(testbed: &Testbed) -> Result<Duration> {
    testbed.tier.daemons.iter().map(|d| proc::cpu_time(&d.process)).sum()
}

/// A table of the measured figures of a sweep.
fn usage_table(sweep: &Sweep) -> Table {
    let mut header = vec!["hosts", "endpoints"];
    header.extend(FIGURES.iter().map(|f| f.name));
    let mut table = Table::new(&header);
    for ((hosts, endpoints), usage) in sweep {
        let mut row = vec![hosts.to_string(), endpoints.to_string()];
        row.extend(FIGURES.iter().map(|f| Spread::new(usage.iter().map(f.value)).format(2)));
        table.add_row(row);
    }
    table
}

/// Median of the figure over runs, for each size.
fn medians<'a>(
    sweep: &'a Sweep,
    figure: &'a Figure,
) -> impl Iterator<Item = (Size, f64)> + use<'a> {
    sweep.iter().map(|(size, usage)| (*size, Spread::new(usage.iter().map(figure.value)).median()))
}

/// Terms of the fit of a host's usage: a constant, the hosts, the endpoints, and the endpoints that
/// announce to one host.
fn features((hosts, endpoints): (f64, f64)) -> [f64; 4] {
    [1.0, hosts, endpoints, endpoints / hosts]
}

/// A table of the fitted coefficients and of the values that they predict at the design size.
fn fit_table(sweeps: [&Sweep; 2]) -> Table {
    let mut table = Table::new(&[
        "figure of one host",
        "at rest",
        "per host of the tier",
        "per endpoint of the tier",
        "per endpoint that announces to it",
        "at 430 hosts and 2,000 endpoints",
        "limit",
        "held",
    ]);
    for figure in &FIGURES {
        let rows: Vec<([f64; 4], f64)> = sweeps
            .iter()
            .flat_map(|sweep| medians(sweep, figure))
            .map(|((hosts, endpoints), value)| (features((hosts as f64, endpoints as f64)), value))
            .collect();
        let Some(fitted) = least_squares(&rows) else { continue };
        let design = features((DESIGN_HOSTS, DESIGN_ENDPOINTS));
        let design: f64 = design.iter().zip(fitted).map(|(f, c)| f * c).sum();
        let mut row = vec![figure.name.to_owned()];
        row.extend(fitted.iter().map(|c| format!("{c:.4}")));
        row.extend([format!("{design:.1}"), figure.limit.to_string()]);
        row.push(if design <= figure.limit { "yes" } else { "no" }.to_owned());
        table.add_row(row);
    }
    table
}
