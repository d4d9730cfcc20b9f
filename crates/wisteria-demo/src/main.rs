//! The demonstration in the README. It starts three daemons in two availability zones and sixteen
//! stand-in endpoints on loopback, sends a search to each daemon, and shows the zones and
//! endpoints.

use anyhow::{Context as _, Result, bail};
use std::path::PathBuf;
use std::process::Command;
use std::time::Instant;
use wisteria_testkit::process::program_folder;
use wisteria_testkit::tier::Tier;

/// An inventory that admits all endpoints.
const ADMIT_ALL_INVENTORY: &str =
    "[[zone]]\nname = \"north\"\n\n[[zone]]\nname = \"south\"\n\n[rules]\nadmit = \"any\"\n";
/// Number of shards of the collection.
const SHARDS: u64 = 8;

#[tokio::main]
async fn main() -> Result<()> {
    let programs = build()?;
    tokio::select! {
        result = run(&programs) => result,
        _ = tokio::signal::ctrl_c() => {
            println!("stopping");
            Ok(())
        }
    }
}

/// Builds the programs in the profile of this one and returns their folder.
fn build() -> Result<PathBuf> {
    let programs = program_folder()?;
    let mut cargo = Command::new(std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
    cargo.args(["build", "--workspace", "--bins", "--locked", "--quiet"]);
    if programs.ends_with("release") {
        cargo.arg("--release");
    }
    if !cargo.status().context("could not run cargo")?.success() {
        bail!("could not build the programs; see the compiler's output above");
    }
    Ok(programs)
}

/// Starts the tier, sends the searches and serves until the program is stopped.
async fn run(programs: &std::path::Path) -> Result<()> {
    let mut tier = Tier::new(programs)?;
    tier.voters = ["entry-1", "entry-2", "entry-3"].map(str::to_owned).into();
    for (host, zone) in [("entry-1", "north"), ("entry-2", "north"), ("entry-3", "south")] {
        tier.start_daemon(host, zone, &["--log-level", "warn"]).await?;
        println!("     Started daemon {host} in availability zone {zone}");
    }
    for (zone, daemon) in [("north", 0), ("south", 2)] {
        let shards = SHARDS.to_string();
        let names = format!("{zone}-{{i}}");
        let args = ["--zone", zone, "--name", &names, "--shards", &shards, "--snapshot", "s1"];
        tier.start_leaves(SHARDS as usize, &[daemon], &args).await?;
        println!("     Started {SHARDS} stand-in endpoints in {zone}");
    }
    tier.apply_inventory(0, ADMIT_ALL_INVENTORY).await?;
    println!("     Applied an inventory that admits the stand-ins");
    for (i, daemon) in tier.daemons.iter().enumerate() {
        let start = Instant::now();
        let answer = tier.wait_for_shards(i, "kits", SHARDS).await?;
        println!(
            "    Answered search at {} on snapshot {}: {} of {} shards, {} hits, {} ms",
            daemon.host,
            answer["snapshot"],
            answer["coverage"]["answered"],
            answer["coverage"]["shards"],
            answer["hits"].as_array().map_or(0, Vec::len),
            start.elapsed().as_millis()
        );
    }
    tier.wait_for_endpoints(2, 2 * SHARDS as usize).await?;
    for view in ["zones", "endpoints"] {
        println!("     Showing wisteriactl {view}");
        println!("{}", tier.ctl(2, &[view]).await?.1);
    }
    println!("     Serving searches at http://{}/v1/search", tier.daemons[0].callers);
    println!("             Ctrl-C stops");
    std::future::pending().await
}
