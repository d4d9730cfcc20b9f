//! Machines of the core fail one after the other, never two at once: each loses its disk, restarts with an empty
//! one, is removed for good moments later, and a successor takes its place.

use crate::Outcome;
use crate::caller::HOST;
use crate::record::Record;
use crate::tier::{FIRST_PLAN_PATIENCE, Tier, core_ip};
use crate::wire::fill;
use std::time::Duration;

/// Machines of the core at the start, of which the deployment is to bear the loss of one.
const CORES: u8 = 4;
/// Machines that fail, in this order.
const FAILING: [usize; 4] = [2, 1, 0, 3];
/// Time for which a machine is down when it loses its disk.
const DOWN: Duration = Duration::from_secs(1);
/// Time from its restart until it is removed for good.
const GONE_AFTER: Duration = Duration::from_millis(600);
/// Time until its successor starts.
const SUCCESSOR_AFTER: Duration = Duration::from_secs(1);
/// Time from then to the next failure. The loss counts for 4 s of it, the core is stable 4 s after the start of
/// the successor, and all must serve 12 s after it.
const CALM: Duration = Duration::from_secs(13);
/// Time within which a change must be acknowledged, for which the bound is 5 s, or be read back, which the
/// operator tries for 4 s at least.
const PATIENCE: Duration = Duration::from_secs(8);

fn route(version: u32) -> String {
    fill(
        "route",
        &[
            ("name", &format!("r-{version}")),
            ("host", HOST),
            ("prefix", "/orders/"),
            ("type", "idempotent"),
            ("timeout", "1500"),
            ("aim", "250"),
            ("service", "orderdesk"),
            ("attempts", "2"),
        ],
    )
}

/// Runs the case. With `TROUBLE=plain` the machines are removed and replaced, but do not lose their disk before.
pub fn run(record: &Record) -> Result<Outcome, String> {
    let trouble = std::env::var("TROUBLE").unwrap_or_default();
    let mut tier = Tier::start(CORES, 1)?;
    let services = ["orderdesk".to_owned()];
    let mut acknowledged = 1;
    tier.put_plan(1, &[route(1)], &services, FIRST_PLAN_PATIENCE)?;
    record.note("operator", "version 1 is acknowledged");
    std::thread::sleep(Duration::from_secs(8));
    for (n, failing) in FAILING.into_iter().enumerate() {
        if trouble != "0" {
            fail(&mut tier, failing, n, trouble == "plain", record)?;
        }
        std::thread::sleep(CALM);
        let version = acknowledged + 1;
        match tier.put_plan(version, &[route(version)], &services, PATIENCE) {
            Ok(()) => acknowledged = version,
            Err(fault) => {
                record.note("operator", &format!("version {version}: {fault}"));
                break;
            }
        }
        record.note("operator", &format!("version {acknowledged} is acknowledged"));
    }
    let read = tier.read_plan(PATIENCE);
    let read_newest =
        read.as_ref().is_ok_and(|text| text.contains(&format!("\"version\":{acknowledged},")));
    record.note("operator", &format!("reads back {}", read.unwrap_or_else(|e| e)));
    if read_newest {
        record.note("case", &format!("version {acknowledged} was read back"));
        return Ok(Outcome::Held);
    }
    let text = format!("CONFIG: version {acknowledged} was acknowledged and does not come");
    record.note("case", &text);
    Ok(Outcome::Broken)
}

/// One machine fails and is replaced.
fn fail(
    tier: &mut Tier,
    failing: usize,
    n: usize,
    plain: bool,
    record: &Record,
) -> Result<(), String> {
    let name = format!("machine-{failing}");
    if !plain {
        tier.lose_disk(failing)?;
        record.note(&name, "loses its disk and is down");
        std::thread::sleep(DOWN);
        tier.restart(failing)?;
        record.note(&name, "restarts with an empty disk");
        std::thread::sleep(GONE_AFTER);
    }
    tier.remove(failing);
    record.note(&name, "is removed for good");
    std::thread::sleep(SUCCESSOR_AFTER);
    let next = CORES as usize + 1 + n;
    tier.add_core(next, &core_ip(CORES + n as u8))?;
    record.note(
        &format!("machine-{next}"),
        "takes its place, at another address, with an empty disk",
    );
    Ok(())
}
