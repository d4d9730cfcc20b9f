//! The demonstration of the README: three daemons in two availability zones and
//! sixteen stand-in endpoints on loopback, a search, and a short report.

use anyhow::{Context as _, Result, bail};
use std::path::PathBuf;
use std::process::Command;
use std::time::Instant;
use wisteria_testkit::process::program_folder;
use wisteria_testkit::tier::Tier;

/// An inventory that lets the stand-ins in.
const ADMIT_ALL: &str =
    "[[zone]]\nname = \"north\"\n\n[[zone]]\nname = \"south\"\n\n[rules]\nadmit = \"any\"\n";
/// Shards of the demonstration's collection.
const SHARDS: u64 = 8;

#[tokio::main]
async fn main() -> Result<()> {
    let programs = build()?;
    tokio::select! {
        done = show(&programs) => done,
        _ = tokio::signal::ctrl_c() => {
            println!("stopping");
            Ok(())
        }
    }
}

/// Builds the programs beside this one.
fn build() -> Result<PathBuf> {
    let programs = program_folder()?;
    let mut cargo = Command::new(std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
    cargo.args(["build", "--workspace", "--bins", "--locked", "--quiet"]);
    if programs.ends_with("release") {
        cargo.arg("--release");
    }
    if !cargo.status().context("could not run cargo")?.success() {
        bail!("the programs could not be built; see the compiler's output above");
    }
    Ok(programs)
}

async fn show(programs: &std::path::Path) -> Result<()> {
    let mut tier = Tier::new(programs)?;
    tier.voters = ["entry-1", "entry-2", "entry-3"].map(str::to_owned).into();
    for (host, zone) in [("entry-1", "north"), ("entry-2", "north"), ("entry-3", "south")] {
        tier.start_daemon(host, zone, &["--log-level", "warn"]).await?;
        println!("     Started daemon {host} in availability zone {zone}");
    }
    for (zone, to) in [("north", 0), ("south", 2)] {
        let shards = SHARDS.to_string();
        let names = format!("{zone}-{{i}}");
        let args = ["--zone", zone, "--name", &names, "--shards", &shards, "--snapshot", "s1"];
        tier.start_leaves(SHARDS as usize, &[to], &args).await?;
        println!("     Started {SHARDS} stand-in endpoints in {zone}");
    }
    tier.apply_inventory(0, ADMIT_ALL).await?;
    println!("     Applied an inventory that admits the stand-ins");
    for (i, daemon) in tier.daemons.iter().enumerate() {
        let begun = Instant::now();
        let answer = tier.wait_for_shards(i, "kits", SHARDS).await?;
        println!(
            "    Answered search at {} on snapshot {}: {} of {} shards, {} hits, {} ms",
            daemon.host,
            answer["snapshot"],
            answer["coverage"]["answered"],
            answer["coverage"]["shards"],
            answer["hits"].as_array().map_or(0, Vec::len),
            begun.elapsed().as_millis()
        );
    }
    tier.wait_for_endpoints(2, 2 * SHARDS as usize).await?;
    for what in ["zones", "endpoints"] {
        println!("     Showing wisteriactl {what}");
        println!("{}", tier.ctl(2, &[what]).await?.1);
    }
    println!("     Serving searches at http://{}/v1/search", tier.daemons[0].callers);
    println!("             Ctrl-C stops");
    std::future::pending().await
}
