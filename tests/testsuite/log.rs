//! The replicated log: random schedules of messages, crashes and disk losses on a simulated
//! cluster, the rules of a single leader, and the fault matrix.

use crate::support::config;
use proptest::prelude::*;
use wisteria_testkit::cluster::Cluster;
use wisteria_testkit::matrix::Matrix;
use wisteriahead::core::log::{
    Action, Body, Change, Checkpoint, ELECTION_MIN, ELECTION_SPREAD, Entry, Event, HardState,
    Message, Node, Payload, ProposeError, Record, Replica,
};
use wisteriahead::core::time::{Span, Time};

const HOSTS: usize = 5;

/// One step of a random schedule. A `usize` selects a host, or a message on the wire.
#[derive(Clone, Debug)]
enum Step {
    Deliver(usize),
    /// Delivers a message and leaves a copy of it on the wire.
    DeliverCopy(usize),
    Drop(usize),
    /// Advances time by so many milliseconds and ticks a host.
    Tick(usize, u64),
    Propose(usize),
    /// Crashes a host; the seed decides which unsynced writes survive.
    Crash(usize, u64),
    /// Crashes a host after so many more actions.
    CrashAfter(usize, usize, u64),
    Restart(usize),
    Freeze(usize),
    /// Cuts the link from one host to another, in this direction.
    CutLink(usize, usize),
    Heal,
    LoseDisk(usize),
    Repair,
    ToggleSlowDisk(usize),
    SyncDisk(usize),
    Remove(usize),
    Compact(usize),
    Settle,
}

fn step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    prop_oneof![
        60 => any::<u16>().prop_map(|n| Step::Deliver(usize::from(n))),
        4 => any::<u16>().prop_map(|n| Step::DeliverCopy(usize::from(n))),
        4 => any::<u16>().prop_map(|n| Step::Drop(usize::from(n))),
        30 => (host.clone(), 1..700u64).prop_map(|(i, ms)| Step::Tick(i, ms)),
        12 => host.clone().prop_map(Step::Propose),
        2 => (host.clone(), any::<u64>()).prop_map(|(i, s)| Step::Crash(i, s)),
        4 => (host.clone(), 0..6usize, any::<u64>())
            .prop_map(|(i, n, s)| Step::CrashAfter(i, n, s)),
        8 => host.clone().prop_map(Step::Restart),
        2 => host.clone().prop_map(Step::Freeze),
        3 => (host.clone(), host.clone()).prop_map(|(a, b)| Step::CutLink(a, b)),
        3 => Just(Step::Heal),
        2 => host.clone().prop_map(Step::LoseDisk),
        8 => Just(Step::Repair),
        3 => host.clone().prop_map(Step::ToggleSlowDisk),
        12 => host.clone().prop_map(Step::SyncDisk),
        1 => host.clone().prop_map(Step::Remove),
        3 => host.prop_map(Step::Compact),
        4 => Just(Step::Settle),
    ]
}

/// Replicas of the newest configuration whose disk is lost.
fn lost_replicas(cluster: &Cluster) -> Vec<Replica> {
    let Some(config) = newest_config(cluster) else { return Vec::new() };
    let here = |r: &_| cluster.hosts.iter().any(|h| h.id == *r);
    config.all().filter(|r| !here(r)).cloned().collect()
}

/// The configuration of the host whose log is furthest ahead.
fn newest_config(cluster: &Cluster) -> Option<wisteriahead::core::log::Config> {
    let live = cluster.hosts.iter().filter_map(|h| h.running.as_ref());
    let latest = live.max_by_key(|l| (l.node.commit(), l.node.entries().config_index()))?;
    Some(latest.node.config().clone())
}

/// Whether a disk may be lost now: only if every earlier loss is repaired, so that a quorum always
/// keeps the committed entries.
fn may_lose_disk(cluster: &Cluster) -> bool {
    let settled = cluster.leader().and_then(|i| {
        let node = &cluster.hosts[i].running.as_ref()?.node;
        (node.entries().config_index() <= node.commit()).then(|| node.config().clone())
    });
    settled.is_some_and(|c| c.voters.len() >= 3) && lost_replicas(cluster).is_empty()
}

/// One repair step as an operator or the supervisor makes it: removes a lost replica, promotes a
/// learner, or adds a new replica as a learner.
fn repair(cluster: &mut Cluster) {
    let Some(leader) = cluster.leader() else { return };
    let Some(live) = &cluster.hosts[leader].running else { return };
    let config = live.node.config().clone();
    if let Some(gone) = lost_replicas(cluster).pop() {
        return cluster.propose_change(leader, Change::Remove(gone));
    }
    if let Some(learner) = config.learners.first() {
        return cluster.propose_change(leader, Change::Promote(learner.clone()));
    }
    let new = cluster.hosts.iter().map(|h| &h.id).find(|id| config.all().all(|r| r != *id));
    if let Some(new) = new.cloned() {
        cluster.propose_change(leader, Change::AddLearner(new));
    }
}

fn run(steps: Vec<Step>, seed: u64) -> Cluster {
    let mut cluster = Cluster::new(HOSTS, 3, seed);
    let mut command = 0;
    cluster.settle(30);
    for step in steps {
        match step {
            Step::Deliver(n) => cluster.deliver(n, false),
            Step::DeliverCopy(n) => cluster.deliver(n, true),
            Step::Drop(n) if !cluster.in_flight.is_empty() => {
                let n = n % cluster.in_flight.len();
                cluster.in_flight.remove(n);
            }
            Step::Drop(_) => {}
            Step::Tick(i, ms) => cluster.tick(i, Span::millis(ms)),
            Step::Propose(i) => {
                command += 1;
                cluster.propose(i, command);
            }
            Step::Crash(i, seed) => cluster.crash(i, seed),
            Step::CrashAfter(i, n, seed) => cluster.crash_after(i, n, seed),
            Step::Restart(i) => {
                cluster.start(i);
                cluster.hosts[i].frozen = false;
            }
            Step::Freeze(i) => cluster.hosts[i].frozen = true,
            Step::CutLink(a, b) => cluster.cut(a, b),
            Step::Heal => cluster.heal(),
            Step::LoseDisk(i) if may_lose_disk(&cluster) => cluster.replace_disk(i),
            Step::LoseDisk(_) => {}
            Step::Repair => repair(&mut cluster),
            Step::ToggleSlowDisk(i) => cluster.hosts[i].slow ^= true,
            Step::SyncDisk(i) => cluster.sync(i),
            Step::Remove(i) => {
                let id = cluster.hosts[i].id.clone();
                let many = newest_config(&cluster).is_some_and(|c| c.voters.len() > 3);
                if many && let Some(leader) = cluster.leader() {
                    cluster.propose_change(leader, Change::Remove(id));
                }
            }
            Step::Compact(i) => cluster.compact(i),
            Step::Settle => cluster.settle(4),
        }
    }
    cluster
}

proptest! {
    #![proptest_config(config(512))]

    /// At every step the cluster checks that each term has at most one leader, that the leader
    /// holds all committed entries, and that all hosts apply the same entries in the same order.
    #[test]
    fn committed_entries_are_never_lost(
        steps in prop::collection::vec(step(), 1..400),
        seed in any::<u64>(),
    ) {
        let mut cluster = run(steps, seed);
        cluster.heal();
        for i in 0..HOSTS {
            cluster.hosts[i].slow = false;
            cluster.crash(i, seed);
            cluster.start(i);
        }
        cluster.settle(120);
        let leader = cluster.leader().unwrap_or_else(|| panic!("no leader: {}", cluster.describe()));
        cluster.propose(leader, u64::MAX);
        cluster.settle(20);
        let committed = cluster.committed();
        prop_assert_eq!(committed.last().map(Vec::as_slice), Some(&u64::MAX.to_be_bytes()[..]));
        let config = newest_config(&cluster).unwrap();
        for host in cluster.hosts.iter().filter(|h| config.voters.contains(&h.id)) {
            prop_assert_eq!(&host.running.as_ref().unwrap().applied, &committed);
        }
    }
}

fn replica(disk: u64) -> Replica {
    Replica { host: format!("h{disk}"), zone: "z".into(), disk }
}

/// Replica 0 of three, elected leader with one entry of an older term in its log.
struct TestLeader {
    node: Node,
    now: Time,
}

impl TestLeader {
    fn new() -> Self {
        let old = Entry { index: 1, term: 1, payload: Payload::Data(vec![1]) };
        let hard = HardState { term: 1, vote: None };
        let records = vec![Record::Hard(hard), Record::Entry(std::sync::Arc::new(old))];
        let base = Checkpoint::empty((0..3).map(replica).collect());
        let node = Node::recover(replica(0), base, records, 1, Time(0));
        let mut leader = Self { node, now: Time(0) + ELECTION_MIN + ELECTION_SPREAD };
        leader.step(Event::Tick);
        for pre in [true, false] {
            leader.receive(1, 2, Body::Vote { pre, granted: true });
        }
        assert!(leader.node.is_leader());
        leader
    }

    /// Steps the node, with a disk that syncs at once.
    fn step(&mut self, event: Event) -> Vec<Action> {
        let mut actions = self.node.step(self.now, event);
        let mark = actions.iter().filter_map(|a| match a {
            Action::Persist(mark, _) | Action::Checkpoint(mark, _) => Some(*mark),
            _ => None,
        });
        if let Some(mark) = mark.max() {
            actions.extend(self.node.step(self.now, Event::Synced(mark)));
        }
        actions
    }

    fn receive(&mut self, from: u64, term: u64, body: Body) -> Vec<Action> {
        self.step(Event::Receive(Message { term, from: replica(from), body }))
    }

    fn acknowledge(&mut self, from: u64, index: u64) {
        self.receive(from, 2, Body::Appended { matched: true, index });
    }

    fn change(&mut self, change: Change) -> Result<(), ProposeError> {
        let actions = self.step(Event::Change { token: 7, change });
        let at = actions.iter().find_map(|a| match a {
            Action::Proposed { token: 7, at } => Some(*at),
            _ => None,
        });
        at.unwrap().map(drop)
    }
}

#[test]
fn entry_of_an_older_term_is_committed_only_with_a_newer_one() {
    let mut leader = TestLeader::new();
    leader.acknowledge(1, 1);
    leader.acknowledge(2, 1);
    assert_eq!(leader.node.commit(), 0);
    leader.acknowledge(1, 2);
    assert_eq!(leader.node.commit(), 2);
}

#[test]
fn config_change_waits_for_the_previous_one_and_an_entry_of_the_term() {
    let mut leader = TestLeader::new();
    assert_eq!(leader.change(Change::AddLearner(replica(3))), Err(ProposeError::ChangePending));
    leader.acknowledge(1, 2);
    assert_eq!(leader.change(Change::AddLearner(replica(3))), Ok(()));
    assert_eq!(leader.change(Change::AddLearner(replica(4))), Err(ProposeError::ChangePending));
    leader.acknowledge(1, 3);
    assert_eq!(leader.change(Change::AddLearner(replica(4))), Ok(()));
}

#[test]
fn learner_is_promoted_only_while_caught_up_and_responsive() {
    let mut leader = TestLeader::new();
    leader.acknowledge(1, 2);
    leader.change(Change::AddLearner(replica(3))).unwrap();
    leader.acknowledge(1, 3);
    let promote = || Change::Promote(replica(3));
    assert_eq!(leader.change(promote()), Err(ProposeError::InvalidChange));
    leader.acknowledge(3, 2);
    assert_eq!(leader.change(promote()), Err(ProposeError::InvalidChange), "one entry is missing");
    leader.acknowledge(3, 3);
    leader.now += ELECTION_MIN;
    leader.acknowledge(1, 3);
    assert_eq!(leader.change(promote()), Err(ProposeError::InvalidChange), "it is silent");
    leader.acknowledge(3, 3);
    assert_eq!(leader.change(promote()), Ok(()));
    assert_eq!(leader.node.config().quorum(), 3);
}

#[test]
fn leader_without_a_quorum_steps_down() {
    let mut leader = TestLeader::new();
    leader.acknowledge(1, 2);
    leader.now += ELECTION_MIN;
    leader.step(Event::Tick);
    assert!(!leader.node.is_leader());
    let actions = leader.step(Event::Propose { token: 1, data: vec![] });
    assert_eq!(actions, [Action::Proposed { token: 1, at: Err(ProposeError::NotLeader) }]);
}

#[test]
fn rejoining_replica_does_not_depose_the_leader() {
    let mut cluster = Cluster::new(3, 3, 1);
    cluster.settle(60);
    let leader = cluster.leader().unwrap();
    let term = |c: &Cluster| c.hosts[leader].running.as_ref().unwrap().node.hard_state().term;
    let before = term(&cluster);
    let isolated = (leader + 1) % 3;
    for other in 0..3 {
        cluster.cut(isolated, other);
        cluster.cut(other, isolated);
    }
    cluster.settle(100);
    cluster.heal();
    cluster.settle(60);
    assert_eq!((cluster.leader(), term(&cluster)), (Some(leader), before));
}

proptest! {
    #![proptest_config(config(64))]

    /// With one slow disk, at the leader or a follower, the leader stays and commits.
    #[test]
    fn slow_disk_alone_starts_no_election(
        seed in any::<u64>(),
        slow in 0..3usize,
        syncs in prop::collection::vec(0..8usize, 1..20),
    ) {
        let mut cluster = Cluster::new(3, 3, seed);
        cluster.settle(60);
        let leader = cluster.leader().unwrap();
        let term = |c: &Cluster, i: usize| c.hosts[i].running.as_ref().unwrap().node.hard_state().term;
        let before = term(&cluster, leader);
        cluster.hosts[slow].slow = true;
        for (n, &rounds) in syncs.iter().enumerate() {
            let command = n as u64 + 1;
            cluster.propose(leader, command);
            // A round is 50 ms, so that a write may take longer than the election timeout.
            cluster.settle(rounds + 2);
            let committed = cluster.committed();
            let want = command.to_be_bytes().to_vec();
            prop_assert_eq!(committed.last(), Some(&want), "{}", cluster.describe());
            cluster.sync(slow);
        }
        cluster.settle(60);
        for i in 0..3 {
            prop_assert_eq!(term(&cluster, i), before, "an election: {}", cluster.describe());
        }
        prop_assert_eq!(cluster.leader(), Some(leader));
    }
}

#[test]
fn follower_acknowledges_only_entries_synced_to_disk() {
    let mut cluster = Cluster::new(3, 3, 5);
    cluster.settle(60);
    let leader = cluster.leader().unwrap();
    for i in (0..3).filter(|&i| i != leader) {
        cluster.hosts[i].slow = true;
    }
    cluster.propose(leader, 1);
    cluster.settle(60);
    assert_eq!(cluster.leader(), Some(leader), "its followers answer heartbeats");
    assert_eq!(cluster.committed(), Vec::<Vec<u8>>::new(), "one disk of three is no quorum");
    cluster.sync((leader + 1) % 3);
    cluster.settle(2);
    assert_eq!(cluster.committed(), [1u64.to_be_bytes().to_vec()]);
}

const FAULTS: [&str; 11] = [
    "leader loses power",
    "follower loses power",
    "all lose power",
    "leader loses its disk",
    "follower loses its disk",
    "leader cut off outwards",
    "leader cut off inwards",
    "leader freezes",
    "messages lost",
    "messages doubled and reordered",
    "follower loses its disk, another power after the repair",
];
const STEPS: [&str; 8] = [
    "entry appended",
    "entry at one follower",
    "entry at both",
    "entry committed at the leader",
    "snapshot taken",
    "learner added",
    "snapshot on its way to the learner",
    "learner promoted",
];

/// Brings a cluster of three voters and one spare host to a step; returns it with its leader.
fn run_to_step(step: usize, seed: u64) -> (Cluster, usize) {
    let mut cluster = Cluster::new(4, 3, seed);
    cluster.settle(60);
    let leader = cluster.leader().unwrap();
    for command in 0..6 {
        cluster.propose(leader, command);
        cluster.settle(2);
    }
    if step >= 4 {
        cluster.compact(leader);
    }
    let spare = cluster.hosts[3].id.clone();
    if step >= 5 {
        cluster.propose_change(leader, Change::AddLearner(spare.clone()));
        let messages = [0, 12, 400][step - 5];
        (0..messages).for_each(|_| cluster.deliver(0, false));
    }
    if step == 7 {
        cluster.settle(20);
        cluster.propose_change(leader, Change::Promote(spare));
    }
    cluster.propose(leader, 100);
    let messages = [0, 1, 2, 4, 1, 1, 1, 1][step];
    (0..messages).for_each(|_| cluster.deliver(0, false));
    (cluster, leader)
}

fn inject_fault(cluster: &mut Cluster, leader: usize, fault: usize, seed: u64) {
    let follower = (leader + 1) % 3;
    match fault {
        0 => cluster.crash(leader, seed),
        1 => cluster.crash(follower, seed),
        2 => (0..4).for_each(|i| cluster.crash(i, seed)),
        3 => cluster.replace_disk(leader),
        4 => cluster.replace_disk(follower),
        5 => (0..4).for_each(|i| cluster.cut(leader, i)),
        6 => (0..4).for_each(|i| cluster.cut(i, leader)),
        7 => cluster.hosts[leader].frozen = true,
        8 => cluster.in_flight.clear(),
        9 => {
            let copies = cluster.in_flight.clone();
            cluster.in_flight.extend(copies);
            cluster.in_flight.reverse();
        }
        _ => {
            cluster.replace_disk(follower);
            for _ in 0..12 {
                cluster.settle(10);
                repair(cluster);
            }
            if let Some(leader) = cluster.leader() {
                cluster.crash(leader, seed);
            }
        }
    }
}

#[test]
fn every_fault_at_every_step() {
    let invariant = "one leader a term, all hosts apply the same entries, what was committed \
                     stays, and once the fault is over the tier goes on.";
    let mut matrix = Matrix::new("log", invariant, &FAULTS, &STEPS);
    for (fault, name) in FAULTS.iter().enumerate() {
        for (step, at) in STEPS.iter().enumerate() {
            for seed in 0..8 {
                let (mut cluster, leader) = run_to_step(step, seed);
                inject_fault(&mut cluster, leader, fault, seed);
                cluster.settle(60);
                cluster.heal();
                (0..4).for_each(|i| cluster.start(i));
                cluster.hosts[leader].frozen = false;
                for _ in 0..8 {
                    cluster.settle(15);
                    repair(&mut cluster);
                }
                let now = cluster.leader().unwrap_or_else(|| panic!("{name}, {at}, {seed}"));
                cluster.propose(now, 200);
                cluster.settle(20);
                let want = 200u64.to_be_bytes().to_vec();
                assert_eq!(cluster.committed().last(), Some(&want), "{name}, {at}, {seed}");
                matrix.record_held(name, at);
            }
        }
    }
    matrix.finish();
}
