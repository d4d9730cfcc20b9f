//! A zone is taken out and taken back. Its leafs have become cold shortly before it is taken back, and
//! say so with their next regular heartbeat.

use super::{Verdict, busiest_cold_second, plan};
use crate::balancer::{Balancer, start_requesters};
use crate::client::Log;
use crate::leaf::Leaf;
use crate::tier::{Tier, ZONES, order};
use crate::world::{World, sleep_ms};
use std::collections::HashSet;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Requests a second that the plan allows a cold leaf, and the overshoot and slack of the settings.
const PER_S: f64 = 4.0;
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Requests begun in a second, well above that, at which a cold leaf crashes.
const CRASH: usize = 20;
/// Time after which it is back, as a new lifetime under a new identifier.
const BACK_MS: u64 = 2_000;
/// `warmupS` of the plan.
const COLD: Duration = Duration::from_secs(3);
/// Time from the start of the cold time until the zone is taken back.
const SHORTLY_MS: u64 = 200;
/// Times that the zone is taken out and back.
const ROUNDS: usize = 6;
/// Zones of the leafs of the service, as on the site.
const LEAF_ZONES: [&str; 7] = ["hk-a", "hk-a", "hk-b", "hk-b", "hk-c", "hk-c", "hk-d"];

pub fn play(world: &Arc<World>, folder: &Path, trouble: bool) -> Verdict {
    let tier = Tier::start(world, folder, 4, 6);
    let controls = tier.controls();
    let routes = [("r-order", "/order/", "non_idempotent", 1_500, "orderdesk")];
    let text = plan(world, 1, &routes, ("3.0", "4.0"));
    sleep_ms(1_000);
    order(world, &controls, world.name("plan_put"), &text)?;
    let leafs: Vec<_> = (0..LEAF_ZONES.len())
        .map(|i| {
            let place = ("orderdesk", LEAF_ZONES[i], tier.net.leaf(i));
            Leaf::start(world, &controls, place, (2, 20), None, CRASH)
        })
        .collect();
    tier.await_ready(world)?;
    let balancer = Balancer::start(world, &tier);
    let log = Arc::new(Log::default());
    for zone in ZONES {
        // 28 requests a second from each zone.
        let times = (8_000, 1_500, 1_500);
        let request = ("POST", "/order/2f");
        start_requesters(world, &balancer, &log, (zone, 224), request, times);
    }
    sleep_ms(9_000);
    let leaf = &leafs[6];
    {
        let (leaf, world) = (Arc::clone(leaf), Arc::clone(world));
        thread::spawn(move || leaf.revive(&world, BACK_MS));
    }
    let (out, back) =
        (format!("{}hk-d", world.name("zone_out")), format!("{}hk-d", world.name("zone_in")));
    for _ in 0..ROUNDS {
        order(world, &controls, &out, "")?;
        sleep_ms(6_000);
        if trouble {
            leaf.become_cold(COLD);
        } else {
            // As cold at the same moments, but all hosts have been told before.
            leaf.become_cold(COLD + Duration::from_millis(1_000));
            leaf.announce();
            sleep_ms(1_000);
        }
        sleep_ms(SHORTLY_MS);
        order(world, &controls, &back, "")?;
        sleep_ms(4_000);
    }
    let limit = (PER_S * OVERSHOOT + SLACK) as usize;
    let (worst, at) = busiest_cold_second(&log, leaf);
    // Orders that a leaf began and that got no answer.
    let begun: HashSet<String> =
        leafs.iter().flat_map(|l| l.runs.lock().unwrap().clone()).map(|r| r.id).collect();
    let sent = log.0.lock().unwrap().clone();
    let lost = sent.iter().filter(|s| s.status != 200 && begun.contains(&s.id)).count();
    let crashes = leaf.crashes();
    let served = log.0.lock().unwrap().iter().filter(|s| s.status == 200).count();
    if served < 1_000 {
        return Err(format!("only {served} requests were served"));
    }
    Ok((
        worst > limit,
        format!(
            "{worst} requests were sent and began at the cold leaf in the second from {:.3} ({limit} are allowed); {served} orders were served in all, {lost} had begun and got no success; the leaf crashed {crashes} times",
            at.as_secs_f64()
        ),
    ))
}
