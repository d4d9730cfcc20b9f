//! While an entry host stands still, a leaf falls back into cold start and says so.
//! The entry host goes on with what it knew before.

use super::{Verdict, busiest_cold_second, plan};
use crate::balancer::{Balancer, start_requesters};
use crate::client::Log;
use crate::leaf::Leaf;
use crate::tier::{FRONT_ZONES, Tier, ZONES, order};
use crate::world::{World, sleep_ms};
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Time for which the entry host stands still.
const FREEZE: Duration = Duration::from_millis(4_000);
/// `warmupPerS` of the plan, `warmupOvershoot` and `warmupSlack` of the settings.
const PER_S: f64 = 4.0;
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;
/// `warmupS` of the plan.
const COLD: Duration = Duration::from_secs(3);
/// Zones of the leafs of the service, as on the site.
const LEAF_ZONES: [&str; 2] = ["hk-a", "hk-d"];

pub fn play(world: &Arc<World>, folder: &Path, trouble: bool) -> Verdict {
    let tier = Tier::start(world, folder, 4, 6);
    let controls = tier.controls();
    let routes = [("r-order", "/order/", "idempotent", 3_000, "orderdesk")];
    let text = plan(world, 1, &routes, ("3.0", "4.0"));
    sleep_ms(1_000);
    order(world, &controls, world.name("plan_put"), &text)?;
    let leafs: Vec<_> = (0..LEAF_ZONES.len())
        .map(|i| {
            let place = ("orderdesk", LEAF_ZONES[i], tier.net.leaf(i));
            Leaf::start(world, &controls, place, (2, 10), None)
        })
        .collect();
    tier.await_ready(world)?;
    let balancer = Balancer::start(world, &tier);
    let log = Arc::new(Log::default());
    for zone in ZONES {
        // 28 requests a second from each zone.
        start_requesters(world, &balancer, &log, (zone, 336), "/order/2f", (12_000, 3_000, 1_000));
    }
    sleep_ms(13_000);
    let front = FRONT_ZONES.iter().position(|z| *z == "hk-d").unwrap_or_default();
    let leaf = &leafs[1];
    let frozen = world.now();
    if trouble {
        tier.fronts[front].signal(world, "STOP");
    }
    sleep_ms(2_700);
    leaf.become_cold(COLD);
    leaf.announce();
    thread::sleep(FREEZE.saturating_sub(world.now() - frozen));
    if trouble {
        tier.fronts[front].signal(world, "CONT");
    }
    sleep_ms(6_000);
    let limit = (PER_S * OVERSHOOT + SLACK) as usize;
    let (worst, at) = busiest_cold_second(&log, leaf);
    let served = log.0.lock().unwrap().iter().filter(|s| s.status == 200).count();
    if served < 1_000 {
        return Err(format!("only {served} requests were served"));
    }
    Ok((
        worst > limit,
        format!(
            "{worst} requests were sent and began at the cold leaf in the second from {:.3} ({limit} are allowed); {served} requests were served in all",
            at.as_secs_f64()
        ),
    ))
}
