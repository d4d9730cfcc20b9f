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

const HOSTS: usize = 7;
const ZONES: [&str; 4] = ["north", "south", "west", "east"];
/// Changes of one run; each is sent to the next host.
const CHANGES: usize = 30;
const LOOK: Duration = Duration::from_millis(2);
const PATIENCE: Duration = Duration::from_secs(10);
const GOAL_MS: f64 = 1_000.0;

/// Times of the changes of one run, in milliseconds.
#[derive(Clone, Debug, Default)]
struct Run {
    accepted: Vec<f64>,
    everywhere: Vec<f64>,
    failed: usize,
}

/// Runs each seed.
pub(crate) async fn run(plan: Plan) -> Result<Output> {
    let mut runs = Vec::new();
    for _ in plan.seeds() {
        runs.push(once().await?);
    }
    let mut table = Table::new(&["time", "p50 ms", "p99 ms", "longest ms"]);
    for (name, of) in [
        ("from sending to acceptance", (|r| &r.accepted) as fn(&Run) -> &Vec<f64>),
        ("from acceptance to all hosts", |r| &r.everywhere),
    ] {
        let at = |q: f64| Spread::new(runs.iter().map(|r| quantile(of(r), q))).show(1);
        table.row([name.to_owned(), at(0.5), at(0.99), at(1.0)]);
    }
    let p99 = Spread::new(runs.iter().map(|r| quantile(&r.everywhere, 0.99))).median();
    let failed: usize = runs.iter().map(|r| r.failed).sum();
    let met = if p99 <= GOAL_MS && failed == 0 { "met" } else { "missed" };
    let findings = Findings {
        title: "A change in force everywhere",
        about: "Edits of the inventory, one after the other, each sent to the next host; every \
                host is asked for its revision until it has the new one.",
        setup: format!("{HOSTS} hosts in four zones, {CHANGES} changes a run, no other load."),
        tables: vec![table],
        verdict: format!(
            "Goal: at all {HOSTS} hosts within 1 s at p99: {met} ({p99:.1} ms). Changes refused \
             or not seen everywhere in 10 s: {failed}."
        ),
    };
    let series = runs.iter().zip(1..).map(|(run, seed)| {
        let points = (0..).map(f64::from).zip(run.everywhere.iter().copied()).collect();
        Series::new(format!("run {seed}"), points)
    });
    let plot = Plot {
        title: "Time from acceptance to all hosts".to_owned(),
        across: "change",
        up: "ms",
        series: series.collect(),
    };
    Ok(Output { findings, plot })
}

async fn once() -> Result<Run> {
    let lab = Lab::start(HOSTS, &ZONES).await?;
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
    let all = clients.iter().map(|c| seen(c, new));
    timeout(PATIENCE, futures::future::try_join_all(all)).await.context("not everywhere")??;
    run.accepted.push(ms(accepted - sent));
    run.everywhere.push(ms(accepted.elapsed()));
    Ok(())
}

async fn seen(client: &Client, wanted: u64) -> Result<()> {
    while revision(client).await? < wanted {
        sleep(LOOK).await;
    }
    Ok(())
}
