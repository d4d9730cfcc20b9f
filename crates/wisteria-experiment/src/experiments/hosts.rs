//! Entry hosts lost under load: a zone frozen and healed, and one host killed.

use std::time::Duration;

use anyhow::Result;
use tokio::time::{Instant, sleep_until};
use wisteria_load::{Sample, samples};
use wisteria_testkit::process::Process;

use super::{Output, Plan};
use crate::lab::{Lab, Shape};
use crate::page::Findings;
use crate::timeline::{self, Phase};

const HOSTS: usize = 6;
const ZONES: [&str; 3] = ["north", "south", "west"];
/// Place of the zone that is frozen, and of the host that is killed.
const HIT: usize = 0;
const SHARDS: usize = 10;
const RATE: f64 = 60.0;
const SECONDS: f64 = 16.0;
const TIMEOUT_MS: u64 = 500;
/// Shares of the run at which the fault begins and ends.
const EVENTS: (f64, f64) = (0.25, 0.625);

/// What happens to the hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Loss {
    /// All hosts and endpoints of a zone stop and go on later.
    Frozen,
    /// One entry host dies for good.
    Killed,
}

/// Runs each seed.
pub(crate) async fn run(plan: Plan, loss: Loss) -> Result<Output> {
    let seconds = plan.seconds(SECONDS);
    let mut runs = Vec::new();
    for seed in plan.seeds() {
        runs.push(once(seconds, seed, loss).await?);
    }
    let (from, to) = (EVENTS.0 * seconds, EVENTS.1 * seconds);
    let phases = [
        Phase::new("before", 0.0, from),
        Phase::new("first 2 s of the fault", from, from + 2.0),
        Phase::new("rest of the fault", from + 2.0, to),
        Phase::new("after", to, seconds),
    ];
    let findings = Findings {
        title: loss.title(),
        about: loss.about(),
        setup: format!(
            "{HOSTS} hosts, {SHARDS} shards with a replica in each of three zones, {RATE} queries \
             a second, {TIMEOUT_MS} ms allowed for each, {seconds} s a run. The fault begins at \
             {from:.1} s and ends at {to:.1} s."
        ),
        tables: vec![timeline::table(&runs, &phases)?],
        verdict: loss.verdict(&runs, (from, to)),
    };
    let title = format!("Complete answers; fault from {from:.0} s to {to:.0} s");
    let plot = timeline::plot(title, &runs);
    Ok(Output { findings, plot })
}

impl Loss {
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

    fn verdict(self, runs: &[Vec<Sample>], (from, to): (f64, f64)) -> String {
        let within = |s: &&Sample| (from..to).contains(&s.arrival.as_secs_f64());
        let during: Vec<&Sample> = runs.iter().flatten().filter(within).collect();
        let complete = during.iter().filter(|s| s.ending.is_complete()).count();
        format!(
            "During the fault {complete} of {} requests got a complete answer ({:.2}%).",
            during.len(),
            100.0 * complete as f64 / during.len().max(1) as f64
        )
    }
}

async fn once(seconds: f64, seed: u64, loss: Loss) -> Result<Vec<Sample>> {
    let mut lab = Lab::start(HOSTS, &ZONES).await?;
    for (i, zone) in (0..).zip(ZONES) {
        lab.leaves(&Shape::new(zone, SHARDS, seed * 1_000 + i * 100)).await?;
    }
    lab.admit().await?;
    lab.tier.wait_for_shards(0, "kits", SHARDS as u64).await?;
    let mut load = lab.load(RATE, seconds, seed);
    load.timeout_ms = TIMEOUT_MS;
    if loss == Loss::Frozen {
        let live = (0..HOSTS).filter(|i| i % ZONES.len() != HIT);
        load.target = live.map(|i| lab.tier.daemons[i].callers).collect();
    }
    let (samples, hit) = tokio::join!(samples(&load), strike(&mut lab, seconds, loss));
    hit?;
    samples
}

async fn strike(lab: &mut Lab, seconds: f64, loss: Loss) -> Result<()> {
    let begun = Instant::now();
    let at = |share: f64| begun + Duration::from_secs_f64(share * seconds);
    sleep_until(at(EVENTS.0)).await;
    if loss == Loss::Killed {
        return lab.tier.daemons[HIT].process.kill().await;
    }
    for process in zone(lab) {
        process.signal("STOP").await?;
    }
    sleep_until(at(EVENTS.1)).await;
    for process in zone(lab) {
        process.signal("CONT").await?;
    }
    Ok(())
}

/// All processes of the zone that is hit.
fn zone(lab: &Lab) -> impl Iterator<Item = &Process> {
    let daemons = lab.tier.daemons.iter().skip(HIT).step_by(ZONES.len());
    daemons.map(|d| &d.process).chain([&lab.tier.leaves[HIT].process])
}
