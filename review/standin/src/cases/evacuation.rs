//! An order to take a zone back reaches a core host that stands still. The operator gives the same
//! order to another host, which acknowledges it, and then takes the zone out again. The host that
//! stood still goes on and carries out the order that it still holds.

use super::{Verdict, plan};
use crate::client::{Log, steady};
use crate::leaf::Leaf;
use crate::tier::{Tier, order};
use crate::world::{World, sleep_ms};
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Time for which a core host stands still.
const FREEZE: Duration = Duration::from_millis(2_200);
/// `evacuateMs` and `contactMs` of the settings.
const EVACUATE: Duration = Duration::from_millis(5_000);
const CONTACT: Duration = Duration::from_millis(4_000);
/// Time for which requests are counted after each evacuation.
const JUDGED: Duration = Duration::from_millis(3_000);
/// Core hosts that stand still, one after the other, until the rule is broken.
const ROUNDS: usize = 8;

pub fn play(world: &Arc<World>, folder: &Path, trouble: bool) -> Verdict {
    let tier = Tier::start(world, folder, 4, 2);
    let controls = tier.controls();
    let put = world.name("plan_put");
    let text =
        plan(world, 1, &[("r-order", "/order/", "idempotent", 1_500, "orderdesk")], ("3.0", "0.0"));
    sleep_ms(1_000);
    order(world, &controls, put, &text)?;
    let leafs: Vec<_> = (0..4)
        .map(|i| {
            let place = ("orderdesk", ["hk-a", "hk-b"][i % 2], tier.net.leaf(i));
            Leaf::start(world, &controls, place, (2, 20), None, usize::MAX)
        })
        .collect();
    tier.await_ready(world)?;
    let log = Arc::new(Log::default());
    for i in 0..2 {
        steady(world, &log, tier.entry(i), ("GET", "/order/2f"), 50, 1_500);
    }
    sleep_ms(3_000);

    let (out, back) =
        (format!("{}hk-a", world.name("zone_out")), format!("{}hk-a", world.name("zone_in")));
    order(world, &controls, &out, "")?;
    sleep_ms(6_000);
    let mut told = Vec::new();
    for round in 0..ROUNDS {
        let still = controls.len() - 1 - round % controls.len();
        let frozen = world.now();
        if trouble {
            tier.cores[still].signal(world, "STOP");
        }
        // The operator picks among the nodes; here it picks the one that stands still first.
        let mut nodes = controls.clone();
        nodes.rotate_left(still);
        order(world, &nodes, &back, "")?;
        sleep_ms(300);
        nodes.rotate_left(1);
        let taken_out = order(world, &nodes, &out, "")?;
        if trouble {
            thread::sleep(FREEZE.saturating_sub(world.now() - frozen));
            tier.cores[still].signal(world, "CONT");
        }
        // Every host is in touch again `contactMs` after the last event at a core host.
        let from = (taken_out + EVACUATE).max(world.now() + CONTACT) + Duration::from_millis(500);
        thread::sleep((from + JUDGED).saturating_sub(world.now()));
        let late: usize = leafs
            .iter()
            .filter(|l| l.zone == "hk-a")
            .map(|l| l.runs.lock().unwrap().iter().filter(|r| r.at > from).count())
            .sum();
        let served =
            log.0.lock().unwrap().iter().filter(|s| s.at > from && s.status == 200).count();
        if served < 50 {
            return Err(format!("only {served} requests were served in the time that is judged"));
        }
        let text = format!(
            "round {}: evacuation acknowledged at {:.3}; from {:.3} to {:.3} {late} requests reached leafs of hk-a, and {served} were served",
            round + 1,
            taken_out.as_secs_f64(),
            from.as_secs_f64(),
            world.now().as_secs_f64()
        );
        world.note(text.clone());
        told.push(text);
        if late > 0 {
            return Ok((true, told.join("\n")));
        }
    }
    Ok((false, told.join("\n")))
}
