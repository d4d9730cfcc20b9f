//! Orders whose tickets name a home, the voters of one zone: a simulated zone under random steps,
//! the fault matrix, and a zone of daemons that is cut off from the log of the tier.

use crate::claims::ordered;
use crate::support::config;
use proptest::prelude::*;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::Duration;
use wisteria_testkit::client;
use wisteria_testkit::matrix::Matrix;
use wisteria_testkit::process::program_folder;
use wisteria_testkit::tier::Tier;
use wisteriahead::core::control::claims::{Claim, OUTCOME_TTL_MILLIS, Outcome, Ticket};
use wisteriahead::core::control::homes::{
    EPOCH_RETENTION_MILLIS, EPOCHS_MAX, EpochProposal, EpochState, Epochs, HomeEpoch, VoterStatus,
    epoch_tombstone, plan_voters, voter_status,
};
use wisteriahead::core::control::{Command, Reply, StampedCommand, State};
use wisteriahead::core::log::{Checkpoint, Replica};
use wisteriahead::core::message::{decode, encode};
use wisteriahead::core::verdict::{Reason, Refusal, Verdict};

const NOW: u64 = 1_700_000_000_000;
const HOSTS: usize = 4;
const ZONE: &str = "north";

/// Base of the journal and state of one epoch, on one disk.
struct EpochCopy {
    base: Checkpoint,
    /// Number of applied commands, and the state after them.
    state: (u64, EpochState),
}

/// A host with a disk.
#[derive(Default)]
struct Host {
    disk: u64,
    epochs: Epochs,
    /// Copies by epoch.
    copies: BTreeMap<u64, EpochCopy>,
}

/// A zone of hosts with disks, and the state of the tier's log. The group of an epoch is
/// simplified: a command is applied at once if a majority of the voters can reach each other.
struct World {
    tier: State,
    hosts: Vec<Host>,
    /// Side of each host while the zone is partitioned; all equal otherwise.
    sides: Vec<bool>,
    now: u64,
    /// The last number that was given out.
    last_number: u64,
    /// All proposals of epochs that were sent; each may be applied again.
    proposals: Vec<Command>,
    /// Voters of each epoch, as first seen.
    voters: BTreeMap<u64, Vec<Replica>>,
}

impl World {
    fn new() -> Self {
        let hosts = (0..HOSTS).map(|i| Host { disk: i as u64 + 1, ..Host::default() }).collect();
        let sides = vec![true; HOSTS];
        let (tier, proposals, voters) = (State::default(), Vec::new(), BTreeMap::new());
        Self { tier, hosts, sides, now: NOW, last_number: 100, proposals, voters }
    }

    /// A number that was not used before.
    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn replica(&self, i: usize) -> Replica {
        Replica { host: format!("h{i}"), zone: ZONE.to_owned(), disk: self.hosts[i].disk }
    }

    /// Hosts that a host can reach, itself included.
    fn reachable(&self, from: usize) -> Vec<usize> {
        (0..HOSTS).filter(|&i| self.sides[i] == self.sides[from]).collect()
    }

    /// Applies a command to the log of the tier.
    fn apply_at_tier(&mut self, command: &Command) -> Reply {
        let stamped = StampedCommand { time_ms: self.now, command: command.clone() };
        self.tier.apply(&encode(&stamped)).unwrap()
    }

    /// A host proposes the next epoch if it finds one needed. `lost` is set if the current epoch
    /// has been without a leader for long.
    fn propose_epoch(&mut self, from: usize, lost: bool) {
        let present: Vec<Replica> =
            self.reachable(from).into_iter().map(|i| self.replica(i)).collect();
        let current = self.hosts[from].epochs.current().cloned();
        let Some(voters) = plan_voters(current.as_ref(), &present, lost) else { return };
        let (base, epoch) = (current.map_or(0, |h| h.epoch), self.next_number());
        let proposal = EpochProposal { zone: ZONE.to_owned(), base, epoch, voters };
        let command = Command::Found(proposal);
        self.proposals.push(command.clone());
        if let Reply::Homes(Ok(homes)) = self.apply_at_tier(&command) {
            self.learn_epochs(from, &homes);
        }
    }

    /// Applies an earlier proposal of an epoch once more.
    fn reapply_proposal(&mut self, n: usize) {
        if !self.proposals.is_empty() {
            let command = self.proposals[n % self.proposals.len()].clone();
            self.apply_at_tier(&command);
        }
    }

    /// A host learns of epochs and stores those in which it votes.
    fn learn_epochs(&mut self, to: usize, homes: &[HomeEpoch]) {
        let me = self.replica(to);
        let host = &mut self.hosts[to];
        host.epochs.merge(self.now, homes);
        for home in host.epochs.list() {
            let first = self.voters.entry(home.epoch).or_insert_with(|| home.voters.clone());
            assert_eq!(*first, home.voters, "one epoch has two sets of voters");
            let kept = host.copies.get(&home.epoch).map(|c| &c.base);
            if let VoterStatus::New(base) = voter_status(home, &me, kept) {
                let state = (0, EpochState::new(ZONE, home.epoch));
                host.copies.insert(home.epoch, EpochCopy { base, state });
            }
        }
    }

    fn gossip(&mut self, from: usize) {
        let homes = self.hosts[from].epochs.list().to_vec();
        for to in self.reachable(from) {
            self.learn_epochs(to, &homes);
        }
    }

    /// A host ends the epochs that have expired by its clock.
    fn end_epochs(&mut self, i: usize, clock_ms: u64) {
        let host = &mut self.hosts[i];
        for home in host.epochs.ended(clock_ms) {
            if let Some(copy) = host.copies.get_mut(&home.epoch) {
                copy.base = epoch_tombstone();
            }
            host.epochs.forget(home.epoch);
        }
    }

    fn lose_disk(&mut self, i: usize) {
        let disk = self.next_number();
        self.hosts[i] = Host { disk, ..Host::default() };
    }

    /// Applies a command at an epoch's group, if a majority of its voters can be reached.
    fn apply(&mut self, from: usize, epoch: u64, command: &Command) -> Option<Reply> {
        let voters = self.voters.get(&epoch)?.clone();
        let home = HomeEpoch { zone: ZONE.to_owned(), epoch, since_ms: 0, voters };
        let votes = |i: &usize| {
            let copy = self.hosts[*i].copies.get(&epoch);
            let kept = copy.map(|c| &c.base);
            kept.is_some() && voter_status(&home, &self.replica(*i), kept) == VoterStatus::Existing
        };
        let present: Vec<usize> = self.reachable(from).into_iter().filter(votes).collect();
        if present.len() * 2 <= home.voters.len() {
            return None;
        }
        let states = present.iter().map(|i| &self.hosts[*i].copies[&epoch].state);
        let (n, mut state) = states.max_by_key(|s| s.0)?.clone();
        let stamped = StampedCommand { time_ms: self.now, command: command.clone() };
        let reply = state.apply(&encode(&stamped)).unwrap();
        for i in present {
            let copy = self.hosts[i].copies.get_mut(&epoch).unwrap();
            copy.state = (n + 1, state.clone());
        }
        Some(reply)
    }

    fn claim(
        &mut self,
        from: usize,
        epoch: u64,
        key: &str,
        nonce: u64,
    ) -> Option<Result<Claim, Refusal>> {
        let command = Command::Claim { key: key.to_owned(), digest: [0; 32], nonce };
        match self.apply(from, epoch, &command)? {
            Reply::Claim(done) => Some(done),
            other => panic!("{other:?}"),
        }
    }

    fn record(&mut self, from: usize, epoch: u64, key: &str, nonce: u64, outcome: Outcome) {
        self.apply(from, epoch, &Command::Record { key: key.to_owned(), nonce, outcome });
    }

    fn ticket(&mut self, i: usize) -> Option<(u64, String)> {
        let epoch = self.hosts[i].epochs.current()?.epoch;
        let nonce = u128::from(self.next_number());
        let ticket = Ticket { home: ZONE.to_owned(), epoch, time_ms: self.now, nonce };
        Some((epoch, ticket.to_string()))
    }

    /// A world whose home has three of the four hosts as voters and is known to all.
    fn with_home() -> Self {
        let mut world = Self::new();
        world.propose_epoch(0, false);
        world.gossip(0);
        world
    }
}

#[derive(Clone, Debug)]
enum Step {
    Ticket(usize),
    /// Claims a ticket at a host. The claim may be rerouted to another epoch's group. The answer
    /// may be lost; the host then records that the order has not run.
    Claim {
        at: usize,
        key: usize,
        rerouted: bool,
        lost: bool,
    },
    /// Runs the order of the oldest grant.
    Execute {
        recorded: bool,
    },
    /// Records that the order of the oldest grant has not run.
    NotRun,
    /// A host proposes the next epoch; `lost` as at [`World::propose_epoch`].
    Propose {
        at: usize,
        lost: bool,
    },
    ReapplyProposal(usize),
    Gossip(usize),
    LoseDisk(usize),
    Partition(Vec<bool>),
    Heal,
    /// All disks of the tier's voters are lost; its log starts again from nothing.
    LoseTierLog,
    /// The state of the tier is written and read back.
    RestartTier,
    /// Advances the clock by milliseconds.
    AdvanceClock(u64),
    /// The first hosts end expired epochs, with clocks that are ahead.
    EndEpochs {
        hosts: usize,
        ahead: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let host = || 0..HOSTS;
    let pass =
        prop_oneof![0..60_000u64, Just(OUTCOME_TTL_MILLIS / 2), Just(EPOCH_RETENTION_MILLIS)];
    prop_oneof![
        3 => host().prop_map(Step::Ticket),
        10 => (host(), 0..4usize, prop::bool::weighted(0.2), prop::bool::weighted(0.3))
            .prop_map(|(at, key, rerouted, lost)| Step::Claim { at, key, rerouted, lost }),
        5 => any::<bool>().prop_map(|recorded| Step::Execute { recorded }),
        1 => Just(Step::NotRun),
        4 => (host(), any::<bool>()).prop_map(|(at, lost)| Step::Propose { at, lost }),
        2 => any::<usize>().prop_map(Step::ReapplyProposal),
        5 => host().prop_map(Step::Gossip),
        3 => host().prop_map(Step::LoseDisk),
        2 => prop::collection::vec(any::<bool>(), HOSTS).prop_map(Step::Partition),
        2 => Just(Step::Heal),
        1 => Just(Step::LoseTierLog),
        1 => Just(Step::RestartTier),
        2 => pass.clone().prop_map(Step::AdvanceClock),
        3 => (1..=HOSTS, pass).prop_map(|(hosts, ahead)| Step::EndEpochs { hosts, ahead }),
    ]
}

/// A grant that was not used yet: host, index of the ticket and nonce of the claim.
type Grant = (usize, usize, u64);

/// The zone, its tickets, the number of executions of each, and the unused grants.
struct Run {
    world: World,
    tickets: Vec<(u64, String)>,
    executions: Vec<u32>,
    grants: Vec<Grant>,
}

impl Run {
    fn new() -> Self {
        Self {
            world: World::with_home(),
            tickets: Vec::new(),
            executions: Vec::new(),
            grants: Vec::new(),
        }
    }

    fn step(&mut self, step: &Step) {
        let world = &mut self.world;
        match step {
            Step::Ticket(i) => {
                self.tickets.extend(world.ticket(*i));
                self.executions.resize(self.tickets.len(), 0);
            }
            Step::Claim { at, key, rerouted, lost } => self.claim(*at, *key, *rerouted, *lost),
            Step::Execute { recorded } if !self.grants.is_empty() => {
                let (at, key, nonce) = self.grants.remove(0);
                self.executions[key] += 1;
                if *recorded {
                    let (epoch, text) = &self.tickets[key];
                    world.record(at, *epoch, text, nonce, Outcome::Ran(b"done".to_vec()));
                }
            }
            Step::NotRun if !self.grants.is_empty() => {
                let (at, key, nonce) = self.grants.remove(0);
                let (epoch, text) = &self.tickets[key];
                world.record(at, *epoch, text, nonce, Outcome::NotRun);
            }
            Step::Execute { .. } | Step::NotRun => {}
            Step::Propose { at, lost } => world.propose_epoch(*at, *lost),
            Step::ReapplyProposal(n) => world.reapply_proposal(*n),
            Step::Gossip(i) => world.gossip(*i),
            Step::LoseDisk(i) => world.lose_disk(*i),
            Step::Partition(sides) => world.sides.clone_from(sides),
            Step::Heal => world.sides = vec![true; HOSTS],
            Step::LoseTierLog => world.tier = State::default(),
            Step::RestartTier => world.tier = State::read(&world.tier.write()).unwrap(),
            Step::AdvanceClock(ms) => world.now += ms,
            Step::EndEpochs { hosts, ahead } => {
                let at = world.now + 2 * ahead;
                (0..*hosts).for_each(|i| world.end_epochs(i, at));
            }
        }
    }

    fn claim(&mut self, at: usize, key: usize, rerouted: bool, lost: bool) {
        let nonce = self.world.next_number();
        let Some((epoch, text)) = self.tickets.get(key).cloned() else { return };
        let other = self.world.voters.keys().rev().find(|e| **e != epoch).copied();
        let to = if rerouted { other.unwrap_or(epoch) } else { epoch };
        match self.world.claim(at, to, &text, nonce) {
            Some(Ok(Claim::Granted)) if !lost => self.grants.push((at, key, nonce)),
            Some(Ok(Claim::Known(Outcome::Ran(_)))) => assert_eq!(self.executions[key], 1),
            _ => {}
        }
        if lost {
            self.world.record(at, to, &text, nonce, Outcome::NotRun);
        }
    }
}

proptest! {
    #![proptest_config(config(1536))]

    #[test]
    fn order_of_a_ticket_runs_at_most_once(steps in prop::collection::vec(step(), 0..80)) {
        let mut run = Run::new();
        for step in &steps {
            run.step(step);
        }
        for ((_, ticket), executions) in run.tickets.iter().zip(&run.executions) {
            prop_assert!(*executions <= 1, "{ticket} ran {executions} times");
        }
    }
}

const FAULTS: [&str; 10] = [
    "a voter loses its disk",
    "the majority of the voters lose their disks",
    "the next epoch is founded",
    "the zone is cut in two and the other side founds an epoch",
    "a late copy of the founding",
    "a voter ends the epoch early and hears of it again",
    "all voters end the epoch early and hear of it again",
    "the tier is founded anew",
    "replicas restart",
    "the claim is handed to another epoch",
];
const STEPS: [&str; 4] = ["before the claim", "granted", "ran, not recorded", "ran and recorded"];

/// Injects one fault.
fn inject_fault(world: &mut World, fault: usize, key: &str) {
    let homes = world.hosts[0].epochs.list().to_vec();
    match fault {
        0 => world.lose_disk(1),
        1 => (1..HOSTS).for_each(|i| world.lose_disk(i)),
        2 | 9 => {
            world.lose_disk(2);
            world.propose_epoch(0, false);
        }
        3 => {
            world.sides = vec![true, false, false, false];
            world.propose_epoch(1, true);
        }
        4 => world.reapply_proposal(0),
        5 | 6 => {
            world.lose_disk(2);
            world.propose_epoch(0, false);
            world.gossip(0);
            for i in 0..if fault == 5 { 1 } else { HOSTS } {
                world.end_epochs(i, world.now + 2 * EPOCH_RETENTION_MILLIS);
                world.learn_epochs(i, &homes);
            }
        }
        7 => {
            world.tier = State::default();
            world.propose_epoch(0, true);
        }
        8 => {
            for copy in world.hosts.iter_mut().flat_map(|h| h.copies.values_mut()) {
                let bytes = copy.state.1.write();
                copy.state.1.read(&bytes).unwrap();
            }
        }
        _ => {}
    }
    world.gossip(0);
    if fault == 9 {
        let epochs: Vec<u64> = world.voters.keys().copied().collect();
        for epoch in epochs {
            let own = Ticket::parse(key).unwrap().epoch == epoch;
            let done = if own { None } else { world.claim(0, epoch, key, 50) };
            assert_ne!(done, Some(Ok(Claim::Granted)), "granted by another epoch");
        }
    }
}

/// Injects one fault at one step, resends the order at all hosts, and returns the number of
/// executions.
fn count_executions(fault: usize, step: usize) -> u32 {
    let mut world = World::with_home();
    let (epoch, key) = world.ticket(0).unwrap();
    let mut executions = 0;
    if step == 0 {
        inject_fault(&mut world, fault, &key);
    }
    let granted = world.claim(0, epoch, &key, 1) == Some(Ok(Claim::Granted));
    if step == 1 {
        inject_fault(&mut world, fault, &key);
    }
    if granted {
        executions += 1;
        if step == 2 {
            inject_fault(&mut world, fault, &key);
        } else {
            world.record(0, epoch, &key, 1, Outcome::Ran(b"done".to_vec()));
        }
    }
    if step == 3 {
        inject_fault(&mut world, fault, &key);
    }
    for healed in [false, true] {
        if healed {
            world.sides = vec![true; HOSTS];
            (0..HOSTS).for_each(|i| world.gossip(i));
        }
        for at in 0..HOSTS {
            let nonce = world.next_number();
            if world.claim(at, epoch, &key, nonce) == Some(Ok(Claim::Granted)) {
                executions += 1;
                world.record(at, epoch, &key, nonce, Outcome::Ran(b"done".to_vec()));
            }
        }
    }
    executions
}

#[test]
fn every_fault_at_every_step_of_an_order_at_a_home() {
    let invariant = "the request of the ticket runs at most once, over eight resends.";
    let mut matrix = Matrix::new("homes", invariant, &FAULTS, &STEPS);
    for (f, fault) in FAULTS.iter().enumerate() {
        for (s, step) in STEPS.iter().enumerate() {
            assert!(count_executions(f, s) <= 1, "{fault}, {step}");
            matrix.record_held(fault, step);
        }
    }
    matrix.finish();
}

#[test]
fn orders_continue_while_a_majority_of_the_voters_is_reachable() {
    let mut world = World::with_home();
    let (epoch, key) = world.ticket(0).unwrap();
    assert_eq!(world.voters[&epoch].len(), 3);
    assert_eq!(world.claim(0, epoch, &key, 1), Some(Ok(Claim::Granted)));
    world.record(0, epoch, &key, 1, Outcome::Ran(b"done".to_vec()));
    // New tickets name the next epoch; the old one still has the outcomes of its own tickets.
    world.lose_disk(1);
    world.propose_epoch(0, false);
    world.gossip(0);
    let (next, other) = world.ticket(0).unwrap();
    assert_ne!(next, epoch);
    assert_eq!(world.claim(3, next, &other, 2), Some(Ok(Claim::Granted)));
    let recorded = Some(Ok(Claim::Known(Outcome::Ran(b"done".to_vec()))));
    assert_eq!(world.claim(3, epoch, &key, 3), recorded);
    // Another epoch must not answer that the order has not run.
    let refused = world.claim(0, next, &key, 4).unwrap().unwrap_err();
    assert_eq!((refused.verdict, refused.reason), (Verdict::MayHaveRun, Reason::ExpiredKey));
    // Without a majority nothing is granted.
    world.lose_disk(2);
    assert_eq!(world.claim(0, epoch, &key, 5), None);
}

#[test]
fn number_of_epochs_is_bounded() {
    let mut world = World::with_home();
    for _ in 0..3 * EPOCHS_MAX {
        world.lose_disk(0);
        world.gossip(1);
        world.propose_epoch(0, false);
        world.gossip(0);
    }
    assert_eq!(world.hosts[1].epochs.list().len(), EPOCHS_MAX);
    world.now += 2 * EPOCH_RETENTION_MILLIS;
    world.propose_epoch(0, true);
    (0..HOSTS).for_each(|i| world.end_epochs(i, world.now));
    assert!(world.hosts[0].epochs.list().len() <= 2);
}

#[test]
fn one_of_several_concurrent_epoch_proposals_is_accepted() {
    let mut world = World::new();
    world.propose_epoch(0, false);
    world.propose_epoch(1, false);
    world.reapply_proposal(0);
    let first = world.hosts[0].epochs.current().cloned().unwrap();
    assert_eq!(world.hosts[1].epochs.current(), Some(&first));
    // A log that lost its state accepts another epoch beside the one that still exists.
    world.tier = State::default();
    world.lose_disk(0);
    world.propose_epoch(1, false);
    let list = world.hosts[1].epochs.list();
    assert_eq!((list.len(), list.first()), (2, Some(&first)));
}

#[test]
fn epoch_proposal_with_invalid_zone_or_voters_is_rejected() {
    let voter = |zone: &str, disk| Replica { host: "h".to_owned(), zone: zone.to_owned(), disk };
    let bad = [
        (Ticket::TIER, vec![voter(Ticket::TIER, 1)]),
        ("a.b", vec![voter("a.b", 1)]),
        ("", vec![voter("", 1)]),
        (ZONE, vec![]),
        (ZONE, vec![voter("south", 1)]),
        (ZONE, vec![voter(ZONE, 1), voter(ZONE, 1), voter(ZONE, 2)]),
    ];
    let mut state = State::default();
    for (zone, voters) in bad {
        let proposal = EpochProposal { zone: zone.to_owned(), base: 0, epoch: 7, voters };
        let command = Command::Found(proposal);
        let reply = state.apply(&encode(&StampedCommand { time_ms: NOW, command })).unwrap();
        let Reply::Homes(Err(refused)) = reply else { panic!("{reply:?}") };
        assert_eq!(refused.reason, Reason::BadRequest, "{zone}");
    }
}

#[test]
fn state_stored_without_homes_is_readable() {
    let mut old: BTreeMap<String, Value> = decode(&State::default().write()).unwrap();
    old.remove("homes").unwrap();
    assert!(State::read(&encode(&old)).is_ok());
}

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Polls after which a condition counts as never met.
const POLLS_MAX: u32 = 2_400;

/// Requests tickets from a host until one names the home.
async fn ticket(tier: &Tier, i: usize, home: &str) -> String {
    let mut last = None;
    for _ in 0..POLLS_MAX {
        let made = client::post(tier.daemons[i].callers, "/v1/tickets", &json!({})).await;
        let text = made.ok().and_then(|m| m.body["ticket"].as_str().map(str::to_owned));
        if let Some(text) = &text
            && Ticket::parse(text).unwrap().home == home
        {
            return text.clone();
        }
        last = text.or(last);
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("no ticket of home `{home}` was given; the last was {last:?}");
}

/// Waits until a host logs that it holds an epoch.
async fn wait_for_home(tier: &Tier, i: usize) {
    for _ in 0..POLLS_MAX {
        if tier.log(i).unwrap().contains("this host holds epoch") {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("the host never held a home");
}

/// Hosts `n1` to `n3` are the voters of the north's home; `s1` alone has the log of the tier.
async fn two_zones() -> Tier {
    let mut tier = Tier::new(&program_folder().unwrap()).unwrap();
    tier.voters = vec!["s1".to_owned()];
    tier.start_daemon("s1", "south", &["--log-level", "info"]).await.unwrap();
    for host in ["n1", "n2", "n3"] {
        let data = tier.data_folder(host).to_string_lossy().into_owned();
        tier.start_daemon(host, "north", &["--log-level", "info", "--data", &data]).await.unwrap();
    }
    tier.start_daemon("n4", "north", &["--log-level", "info"]).await.unwrap();
    let leaves = ["--zone", "north", "--shards", "2", "--snapshot", "s1"];
    tier.start_leaves(2, &[0, 1, 2, 3, 4], &leaves).await.unwrap();
    let file = tier.folder().join("inventory.toml");
    std::fs::write(&file, "[[zone]]\nname = \"north\"\n[rules]\nadmit = \"any\"\n").unwrap();
    let file = file.to_string_lossy().into_owned();
    let (status, output) = tier.ctl(4, &["inventory", "apply", "--file", &file]).await.unwrap();
    assert_eq!(status, Some(0), "{output}");
    tier.wait_for_shards(4, "kits", 2).await.unwrap();
    for i in 1..=3 {
        wait_for_home(&tier, i).await;
    }
    tier
}

#[tokio::test]
async fn partitioned_zone_accepts_orders_and_keeps_their_outcomes() {
    let mut tier = two_zones().await;
    let tier_ticket = ticket(&tier, 4, Ticket::TIER).await;
    let tier_order = ordered(&tier, 4, &tier_ticket).await;
    tier.daemons[0].process.signal("STOP").await.unwrap();
    // At a host without a disk, then at one with a disk.
    let mut done = Vec::new();
    for i in [4, 1] {
        let key = ticket(&tier, i, ZONE).await;
        let first = ordered(&tier, i, &key).await;
        done.push((key, first["result"].clone()));
    }
    for (key, result) in &done {
        for i in 1..=4 {
            assert_eq!(ordered(&tier, i, key).await["result"], *result, "{key} at {i}");
        }
    }
    // One of the home's three voters dies.
    tier.daemons[2].process.kill().await.unwrap();
    for (key, result) in &done {
        assert_eq!(ordered(&tier, 4, key).await["result"], *result, "{key}");
    }
    // The south is back: it returns the outcomes of the home's tickets, and the north those of the
    // tier's.
    tier.daemons[0].process.signal("CONT").await.unwrap();
    for (key, result) in &done {
        assert_eq!(ordered(&tier, 0, key).await["result"], *result, "{key}");
    }
    assert_eq!(ordered(&tier, 4, &tier_ticket).await["result"], tier_order["result"]);
    for i in [4, 1] {
        ticket(&tier, i, Ticket::TIER).await;
    }
    let seen = client::get(tier.leaves[0].control, "/executions").await.unwrap();
    let all = seen.body["executions"].as_array().unwrap();
    let orders = all.iter().filter(|e| e["kind"] == "order").count();
    assert_eq!(orders, 3, "{}", seen.body);
}
