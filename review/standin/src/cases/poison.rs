//! A request crashes each leaf that begins to run it, and its requester sends it again.

use super::{Verdict, plan};
use crate::client::{Log, attempt, steady};
use crate::leaf::Leaf;
use crate::tier::{Tier, order};
use crate::world::{World, sleep_ms};
use std::collections::HashSet;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// `contactMs` of the settings.
const CONTACT: Duration = Duration::from_millis(4_000);
/// Time after which a crashed leaf is back.
const BACK_MS: u64 = 2_000;
const PLAY_MS: u64 = 40_000;
/// Pause of the requester between two attempts.
const PAUSE_MS: u64 = 1_000;

pub fn play(world: &Arc<World>, folder: &Path, trouble: bool) -> Verdict {
    let tier = Tier::start(world, folder, 4, 2);
    let controls = tier.controls();
    let text = plan(
        world,
        1,
        &[
            ("r-find", "/find/", "idempotent", 1_500, "orderdesk"),
            ("r-order", "/order/", "non_idempotent", 1_500, "orderdesk"),
        ],
        ("3.0", "0.0"),
    );
    sleep_ms(1_000);
    order(world, &controls, world.name("plan_put"), &text)?;
    let leafs: Vec<_> = (0..4)
        .map(|i| {
            let place = ("orderdesk", ["hk-a", "hk-b"][i % 2], tier.net.leaf(i));
            Leaf::start(world, &controls, place, (2, 60), Some("crash-me"), usize::MAX)
        })
        .collect();
    tier.await_ready(world)?;
    for leaf in &leafs {
        let (leaf, world) = (Arc::clone(leaf), Arc::clone(world));
        thread::spawn(move || leaf.revive(&world, BACK_MS));
    }
    let log = Arc::new(Log::default());
    for i in 0..2 {
        steady(world, &log, tier.entry(i), ("POST", "/order/7"), 50, 1_500);
    }
    sleep_ms(3_000);
    let bad = Log::default();
    let end = world.now() + Duration::from_millis(PLAY_MS);
    for i in 0_usize.. {
        if world.now() > end {
            break;
        }
        if trouble {
            attempt(world, &bad, tier.entry(i % 2), "GET", "/find/crash-me", 1_500);
        }
        sleep_ms(PAUSE_MS);
    }
    let mut crashes: Vec<_> = leafs
        .iter()
        .flat_map(|l| l.runs.lock().unwrap().clone())
        .filter(|r| r.path.contains("crash-me"))
        .collect();
    crashes.sort_by_key(|r| r.at);
    let from = crashes.get(2).map(|r| r.at + CONTACT);
    let late: HashSet<String> = crashes
        .iter()
        .filter(|r| from.is_some_and(|from| r.at > from))
        .map(|r| r.id.clone())
        .collect();
    // Orders of others that leafs had begun and that no requester got an answer to.
    let ran: HashSet<String> = leafs
        .iter()
        .flat_map(|l| l.runs.lock().unwrap().clone())
        .filter(|r| r.path == "/order/7")
        .map(|r| r.id)
        .collect();
    let sent = log.0.lock().unwrap().clone();
    let lost = sent.iter().filter(|s| ran.contains(&s.id) && s.status != 200).count();
    let served = sent.iter().filter(|s| s.status == 200).count();
    if served < 100 {
        return Err(format!("only {served} orders were served"));
    }
    Ok((
        late.len() > 3,
        format!(
            "{} crashes; {} retries reached leafs later than contactMs after the third crash (3 are allowed); of {} orders of others {served} were served, {lost} had begun and got no success",
            crashes.len(),
            late.len(),
            sent.len()
        ),
    ))
}
