//! Time from when a change is accepted until it is in force at every host.

use std::time::Duration;

use anyhow::{Context, Result};
use tokio::time::{Instant, sleep, timeout};
use wisteriahead::ops::client::{Client, Server};

use super::{Output, Plan};
use crate::page::{Findings, Table};
use crate::plot::{Plot, Series};
use crate::stats::{Spread, ms, quantile};
use crate::testbed::{Testbed, put_inventory, revision};

/// Numbers of hosts to measure; the goal applies to the first.
const HOSTS: [usize; 3] = [7, 15, 30];
const ZONES: [&str; 4] = ["north", "south", "west", "east"];
/// Changes in one run; each is sent to the next host.
const CHANGES: usize = 20;
/// Delay between two requests for a host's revision, multiplied by the number of hosts.
const POLL_DELAY: Duration = Duration::from_millis(1);
/// Time after which a change that is not in force everywhere counts as failed.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Goal for the 99th percentile of the time to all hosts.
const GOAL_MS: f64 = 1_000.0;

/// Times of the changes in one run, in milliseconds.
#[derive(Clone, Debug, Default)]
struct Run {
    /// From the request to its acceptance.
    accepted: Vec<f64>,
    /// From the acceptance until all hosts have the change in force.
    everywhere: Vec<f64>,
    /// Number of changes that failed.
    failed: usize,
}

/// Measures each number of hosts, with as many runs as there are seeds.
pub(crate) async fn run(plan: Plan) -> Result<Output> {
    let mut table = Table::new(&[
        "hosts",
        "p50 ms to acceptance",
        "p99 ms to acceptance",
        "p50 ms to all hosts",
        "p99 ms to all hosts",
        "longest ms to all hosts",
        "changes that failed, all runs",
    ]);
    let (mut points, mut conclusion) = (Vec::new(), String::new());
    for hosts in HOSTS {
        let mut runs = Vec::new();
        for _ in plan.seeds() {
            runs.push(run_hosts(hosts).await?);
        }
        let spread = |times: fn(&Run) -> &Vec<f64>, q: f64| {
            Spread::new(runs.iter().map(|r| quantile(times(r), q)))
        };
        let failed: usize = runs.iter().map(|r| r.failed).sum();
        let p99 = spread(|r| &r.everywhere, 0.99);
        if hosts == HOSTS[0] {
            conclusion = check_goal(&p99, failed);
        }
        points.push((hosts as f64, p99.median()));
        table.add_row([
            hosts.to_string(),
            spread(|r| &r.accepted, 0.5).format(1),
            spread(|r| &r.accepted, 0.99).format(1),
            spread(|r| &r.everywhere, 0.5).format(1),
            p99.format(1),
            spread(|r| &r.everywhere, 1.0).format(1),
            failed.to_string(),
        ]);
    }
    let findings = Findings {
        title: "A change in force everywhere",
        about: "Edits of the inventory, one after the other, each sent to the next host; every \
                host is asked for its revision until it has the new one. The asking itself costs \
                time on one machine, the more the more hosts there are.",
        setup: format!("Hosts in four zones, {CHANGES} changes a run, no other load."),
        tables: vec![table],
        conclusion,
    };
    let plot = Plot {
        title: "Time from acceptance to all hosts, p99".to_owned(),
        x_label: "hosts",
        y_label: "ms",
        series: vec![Series::new("median over runs", points)],
    };
    Ok(Output { findings, plot })
}

/// Sentence on whether the goal is met.
fn check_goal(p99: &Spread, failed: usize) -> String {
    let met = if p99.median() <= GOAL_MS && failed == 0 { "met" } else { "missed" };
    let (hosts, p99) = (HOSTS[0], p99.median());
    format!("Goal: at all {hosts} hosts within 1 s at p99: {met} ({p99:.1} ms).")
}

/// Runs all changes on a new tier of this many hosts.
async fn run_hosts(hosts: usize) -> Result<Run> {
    let testbed = Testbed::start(hosts, &ZONES).await?;
    testbed.apply_inventory("").await?;
    let tls = testbed.tier.operator();
    let clients = testbed.tier.daemons.iter().map(|d| {
        Client::new(&Server { address: d.operators, tls: tls.clone() })
            .map_err(|_| anyhow::anyhow!("could not create a client with the operator's key"))
    });
    let clients = clients.collect::<Result<Vec<Client>>>()?;
    let mut run = Run::default();
    for change in 0..CHANGES {
        if measure_change(&testbed, &clients, change, &mut run).await.is_err() {
            run.failed += 1;
        }
    }
    Ok(run)
}

/// Submits one change and measures when it is accepted and when it is in force at all hosts.
async fn measure_change(
    testbed: &Testbed,
    clients: &[Client],
    change: usize,
    run: &mut Run,
) -> Result<()> {
    let client = &clients[change % clients.len()];
    let base = revision(client).await?;
    let text = format!("# change {change}\n{}", testbed.inventory(""));
    let sent = Instant::now();
    let new = put_inventory(client, &format!("change-{change}"), base, text).await?;
    let accepted = Instant::now();
    let waits = clients.iter().map(|c| wait_for_revision(c, clients.len() as u32, new));
    timeout(CHANGE_TIMEOUT, futures::future::try_join_all(waits))
        .await
        .context("change is not in force at all hosts in time")??;
    run.accepted.push(ms(accepted - sent));
    run.everywhere.push(ms(accepted.elapsed()));
    Ok(())
}

/// Polls a host until it has the revision in force.
async fn wait_for_revision(client: &Client, hosts: u32, wanted: u64) -> Result<()> {
    while revision(client).await? < wanted {
        sleep(POLL_DELAY * hosts).await;
    }
    Ok(())
}
