//! The two deployments at their sizes, under each of the two policies.

use std::time::Duration;

use anyhow::Result;
use futures::future::try_join_all;
use wisteria_load::{Report, Settings as Load, samples, total};

use super::{Output, Plan};
use crate::lab::{Lab, Shape};
use crate::page::{Findings, Table};
use crate::plot::{Plot, Series};
use crate::stats::Spread;
use crate::timeline::counts;

const SECONDS: f64 = 12.0;
const STRAGGLERS: f64 = 0.01;
const MEAN: Duration = Duration::from_millis(5);
/// Times to set up a connection to an endpoint.
const SLOW_SETUP: Duration = Duration::from_millis(6);
const FAST_SETUP: Duration = Duration::from_millis(1);

/// Endpoints of one kind and the load on them.
#[derive(Clone, Copy, Debug)]
struct Service {
    name: &'static str,
    shards: usize,
    endpoints: usize,
    slots: u32,
    connections: u32,
    setup: Duration,
    rate: f64,
}

/// One deployment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Site {
    title: &'static str,
    zones: &'static [&'static str],
    hosts: usize,
    delay: Duration,
    services: [Service; 4],
}

/// A service over which a query fans out; each part has two endpoints.
const fn search(name: &'static str, shards: usize, rate: f64) -> Service {
    let (endpoints, setup) = (2 * shards, SLOW_SETUP);
    Service { name, shards, endpoints, slots: 2, connections: 25, setup, rate }
}

/// A service whose endpoints all hold the same.
const fn lookup(
    name: &'static str,
    endpoints: usize,
    slots: u32,
    connections: u32,
    rate: f64,
) -> Service {
    Service { name, shards: 1, endpoints, slots, connections, setup: FAST_SETUP, rate }
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

/// What the callers ask for.
#[derive(Clone, Copy, Debug)]
struct Policy {
    name: &'static str,
    timeout_ms: u64,
    coverage: f64,
}

const POLICIES: [Policy; 2] = [
    Policy { name: "tail latency first", timeout_ms: 60, coverage: 0.8 },
    Policy { name: "coverage first", timeout_ms: 1_000, coverage: 1.0 },
];

/// The reports of one run, a service each.
type Reports = Vec<Report>;

/// Runs each policy from each seed.
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
            runs.push(once(site, policy, seconds, seed).await?);
        }
        for (i, service) in site.services.iter().enumerate() {
            let reports: Vec<Report> = runs.iter().map(|r| r[i].clone()).collect();
            table.row(row(policy, *service, &reports));
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
        verdict: "Latencies count from the intended arrival at the caller; the callers' own 3 ms \
                  to the hosts are not in them."
            .to_owned(),
    };
    let plot = Plot {
        title: "p99 of answers by service, in the order of the table".to_owned(),
        across: "service",
        up: "ms",
        series,
    };
    Ok(Output { findings, plot })
}

async fn once(site: Site, policy: Policy, seconds: f64, seed: u64) -> Result<Reports> {
    let mut lab = Lab::start(site.hosts, site.zones).await?;
    for (i, service) in (0..).zip(&site.services) {
        start(&mut lab, site, *service, seed * 100_000 + i * 1_000).await?;
    }
    lab.admit().await?;
    let mut runs = Vec::new();
    let zones = site.zones.len();
    for (i, service) in site.services.iter().enumerate() {
        lab.tier.wait_for_shards(0, service.name, service.shards as u64).await?;
        let mut load = lab.load(service.rate, seconds, seed * 10 + i as u64);
        load.collection = service.name.to_owned();
        load.timeout_ms = policy.timeout_ms;
        load.min_coverage = Some(policy.coverage);
        load.leaf_control = lab.controls()[i * zones..(i + 1) * zones].to_vec();
        runs.push(report(load));
    }
    try_join_all(runs).await
}

async fn report(load: Load) -> Result<Report> {
    let before = total(&load.leaf_control).await?;
    let samples = samples(&load).await?;
    let executions = total(&load.leaf_control).await? - before;
    Report::of(&samples, Some(executions))
}

/// Starts the endpoints of a service, so that the two of a shard stand in different zones.
async fn start(lab: &mut Lab, site: Site, service: Service, seed: u64) -> Result<()> {
    let zones = site.zones.len();
    let mut first = 0;
    for (i, zone) in site.zones.iter().enumerate() {
        let endpoints = service.endpoints / zones + usize::from(i < service.endpoints % zones);
        lab.leaves(&Shape {
            collection: service.name.to_owned(),
            endpoints,
            first: first % service.shards,
            slots: service.slots,
            connections: service.connections,
            setup: service.setup,
            delay: site.delay,
            mean: MEAN,
            stragglers: STRAGGLERS,
            ..Shape::new(zone, service.shards, seed + 100 * i as u64)
        })
        .await?;
        first += endpoints;
    }
    Ok(())
}

fn row(policy: Policy, service: Service, reports: &[Report]) -> Vec<String> {
    let of = |f: fn(&Report) -> f64, decimals| Spread::new(reports.iter().map(f)).show(decimals);
    vec![
        policy.name.to_owned(),
        service.name.to_owned(),
        of(|r| r.answers.p50_ms, 1),
        of(|r| r.answers.p99_ms, 1),
        of(|r| r.answers.p999_ms, 1),
        of(|r| r.coverage.unwrap_or_default(), 4),
        of(|r| r.complete, 4),
        of(|r| r.load_ratio.unwrap_or_default(), 3),
        counts(reports, |r| r.refusals.iter().map(|(k, n)| (k.as_str(), *n)).collect()),
        counts(reports, |r| r.errors.iter().map(|(k, n)| (k.as_str(), *n)).collect()),
    ]
}

fn points(policy: Policy, runs: &[Reports]) -> Series {
    let services = runs.first().map_or(0, Vec::len);
    let p99 = |i: usize| Spread::new(runs.iter().map(|r| r[i].answers.p99_ms)).median();
    Series::new(policy.name, (0..services).map(|i| (i as f64 + 1.0, p99(i))).collect())
}
