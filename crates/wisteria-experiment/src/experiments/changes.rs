//! Time from the acceptance of a change until it is in force at every host.

use std::time::Duration;

use anyhow::{Context, Result};
use tokio::time::{Instant, sleep, timeout};
use wisteriahead::ops::client::{Client, Server};

use super::{Output, Plan};
use crate::lab::{Lab, edit, revision};
use crate::page::{Findings, Table};
use crate::plot::{Plot, Series};
use crate::stats::{Spread, ms, quantile};

/// Numbers of hosts; the first is that of the goal.
const HOSTS: [usize; 3] = [7, 15, 30];
const ZONES: [&str; 4] = ["north", "south", "west", "east"];
/// Changes of one run; each is sent to the next host.
const CHANGES: usize = 20;
/// Pause between two looks at a host's revision, for each host.
const LOOK: Duration = Duration::from_millis(1);
const PATIENCE: Duration = Duration::from_secs(10);
const GOAL_MS: f64 = 1_000.0;

/// Times of the changes of one run, in milliseconds.
#[derive(Clone, Debug, Default)]
struct Run {
    accepted: Vec<f64>,
    everywhere: Vec<f64>,
    failed: usize,
}

/// Runs each number of hosts as often as there are seeds.
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
    let (mut points, mut verdict) = (Vec::new(), String::new());
    for hosts in HOSTS {
        let mut runs = Vec::new();
        for _ in plan.seeds() {
            runs.push(once(hosts).await?);
        }
        let at = |of: fn(&Run) -> &Vec<f64>, q: f64| {
            Spread::new(runs.iter().map(|r| quantile(of(r), q)))
        };
        let failed: usize = runs.iter().map(|r| r.failed).sum();
        let p99 = at(|r| &r.everywhere, 0.99);
        if hosts == HOSTS[0] {
            verdict = goal(&p99, failed);
        }
        points.push((hosts as f64, p99.median()));
        table.row([
            hosts.to_string(),
            at(|r| &r.accepted, 0.5).show(1),
            at(|r| &r.accepted, 0.99).show(1),
            at(|r| &r.everywhere, 0.5).show(1),
            p99.show(1),
            at(|r| &r.everywhere, 1.0).show(1),
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
        verdict,
    };
    let plot = Plot {
        title: "Time from acceptance to all hosts, p99".to_owned(),
        across: "hosts",
        up: "ms",
        series: vec![Series::new("median over runs", points)],
    };
    Ok(Output { findings, plot })
}

fn goal(p99: &Spread, failed: usize) -> String {
    let met = if p99.median() <= GOAL_MS && failed == 0 { "met" } else { "missed" };
    let (hosts, p99) = (HOSTS[0], p99.median());
    format!("Goal: at all {hosts} hosts within 1 s at p99: {met} ({p99:.1} ms).")
}

async fn once(hosts: usize) -> Result<Run> {
    let lab = Lab::start(hosts, &ZONES).await?;
    lab.apply("").await?;
    let tls = lab.tier.operator();
    let clients = lab.tier.daemons.iter().map(|d| {
        Client::new(&Server { address: d.operators, tls: tls.clone() })
            .map_err(|_| anyhow::anyhow!("the operator's key can't be used"))
    });
    let clients = clients.collect::<Result<Vec<Client>>>()?;
    let mut run = Run::default();
    for change in 0..CHANGES {
        if step(&lab, &clients, change, &mut run).await.is_err() {
            run.failed += 1;
        }
    }
    Ok(run)
}

async fn step(lab: &Lab, clients: &[Client], change: usize, run: &mut Run) -> Result<()> {
    let at = &clients[change % clients.len()];
    let base = revision(at).await?;
    let text = format!("# change {change}\n{}", lab.inventory(""));
    let sent = Instant::now();
    let new = edit(at, &format!("change-{change}"), base, text).await?;
    let accepted = Instant::now();
    let all = clients.iter().map(|c| seen(c, clients.len() as u32, new));
    timeout(PATIENCE, futures::future::try_join_all(all)).await.context("not everywhere")??;
    run.accepted.push(ms(accepted - sent));
    run.everywhere.push(ms(accepted.elapsed()));
    Ok(())
}

async fn seen(client: &Client, hosts: u32, wanted: u64) -> Result<()> {
    while revision(client).await? < wanted {
        sleep(LOOK * hosts).await;
    }
    Ok(())
}
