//! The processes of one run: daemons and stand-in endpoints on loopback.

use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use anyhow::{Context, Result, anyhow, bail, ensure};
use serde_json::json;
use wisteria_leaf::{Executions, Fault};
use wisteria_load::Settings as LoadSettings;
use wisteria_testkit::client;
use wisteria_testkit::process::program_folder;
use wisteria_testkit::tier::{Leaves, Tier};
use wisteriahead::ops::client::Client;
use wisteriahead::ops::failure::Failure;

/// Builds the programs that a run starts, in the profile of this program.
pub(crate) fn build() -> Result<()> {
    let mut cargo = Command::new(std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
    cargo.args(["build", "--workspace", "--bins", "--locked", "--quiet"]);
    if program_folder()?.ends_with("release") {
        cargo.arg("--release");
    }
    if !cargo.status().context("could not run cargo")?.success() {
        bail!("could not build the programs; see the compiler's output above");
    }
    Ok(())
}

/// Settings of one leaf process, whose endpoints hold shards of a collection in one zone.
#[derive(Clone, Debug)]
pub(crate) struct LeafConfig {
    pub(crate) zone: String,
    pub(crate) collection: String,
    /// Shards of the collection.
    pub(crate) shards: usize,
    /// Endpoints of the process; endpoint i holds shard `first + i`, modulo `shards`.
    pub(crate) endpoints: usize,
    /// Shard of the first endpoint.
    pub(crate) first: usize,
    pub(crate) snapshot: &'static str,
    /// Requests that an endpoint runs at once.
    pub(crate) slots: u32,
    /// Connections that an endpoint serves at once.
    pub(crate) connections: u32,
    /// Delay before the first request of a new connection.
    pub(crate) setup: Duration,
    /// One-way network delay, added to each request and each answer.
    pub(crate) delay: Duration,
    /// Mean execution time without stragglers.
    pub(crate) mean: Duration,
    /// Probability that an execution is a straggler.
    pub(crate) stragglers: f64,
    /// Requests that an endpoint in cold start can run at once without collapsing.
    pub(crate) bearable: u32,
    /// Length of a cold start.
    pub(crate) cold: Duration,
    /// Seed of the execution times.
    pub(crate) seed: u64,
}

impl LeafConfig {
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

    /// Command-line flags of the leaf process with this index.
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

/// A running tier and the zones of its inventory.
pub(crate) struct Testbed {
    pub(crate) tier: Tier,
    zones: Vec<String>,
}

impl Testbed {
    /// Starts `hosts` daemons, assigned to the zones in round-robin order.
    pub(crate) async fn start(hosts: usize, zones: &[&str]) -> Result<Self> {
        Self::start_with(hosts, zones, &[]).await
    }

    /// Starts the daemons with additional flags.
    pub(crate) async fn start_with(
        hosts: usize,
        zones: &[&str],
        extra_flags: &[&str],
    ) -> Result<Self> {
        let mut tier = Tier::new(&program_folder()?)?;
        let flags = [&["--log-level", "error"], extra_flags].concat();
        for i in 0..hosts {
            let zone = zones[i % zones.len()];
            tier.start_daemon(&format!("entry-{i}"), zone, &flags).await?;
        }
        let zones = zones.iter().map(|&z| z.to_owned()).collect();
        Ok(Self { tier, zones })
    }

    /// Starts a leaf process whose endpoints announce to the daemons of their zone.
    pub(crate) async fn start_leaves(&mut self, config: &LeafConfig) -> Result<()> {
        let zones = self.zones.len();
        let zone = self.zones.iter().position(|z| *z == config.zone).context("unknown zone")?;
        let daemons: Vec<usize> =
            (0..self.tier.daemons.len()).filter(|i| i % zones == zone).collect();
        let flags = config.flags(self.tier.leaves.len());
        let flags: Vec<&str> = flags.iter().map(String::as_str).collect();
        self.tier.start_leaves(config.endpoints, &daemons, &flags).await?;
        Ok(())
    }

    /// Applies an inventory that admits all endpoints, and waits until all hosts know them.
    pub(crate) async fn admit_endpoints(&self) -> Result<()> {
        self.apply_inventory("").await?;
        let endpoints = self.tier.leaves.iter().map(|l| l.addresses.len()).sum();
        for daemon in 0..self.tier.daemons.len() {
            self.tier.wait_for_endpoints(daemon, endpoints).await?;
        }
        Ok(())
    }

    /// Applies an inventory of all zones in which the named zone is out.
    pub(crate) async fn apply_inventory(&self, zone_out: &str) -> Result<()> {
        self.tier.apply_inventory(0, &self.inventory(zone_out)).await
    }

    /// Text of an inventory of all zones in which the named zone is out.
    pub(crate) fn inventory(&self, zone_out: &str) -> String {
        let zones = self.zones.iter().map(|zone| {
            let state = if zone == zone_out { "out" } else { "in" };
            format!("[[zone]]\nname = \"{zone}\"\nstate = \"{state}\"\n\n")
        });
        zones.chain(["[rules]\nadmit = \"any\"\n".to_owned()]).collect()
    }

    /// Caller ports of all hosts.
    pub(crate) fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.tier.daemons.iter().map(|d| d.callers).collect()
    }

    /// Control ports of all leaf processes.
    pub(crate) fn leaf_controls(&self) -> Vec<SocketAddr> {
        self.tier.leaves.iter().map(|l| l.control).collect()
    }

    /// Settings of a load that is spread over all hosts.
    pub(crate) fn load_settings(&self, rate: f64, seconds: f64, seed: u64) -> LoadSettings {
        LoadSettings {
            target: self.caller_addresses(),
            rate,
            seconds,
            seed,
            collection: "kits".to_owned(),
            class: Vec::new(),
            timeout_ms: 1_000,
            min_coverage: None,
            leaf_control: self.leaf_controls(),
            orders: false,
            tickets: false,
            resends: 2,
            json: false,
        }
    }
}

/// Execution counters of a leaf process.
pub(crate) async fn counters(leaves: &Leaves) -> Result<Executions> {
    let answer = client::get(leaves.control, "/executions/counters").await?;
    serde_json::from_value(answer.body).context("could not parse the leaf's execution counters")
}

/// Injects a fault into a leaf process.
pub(crate) async fn inject(control: SocketAddr, fault: &Fault) -> Result<()> {
    let answer = client::post(control, "/fault", &serde_json::to_value(fault)?).await?;
    ensure!(answer.status.is_success(), "the leaf refused the fault: status {}", answer.status);
    Ok(())
}

/// Inventory revision that a host has in force.
pub(crate) async fn revision(host: &Client) -> Result<u64> {
    let status = host.get("/v1/status").await.map_err(request_error)?;
    status["revision"].as_u64().context("the host's status has no revision")
}

/// Submits an inventory and returns its revision.
pub(crate) async fn put_inventory(host: &Client, id: &str, base: u64, text: String) -> Result<u64> {
    let body = json!({"id": id, "base": base, "text": text});
    let answer = host.put("/v1/inventory", &body).await.map_err(request_error)?;
    answer["revision"].as_u64().context("the host's answer to the inventory has no revision")
}

fn request_error(failure: Failure) -> anyhow::Error {
    anyhow!("request to the host failed: {failure:?}")
}
