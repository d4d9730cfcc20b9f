//! The cases, one module each.

pub mod evacuation;
pub mod memory;
pub mod poison;
pub mod zone_back;

use crate::client::Log;
use crate::leaf::Leaf;
use crate::world::World;
use std::collections::HashMap;
use std::time::Duration;

/// Whether the rule was broken, and what was seen.
pub type Verdict = Result<(bool, String), String>;

/// A plan with routes of one service each: name, prefix, kind, time-out, service.
pub fn plan(
    world: &World,
    version: u64,
    routes: &[(&str, &str, &str, u64, &str)],
    (warmup_s, warmup_per_s): (&str, &str),
) -> String {
    let mut services: Vec<&str> = routes.iter().map(|r| r.4).collect();
    services.dedup();
    let routes: Vec<String> = routes
        .iter()
        .map(|(name, prefix, kind, timeout, service)| {
            world.fill(
                "route.json",
                &[
                    ("name", name),
                    ("host", "standin.example"),
                    ("prefix", prefix),
                    ("kind", kind),
                    ("timeout", &timeout.to_string()),
                    ("service", service),
                    ("attempts", "2"),
                ],
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            let values = [("name", *name), ("warmup_s", warmup_s), ("warmup_per_s", warmup_per_s)];
            world.fill("service.json", &values)
        })
        .collect();
    let values = [
        ("version", version.to_string()),
        ("routes", routes.join(",")),
        ("services", services.join(",")),
    ];
    let values: Vec<(&str, &str)> = values.iter().map(|(k, v)| (*k, v.as_str())).collect();
    world.fill("plan.json", &values)
}

/// Most requests that requesters sent in one second and that a leaf began in the same second while it
/// was cold, and the start of that second.
pub fn busiest_cold_second(log: &Log, leaf: &Leaf) -> (usize, Duration) {
    let sent: HashMap<String, Duration> =
        log.0.lock().unwrap().iter().map(|s| (s.id.clone(), s.at)).collect();
    let runs = leaf.runs.lock().unwrap();
    let cold: Vec<(Duration, Duration)> =
        runs.iter().filter(|r| r.cold).filter_map(|r| Some((*sent.get(&r.id)?, r.at))).collect();
    let in_second = |from: Duration| {
        let until = from + Duration::from_secs(1);
        cold.iter().filter(|(sent, at)| *sent >= from && *at < until).count()
    };
    cold.iter().map(|(sent, _)| (in_second(*sent), *sent)).max().unwrap_or_default()
}
