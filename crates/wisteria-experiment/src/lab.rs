//! A tier of processes for one run.

use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use anyhow::{Context, Result, anyhow, bail, ensure};
use serde_json::json;
use wisteria_leaf::{Executions, Fault};
use wisteria_load::Settings as Load;
use wisteria_testkit::client;
use wisteria_testkit::process::program_folder;
use wisteria_testkit::tier::{Leaves, Tier};
use wisteriahead::ops::client::Client;
use wisteriahead::ops::failure::Failure;

/// Builds the programs that a run starts.
pub(crate) fn build() -> Result<()> {
    let mut cargo = Command::new(std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
    cargo.args(["build", "--workspace", "--bins", "--locked", "--quiet"]);
    if program_folder()?.ends_with("release") {
        cargo.arg("--release");
    }
    if !cargo.status().context("could not run cargo")?.success() {
        bail!("the programs could not be built; see the compiler's output above");
    }
    Ok(())
}

/// The endpoints of one process: one for each shard of a collection in one zone.
#[derive(Clone, Debug)]
pub(crate) struct Shape {
    pub(crate) zone: String,
    pub(crate) collection: String,
    pub(crate) shards: usize,
    /// Endpoints of the process; endpoint i holds shard `first + i`, modulo the shards.
    pub(crate) endpoints: usize,
    pub(crate) first: usize,
    pub(crate) snapshot: &'static str,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    pub(crate) setup: Duration,
    pub(crate) delay: Duration,
    pub(crate) mean: Duration,
    pub(crate) stragglers: f64,
    pub(crate) bearable: u32,
    pub(crate) cold: Duration,
    pub(crate) seed: u64,
}

impl Shape {
    pub(crate) fn new(zone: &str, shards: usize, seed: u64) -> Self {
        Self {
            zone: zone.to_owned(),
            collection: "kits".to_owned(),
            shards,
            endpoints: shards,
            first: 0,
            snapshot: "s1",
            slots: 2,
            connections: 25,
            setup: Duration::from_millis(6),
            delay: Duration::ZERO,
            mean: Duration::from_millis(5),
            stragglers: 0.0,
            bearable: 1,
            cold: Duration::ZERO,
            seed,
        }
    }

    fn flags(&self, process: usize) -> Vec<String> {
        let Self { zone, collection, .. } = self;
        let flags = [
            ("--name", format!("{collection}-{zone}-{process}-{{i}}")),
            ("--host", format!("host-{zone}-{process}-{{i}}")),
            ("--zone", zone.clone()),
            ("--collection", collection.clone()),
            ("--service", collection.clone()),
            ("--shards", self.shards.to_string()),
            ("--first", self.first.to_string()),
            ("--snapshot", self.snapshot.to_owned()),
            ("--slots", self.slots.to_string()),
            ("--connections", self.connections.to_string()),
            ("--setup-ms", self.setup.as_millis().to_string()),
            ("--delay-us", self.delay.as_micros().to_string()),
            ("--mean-us", self.mean.as_micros().to_string()),
            ("--stragglers", self.stragglers.to_string()),
            ("--bearable", self.bearable.to_string()),
            ("--cold-ms", self.cold.as_millis().to_string()),
            ("--seed", self.seed.to_string()),
        ];
        flags.into_iter().flat_map(|(flag, value)| [flag.to_owned(), value]).collect()
    }
}

/// A tier with its operators' document.
pub(crate) struct Lab {
    pub(crate) tier: Tier,
    zones: Vec<String>,
}

impl Lab {
    /// Starts `hosts` daemons, spread over the zones in turn.
    pub(crate) async fn start(hosts: usize, zones: &[&str]) -> Result<Self> {
        Self::start_with(hosts, zones, &[]).await
    }

    /// The same with further flags for the daemons.
    pub(crate) async fn start_with(hosts: usize, zones: &[&str], more: &[&str]) -> Result<Self> {
        let mut tier = Tier::new(&program_folder()?)?;
        let flags = [&["--log-level", "error"], more].concat();
        for i in 0..hosts {
            let zone = zones[i % zones.len()];
            tier.start_daemon(&format!("entry-{i}"), zone, &flags).await?;
        }
        let zones = zones.iter().map(|&z| z.to_owned()).collect();
        Ok(Self { tier, zones })
    }

    /// Starts the endpoints of one process; they announce to the daemons of their zone.
    pub(crate) async fn leaves(&mut self, shape: &Shape) -> Result<()> {
        let zones = self.zones.len();
        let zone = self.zones.iter().position(|z| *z == shape.zone).context("unknown zone")?;
        let to: Vec<usize> = (0..self.tier.daemons.len()).filter(|i| i % zones == zone).collect();
        let flags = shape.flags(self.tier.leaves.len());
        let flags: Vec<&str> = flags.iter().map(String::as_str).collect();
        self.tier.start_leaves(shape.endpoints, &to, &flags).await?;
        Ok(())
    }

    /// Lets all endpoints in by an edit of the inventory, and waits until all hosts know them.
    pub(crate) async fn admit(&self) -> Result<()> {
        self.apply("").await?;
        let known = self.tier.leaves.iter().map(|l| l.addresses.len()).sum();
        for daemon in 0..self.tier.daemons.len() {
            self.tier.wait_for_endpoints(daemon, known).await?;
        }
        Ok(())
    }

    /// Puts an inventory of all zones in force, the named one taken out.
    pub(crate) async fn apply(&self, out: &str) -> Result<()> {
        self.tier.apply_inventory(0, &self.inventory(out)).await
    }

    /// The inventory of all zones, the named one taken out.
    pub(crate) fn inventory(&self, out: &str) -> String {
        let zones = self.zones.iter().map(|zone| {
            let state = if zone == out { "out" } else { "in" };
            format!("[[zone]]\nname = \"{zone}\"\nstate = \"{state}\"\n\n")
        });
        zones.chain(["[rules]\nadmit = \"any\"\n".to_owned()]).collect()
    }

    /// Addresses for callers of all hosts.
    pub(crate) fn callers(&self) -> Vec<SocketAddr> {
        self.tier.daemons.iter().map(|d| d.callers).collect()
    }

    /// Control ports of all processes of endpoints.
    pub(crate) fn controls(&self) -> Vec<SocketAddr> {
        self.tier.leaves.iter().map(|l| l.control).collect()
    }

    /// Load on all hosts.
    pub(crate) fn load(&self, rate: f64, seconds: f64, seed: u64) -> Load {
        Load {
            target: self.callers(),
            rate,
            seconds,
            seed,
            collection: "kits".to_owned(),
            class: Vec::new(),
            timeout_ms: 1_000,
            min_coverage: None,
            leaf_control: self.controls(),
            orders: false,
            tickets: false,
            resends: 2,
            json: false,
        }
    }
}

/// The counters of a process of endpoints.
pub(crate) async fn counters(leaves: &Leaves) -> Result<Executions> {
    let answer = client::get(leaves.control, "/executions/counters").await?;
    serde_json::from_value(answer.body).context("the counters can't be read")
}

/// Brings a fault about in a process of endpoints.
pub(crate) async fn inject(control: SocketAddr, fault: &Fault) -> Result<()> {
    let answer = client::post(control, "/fault", &serde_json::to_value(fault)?).await?;
    ensure!(answer.status.is_success(), "the fault was refused: {}", answer.status);
    Ok(())
}

/// The revision in force at a host.
pub(crate) async fn revision(host: &Client) -> Result<u64> {
    let status = host.get("/v1/status").await.map_err(failed)?;
    status["revision"].as_u64().context("the status has no revision")
}

/// Sends an edit of the inventory and returns its revision.
pub(crate) async fn edit(host: &Client, id: &str, base: u64, text: String) -> Result<u64> {
    let body = json!({"id": id, "base": base, "text": text});
    let answer = host.put("/v1/inventory", &body).await.map_err(failed)?;
    answer["revision"].as_u64().context("the answer has no revision")
}

fn failed(failure: Failure) -> anyhow::Error {
    anyhow!("the host did not do it: {failure:?}")
}
