//! The desired state grows by many routes and changes hundreds of times. A process that holds more
//! memory than it may is killed and started again.

use super::{Verdict, plan};
use crate::leaf::Leaf;
use crate::tier::{Tier, order};
use crate::world::{World, sleep_ms};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// `memoryMb` of a core host.
const MEMORY_MB: f64 = 256.0;
/// Routes that each entry of growth adds, and number of such entries.
const ROUTES: usize = 350;
const GROWTHS: usize = 24;
/// Time between two changes.
const GAP: Duration = Duration::from_millis(250);
/// Time from the first change to the last.
const PLAY: Duration = Duration::from_secs(98);
/// Ends of processes on one machine that the rule allows.
const ENDS: usize = 2;

pub fn play(world: &Arc<World>, folder: &Path, trouble: bool) -> Verdict {
    let mut tier = Tier::start(world, folder, 4, 1);
    let controls = tier.controls();
    let put = world.name("plan_put");
    sleep_ms(1_000);
    order(world, &controls, put, &state(world, 1, 0))?;
    let _leafs: Vec<_> = (0..2)
        .map(|i| {
            let place = ("orderdesk", ["hk-a", "hk-b"][i], tier.net.leaf(i));
            Leaf::start(world, &controls, place, (2, 20), None, usize::MAX)
        })
        .collect();
    tier.await_ready(world)?;
    let cores = std::mem::take(&mut tier.cores);
    let ends: Arc<Mutex<Vec<(String, usize)>>> = Arc::default();
    let watchers: Vec<_> = cores
        .into_iter()
        .map(|mut host| {
            let (world, ends) = (Arc::clone(world), Arc::clone(&ends));
            ends.lock().unwrap().push((host.name.clone(), 0));
            thread::spawn(move || {
                let mut most = 0.0_f64;
                while !world.is_over() {
                    let held = host.memory_mb();
                    most = most.max(held);
                    if held > MEMORY_MB {
                        world.note(format!(
                            "platform: {} holds {held:.0} MB and is killed",
                            host.name
                        ));
                        host.kill_and_restart(&world);
                        let mut ends = ends.lock().unwrap();
                        ends.iter_mut().filter(|(n, _)| *n == host.name).for_each(|(_, n)| *n += 1);
                    }
                    sleep_ms(50);
                }
                world.note(format!("{} held {most:.0} MB at most", host.name));
            })
        })
        .collect();
    let (started, mut version, mut acknowledged) = (world.now(), 1, 0);
    while world.now() - started < PLAY {
        let at = world.now();
        version += 1;
        let growths = if trouble { (version as usize - 1).min(GROWTHS) } else { 0 };
        let text = state(world, version, growths * ROUTES);
        acknowledged += usize::from(order(world, &controls, put, &text).is_ok());
        thread::sleep(GAP.saturating_sub(world.now() - at));
    }
    world.over.store(true, Ordering::Relaxed);
    for watcher in watchers {
        let _ = watcher.join();
    }
    let ends = ends.lock().unwrap().clone();
    let often = ends.iter().filter(|(_, n)| *n > ENDS).count();
    if acknowledged < 100 {
        return Err(format!("only {acknowledged} changes were acknowledged"));
    }
    Ok((
        often * 2 >= ends.len(),
        format!(
            "{acknowledged} of {} changes were acknowledged; ends of processes for their memory: {ends:?}",
            version - 1
        ),
    ))
}

/// A desired state with the given number of idle routes.
fn state(world: &World, version: u64, idle: usize) -> String {
    let names: Vec<(String, String)> =
        (0..idle).map(|i| (format!("r-idle{i:05}"), format!("/idle{i:05}/"))).collect();
    let timeout = 1_500 + version % 7;
    let mut routes = vec![("r-order", "/order/", "idempotent", timeout, "orderdesk")];
    routes.extend(
        names.iter().map(|(n, p)| (n.as_str(), p.as_str(), "idempotent", 1_500, "orderdesk")),
    );
    plan(world, version, &routes, ("3.0", "0.0"))
}
