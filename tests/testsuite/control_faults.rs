//! Every fault at every step of a change, from the operator to what is in force at the
//! hosts, with the log, the state and the keepers as they are and all else faked.

use std::collections::BTreeMap;
use std::sync::Arc;
use wisteria_testkit::cluster::Cluster;
use wisteria_testkit::matrix::Matrix;
use wisteriahead::core::control::changes::{ActiveRevision, Change};
use wisteriahead::core::control::{Command, Reply, StampedCommand, State};
use wisteriahead::core::document::{Document, Revision};
use wisteriahead::core::log::{Change as Voters, replace_disks};
use wisteriahead::core::message::{decode, encode};
use wisteriahead::core::verdict::{Reason, Verdict};
use wisteriahead::services::control::Keeper;
use wisteriahead::util::disk::Disk;

/// Hosts with a disk, which keep the log.
const VOTERS: usize = 3;
/// All hosts.
const HOSTS: usize = 5;
/// Changes that pile up while a host is down.
const PILED: usize = 300;
/// Pushes of which a copy comes late.
const LATE: usize = 20;
const SEEDS: u64 = 8;

const FAULTS: [&str; 10] = [
    "leader killed",
    "leader isolated",
    "answer lost and change resent",
    "two operators race with the same precondition",
    "disk lost",
    "disk full",
    "torn tail",
    "restart with hundreds of changes piled up",
    "second host lost right after a repair",
    "host frozen and back",
];
const STEPS: [&str; 6] = [
    "change checked",
    "entry appended",
    "entry at one follower",
    "entry committed at the leader",
    "revision pushed to one host",
    "revision in force at all",
];

/// The state of a host's replica, from the commands that it applied.
#[derive(Default)]
struct Applied {
    state: State,
    replies: BTreeMap<usize, Reply>,
    count: usize,
    told: Revision,
}

/// Five hosts, three of them with a disk.
struct Tier {
    cluster: Cluster,
    commands: Vec<Vec<u8>>,
    applied: Vec<Applied>,
    keepers: Vec<Option<Keeper>>,
    pushes: Vec<(usize, usize, ActiveRevision)>,
    /// Pushes that were delivered; copies of the last of them come late.
    late: Vec<(usize, ActiveRevision)>,
    isolated: Option<usize>,
    /// The text of each revision that was in force anywhere.
    texts: BTreeMap<Revision, Arc<str>>,
    /// Highest revision that was in force at each host since it has its disk.
    highest: Vec<Revision>,
    /// Documents whose outcome an operator has seen, by identifier.
    outcomes: BTreeMap<String, Reply>,
}

fn text(n: usize) -> String {
    format!("# {n}\n[[zone]]\nname = \"north\"\n")
}

fn edit(id: &str, base: Revision, text: &str) -> Vec<u8> {
    let fault = Document::parse(text).err();
    let change = Change { id: id.to_owned(), operator: "ann".into(), base, text: text.to_owned() };
    encode(&StampedCommand {
        time_ms: 1,
        command: Command::Edit { change, fault, zones: Vec::new() },
    })
}

fn id(command: &[u8]) -> String {
    match decode::<StampedCommand>(command).unwrap().command {
        Command::Edit { change, .. } => change.id,
        other => panic!("{other:?}"),
    }
}

impl Tier {
    fn new(seed: u64) -> Self {
        let mut tier = Self {
            cluster: Cluster::new(VOTERS, VOTERS, seed),
            commands: Vec::new(),
            applied: (0..VOTERS).map(|_| Applied::default()).collect(),
            keepers: (0..HOSTS).map(|_| None).collect(),
            pushes: Vec::new(),
            late: Vec::new(),
            isolated: None,
            texts: BTreeMap::new(),
            highest: vec![0; HOSTS],
            outcomes: BTreeMap::new(),
        };
        (0..HOSTS).for_each(|i| tier.open(i));
        tier.settle(60);
        tier
    }

    /// Opens what a host keeps in force.
    fn open(&mut self, i: usize) {
        let disk = self.cluster.hosts.get(i).map(|h| h.disk.clone() as Arc<dyn Disk>);
        self.keepers[i] = Some(Keeper::open(disk.as_ref()).unwrap());
        let revision = self.revision(i);
        assert!(i >= VOTERS || revision >= self.highest[i], "h{i} goes back to {revision}");
        self.highest[i] = revision;
    }

    fn revision(&self, i: usize) -> Revision {
        self.keepers[i].as_ref().map_or(0, Keeper::revision)
    }

    fn leader(&self) -> usize {
        self.cluster.leader().unwrap_or_else(|| panic!("no leader: {}", self.cluster.describe()))
    }

    fn crash(&mut self, i: usize, seed: u64) {
        self.cluster.crash(i, seed);
        self.forget(i);
    }

    /// What a process that has ended no longer knows.
    fn forget(&mut self, i: usize) {
        self.keepers[i] = None;
        self.applied[i] = Applied::default();
    }

    fn lose(&mut self, i: usize) {
        self.forget(i);
        self.cluster.replace_disk(i);
        self.highest[i] = 0;
        self.open(i);
    }

    fn start(&mut self, i: usize) {
        self.cluster.hosts[i].frozen = false;
        self.cluster.start(i);
        if self.keepers[i].is_none() {
            self.open(i);
        }
    }

    fn runs(&self, i: usize) -> bool {
        self.keepers[i].is_some() && self.cluster.hosts.get(i).is_none_or(|h| !h.frozen)
    }

    /// Notes which hosts' power failed within the log, applies what was committed there and
    /// pushes what was accepted.
    fn pump(&mut self) {
        for i in 0..VOTERS {
            let Some(live) = &self.cluster.hosts[i].running else {
                self.forget(i);
                continue;
            };
            let (leads, commands) = (live.node.is_leader(), live.applied.clone());
            let applied = &mut self.applied[i];
            for command in &commands[applied.count.min(commands.len())..] {
                let n = u64::from_be_bytes(command.as_slice().try_into().unwrap()) as usize;
                let reply = applied.state.apply(&self.commands[n]).unwrap();
                applied.replies.insert(n, reply);
            }
            applied.count = commands.len();
            let force = applied.state.changes.active();
            if force.revision <= applied.told {
                continue;
            }
            applied.told = force.revision;
            if leads {
                let others = (0..HOSTS).filter(|&to| to != i);
                self.pushes.extend(others.map(|to| (i, to, force.clone())));
            }
            self.adopt(i, force);
        }
    }

    fn adopt(&mut self, i: usize, force: ActiveRevision) {
        let Some(keeper) = &self.keepers[i] else { return };
        keeper.adopt(force);
        let (revision, text) = (keeper.revision(), keeper.force().text);
        assert!(revision >= self.highest[i], "h{i} goes back to {revision}");
        self.highest[i] = revision;
        let first = self.texts.entry(revision).or_insert_with(|| text.clone());
        assert_eq!(*first, text, "two documents are revision {revision}");
    }

    /// Delivers one push.
    fn push(&mut self) {
        if self.pushes.is_empty() {
            return;
        }
        let (from, to, force) = self.pushes.remove(0);
        if self.reaches(from, to) && self.runs(to) {
            self.late.push((to, force.clone()));
            self.adopt(to, force);
        }
    }

    /// Delivers copies of the last pushes, the newest first.
    fn push_late(&mut self) {
        let late = self.late.split_off(self.late.len().saturating_sub(LATE));
        for (to, force) in late.into_iter().rev() {
            self.adopt(to, force);
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.isolated.is_none_or(|i| i != from && i != to)
    }

    /// Lets time pass: messages, pushes, and what hosts tell each other in their rounds.
    fn settle(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.cluster.settle(1);
            self.pump();
            while !self.pushes.is_empty() {
                self.push();
            }
            self.tell();
        }
    }

    fn tell(&mut self) {
        for from in (0..HOSTS).filter(|&i| self.runs(i)).collect::<Vec<_>>() {
            let behind = |&to: &usize| {
                self.runs(to) && self.reaches(from, to) && self.revision(to) < self.revision(from)
            };
            let behind: Vec<usize> = (0..HOSTS).filter(behind).collect();
            for to in behind {
                let force = self.keepers[from].as_ref().unwrap().force();
                self.adopt(to, force);
            }
        }
    }

    /// Hands a change in at the leader.
    fn hand_in(&mut self, command: &[u8]) -> usize {
        let leader = self.leader();
        self.commands.push(command.to_vec());
        let n = self.commands.len() - 1;
        self.cluster.propose(leader, n as u64);
        n
    }

    /// Hands a change in until its outcome is heard, as an operator does who lost the answer.
    fn submit(&mut self, command: &[u8]) -> Reply {
        for _ in 0..20 {
            if self.cluster.leader().is_none() {
                self.settle(20);
                continue;
            }
            let n = self.hand_in(command);
            self.settle(3);
            let heard = self.applied.iter().find_map(|a| a.replies.get(&n).cloned());
            if let Some(reply) = heard {
                let first = self.outcomes.entry(id(command)).or_insert_with(|| reply.clone());
                assert_eq!(*first, reply, "a resend has another outcome");
                return reply;
            }
        }
        panic!("no outcome: {}", self.cluster.describe())
    }

    /// What the leader does about voters that lost their disks.
    fn repair(&mut self) {
        let Some(leader) = self.cluster.leader() else { return };
        let Some(live) = &self.cluster.hosts[leader].running else { return };
        let seen: Vec<_> = self.cluster.hosts.iter().map(|h| h.id.clone()).collect();
        let config = live.node.config();
        let ready: Vec<_> = config.learners.iter().filter(|l| seen.contains(l)).cloned().collect();
        let next: Option<Voters> = replace_disks(config, &ready, &seen);
        if let Some(change) = next {
            self.cluster.propose_change(leader, change);
        }
    }

    /// Heals everything and waits until the tier is whole again.
    fn heal(&mut self) {
        self.isolated = None;
        self.cluster.heal();
        for i in 0..VOTERS {
            self.start(i);
        }
        for _ in 0..8 {
            self.settle(15);
            self.repair();
        }
        self.push_late();
        self.settle(20);
    }
}

/// Changes that were accepted before the one that is struck.
fn prepare(tier: &mut Tier, fault: usize, seed: u64) {
    for n in 0..3 {
        tier.submit(&edit(&format!("first{n}"), n, &text(n as usize)));
    }
    if fault == 7 {
        let down = (tier.leader() + 1) % VOTERS;
        tier.crash(down, seed);
        for n in 0..PILED {
            let base = tier.revision(tier.leader());
            tier.submit(&edit(&format!("piled{n}"), base, &text(n)));
        }
        let leader = tier.leader();
        tier.cluster.compact(leader);
    }
}

/// Brings the change to a step.
fn reach(tier: &mut Tier, step: usize, command: &[u8]) {
    if step == 0 {
        return;
    }
    // Nothing else is under way.
    while !tier.cluster.in_flight.is_empty() {
        tier.cluster.deliver(0, false);
    }
    tier.hand_in(command);
    let before = tier.cluster.committed().len();
    match step {
        1 => {}
        2 => tier.cluster.deliver(0, false),
        _ => {
            while tier.cluster.committed().len() == before {
                tier.cluster.deliver(0, false);
            }
        }
    }
    if step >= 4 {
        tier.pump();
        tier.push();
    }
    if step >= 5 {
        tier.settle(20);
    }
}

fn strike(tier: &mut Tier, fault: usize, command: &[u8], seed: u64) {
    let leader = tier.leader();
    let follower = (leader + 1) % VOTERS;
    match fault {
        0 => tier.crash(leader, seed),
        1 => {
            tier.isolated = Some(leader);
            for i in 0..VOTERS {
                tier.cluster.cut(leader, i);
                tier.cluster.cut(i, leader);
            }
        }
        2 => drop(tier.submit(command)),
        3 => drop(tier.hand_in(&edit("rival", 3, &text(99)))),
        4 => tier.lose(follower),
        5 => tier.cluster.hosts[leader].disk.set_free_bytes(Some(seed as usize * 10)),
        6 => {
            // The next write of the leader is begun, then the power fails.
            tier.cluster.hosts[leader].slow = true;
            let rest = edit("torn", 3, &text(50));
            tier.hand_in(&rest);
            tier.cluster.crash_after(leader, 0, seed * 2);
            tier.cluster.sync(leader);
            tier.cluster.hosts[leader].slow = false;
            tier.pump();
        }
        7 => tier.start(follower),
        8 => {
            tier.lose(follower);
            for _ in 0..6 {
                tier.settle(10);
                tier.repair();
            }
            if let Some(now) = tier.cluster.leader() {
                tier.crash(now, seed);
            }
        }
        _ => tier.cluster.hosts[leader].frozen = true,
    }
    tier.settle(60);
    if fault == 5 {
        // The operators free it and restart the host.
        tier.cluster.hosts[leader].disk.set_free_bytes(None);
        tier.crash(leader, seed);
    }
}

fn check(tier: &mut Tier, fault: usize, base: Revision, command: &[u8]) {
    let reply = tier.submit(command);
    let rival = matches!(fault, 3 | 6).then(|| {
        let (id, n) = if fault == 3 { ("rival", 99) } else { ("torn", 50) };
        tier.submit(&edit(id, 3, &text(n)))
    });
    match (&reply, rival) {
        (Reply::Change(Ok(revision)), None) => assert_eq!(*revision, base + 1),
        (Reply::Change(a), Some(Reply::Change(b))) => {
            assert!(a.is_ok() != b.is_ok(), "{a:?} {b:?}");
            let lost = a.as_ref().err().or(b.as_ref().err()).unwrap();
            assert_eq!((lost.verdict, lost.reason), (Verdict::NotRun, Reason::Conflict));
        }
        other => panic!("{other:?}"),
    }
    let last = edit("last", base + 1, &text(1_000));
    assert_eq!(tier.submit(&last), Reply::Change(Ok(base + 2)));
    tier.settle(20);
    for i in 0..HOSTS {
        let force = tier.keepers[i].as_ref().unwrap().force();
        assert_eq!((force.revision, &*force.text), (base + 2, &*text(1_000)), "h{i}");
    }
    let trails = tier.applied.iter().map(|a| a.state.audit.after(0, usize::MAX));
    let trails: Vec<_> = trails.collect();
    assert!(trails.iter().all(|t| *t == trails[0]), "the trails differ");
    let ids: Vec<_> = trails[0].iter().map(|e| &e.request.id).collect();
    let once: std::collections::BTreeSet<_> = ids.iter().collect();
    assert_eq!(once.len(), ids.len(), "a change stands twice in the trail");
    tier.applied[0].state.audit.verify().unwrap();
}

#[test]
fn every_fault_at_every_step() {
    let invariant = "a change has one outcome however often it is sent, of two with the same \
                     base one is accepted, no revision means two documents, no host goes back \
                     to a lower one while it has its disk, and once the fault is over the \
                     revision is in force at all hosts and the tier takes the next change.";
    let mut matrix = Matrix::new("control", invariant, &FAULTS, &STEPS);
    for (fault, name) in FAULTS.iter().enumerate() {
        for (step, at) in STEPS.iter().enumerate() {
            for seed in 0..SEEDS {
                let mut tier = Tier::new(seed);
                prepare(&mut tier, fault, seed);
                let base = tier.revision(tier.leader());
                let command = edit("change", base, &text(7));
                reach(&mut tier, step, &command);
                strike(&mut tier, fault, &command, seed);
                tier.heal();
                check(&mut tier, fault, base, &command);
                matrix.record_held(name, at);
            }
        }
    }
    matrix.finish();
}
