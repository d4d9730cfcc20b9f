//! Measures, on a tier of real processes, how long an inventory change takes to be in force at all
//! hosts, and how long the tier takes to recover from disk after hundreds of changes:
//! `cargo build --release --workspace --bins && cargo run --release --example propagation`.

use anyhow::{Context as _, Result};
use futures::future::try_join_all;
use serde_json::json;
use std::time::{Duration, Instant};
use wisteria_testkit::process::program_folder;
use wisteria_testkit::tier::Tier;
use wisteriahead::ops::client::{Client, Server};

const HOSTS: usize = 7;
const VOTERS: usize = 3;
/// Number of inventory changes.
const CHANGES: u64 = 300;
/// Hosts in the inventory, so that the document has a realistic size.
const LISTED_HOSTS: usize = 400;

#[tokio::main]
async fn main() -> Result<()> {
    let programs = program_folder()?;
    let programs =
        programs.parent().context("the folder of the examples has no parent with the programs")?;
    let mut tier = Tier::on_disk(programs)?;
    tier.voters = (0..VOTERS).map(host_name).collect();
    let result = measure(&mut tier).await;
    if result.is_err() {
        // Dropping the tier deletes its folder and the logs in it, so they are printed first.
        for daemon in 0..tier.daemons.len() {
            eprintln!("{}:\n{}", tier.daemons[daemon].host, tier.log(daemon)?);
        }
    }
    result
}

/// Measures all changes, and then a restart of the tier.
async fn measure(tier: &mut Tier) -> Result<()> {
    start_daemons(tier).await?;
    let clients = clients(tier)?;
    let (mut accepted, mut everywhere) = (Vec::new(), Vec::new());
    for base in 0..CHANGES {
        let start = Instant::now();
        let client = &clients[base as usize % HOSTS];
        let body = json!({"id": format!("c{base}"), "base": base, "text": inventory_text(base)});
        client.put("/v1/inventory", &body).await.map_err(anyhow::Error::msg)?;
        accepted.push(start.elapsed());
        try_join_all(clients.iter().map(|c| wait_for_revision(c, base + 1))).await?;
        everywhere.push(start.elapsed());
    }
    print_quantiles("accepted", &mut accepted);
    print_quantiles("in force at all hosts", &mut everywhere);
    measure_restart(tier).await
}

/// Kills all hosts, restarts them on their stored data and measures the recovery.
async fn measure_restart(tier: &mut Tier) -> Result<()> {
    for daemon in &mut tier.daemons {
        daemon.process.kill().await?;
    }
    tier.daemons.clear();
    let start = Instant::now();
    start_daemons(tier).await?;
    println!("all started again after {} ms", start.elapsed().as_millis());
    let clients = clients(tier)?;
    try_join_all(clients.iter().map(|c| wait_for_revision(c, CHANGES))).await?;
    println!("revision {CHANGES} in force at all hosts after {} ms", start.elapsed().as_millis());
    let body = json!({"id": "last", "base": CHANGES, "text": inventory_text(CHANGES)});
    clients[0].put("/v1/inventory", &body).await.map_err(anyhow::Error::msg)?;
    println!("the next change accepted after {} ms", start.elapsed().as_millis());
    Ok(())
}

/// Starts all daemons, assigned to the zones in round-robin order.
async fn start_daemons(tier: &mut Tier) -> Result<()> {
    for i in 0..HOSTS {
        tier.start_daemon(&host_name(i), &format!("zone{}", i % 4), &["--log-level", "warn"])
            .await?;
    }
    Ok(())
}

/// A client for each daemon.
fn clients(tier: &Tier) -> Result<Vec<Client>> {
    let servers = tier.daemons.iter().map(|d| d.operators);
    let client = |address| Client::new(&Server { address, tls: tier.operator() });
    servers.map(|a| client(a).map_err(anyhow::Error::msg)).collect()
}

/// Polls a host until it has the revision in force.
async fn wait_for_revision(client: &Client, revision: u64) -> Result<()> {
    loop {
        let status = client.get("/v1/status").await.map_err(anyhow::Error::msg)?;
        if status["revision"].as_u64() >= Some(revision) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Prints the median, the 99th percentile and the maximum.
fn print_quantiles(label: &str, times: &mut [Duration]) {
    times.sort_unstable();
    let at = |share: usize| times[times.len() * share / 100].as_millis();
    let max = times[times.len() - 1].as_millis();
    println!("{label}: p50 {} ms, p99 {} ms, longest {max} ms", at(50), at(99));
}

/// Name of the host with this index.
fn host_name(i: usize) -> String {
    format!("entry-{i}")
}

/// Text of an inventory, different for each number.
fn inventory_text(n: u64) -> String {
    let zones: String = (0..4).map(|z| format!("[[zone]]\nname = \"zone{z}\"\n")).collect();
    let host = |h| format!("[[host]]\nname = \"h{h}\"\nzone = \"zone{}\"\n", h % 4);
    let hosts: String = (0..LISTED_HOSTS).map(host).collect();
    format!("# change {n}\n{zones}{hosts}")
}
