//! Measures with real processes how soon a change is in force at all hosts, and how soon a
//! tier is back with hundreds of changes piled up:
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
const CHANGES: u64 = 300;
/// Hosts of the inventory, so that the document has a likely size.
const LISTED: usize = 400;

#[tokio::main]
async fn main() -> Result<()> {
    let programs = program_folder()?;
    let programs = programs.parent().context("no folder of programs")?;
    let mut tier = Tier::on_disk(programs)?;
    tier.voters = (0..VOTERS).map(name).collect();
    let done = measure(&mut tier).await;
    if done.is_err() {
        // The folder goes with the tier, and the cause with it.
        for daemon in 0..tier.daemons.len() {
            eprintln!("{}:\n{}", tier.daemons[daemon].host, tier.log(daemon)?);
        }
    }
    done
}

async fn measure(tier: &mut Tier) -> Result<()> {
    start(tier).await?;
    let clients = clients(tier)?;
    let (mut accepted, mut everywhere) = (Vec::new(), Vec::new());
    for base in 0..CHANGES {
        let begun = Instant::now();
        let client = &clients[base as usize % HOSTS];
        let body = json!({"id": format!("c{base}"), "base": base, "text": text(base)});
        client.put("/v1/inventory", &body).await.map_err(anyhow::Error::msg)?;
        accepted.push(begun.elapsed());
        try_join_all(clients.iter().map(|c| reach(c, base + 1))).await?;
        everywhere.push(begun.elapsed());
    }
    show("accepted", &mut accepted);
    show("in force at all hosts", &mut everywhere);
    restart(tier).await
}

/// Kills all hosts and starts them again on what they kept.
async fn restart(tier: &mut Tier) -> Result<()> {
    for daemon in &mut tier.daemons {
        daemon.process.kill().await?;
    }
    tier.daemons.clear();
    let begun = Instant::now();
    start(tier).await?;
    println!("all started again after {} ms", begun.elapsed().as_millis());
    let clients = clients(tier)?;
    try_join_all(clients.iter().map(|c| reach(c, CHANGES))).await?;
    println!("revision {CHANGES} in force at all hosts after {} ms", begun.elapsed().as_millis());
    let body = json!({"id": "last", "base": CHANGES, "text": text(CHANGES)});
    clients[0].put("/v1/inventory", &body).await.map_err(anyhow::Error::msg)?;
    println!("the next change accepted after {} ms", begun.elapsed().as_millis());
    Ok(())
}

async fn start(tier: &mut Tier) -> Result<()> {
    for i in 0..HOSTS {
        tier.start_daemon(&name(i), &format!("zone{}", i % 4), &["--log-level", "warn"]).await?;
    }
    Ok(())
}

fn clients(tier: &Tier) -> Result<Vec<Client>> {
    let servers = tier.daemons.iter().map(|d| d.operators);
    let client = |address| Client::new(&Server { address, tls: tier.operator() });
    servers.map(|a| client(a).map_err(anyhow::Error::msg)).collect()
}

async fn reach(client: &Client, revision: u64) -> Result<()> {
    loop {
        let status = client.get("/v1/status").await.map_err(anyhow::Error::msg)?;
        if status["revision"].as_u64() >= Some(revision) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

fn show(what: &str, times: &mut [Duration]) {
    times.sort_unstable();
    let at = |share: usize| times[times.len() * share / 100].as_millis();
    let max = times[times.len() - 1].as_millis();
    println!("{what}: p50 {} ms, p99 {} ms, longest {max} ms", at(50), at(99));
}

fn name(i: usize) -> String {
    format!("entry-{i}")
}

fn text(n: u64) -> String {
    let zones: String = (0..4).map(|z| format!("[[zone]]\nname = \"zone{z}\"\n")).collect();
    let host = |h| format!("[[host]]\nname = \"h{h}\"\nzone = \"zone{}\"\n", h % 4);
    let hosts: String = (0..LISTED).map(host).collect();
    format!("# change {n}\n{zones}{hosts}")
}
