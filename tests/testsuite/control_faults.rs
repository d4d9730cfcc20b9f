//! Every fault at every step of a change, from the operator's request to the revision in force
//! at all hosts. The log, the replicated state and the keepers are real, all else is simulated.

use std::collections::BTreeMap;
use std::sync::Arc;
use wisteria_testkit::cluster::Cluster;
use wisteria_testkit::matrix::Matrix;
use wisteriahead::core::control::changes::{ActiveRevision, Change};
use wisteriahead::core::control::{Command, Reply, StampedCommand, State};
use wisteriahead::core::document::{Document, Revision};
use wisteriahead::core::log::{Change as VoterChange, replace_disks};
use wisteriahead::core::message::{decode, encode};
use wisteriahead::core::verdict::{Reason, Verdict};
use wisteriahead::services::control::RevisionStore;
use wisteriahead::util::disk::Disk;

/// Hosts with a disk, which keep the log.
const VOTERS: usize = 3;
/// All hosts.
const HOSTS: usize = 5;
/// Changes accepted while a host is down.
const BACKLOG: usize = 300;
/// Pushes of which a late copy is delivered.
const LATE_COPIES: usize = 20;
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
    /// Highest revision that was pushed to the others.
    pushed: Revision,
}

/// Five hosts, three of them with a disk.
struct Tier {
    cluster: Cluster,
    commands: Vec<Vec<u8>>,
    applied: Vec<Applied>,
    keepers: Vec<Option<RevisionStore>>,
    /// Pushes under way: sender, receiver and what is in force.
    pushes: Vec<(usize, usize, ActiveRevision)>,
    /// Pushes that were delivered. Late copies of the last of them are delivered again.
    delivered: Vec<(usize, ActiveRevision)>,
    isolated: Option<usize>,
    /// The text of each revision that was in force anywhere.
    texts: BTreeMap<Revision, Arc<str>>,
    /// Highest revision that was in force at each host since it got its disk.
    highest: Vec<Revision>,
    /// Outcomes that an operator has received, by the identifier of the change.
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
            delivered: Vec::new(),
            isolated: None,
            texts: BTreeMap::new(),
            highest: vec![0; HOSTS],
            outcomes: BTreeMap::new(),
        };
        (0..HOSTS).for_each(|i| tier.open_keeper(i));
        tier.settle(60);
        tier
    }

    /// Opens the keeper of a host.
    fn open_keeper(&mut self, i: usize) {
        let disk = self.cluster.hosts.get(i).map(|h| h.disk.clone() as Arc<dyn Disk>);
        self.keepers[i] = Some(RevisionStore::open(disk.as_ref()).unwrap());
        let revision = self.revision(i);
        assert!(
            i >= VOTERS || revision >= self.highest[i],
            "h{i} went back to revision {revision}"
        );
        self.highest[i] = revision;
    }

    fn revision(&self, i: usize) -> Revision {
        self.keepers[i].as_ref().map_or(0, RevisionStore::revision)
    }

    fn leader(&self) -> usize {
        self.cluster.leader().unwrap_or_else(|| panic!("no leader: {}", self.cluster.describe()))
    }

    fn crash(&mut self, i: usize, seed: u64) {
        self.cluster.crash(i, seed);
        self.drop_memory(i);
    }

    /// Drops the state in memory of a host whose process has ended.
    fn drop_memory(&mut self, i: usize) {
        self.keepers[i] = None;
        self.applied[i] = Applied::default();
    }

    fn lose_disk(&mut self, i: usize) {
        self.drop_memory(i);
        self.cluster.replace_disk(i);
        self.highest[i] = 0;
        self.open_keeper(i);
    }

    fn start(&mut self, i: usize) {
        self.cluster.hosts[i].frozen = false;
        self.cluster.start(i);
        if self.keepers[i].is_none() {
            self.open_keeper(i);
        }
    }

    fn runs(&self, i: usize) -> bool {
        self.keepers[i].is_some() && self.cluster.hosts.get(i).is_none_or(|h| !h.frozen)
    }

    /// Drops the state of hosts whose power failed while they wrote the log, applies committed
    /// commands, and has the leader push accepted revisions.
    fn apply_committed(&mut self) {
        for i in 0..VOTERS {
            let Some(live) = &self.cluster.hosts[i].running else {
                self.drop_memory(i);
                continue;
            };
            let (is_leader, commands) = (live.node.is_leader(), live.applied.clone());
            let applied = &mut self.applied[i];
            for command in &commands[applied.count.min(commands.len())..] {
                let n = u64::from_be_bytes(command.as_slice().try_into().unwrap()) as usize;
                let reply = applied.state.apply(&self.commands[n]).unwrap();
                applied.replies.insert(n, reply);
            }
            applied.count = commands.len();
            let active = applied.state.changes.active();
            if active.revision <= applied.pushed {
                continue;
            }
            applied.pushed = active.revision;
            if is_leader {
                let others = (0..HOSTS).filter(|&to| to != i);
                self.pushes.extend(others.map(|to| (i, to, active.clone())));
            }
            self.adopt(i, active);
        }
    }

    fn adopt(&mut self, i: usize, active: ActiveRevision) {
        let Some(keeper) = &self.keepers[i] else { return };
        keeper.adopt(active);
        let (revision, text) = (keeper.revision(), keeper.active().text);
        assert!(revision >= self.highest[i], "h{i} went back to revision {revision}");
        self.highest[i] = revision;
        let first = self.texts.entry(revision).or_insert_with(|| text.clone());
        assert_eq!(*first, text, "revision {revision} has two documents");
    }

    /// Delivers the oldest push.
    fn deliver_push(&mut self) {
        if self.pushes.is_empty() {
            return;
        }
        let (from, to, active) = self.pushes.remove(0);
        if self.reaches(from, to) && self.runs(to) {
            self.delivered.push((to, active.clone()));
            self.adopt(to, active);
        }
    }

    /// Delivers late copies of the last pushes, the newest first.
    fn deliver_late_copies(&mut self) {
        let copies = self.delivered.split_off(self.delivered.len().saturating_sub(LATE_COPIES));
        for (to, active) in copies.into_iter().rev() {
            self.adopt(to, active);
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.isolated.is_none_or(|i| i != from && i != to)
    }

    /// Simulates rounds in which messages and pushes are delivered and hosts exchange revisions.
    fn settle(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.cluster.settle(1);
            self.apply_committed();
            while !self.pushes.is_empty() {
                self.deliver_push();
            }
            self.exchange_revisions();
        }
    }

    /// Has each host send its revision to the hosts that are behind.
    fn exchange_revisions(&mut self) {
        for from in (0..HOSTS).filter(|&i| self.runs(i)).collect::<Vec<_>>() {
            let behind = |&to: &usize| {
                self.runs(to) && self.reaches(from, to) && self.revision(to) < self.revision(from)
            };
            let behind: Vec<usize> = (0..HOSTS).filter(behind).collect();
            for to in behind {
                let active = self.keepers[from].as_ref().unwrap().active();
                self.adopt(to, active);
            }
        }
    }

    /// Proposes a change at the leader; returns its number.
    fn propose(&mut self, command: &[u8]) -> usize {
        let leader = self.leader();
        self.commands.push(command.to_vec());
        let n = self.commands.len() - 1;
        self.cluster.propose(leader, n as u64);
        n
    }

    /// Proposes a change until its outcome is known, as an operator does whose answer was lost.
    fn submit(&mut self, command: &[u8]) -> Reply {
        for _ in 0..20 {
            if self.cluster.leader().is_none() {
                self.settle(20);
                continue;
            }
            let n = self.propose(command);
            self.settle(3);
            let reply = self.applied.iter().find_map(|a| a.replies.get(&n).cloned());
            if let Some(reply) = reply {
                let first = self.outcomes.entry(id(command)).or_insert_with(|| reply.clone());
                assert_eq!(*first, reply, "a resend got another outcome");
                return reply;
            }
        }
        panic!("no outcome: {}", self.cluster.describe())
    }

    /// Has the leader replace the replicas of voters that lost their disks, as its service does.
    fn repair(&mut self) {
        let Some(leader) = self.cluster.leader() else { return };
        let Some(live) = &self.cluster.hosts[leader].running else { return };
        let seen: Vec<_> = self.cluster.hosts.iter().map(|h| h.id.clone()).collect();
        let config = live.node.config();
        let ready: Vec<_> = config.learners.iter().filter(|l| seen.contains(l)).cloned().collect();
        let next: Option<VoterChange> = replace_disks(config, &ready, &seen);
        if let Some(change) = next {
            self.cluster.propose_change(leader, change);
        }
    }

    /// Ends all faults and lets the tier recover.
    fn recover(&mut self) {
        self.isolated = None;
        self.cluster.heal();
        for i in 0..VOTERS {
            self.start(i);
        }
        for _ in 0..8 {
            self.settle(15);
            self.repair();
        }
        self.deliver_late_copies();
        self.settle(20);
    }
}

/// Makes the changes that precede the one under test.
fn prepare(tier: &mut Tier, fault: usize, seed: u64) {
    for n in 0..3 {
        tier.submit(&edit(&format!("first{n}"), n, &text(n as usize)));
    }
    if fault == 7 {
        let down = (tier.leader() + 1) % VOTERS;
        tier.crash(down, seed);
        for n in 0..BACKLOG {
            let base = tier.revision(tier.leader());
            tier.submit(&edit(&format!("piled{n}"), base, &text(n)));
        }
        let leader = tier.leader();
        tier.cluster.compact(leader);
    }
}

/// Advances the change to a step.
fn advance_to(tier: &mut Tier, step: usize, command: &[u8]) {
    if step == 0 {
        return;
    }
    // Delivers all earlier messages first.
    while !tier.cluster.in_flight.is_empty() {
        tier.cluster.deliver(0, false);
    }
    tier.propose(command);
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
        tier.apply_committed();
        tier.deliver_push();
    }
    if step >= 5 {
        tier.settle(20);
    }
}

/// Injects the fault.
fn inject(tier: &mut Tier, fault: usize, command: &[u8], seed: u64) {
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
        3 => drop(tier.propose(&edit("rival", 3, &text(99)))),
        4 => tier.lose_disk(follower),
        5 => tier.cluster.hosts[leader].disk.set_free_bytes(Some(seed as usize * 10)),
        6 => {
            // Power fails during the leader's next write.
            tier.cluster.hosts[leader].slow = true;
            let command = edit("torn", 3, &text(50));
            tier.propose(&command);
            tier.cluster.crash_after(leader, 0, seed * 2);
            tier.cluster.sync(leader);
            tier.cluster.hosts[leader].slow = false;
            tier.apply_committed();
        }
        7 => tier.start(follower),
        8 => {
            tier.lose_disk(follower);
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
        // Operators free disk space and restart the host.
        tier.cluster.hosts[leader].disk.set_free_bytes(None);
        tier.crash(leader, seed);
    }
}

/// Checks the outcomes of the change and its rival, what is in force at all hosts, and the audit
/// trails, and that the tier accepts another change.
fn check_invariant(tier: &mut Tier, fault: usize, base: Revision, command: &[u8]) {
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
        let active = tier.keepers[i].as_ref().unwrap().active();
        assert_eq!((active.revision, &*active.text), (base + 2, &*text(1_000)), "h{i}");
    }
    let trails = tier.applied.iter().map(|a| a.state.audit.after(0, usize::MAX));
    let trails: Vec<_> = trails.collect();
    assert!(trails.iter().all(|t| *t == trails[0]), "the audit trails differ");
    let ids: Vec<_> = trails[0].iter().map(|e| &e.request.id).collect();
    let unique: std::collections::BTreeSet<_> = ids.iter().collect();
    assert_eq!(unique.len(), ids.len(), "the audit trail has two entries for a change");
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
                advance_to(&mut tier, step, &command);
                inject(&mut tier, fault, &command, seed);
                tier.recover();
                check_invariant(&mut tier, fault, base, &command);
                matrix.record_held(name, at);
            }
        }
    }
    matrix.finish();
}
