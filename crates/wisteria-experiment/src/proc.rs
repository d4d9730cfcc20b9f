//! Processor time and memory of our own child processes, from `/proc`.

use std::fs::read_to_string;
use std::time::Duration;

use anyhow::{Context, Result};
use wisteria_testkit::process::Process;

/// Clock ticks per second of `/proc`, fixed by the kernel's interface.
const TICKS_PER_SECOND: f64 = 100.0;
/// Place of the user time among the fields after the program's name.
const USER_TIME: usize = 11;

const BYTES_PER_KIB: u64 = 1024;

/// Processor time that the process has used.
pub(crate) fn cpu(process: &Process) -> Result<Duration> {
    let id = process.id().context("the process has ended")?;
    let stat = read_to_string(format!("/proc/{id}/stat"))?;
    let (_, fields) = stat.rsplit_once(')').context("no program name in stat")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let times = fields.get(USER_TIME..USER_TIME + 2).context("no times in stat")?;
    let ticks = times.iter().map(|t| t.parse::<f64>()).sum::<Result<f64, _>>()?;
    Ok(Duration::from_secs_f64(ticks / TICKS_PER_SECOND))
}

/// Resident memory in bytes.
pub(crate) fn memory(process: &Process) -> Result<u64> {
    let id = process.id().context("the process has ended")?;
    let status = read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).context("no VmRSS")?;
    let kib: u64 = line.split_whitespace().next().context("no size")?.parse()?;
    Ok(kib * BYTES_PER_KIB)
}

/// Load of the machine: processes that ran or waited, averaged over a minute.
pub(crate) fn machine_load() -> String {
    let all = read_to_string("/proc/loadavg").unwrap_or_default();
    all.split_whitespace().next().unwrap_or("unknown").to_owned()
}
