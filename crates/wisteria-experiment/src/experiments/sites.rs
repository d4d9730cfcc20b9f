//! The users' two deployments at full size, each under two policies for timeouts and coverage.

use std::time::Duration;

use anyhow::Result;
use futures::future::try_join_all;
use wisteria_load::{Report, Settings as LoadSettings, send_searches, total_executions};

use super::{Output, Plan};
use crate::page::{Findings, Table};
use crate::plot::{Plot, Series};
use crate::stats::Spread;
use crate::testbed::{LeafConfig, Testbed};
use crate::timeline::sum_counts;

/// Default length of the load of one run.
const SECONDS: f64 = 12.0;
/// Probability of a straggler.
const STRAGGLERS: f64 = 0.01;
/// Mean execution time without stragglers.
const MEAN: Duration = Duration::from_millis(5);
/// Time to set up a connection to an endpoint of a search service.
const SEARCH_SETUP: Duration = Duration::from_millis(6);
/// Time to set up a connection to an endpoint of a lookup service.
const LOOKUP_SETUP: Duration = Duration::from_millis(1);

/// A service: its endpoints and the load on them.
#[derive(Clone, Copy, Debug)]
struct Service {
    name: &'static str,
    shards: usize,
    endpoints: usize,
    /// Requests that an endpoint runs at once.
    slots: u32,
    /// Connections that an endpoint serves at once.
    connections: u32,
    setup: Duration,
    /// Mean queries per second.
    rate: f64,
}

/// A deployment of several services.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Site {
    title: &'static str,
    zones: &'static [&'static str],
    hosts: usize,
    /// One-way network delay, added to every request and answer of every endpoint.
    delay: Duration,
    services: [Service; 4],
}

/// A service whose queries fan out to all shards, with two endpoints for each shard.
const fn search(name: &'static str, shards: usize, rate: f64) -> Service {
    let (endpoints, setup) = (2 * shards, SEARCH_SETUP);
    Service { name, shards, endpoints, slots: 2, connections: 25, setup, rate }
}

/// A service with one shard, which every endpoint holds.
const fn lookup(
    name: &'static str,
    endpoints: usize,
    slots: u32,
    connections: u32,
    rate: f64,
) -> Service {
    Service { name, shards: 1, endpoints, slots, connections, setup: LOOKUP_SETUP, rate }
}

pub(crate) const SHIRAKABA: Site = Site {
    title: "Shirakaba Rope Works at its size",
    zones: &["zone-1", "zone-2", "zone-3", "zone-4"],
    hosts: 7,
    delay: Duration::from_millis(1),
    services: [
        search("kits", 20, 30.0),
        search("spools", 30, 20.0),
        lookup("orders", 7, 2, 100, 40.0),
        lookup("labels", 4, 2, 100, 20.0),
    ],
};

pub(crate) const AGENCY: Site = Site {
    title: "The Agency at its size",
    zones: &["zone-1", "zone-2", "zone-3"],
    hosts: 6,
    delay: Duration::from_micros(500),
    services: [
        search("reconciliation", 20, 20.0),
        search("portal", 30, 30.0),
        lookup("telephone", 13, 3, 40, 40.0),
        lookup("reports", 6, 3, 40, 20.0),
    ],
};

/// Timeout and minimum coverage that the callers ask for.
#[derive(Clone, Copy, Debug)]
struct Policy {
    name: &'static str,
    timeout_ms: u64,
    /// Minimum coverage.
    coverage: f64,
}

const POLICIES: [Policy; 2] = [
    Policy { name: "tail latency first", timeout_ms: 60, coverage: 0.8 },
    Policy { name: "coverage first", timeout_ms: 1_000, coverage: 1.0 },
];

/// Reports of one run, one for each service.
type Reports = Vec<Report>;

/// Measures each policy, with one run for each seed.
pub(crate) async fn run(plan: Plan, site: Site) -> Result<Output> {
    let seconds = plan.seconds(SECONDS);
    let mut table = Table::new(&[
        "policy",
        "service",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "coverage of answers",
        "complete of requests",
        "executions over least",
        "refusals, all runs",
        "errors, all runs",
    ]);
    let mut series = Vec::new();
    for policy in POLICIES {
        let mut runs: Vec<Reports> = Vec::new();
        for seed in plan.seeds() {
            runs.push(run_seed(site, policy, seconds, seed).await?);
        }
        for (i, service) in site.services.iter().enumerate() {
            let reports: Vec<Report> = runs.iter().map(|r| r[i].clone()).collect();
            table.add_row(row(policy, *service, &reports));
        }
        series.push(points(policy, &runs));
    }
    let findings = Findings {
        title: site.title,
        about: "Services, endpoints, slots, connections and set-up times of the brief; the delay \
                between zones is added one way to every request and every answer of every \
                endpoint, the host's own zone included. Stragglers: 1 in 100, ten times longer.",
        setup: format!(
            "{} hosts in {} zones, delay {:?} one way, {} endpoints, executions of 5 ms in the \
             mean, all services at once, {seconds} s a run. Tail latency first: {} ms allowed, \
             least coverage {}. Coverage first: {} ms, least coverage {}.",
            site.hosts,
            site.zones.len(),
            site.delay,
            site.services.iter().map(|s| s.endpoints).sum::<usize>(),
            POLICIES[0].timeout_ms,
            POLICIES[0].coverage,
            POLICIES[1].timeout_ms,
            POLICIES[1].coverage
        ),
        tables: vec![table],
        conclusion: "Latencies count from the intended arrival at the caller; the callers' own \
                     3 ms to the hosts are not in them."
            .to_owned(),
    };
    let plot = Plot {
        title: "p99 of answers by service, in the order of the table".to_owned(),
        x_label: "service",
        y_label: "ms",
        series,
    };
    Ok(Output { findings, plot })
}

/// Runs one seed.
async fn run_seed(site: Site, policy: Policy, seconds: f64, seed: u64) -> Result<Reports> {
    let mut testbed = Testbed::start(site.hosts, site.zones).await?;
    for (i, service) in (0..).zip(&site.services) {
        start_service(&mut testbed, site, *service, seed * 100_000 + i * 1_000).await?;
    }
    testbed.admit_endpoints().await?;
    let mut runs = Vec::new();
    let zones = site.zones.len();
    for (i, service) in site.services.iter().enumerate() {
        testbed.tier.wait_for_shards(0, service.name, service.shards as u64).await?;
        let mut load = testbed.load_settings(service.rate, seconds, seed * 10 + i as u64);
        load.collection = service.name.to_owned();
        load.timeout_ms = policy.timeout_ms;
        load.min_coverage = Some(policy.coverage);
        load.leaf_control = testbed.leaf_controls()[i * zones..(i + 1) * zones].to_vec();
        runs.push(run_load(load));
    }
    try_join_all(runs).await
}

/// Runs the load of one service and reports on it.
async fn run_load(load: LoadSettings) -> Result<Report> {
    let before = total_executions(&load.leaf_control).await?;
    let samples = send_searches(&load).await?;
    let executions = total_executions(&load.leaf_control).await? - before;
    Report::from_samples(&samples, Some(executions))
}

/// Starts the endpoints of a service such that the two endpoints of a shard are in different zones.
async fn start_service(
    testbed: &mut Testbed,
    site: Site,
    service: Service,
    seed: u64,
) -> Result<()> {
    let zones = site.zones.len();
    let mut first = 0;
    for (i, zone) in site.zones.iter().enumerate() {
        let endpoints = service.endpoints / zones + usize::from(i < service.endpoints % zones);
        testbed
            .start_leaves(&LeafConfig {
                collection: service.name.to_owned(),
                endpoints,
                first: first % service.shards,
                slots: service.slots,
                connections: service.connections,
                setup: service.setup,
                delay: site.delay,
                mean: MEAN,
                stragglers: STRAGGLERS,
                ..LeafConfig::new(zone, service.shards, seed + 100 * i as u64)
            })
            .await?;
        first += endpoints;
    }
    Ok(())
}

/// Cells of the table's row for one service under one policy.
fn row(policy: Policy, service: Service, reports: &[Report]) -> Vec<String> {
    let spread =
        |f: fn(&Report) -> f64, decimals| Spread::new(reports.iter().map(f)).format(decimals);
    vec![
        policy.name.to_owned(),
        service.name.to_owned(),
        spread(|r| r.answers.p50_ms, 1),
        spread(|r| r.answers.p99_ms, 1),
        spread(|r| r.answers.p999_ms, 1),
        spread(|r| r.coverage.unwrap_or_default(), 4),
        spread(|r| r.complete, 4),
        spread(|r| r.load_ratio.unwrap_or_default(), 3),
        sum_counts(reports, |r| r.refusals.iter().map(|(k, n)| (k.as_str(), *n)).collect()),
        sum_counts(reports, |r| r.errors.iter().map(|(k, n)| (k.as_str(), *n)).collect()),
    ]
}

/// Median over runs of each service's 99th percentile.
fn points(policy: Policy, runs: &[Reports]) -> Series {
    let services = runs.first().map_or(0, Vec::len);
    let p99 = |i: usize| Spread::new(runs.iter().map(|r| r[i].answers.p99_ms)).median();
    Series::new(policy.name, (0..services).map(|i| (i as f64 + 1.0, p99(i))).collect())
}
