//! Entry hosts lost under load: a zone that is frozen and resumed, or one host that is killed.

use std::time::Duration;

use anyhow::Result;
use tokio::time::{Instant, sleep_until};
use wisteria_load::{Sample, send_searches};
use wisteria_testkit::process::Process;

use super::{Output, Plan};
use crate::page::Findings;
use crate::testbed::{LeafConfig, Testbed};
use crate::timeline::{self, Phase};

const HOSTS: usize = 6;
const ZONES: [&str; 3] = ["north", "south", "west"];
/// Index of the zone that is frozen, and of the host that is killed.
const FAULTY: usize = 0;
const SHARDS: usize = 10;
/// Mean queries per second.
const RATE: f64 = 60.0;
/// Default length of the load of one run.
const SECONDS: f64 = 16.0;
const TIMEOUT_MS: u64 = 500;
/// Times at which the fault begins and ends, as shares of the run.
const EVENT_TIMES: (f64, f64) = (0.25, 0.625);

/// Fault that is injected into the hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HostFault {
    /// All processes of a zone, hosts and endpoints, are suspended and later resumed.
    Frozen,
    /// One entry host is killed and not restarted.
    Killed,
}

/// Runs the experiment once for each seed.
pub(crate) async fn run(plan: Plan, fault: HostFault) -> Result<Output> {
    let seconds = plan.seconds(SECONDS);
    let mut runs = Vec::new();
    for seed in plan.seeds() {
        runs.push(run_seed(seconds, seed, fault).await?);
    }
    let (from, to) = (EVENT_TIMES.0 * seconds, EVENT_TIMES.1 * seconds);
    let phases = [
        Phase::new("before", 0.0, from),
        Phase::new("first 2 s of the fault", from, from + 2.0),
        Phase::new("rest of the fault", from + 2.0, to),
        Phase::new("after", to, seconds),
    ];
    let findings = Findings {
        title: fault.title(),
        about: fault.about(),
        setup: format!(
            "{HOSTS} hosts, {SHARDS} shards with a replica in each of three zones, {RATE} queries \
             a second, {TIMEOUT_MS} ms allowed for each, {seconds} s a run. The fault begins at \
             {from:.1} s and ends at {to:.1} s."
        ),
        tables: vec![timeline::phase_table(&runs, &phases)?],
        conclusion: fault.conclude(&runs, (from, to)),
    };
    let title = format!("Complete answers; fault from {from:.0} s to {to:.0} s");
    let plot = timeline::completeness_plot(title, &runs);
    Ok(Output { findings, plot })
}

impl HostFault {
    fn title(self) -> &'static str {
        match self {
            Self::Frozen => "A zone frozen and healed",
            Self::Killed => "An entry host killed",
        }
    }

    fn about(self) -> &'static str {
        match self {
            Self::Frozen => {
                "All processes of one of three availability zones, entry hosts and endpoints, \
                 stop (SIGSTOP) and go on (SIGCONT). Callers send to the hosts of the other two \
                 zones, as the balancer would."
            }
            Self::Killed => {
                "One of six entry hosts is killed (SIGKILL) and does not come back. Callers send \
                 to all hosts and pass over one that takes no connection."
            }
        }
    }

    /// Sentence on the share of complete answers during the fault.
    fn conclude(self, runs: &[Vec<Sample>], (from, to): (f64, f64)) -> String {
        let within = |s: &&Sample| (from..to).contains(&s.arrival.as_secs_f64());
        let during: Vec<&Sample> = runs.iter().flatten().filter(within).collect();
        let complete = during.iter().filter(|s| s.outcome.is_complete()).count();
        format!(
            "During the fault {complete} of {} requests got a complete answer ({:.2}%).",
            during.len(),
            100.0 * complete as f64 / during.len().max(1) as f64
        )
    }
}

/// Runs one seed.
async fn run_seed(seconds: f64, seed: u64, fault: HostFault) -> Result<Vec<Sample>> {
    let mut testbed = Testbed::start(HOSTS, &ZONES).await?;
    for (i, zone) in (0..).zip(ZONES) {
        testbed.start_leaves(&LeafConfig::new(zone, SHARDS, seed * 1_000 + i * 100)).await?;
    }
    testbed.admit_endpoints().await?;
    testbed.tier.wait_for_shards(0, "kits", SHARDS as u64).await?;
    let mut load = testbed.load_settings(RATE, seconds, seed);
    load.timeout_ms = TIMEOUT_MS;
    if fault == HostFault::Frozen {
        let live = (0..HOSTS).filter(|i| i % ZONES.len() != FAULTY);
        load.target = live.map(|i| testbed.tier.daemons[i].callers).collect();
    }
    let (samples, injected) =
        tokio::join!(send_searches(&load), inject_fault(&mut testbed, seconds, fault));
    injected?;
    samples
}

/// Injects the fault, and ends it unless it is permanent.
async fn inject_fault(testbed: &mut Testbed, seconds: f64, fault: HostFault) -> Result<()> {
    let start = Instant::now();
    let at = |share: f64| start + Duration::from_secs_f64(share * seconds);
    sleep_until(at(EVENT_TIMES.0)).await;
    if fault == HostFault::Killed {
        return testbed.tier.daemons[FAULTY].process.kill().await;
    }
    for process in frozen_processes(testbed) {
        process.signal("STOP").await?;
    }
    sleep_until(at(EVENT_TIMES.1)).await;
    for process in frozen_processes(testbed) {
        process.signal("CONT").await?;
    }
    Ok(())
}

/// All processes of the zone that is frozen.
fn frozen_processes(testbed: &Testbed) -> impl Iterator<Item = &Process> {
    let daemons = testbed.tier.daemons.iter().skip(FAULTY).step_by(ZONES.len());
    daemons.map(|d| &d.process).chain([&testbed.tier.leaves[FAULTY].process])
}
