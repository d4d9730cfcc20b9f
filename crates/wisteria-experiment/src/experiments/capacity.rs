//! What a host spends on control, by the number of hosts and of endpoints.
//!
//! Idle daemons and announcing endpoints; processor time and memory from `/proc`, bytes from the
//! daemons' own metrics of the hosts' port.

use std::time::Duration;

use anyhow::Result;
use tokio::time::{Instant, sleep};

use super::{Output, Plan};
use crate::lab::{Lab, Shape};
use crate::meter::Meter;
use crate::page::{Findings, Table};
use crate::plot::{Plot, Series};
use crate::proc;
use crate::stats::{Spread, fit};

const ZONES: [&str; 4] = ["north", "south", "west", "east"];
/// Sweep over hosts at this number of endpoints.
const HOSTS: [usize; 5] = [3, 7, 15, 30, 60];
const ENDPOINTS_FIXED: usize = 100;
/// Sweep over endpoints at this number of hosts.
const ENDPOINTS: [usize; 4] = [0, 100, 400, 1_000];
const HOSTS_FIXED: usize = 7;
/// Length of a measurement.
const SECONDS: f64 = 10.0;
/// Time for the hosts to find each other before it.
const SETTLE: Duration = Duration::from_secs(3);
/// Bytes of the headers of UDP and IPv4 in front of each datagram.
const HEADER_BYTES: i64 = 28;
/// The size to design for.
const DESIGN_HOSTS: f64 = 430.0;
const DESIGN_ENDPOINTS: f64 = 2_000.0;
const BYTES_PER_KB: f64 = 1_000.0;
const BYTES_PER_MB: f64 = 1e6;

/// What one host spends, the mean over all hosts of a run.
#[derive(Clone, Copy, Debug)]
struct Spent {
    /// Processor time, in per cent of a core.
    cpu: f64,
    /// Greatest resident memory of a host, in MB.
    memory: f64,
    /// Sent to other hosts, headers included, in KB a second.
    sent: f64,
}

/// One kind of figure.
struct Figure {
    name: &'static str,
    limit: f64,
    of: fn(&Spent) -> f64,
}

const FIGURES: [Figure; 3] = [
    Figure { name: "per cent of a core", limit: 1.4, of: |s| s.cpu },
    Figure { name: "MB", limit: 32.0, of: |s| s.memory },
    Figure { name: "KB sent a second", limit: 27.0, of: |s| s.sent },
];

/// Runs both sweeps once for each seed.
pub(crate) async fn run(plan: Plan) -> Result<Output> {
    let seconds = plan.seconds(SECONDS);
    let hosts = sweep(plan, HOSTS.map(|n| (n, ENDPOINTS_FIXED)), seconds).await?;
    let endpoints = sweep(plan, ENDPOINTS.map(|n| (HOSTS_FIXED, n)), seconds).await?;
    let points = medians(&hosts, &FIGURES[0]).map(|((n, _), cpu)| (n as f64, cpu)).collect();
    let findings = Findings {
        title: "Control at rest, by hosts and endpoints",
        about: "Idle daemons in four zones and announcing endpoints, no queries. Means over the \
                hosts of a run; memory is the greatest of any host. Sent bytes are those to other \
                hosts, from the daemons' metrics `peers.sent_bytes` and `peers.sent_datagrams`, \
                28 bytes of headers added to each datagram; announcements of endpoints and the \
                answers to them go over another port and are not in it.",
        setup: format!(
            "{seconds} s a measurement. The daemons report once a second, so that the bytes of a \
             host are off by those of a second at most."
        ),
        tables: vec![measured(&hosts), measured(&endpoints), slopes([&hosts, &endpoints])],
        verdict: "The last table is a least-squares fit over both sweeps, read far beyond the \
                  measured sizes: it ranks the costs and shows misses; it proves no hold."
            .to_owned(),
    };
    let plot = Plot {
        title: "Processor time of a host at rest".to_owned(),
        across: "hosts (at 100 endpoints)",
        up: "per cent of a core",
        series: vec![Series::new("median over runs", points)],
    };
    Ok(Output { findings, plot })
}

type Size = (usize, usize);
type Sweep = Vec<(Size, Vec<Spent>)>;

async fn sweep(plan: Plan, sizes: impl IntoIterator<Item = Size>, seconds: f64) -> Result<Sweep> {
    let mut all = Vec::new();
    for size in sizes {
        let mut spent = Vec::new();
        for seed in plan.seeds() {
            spent.push(once(size, seconds, seed).await?);
        }
        all.push((size, spent));
    }
    Ok(all)
}

async fn once((hosts, endpoints): Size, seconds: f64, seed: u64) -> Result<Spent> {
    let meter = Meter::start()?;
    let zones = hosts.min(ZONES.len());
    let metrics = meter.address().to_string();
    let mut lab = Lab::start_with(hosts, &ZONES[..zones], &["--metrics", &metrics]).await?;
    for (i, zone) in ZONES.iter().enumerate().take(zones) {
        let n = endpoints / zones + usize::from(i < endpoints % zones);
        if n > 0 {
            lab.leaves(&Shape::new(zone, n, seed)).await?;
        }
    }
    lab.admit().await?;
    sleep(SETTLE).await;
    let (begun, bytes, cpu) = (Instant::now(), sent(&meter), cpu(&lab)?);
    sleep(Duration::from_secs_f64(seconds)).await;
    let elapsed = begun.elapsed().as_secs_f64();
    let sent = (sent(&meter) - bytes) as f64 / BYTES_PER_KB / elapsed / hosts as f64;
    let cpu = (self::cpu(&lab)? - cpu).as_secs_f64() / elapsed / hosts as f64;
    let memory = lab.tier.daemons.iter().map(|d| proc::memory(&d.process));
    let memory = memory.collect::<Result<Vec<u64>>>()?.into_iter().max().unwrap_or(0);
    Ok(Spent { cpu: 100.0 * cpu, memory: memory as f64 / BYTES_PER_MB, sent })
}

/// Bytes that all hosts together have sent to each other.
fn sent(meter: &Meter) -> i64 {
    meter.sum("peers.sent_bytes") + HEADER_BYTES * meter.sum("peers.sent_datagrams")
}

/// Processor time of all hosts together.
fn cpu(lab: &Lab) -> Result<Duration> {
    lab.tier.daemons.iter().map(|d| proc::cpu(&d.process)).sum()
}

fn measured(sweep: &Sweep) -> Table {
    let mut head = vec!["hosts", "endpoints"];
    head.extend(FIGURES.iter().map(|f| f.name));
    let mut table = Table::new(&head);
    for ((hosts, endpoints), spent) in sweep {
        let mut row = vec![hosts.to_string(), endpoints.to_string()];
        row.extend(FIGURES.iter().map(|f| Spread::new(spent.iter().map(f.of)).show(2)));
        table.row(row);
    }
    table
}

/// For each size, the median of a figure.
fn medians<'a>(
    sweep: &'a Sweep,
    figure: &'a Figure,
) -> impl Iterator<Item = (Size, f64)> + use<'a> {
    sweep.iter().map(|(size, spent)| (*size, Spread::new(spent.iter().map(figure.of)).median()))
}

/// What the spending of a host is made of.
fn features((hosts, endpoints): (f64, f64)) -> [f64; 4] {
    [1.0, hosts, endpoints, endpoints / hosts]
}

fn slopes(sweeps: [&Sweep; 2]) -> Table {
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
        let Some(fitted) = fit(&rows) else { continue };
        let design = features((DESIGN_HOSTS, DESIGN_ENDPOINTS));
        let design: f64 = design.iter().zip(fitted).map(|(f, c)| f * c).sum();
        let mut row = vec![figure.name.to_owned()];
        row.extend(fitted.iter().map(|c| format!("{c:.4}")));
        row.extend([format!("{design:.1}"), figure.limit.to_string()]);
        row.push(if design <= figure.limit { "yes" } else { "no" }.to_owned());
        table.row(row);
    }
    table
}
