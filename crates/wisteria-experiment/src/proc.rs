//! CPU time and memory of child processes, read from `/proc`.

use std::fs::read_to_string;
use std::time::Duration;

use anyhow::{Context, Result};
use wisteria_testkit::process::Process;

/// Unit of the CPU times in `/proc/PID/stat`, fixed by Linux's user-space interface.
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of the user time in `/proc/PID/stat`, counted after the program name; the system time
/// follows it.
const USER_TIME_FIELD: usize = 11;

const BYTES_PER_KIB: u64 = 1024;

/// CPU time that the process has used, user and system.
pub(crate) fn cpu_time(process: &Process) -> Result<Duration> {
    let id = process.id().context("the process has ended")?;
    cpu_time_in(&format!("/proc/{id}/stat"))
}

/// CPU time that this process has used, user and system.
pub(crate) fn own_cpu_time() -> Result<Duration> {
    cpu_time_in("/proc/self/stat")
}

fn cpu_time_in(file: &str) -> Result<Duration> {
    let stat = read_to_string(file)?;
    // The program name is in parentheses and may itself contain spaces and parentheses.
    let (_, fields) = stat.rsplit_once(')').context("/proc/PID/stat has no program name")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let times = fields
        .get(USER_TIME_FIELD..USER_TIME_FIELD + 2)
        .context("/proc/PID/stat has no CPU times")?;
    let ticks = times.iter().map(|t| t.parse::<f64>()).sum::<Result<f64, _>>()?;
    Ok(Duration::from_secs_f64(ticks / TICKS_PER_SECOND))
}

/// Resident memory of the process in bytes.
pub(crate) fn resident_bytes(process: &Process) -> Result<u64> {
    let id = process.id().context("the process has ended")?;
    let status = read_to_string(format!("/proc/{id}/status"))?;
    let line = status
        .lines()
        .find_map(|l| l.strip_prefix("VmRSS:"))
        .context("/proc/PID/status has no VmRSS")?;
    let kib: u64 = line
        .split_whitespace()
        .next()
        .context("VmRSS in /proc/PID/status has no value")?
        .parse()?;
    Ok(kib * BYTES_PER_KIB)
}

/// Load average of the machine over the last minute.
pub(crate) fn load_average() -> String {
    let all = read_to_string("/proc/loadavg").unwrap_or_default();
    all.split_whitespace().next().unwrap_or("unknown").to_owned()
}
