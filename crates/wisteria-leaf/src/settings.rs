//! Command-line flags and environment variables.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;

use crate::announce::Holding;
use crate::latency::Latency;
use crate::profile::Profile;

/// Settings of a process of stand-in endpoints. In names, `{i}` is replaced by the leaf's index and
/// `{shard}` by its shard.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, generate(settings))]
pub struct Settings {
    /// Number of leaves in this process
    #[bpaf(long, env("WISTERIA_LEAF_LEAVES"), argument("N"), fallback(1))]
    pub leaves: u16,
    /// Address of the first leaf, the others use the following ports; port 0 selects free ports
    #[bpaf(long, env("WISTERIA_LEAF_LISTEN"), argument("IP:PORT"))]
    pub listen: SocketAddr,
    /// Address of the control port
    #[bpaf(long, env("WISTERIA_LEAF_CONTROL"), argument("IP:PORT"))]
    pub control: SocketAddr,
    /// Entry host to announce to, repeatable; the environment variable holds one
    #[bpaf(long, env("WISTERIA_LEAF_ANNOUNCE"), argument("IP:PORT"))]
    pub announce: Vec<SocketAddr>,
    /// Announced name
    #[bpaf(long, env("WISTERIA_LEAF_NAME"), argument("NAME"), fallback("leaf-{i}".to_owned()))]
    pub name: String,
    /// Announced host
    #[bpaf(long, env("WISTERIA_LEAF_HOST"), argument("NAME"), fallback("host-{i}".to_owned()))]
    pub host: String,
    /// Announced availability zone
    #[bpaf(long, env("WISTERIA_LEAF_ZONE"), argument("NAME"), fallback("north".to_owned()))]
    pub zone: String,
    /// Announced service
    #[bpaf(long, env("WISTERIA_LEAF_SERVICE"), argument("NAME"), fallback("kits".to_owned()))]
    pub service: String,
    /// Collection of the snapshots
    #[bpaf(long, env("WISTERIA_LEAF_COLLECTION"), argument("NAME"), fallback("kits".to_owned()))]
    pub collection: String,
    /// Snapshot held, repeatable; the environment variable holds one
    #[bpaf(long, env("WISTERIA_LEAF_SNAPSHOT"), argument("NAME"))]
    pub snapshot: Vec<String>,
    /// Shards of each snapshot; leaf i holds shard (`first` + i) modulo this number
    #[bpaf(
        long,
        env("WISTERIA_LEAF_SHARDS"),
        argument("N"),
        fallback(1),
        guard(is_positive, "must be at least 1")
    )]
    pub shards: u32,
    /// Shard of the first leaf, the others hold the following shards
    #[bpaf(long, env("WISTERIA_LEAF_FIRST"), argument("N"), fallback(0))]
    pub first: u32,
    /// Maximum concurrent requests
    #[bpaf(long, env("WISTERIA_LEAF_SLOTS"), argument("N"), fallback(2))]
    pub slots: u32,
    /// Maximum concurrent requests during a cold start without collapse
    #[bpaf(long, env("WISTERIA_LEAF_BEARABLE"), argument("N"), fallback(1))]
    pub bearable: u32,
    /// Maximum open connections
    #[bpaf(long, env("WISTERIA_LEAF_CONNECTIONS"), argument("N"), fallback(25))]
    pub connections: u32,
    /// Time to set up a new connection, before its first request is read
    #[bpaf(long, env("WISTERIA_LEAF_SETUP_MS"), argument("MS"), fallback(6))]
    pub setup_ms: u64,
    /// One-way network delay, added to each request and each response
    #[bpaf(long, env("WISTERIA_LEAF_DELAY_US"), argument("US"), fallback(0))]
    pub delay_us: u64,
    /// Duration of a cold start
    #[bpaf(long, env("WISTERIA_LEAF_COLD_MS"), argument("MS"), fallback(0))]
    pub cold_ms: u64,
    /// Mean execution time without stragglers
    #[bpaf(long, env("WISTERIA_LEAF_MEAN_US"), argument("US"), fallback(5_000))]
    pub mean_us: u64,
    /// Probability of a straggler
    #[bpaf(
        long,
        env("WISTERIA_LEAF_STRAGGLERS"),
        argument("P"),
        fallback(0.0),
        guard(is_probability, "must be from 0 to 1")
    )]
    pub stragglers: f64,
    /// Factor by which a straggler takes longer
    #[bpaf(
        long,
        env("WISTERIA_LEAF_FACTOR"),
        argument("X"),
        fallback(10.0),
        guard(is_factor, "must be from 1 to 10000")
    )]
    pub factor: f64,
    /// Seed of the execution times
    #[bpaf(long, env("WISTERIA_LEAF_SEED"), argument("N"), fallback(1))]
    pub seed: u64,
}

const MAX_FACTOR: f64 = 10_000.0;

fn is_positive(n: &u32) -> bool {
    *n > 0
}

fn is_probability(p: &f64) -> bool {
    (0.0..=1.0).contains(p)
}

fn is_factor(x: &f64) -> bool {
    (1.0..=MAX_FACTOR).contains(x)
}

impl Settings {
    /// Address and profile of each leaf; the error describes invalid settings.
    pub fn profiles(&self) -> Result<Vec<(SocketAddr, Profile)>, String> {
        (0..self.leaves).map(|i| Ok((self.address(i)?, self.profile(i)))).collect()
    }

    fn address(&self, index: u16) -> Result<SocketAddr, String> {
        let first = self.listen.port();
        if first == 0 {
            return Ok(self.listen);
        }
        let port = first.checked_add(index).ok_or_else(|| {
            format!(
                "--leaves {}: not enough ports from --listen {} up to 65535",
                self.leaves, self.listen
            )
        })?;
        Ok(SocketAddr::new(self.listen.ip(), port))
    }

    fn profile(&self, index: u16) -> Profile {
        let shard = (u32::from(index) + self.first % self.shards) % self.shards;
        let expand = |pattern: &str| {
            pattern.replace("{i}", &index.to_string()).replace("{shard}", &shard.to_string())
        };
        Profile {
            name: expand(&self.name),
            host: expand(&self.host),
            zone: self.zone.clone(),
            service: expand(&self.service),
            holdings: self.snapshot.iter().map(|s| self.holding(s, shard)).collect(),
            slots: self.slots,
            bearable: self.bearable,
            connections: self.connections,
            setup: Duration::from_millis(self.setup_ms),
            delay: Duration::from_micros(self.delay_us),
            cold: Duration::from_millis(self.cold_ms),
            latency: Latency {
                mean: Duration::from_micros(self.mean_us),
                stragglers: self.stragglers,
                factor: self.factor,
            },
            seed: self.seed.wrapping_add(u64::from(index)),
        }
    }

    fn holding(&self, snapshot: &str, shard: u32) -> Holding {
        Holding {
            collection: self.collection.clone(),
            snapshot: snapshot.to_owned(),
            shard,
            shards: self.shards,
        }
    }
}
