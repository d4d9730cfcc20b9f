//! Targets and snapshots for property tests, and the settings of these tests.

use slotmap::SlotMap;
use std::sync::Arc;
pub use wisteria_testkit::prop::config;
use wisteriahead::core::endpoint::EndpointKey;
use wisteriahead::core::routes::{Snapshot, Target};

/// Makes targets with fresh keys.
#[derive(Default)]
pub struct Endpoints {
    keys: SlotMap<EndpointKey, ()>,
}

impl Endpoints {
    pub fn target(&mut self, zone: &str) -> Target {
        let key = self.keys.insert(());
        Target {
            key,
            name: format!("leaf-{}", self.keys.len()).into(),
            service: "kits".into(),
            zone: zone.into(),
            address: "127.0.0.1:1".parse().unwrap(),
            incarnation: 1,
            allowed: 2,
            bearable: 1,
            connections: 25,
            cold: false,
        }
    }

    /// A snapshot with the given number of replicas of each shard.
    pub fn snapshot(&mut self, name: &str, replicas: &[usize]) -> Arc<Snapshot> {
        let shard = |n: &usize| Arc::new((0..*n).map(|_| self.target("north")).collect());
        Arc::new(Snapshot { name: name.into(), shards: replicas.iter().map(shard).collect() })
    }
}
