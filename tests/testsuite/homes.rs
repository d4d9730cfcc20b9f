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

/// What one disk holds of one epoch.
struct Copy {
    base: Checkpoint,
    /// Number of commands applied, and the state after them.
    state: (u64, EpochState),
}

/// One host with a disk.
#[derive(Default)]
struct Host {
    disk: u64,
    shelf: Epochs,
    copies: BTreeMap<u64, Copy>,
}

/// A zone of hosts with disks beside the log of the tier. A group is what its voters hold:
/// a command is applied when a majority of them reach each other.
struct World {
    tier: State,
    hosts: Vec<Host>,
    /// Side of each host, while the zone is cut.
    sides: Vec<bool>,
    now: u64,
    /// Number drawn last.
    drawn: u64,
    /// Foundings under way; a copy stays when one is applied.
    wire: Vec<Command>,
    /// Voters of each epoch, as they were first seen.
    voters: BTreeMap<u64, Vec<Replica>>,
}

impl World {
    fn new() -> Self {
        let hosts = (0..HOSTS).map(|i| Host { disk: i as u64 + 1, ..Host::default() }).collect();
        let sides = vec![true; HOSTS];
        let (tier, wire, voters) = (State::default(), Vec::new(), BTreeMap::new());
        Self { tier, hosts, sides, now: NOW, drawn: 100, wire, voters }
    }

    fn draw(&mut self) -> u64 {
        self.drawn += 1;
        self.drawn
    }

    fn replica(&self, i: usize) -> Replica {
        Replica { host: format!("h{i}"), zone: ZONE.to_owned(), disk: self.hosts[i].disk }
    }

    fn reached(&self, from: usize) -> Vec<usize> {
        (0..HOSTS).filter(|&i| self.sides[i] == self.sides[from]).collect()
    }

    fn tier(&mut self, command: &Command) -> Reply {
        let stamped = StampedCommand { time_ms: self.now, command: command.clone() };
        self.tier.apply(&encode(&stamped)).unwrap()
    }

    /// A host founds the epoch that it finds needed.
    fn found(&mut self, from: usize, lost: bool) {
        let present: Vec<Replica> =
            self.reached(from).into_iter().map(|i| self.replica(i)).collect();
        let current = self.hosts[from].shelf.current().cloned();
        let Some(voters) = plan_voters(current.as_ref(), &present, lost) else { return };
        let (base, epoch) = (current.map_or(0, |h| h.epoch), self.draw());
        let founding = EpochProposal { zone: ZONE.to_owned(), base, epoch, voters };
        let command = Command::Found(founding);
        self.wire.push(command.clone());
        if let Reply::Homes(Ok(homes)) = self.tier(&command) {
            self.tell(from, &homes);
        }
    }

    /// A founding is applied once more.
    fn again(&mut self, n: usize) {
        if !self.wire.is_empty() {
            let command = self.wire[n % self.wire.len()].clone();
            self.tier(&command);
        }
    }

    /// A host hears of epochs and holds those that it has a vote in.
    fn tell(&mut self, to: usize, homes: &[HomeEpoch]) {
        let me = self.replica(to);
        let host = &mut self.hosts[to];
        host.shelf.merge(self.now, homes);
        for home in host.shelf.list() {
            let first = self.voters.entry(home.epoch).or_insert_with(|| home.voters.clone());
            assert_eq!(*first, home.voters, "one epoch has two sets of voters");
            let kept = host.copies.get(&home.epoch).map(|c| &c.base);
            if let VoterStatus::New(base) = voter_status(home, &me, kept) {
                let state = (0, EpochState::new(ZONE, home.epoch));
                host.copies.insert(home.epoch, Copy { base, state });
            }
        }
    }

    fn gossip(&mut self, from: usize) {
        let homes = self.hosts[from].shelf.list().to_vec();
        for to in self.reached(from) {
            self.tell(to, &homes);
        }
    }

    /// A host ends the epochs that are old by its clock.
    fn end(&mut self, i: usize, clock_ms: u64) {
        let host = &mut self.hosts[i];
        for home in host.shelf.ended(clock_ms) {
            if let Some(copy) = host.copies.get_mut(&home.epoch) {
                copy.base = epoch_tombstone();
            }
            host.shelf.forget(home.epoch);
        }
    }

    fn lose_disk(&mut self, i: usize) {
        let disk = self.draw();
        self.hosts[i] = Host { disk, ..Host::default() };
    }

    /// Applies a command at an epoch's group, if a majority of its voters is reached.
    fn apply(&mut self, from: usize, epoch: u64, command: &Command) -> Option<Reply> {
        let voters = self.voters.get(&epoch)?.clone();
        let home = HomeEpoch { zone: ZONE.to_owned(), epoch, since_ms: 0, voters };
        let votes = |i: &usize| {
            let copy = self.hosts[*i].copies.get(&epoch);
            let kept = copy.map(|c| &c.base);
            kept.is_some() && voter_status(&home, &self.replica(*i), kept) == VoterStatus::Existing
        };
        let there: Vec<usize> = self.reached(from).into_iter().filter(votes).collect();
        if there.len() * 2 <= home.voters.len() {
            return None;
        }
        let states = there.iter().map(|i| &self.hosts[*i].copies[&epoch].state);
        let (n, mut book) = states.max_by_key(|s| s.0)?.clone();
        let stamped = StampedCommand { time_ms: self.now, command: command.clone() };
        let reply = book.apply(&encode(&stamped)).unwrap();
        for i in there {
            let copy = self.hosts[i].copies.get_mut(&epoch).unwrap();
            copy.state = (n + 1, book.clone());
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
        let epoch = self.hosts[i].shelf.current()?.epoch;
        let nonce = u128::from(self.draw());
        let ticket = Ticket { home: ZONE.to_owned(), epoch, time_ms: self.now, nonce };
        Some((epoch, ticket.to_string()))
    }

    /// A tier and a home of three of the four hosts that all know.
    fn founded() -> Self {
        let mut world = Self::new();
        world.found(0, false);
        world.gossip(0);
        world
    }
}

#[derive(Clone, Debug)]
enum Step {
    Ticket(usize),
    /// A ticket is claimed at a host; it may be handed to another epoch's group, and the
    /// answer may be lost, upon which the claim is taken back.
    Claim {
        at: usize,
        key: usize,
        stray: bool,
        lost: bool,
    },
    Run {
        recorded: bool,
    },
    NotRun,
    Found {
        at: usize,
        lost: bool,
    },
    Again(usize),
    Gossip(usize),
    LoseDisk(usize),
    Cut(Vec<bool>),
    Heal,
    /// All disks of the tier's voters are lost; the tier is founded anew.
    TierLost,
    Restart,
    Pass(u64),
    /// The first hosts end old epochs, by clocks that are ahead.
    End {
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
            .prop_map(|(at, key, stray, lost)| Step::Claim { at, key, stray, lost }),
        5 => any::<bool>().prop_map(|recorded| Step::Run { recorded }),
        1 => Just(Step::NotRun),
        4 => (host(), any::<bool>()).prop_map(|(at, lost)| Step::Found { at, lost }),
        2 => any::<usize>().prop_map(Step::Again),
        5 => host().prop_map(Step::Gossip),
        3 => host().prop_map(Step::LoseDisk),
        2 => prop::collection::vec(any::<bool>(), HOSTS).prop_map(Step::Cut),
        2 => Just(Step::Heal),
        1 => Just(Step::TierLost),
        1 => Just(Step::Restart),
        2 => pass.clone().prop_map(Step::Pass),
        3 => (1..=HOSTS, pass).prop_map(|(hosts, ahead)| Step::End { hosts, ahead }),
    ]
}

/// A grant that was not used yet: host, key and number of the claim.
type Grant = (usize, usize, u64);

/// The zone, its tickets and the executions of each.
struct Run {
    world: World,
    tickets: Vec<(u64, String)>,
    ran: Vec<u32>,
    grants: Vec<Grant>,
}

impl Run {
    fn new() -> Self {
        Self { world: World::founded(), tickets: Vec::new(), ran: Vec::new(), grants: Vec::new() }
    }

    fn step(&mut self, step: &Step) {
        let world = &mut self.world;
        match step {
            Step::Ticket(i) => {
                self.tickets.extend(world.ticket(*i));
                self.ran.resize(self.tickets.len(), 0);
            }
            Step::Claim { at, key, stray, lost } => self.claim(*at, *key, *stray, *lost),
            Step::Run { recorded } if !self.grants.is_empty() => {
                let (at, key, nonce) = self.grants.remove(0);
                self.ran[key] += 1;
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
            Step::Run { .. } | Step::NotRun => {}
            Step::Found { at, lost } => world.found(*at, *lost),
            Step::Again(n) => world.again(*n),
            Step::Gossip(i) => world.gossip(*i),
            Step::LoseDisk(i) => world.lose_disk(*i),
            Step::Cut(sides) => world.sides.clone_from(sides),
            Step::Heal => world.sides = vec![true; HOSTS],
            Step::TierLost => world.tier = State::default(),
            Step::Restart => world.tier = State::read(&world.tier.write()).unwrap(),
            Step::Pass(ms) => world.now += ms,
            Step::End { hosts, ahead } => {
                let at = world.now + 2 * ahead;
                (0..*hosts).for_each(|i| world.end(i, at));
            }
        }
    }

    fn claim(&mut self, at: usize, key: usize, stray: bool, lost: bool) {
        let nonce = self.world.draw();
        let Some((epoch, text)) = self.tickets.get(key).cloned() else { return };
        let other = self.world.voters.keys().rev().find(|e| **e != epoch).copied();
        let to = if stray { other.unwrap_or(epoch) } else { epoch };
        match self.world.claim(at, to, &text, nonce) {
            Some(Ok(Claim::Granted)) if !lost => self.grants.push((at, key, nonce)),
            Some(Ok(Claim::Known(Outcome::Ran(_)))) => assert_eq!(self.ran[key], 1),
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
        for ((_, ticket), ran) in run.tickets.iter().zip(&run.ran) {
            prop_assert!(*ran <= 1, "{ticket} ran {ran} times");
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

/// Brings one fault about.
fn hit(world: &mut World, fault: usize, key: &str) {
    let homes = world.hosts[0].shelf.list().to_vec();
    match fault {
        0 => world.lose_disk(1),
        1 => (1..HOSTS).for_each(|i| world.lose_disk(i)),
        2 | 9 => {
            world.lose_disk(2);
            world.found(0, false);
        }
        3 => {
            world.sides = vec![true, false, false, false];
            world.found(1, true);
        }
        4 => world.again(0),
        5 | 6 => {
            world.lose_disk(2);
            world.found(0, false);
            world.gossip(0);
            for i in 0..if fault == 5 { 1 } else { HOSTS } {
                world.end(i, world.now + 2 * EPOCH_RETENTION_MILLIS);
                world.tell(i, &homes);
            }
        }
        7 => {
            world.tier = State::default();
            world.found(0, true);
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

/// Strikes with one fault at one step, resends at all hosts, and returns the executions.
fn strike(fault: usize, step: usize) -> u32 {
    let mut world = World::founded();
    let (epoch, key) = world.ticket(0).unwrap();
    let mut ran = 0;
    if step == 0 {
        hit(&mut world, fault, &key);
    }
    let granted = world.claim(0, epoch, &key, 1) == Some(Ok(Claim::Granted));
    if step == 1 {
        hit(&mut world, fault, &key);
    }
    if granted {
        ran += 1;
        if step == 2 {
            hit(&mut world, fault, &key);
        } else {
            world.record(0, epoch, &key, 1, Outcome::Ran(b"done".to_vec()));
        }
    }
    if step == 3 {
        hit(&mut world, fault, &key);
    }
    for healed in [false, true] {
        if healed {
            world.sides = vec![true; HOSTS];
            (0..HOSTS).for_each(|i| world.gossip(i));
        }
        for at in 0..HOSTS {
            let nonce = world.draw();
            if world.claim(at, epoch, &key, nonce) == Some(Ok(Claim::Granted)) {
                ran += 1;
                world.record(at, epoch, &key, nonce, Outcome::Ran(b"done".to_vec()));
            }
        }
    }
    ran
}

#[test]
fn every_fault_at_every_step_of_an_order_at_a_home() {
    let invariant = "the request of the ticket runs at most once, over eight resends.";
    let mut matrix = Matrix::new("homes", invariant, &FAULTS, &STEPS);
    for (f, fault) in FAULTS.iter().enumerate() {
        for (s, step) in STEPS.iter().enumerate() {
            assert!(strike(f, s) <= 1, "{fault}, {step}");
            matrix.record_held(fault, step);
        }
    }
    matrix.finish();
}

#[test]
fn order_goes_on_while_a_majority_of_the_home_is_there() {
    let mut world = World::founded();
    let (epoch, key) = world.ticket(0).unwrap();
    assert_eq!(world.voters[&epoch].len(), 3);
    assert_eq!(world.claim(0, epoch, &key, 1), Some(Ok(Claim::Granted)));
    world.record(0, epoch, &key, 1, Outcome::Ran(b"done".to_vec()));
    // The next epoch takes new tickets; the old one still knows its own.
    world.lose_disk(1);
    world.found(0, false);
    world.gossip(0);
    let (next, other) = world.ticket(0).unwrap();
    assert_ne!(next, epoch);
    assert_eq!(world.claim(3, next, &other, 2), Some(Ok(Claim::Granted)));
    let ran = Some(Ok(Claim::Known(Outcome::Ran(b"done".to_vec()))));
    assert_eq!(world.claim(3, epoch, &key, 3), ran);
    // Another epoch does not say that it did not run.
    let refused = world.claim(0, next, &key, 4).unwrap().unwrap_err();
    assert_eq!((refused.verdict, refused.reason), (Verdict::MayHaveRun, Reason::ExpiredKey));
    // Without a majority nothing is granted.
    world.lose_disk(2);
    assert_eq!(world.claim(0, epoch, &key, 5), None);
}

#[test]
fn epochs_are_limited() {
    let mut world = World::founded();
    for _ in 0..3 * EPOCHS_MAX {
        world.lose_disk(0);
        world.gossip(1);
        world.found(0, false);
        world.gossip(0);
    }
    assert_eq!(world.hosts[1].shelf.list().len(), EPOCHS_MAX);
    world.now += 2 * EPOCH_RETENTION_MILLIS;
    world.found(0, true);
    (0..HOSTS).for_each(|i| world.end(i, world.now));
    assert!(world.hosts[0].shelf.list().len() <= 2);
}

#[test]
fn one_founding_of_several_has_its_way() {
    let mut world = World::new();
    world.found(0, false);
    world.found(1, false);
    world.again(0);
    let first = world.hosts[0].shelf.current().cloned().unwrap();
    assert_eq!(world.hosts[1].shelf.current(), Some(&first));
    // A log that lost its memory founds another epoch beside the one that lives on.
    world.tier = State::default();
    world.lose_disk(0);
    world.found(1, false);
    let list = world.hosts[1].shelf.list();
    assert_eq!((list.len(), list.first()), (2, Some(&first)));
}

#[test]
fn home_is_founded_for_what_a_ticket_can_name() {
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
        let founding = EpochProposal { zone: zone.to_owned(), base: 0, epoch: 7, voters };
        let command = Command::Found(founding);
        let reply = state.apply(&encode(&StampedCommand { time_ms: NOW, command })).unwrap();
        let Reply::Homes(Err(refused)) = reply else { panic!("{reply:?}") };
        assert_eq!(refused.reason, Reason::BadRequest, "{zone}");
    }
}

#[test]
fn state_without_homes_is_read() {
    let mut old: BTreeMap<String, Value> = decode(&State::default().write()).unwrap();
    old.remove("homes").unwrap();
    assert!(State::read(&encode(&old)).is_ok());
}

const LOOK: Duration = Duration::from_millis(50);
/// Looks at a condition before it counts as never met.
const LOOKS_MAX: u32 = 2_400;

/// Asks a host for tickets until one names the home.
async fn ticket(tier: &Tier, i: usize, home: &str) -> String {
    let mut last = None;
    for _ in 0..LOOKS_MAX {
        let made = client::post(tier.daemons[i].callers, "/v1/tickets", &json!({})).await;
        let text = made.ok().and_then(|m| m.body["ticket"].as_str().map(str::to_owned));
        if let Some(text) = &text
            && Ticket::parse(text).unwrap().home == home
        {
            return text.clone();
        }
        last = text.or(last);
        tokio::time::sleep(LOOK).await;
    }
    panic!("no ticket of home `{home}` was given; the last was {last:?}");
}

async fn holds_home(tier: &Tier, i: usize) {
    for _ in 0..LOOKS_MAX {
        if tier.log(i).unwrap().contains("this host holds epoch") {
            return;
        }
        tokio::time::sleep(LOOK).await;
    }
    panic!("the host never held a home");
}

/// Hosts `n1` to `n3` hold the home of the north, `s1` alone the log of the tier.
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
        holds_home(&tier, i).await;
    }
    tier
}

#[tokio::test]
async fn cut_off_zone_takes_orders_and_their_records_hold() {
    let mut tier = two_zones().await;
    let before = ticket(&tier, 4, Ticket::TIER).await;
    let told = ordered(&tier, 4, &before).await;
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
    // One of the three that hold the home dies.
    tier.daemons[2].process.kill().await.unwrap();
    for (key, result) in &done {
        assert_eq!(ordered(&tier, 4, key).await["result"], *result, "{key}");
    }
    // The others come back: the records hold there too, and those of the tier here.
    tier.daemons[0].process.signal("CONT").await.unwrap();
    for (key, result) in &done {
        assert_eq!(ordered(&tier, 0, key).await["result"], *result, "{key}");
    }
    assert_eq!(ordered(&tier, 4, &before).await["result"], told["result"]);
    for i in [4, 1] {
        ticket(&tier, i, Ticket::TIER).await;
    }
    let seen = client::get(tier.leaves[0].control, "/executions").await.unwrap();
    let all = seen.body["executions"].as_array().unwrap();
    let orders = all.iter().filter(|e| e["kind"] == "order").count();
    assert_eq!(orders, 3, "{}", seen.body);
}
