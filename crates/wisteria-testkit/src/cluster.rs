//! Deterministic simulation of replicas of a log on disks and a network that fail. Each step checks
//! the safety properties of the log.

use crate::disk::FakeDisk;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use wisteriahead::core::log::{
    Action, Body, Change, Checkpoint, Config, Entries, Entry, Event, HardState, Index, Limits,
    Message, Node, Payload, Record, Replica, Term, WriteId,
};
use wisteriahead::core::time::{Span, Time};
use wisteriahead::services::replica::{Store, StoredReplica};

/// Name of the log's journal on each disk.
const JOURNAL: &str = "log";

/// A simulated host: its disk, and its replica while its process runs.
pub struct Host {
    /// Identity of its replica, which changes with its disk.
    pub id: Replica,
    /// Its fake disk.
    pub disk: Arc<FakeDisk>,
    /// The replica; `None` while the process is down.
    pub running: Option<RunningReplica>,
    /// Remaining actions until a power failure, and the seed for what the disk keeps.
    crash_countdown: Option<(usize, u64)>,
    /// Whether its process is suspended.
    pub frozen: bool,
    /// Whether its disk completes writes only when [`Cluster::sync`] is called.
    pub slow: bool,
    now: Time,
}

/// A running replica.
pub struct RunningReplica {
    /// The state machine.
    pub node: Node,
    store: Store,
    /// Submitted writes that are not on disk yet, oldest first.
    pending_writes: VecDeque<(WriteId, Write)>,
    /// Applied commands in log order.
    pub applied: Vec<Vec<u8>>,
    applied_index: Index,
}

enum Write {
    Records(Vec<Record>),
    Checkpoint(Checkpoint),
}

/// Durable state of a replica's disk.
struct DurableState {
    hard: HardState,
    log: Entries,
}

impl DurableState {
    fn new(base: &Checkpoint, records: &[Record]) -> Self {
        let mut state = Self { hard: base.hard.clone(), log: Entries::after(&base.snapshot) };
        base.entries.iter().for_each(|e| state.log.put(e.clone()));
        state.add(records);
        state
    }

    fn add(&mut self, records: &[Record]) {
        for record in records {
            match record {
                Record::Hard(hard) => self.hard = hard.clone(),
                Record::Entry(entry) => self.log.put(entry.clone()),
            }
        }
    }

    /// Whether it holds the entry, or a snapshot that covers it.
    fn holds(&self, index: Index, term: Option<Term>) -> bool {
        index <= self.log.base() || (index <= self.log.last() && self.log.term(index) == term)
    }
}

/// The hosts, the network between them, and the observed history that checks compare with.
pub struct Cluster {
    /// The simulated hosts.
    pub hosts: Vec<Host>,
    /// Undelivered messages with their recipients.
    pub in_flight: Vec<(Replica, Message)>,
    /// Blocked links as pairs of sender and receiver.
    blocked_links: Vec<(String, String)>,
    initial_config: Config,
    next_disk: u64,
    seed: u64,
    starts: u64,
    committed: BTreeMap<Index, Arc<Entry>>,
    leaders: BTreeMap<Term, Replica>,
    highest_applied: BTreeMap<Replica, Index>,
    /// Durable state of each disk. Those of replaced disks stay: the disks held the
    /// data when they acknowledged it.
    durable: BTreeMap<Replica, DurableState>,
}

impl Cluster {
    /// Creates a cluster with the first `voters` hosts as its voters; the other hosts belong to no
    /// configuration yet.
    pub fn new(hosts: usize, voters: usize, seed: u64) -> Self {
        let id = |i: usize| Replica { host: format!("h{i}"), zone: "z".into(), disk: i as u64 };
        let initial_config = Config { voters: (0..voters).map(id).collect(), learners: Vec::new() };
        let mut cluster = Self {
            hosts: Vec::new(),
            in_flight: Vec::new(),
            blocked_links: Vec::new(),
            initial_config,
            next_disk: hosts as u64,
            seed,
            starts: 0,
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            highest_applied: BTreeMap::new(),
            durable: BTreeMap::new(),
        };
        (0..hosts).for_each(|i| cluster.push_host(id(i), Time(1_000_000)));
        cluster
    }

    /// Adds a host with an empty disk and starts it.
    fn push_host(&mut self, id: Replica, now: Time) {
        let (disk, frozen, slow) = (Arc::new(FakeDisk::default()), false, false);
        let host = Host { id, disk, running: None, crash_countdown: None, frozen, slow, now };
        self.hosts.push(host);
        self.start(self.hosts.len() - 1);
    }

    /// Adds a host with an empty disk, which belongs to no configuration yet, starts it and returns its
    /// number.
    pub fn add_host(&mut self) -> usize {
        let (i, now) = (self.hosts.len(), self.hosts.first().map_or(Time(1_000_000), |h| h.now));
        let id = Replica { host: format!("h{i}"), zone: "z".into(), disk: self.next_disk };
        self.next_disk += 1;
        self.push_host(id, now);
        i
    }

    /// Starts the process of a host, which recovers its replica from the disk.
    pub fn start(&mut self, i: usize) {
        let host = &mut self.hosts[i];
        if host.running.is_some() {
            return;
        }
        let StoredReplica { mut store, checkpoint: base, records } =
            Store::open(host.disk.clone(), JOURNAL).expect("the fake disk is readable");
        // A replica that joins later starts with an empty configuration.
        let base = base.unwrap_or_else(|| {
            let is_initial_voter = self.initial_config.voters.contains(&host.id);
            let base = Checkpoint::empty(if is_initial_voter {
                self.initial_config.voters.clone()
            } else {
                Vec::new()
            });
            store.compact(&base).expect("the fake disk accepts writes");
            base
        });
        self.durable.insert(host.id.clone(), DurableState::new(&base, &records));
        let applied = decode_commands(&base.snapshot.data);
        let applied_index = base.snapshot.index;
        self.starts += 1;
        let seed = mix(self.seed ^ mix(self.starts));
        let node = Node::recover(host.id.clone(), base, records, seed, host.now)
            .with_limits(Limits { chunk_bytes: 20, kept_entries: 2 });
        host.frozen = false;
        host.running = Some(RunningReplica {
            node,
            store,
            pending_writes: VecDeque::new(),
            applied,
            applied_index,
        });
    }

    /// Completes the oldest pending write of a host.
    pub fn sync(&mut self, i: usize) {
        if self.crash_if_due(i) {
            return;
        }
        let host = &mut self.hosts[i];
        let Some(replica) = &mut host.running else { return };
        let Some((id, write)) = replica.pending_writes.pop_front() else { return };
        let result = match &write {
            Write::Records(records) => {
                replica.store.append(records).and_then(|()| replica.store.sync())
            }
            Write::Checkpoint(base) => replica.store.compact(base),
        };
        if result.is_err() {
            // The disk is full. The replica stops, as the driver in `services::replica` does.
            host.running = None;
            return;
        }
        let durable = self.durable.get_mut(&host.id).expect("recorded when the host started");
        match write {
            Write::Records(records) => durable.add(&records),
            Write::Checkpoint(base) => *durable = DurableState::new(&base, &[]),
        }
        self.handle_event(i, Event::Synced(id));
    }

    /// Simulates a power failure of a host. The seed decides which unsynced data survives.
    pub fn crash(&mut self, i: usize, seed: u64) {
        self.hosts[i].running = None;
        self.hosts[i].crash_countdown = None;
        self.hosts[i].disk.crash(seed);
    }

    /// Schedules a power failure of a host after this number of further actions and writes.
    pub fn crash_after(&mut self, i: usize, actions: usize, seed: u64) {
        self.hosts[i].crash_countdown = Some((actions, seed));
    }

    /// Replaces a host's disk by an empty one, which makes the host a new replica, and starts the
    /// host.
    pub fn replace_disk(&mut self, i: usize) {
        self.hosts[i].running = None;
        self.hosts[i].crash_countdown = None;
        self.hosts[i].disk.wipe();
        self.hosts[i].id.disk = self.next_disk;
        self.next_disk += 1;
        self.start(i);
    }

    /// Blocks the link between two hosts in one direction.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.blocked_links.push((self.hosts[from].id.host.clone(), self.hosts[to].id.host.clone()));
    }

    /// Unblocks all links.
    pub fn heal(&mut self) {
        self.blocked_links.clear();
    }

    /// Advances the clock of one host.
    pub fn tick(&mut self, i: usize, span: Span) {
        self.hosts[i].now += span;
        self.step(i, Event::Tick);
    }

    /// Clock of one host.
    pub fn time(&self, i: usize) -> Time {
        self.hosts[i].now
    }

    /// Delivers one message, or drops it if the link is blocked or the recipient is down or
    /// suspended. With `copy`, the message also stays in flight, to be delivered again.
    pub fn deliver(&mut self, n: usize, copy: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let n = n % self.in_flight.len();
        let (to, message) = if copy { self.in_flight[n].clone() } else { self.in_flight.remove(n) };
        let link = (message.from.host.clone(), to.host.clone());
        let Some(i) = self.hosts.iter().position(|h| h.id == to) else { return };
        if !self.blocked_links.contains(&link) && !self.hosts[i].frozen {
            self.step(i, Event::Receive(message));
        }
    }

    /// Delivers all messages in flight and those that follow from them.
    pub fn deliver_all(&mut self) {
        while !self.in_flight.is_empty() {
            self.deliver(0, false);
        }
    }

    /// Runs rounds that deliver up to 400 messages and advance all clocks by 50 ms.
    pub fn settle(&mut self, rounds: usize) {
        for _ in 0..rounds {
            for _ in 0..400 {
                self.deliver(0, false);
            }
            (0..self.hosts.len()).for_each(|i| self.tick(i, Span::millis(50)));
        }
    }

    /// The leader that has committed an entry in its term; the highest term if there are several.
    pub fn leader(&self) -> Option<usize> {
        let is_established =
            |h: &Host| h.running.as_ref().is_some_and(|l| l.node.has_committed_in_term());
        let leaders = (0..self.hosts.len()).filter(|&i| is_established(&self.hosts[i]));
        leaders.max_by_key(|&i| self.hosts[i].running.as_ref().map(|l| l.node.hard_state().term))
    }

    /// Describes the state of all hosts for the message of a failed test.
    pub fn describe(&self) -> String {
        let describe = |h: &Host| {
            let Some(l) = &h.running else { return format!("{:?} is down\n", h.id) };
            let n = &l.node;
            let log = n.entries();
            format!(
                "{}/{} frozen {} term {} last {}/{} commit {} leader {} voters {:?}\n",
                h.id.host,
                h.id.disk,
                h.frozen,
                n.hard_state().term,
                log.last_term(),
                log.last(),
                n.commit(),
                n.is_leader(),
                n.config().voters.iter().map(|v| v.disk).collect::<Vec<_>>()
            )
        };
        format!("{} messages in flight\n", self.in_flight.len())
            + &self.hosts.iter().map(describe).collect::<String>()
    }

    /// Committed commands in log order.
    pub fn committed(&self) -> Vec<Vec<u8>> {
        self.committed.values().filter_map(|e| command(e)).collect()
    }

    /// Makes a host propose a command.
    pub fn propose(&mut self, i: usize, command: u64) {
        self.step(i, Event::Propose { token: command, data: command.to_be_bytes().to_vec() });
    }

    /// Makes a host propose a change of the configuration.
    pub fn propose_change(&mut self, i: usize, change: Change) {
        self.step(i, Event::Change { token: 0, change });
    }

    /// Makes a host compact its log.
    pub fn compact(&mut self, i: usize) {
        let Some(replica) = &self.hosts[i].running else { return };
        let state = encode_commands(&replica.applied);
        self.step(i, Event::Compact(state));
    }

    /// Passes an event to a host and executes the resulting actions and, unless its disk is slow,
    /// all pending writes.
    pub fn step(&mut self, i: usize, event: Event) {
        if self.hosts[i].frozen {
            return;
        }
        self.handle_event(i, event);
        let has_pending =
            |h: &Host| h.running.as_ref().is_some_and(|l| !l.pending_writes.is_empty());
        while !self.hosts[i].slow && has_pending(&self.hosts[i]) {
            self.sync(i);
        }
    }

    fn handle_event(&mut self, i: usize, event: Event) {
        let host = &mut self.hosts[i];
        let Some(replica) = &mut host.running else { return };
        let was_leader = replica.node.is_leader();
        let actions = replica.node.step(host.now, event);
        let is_leader = replica.node.is_leader();
        for action in actions {
            if self.crash_if_due(i) {
                return;
            }
            self.execute(i, action);
        }
        if is_leader && !was_leader {
            self.check_new_leader(i);
        }
    }

    /// Counts one action towards a scheduled power failure; true if the power fails now.
    fn crash_if_due(&mut self, i: usize) -> bool {
        let Some((left, seed)) = &mut self.hosts[i].crash_countdown else { return false };
        if *left > 0 {
            *left -= 1;
            return false;
        }
        let seed = *seed;
        // For even seeds the next write has started, but is not synced, when the power fails.
        if seed % 2 == 0 {
            self.start_write(i);
        }
        self.crash(i, seed);
        true
    }

    fn start_write(&mut self, i: usize) {
        let Some(replica) = &mut self.hosts[i].running else { return };
        if let Some((_, Write::Records(records))) = replica.pending_writes.front() {
            replica.store.append(records).expect("the fake disk accepts writes");
        }
    }

    fn execute(&mut self, i: usize, action: Action) {
        let Some(replica) = &mut self.hosts[i].running else { return };
        match action {
            Action::Persist(id, records) => {
                replica.pending_writes.push_back((id, Write::Records(records)));
            }
            Action::Checkpoint(id, base) => {
                replica.pending_writes.push_back((id, Write::Checkpoint(base)))
            }
            Action::Send { to, message } => {
                self.check_message(i, &to, &message);
                self.in_flight.push((to, message));
            }
            Action::Apply(entry) => self.apply(i, &entry),
            Action::Install(snapshot) => {
                replica.applied = decode_commands(&snapshot.data);
                replica.applied_index = snapshot.index;
                self.check_prefix(i);
            }
            Action::Proposed { .. } => {}
        }
    }

    fn apply(&mut self, i: usize, entry: &Arc<Entry>) {
        let Some(replica) = &mut self.hosts[i].running else { return };
        assert_eq!(entry.index, replica.applied_index + 1, "h{i} must apply entries in log order");
        replica.applied_index = entry.index;
        replica.applied.extend(command(entry));
        if !self.committed.contains_key(&entry.index) {
            let is_durable = |r: &_| {
                let disk = self.durable.get(r);
                disk.is_some_and(|s| s.holds(entry.index, Some(entry.term)))
            };
            let quorum = replica.node.config().has_quorum(is_durable);
            assert!(
                quorum,
                "h{i} applies entry {} that is not on the disks of a quorum",
                entry.index
            );
        }
        let first = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
        assert_eq!(first, entry, "h{i} applies a different entry than the one committed");
        self.check_prefix(i);
    }

    /// Checks that a message claims nothing that is not durable on the sender's disk.
    fn check_message(&self, i: usize, to: &Replica, message: &Message) {
        let host = &self.hosts[i];
        let (Some(replica), Some(disk)) = (&host.running, self.durable.get(&host.id)) else {
            return;
        };
        let term = message.term;
        match &message.body {
            Body::Ask { pre: true, .. } | Body::Vote { pre: true, .. } => return,
            Body::Vote { granted: true, .. } => {
                let vote = HardState { term, vote: Some(to.clone()) };
                assert_eq!(disk.hard, vote, "h{i} grants a vote that is not on its disk");
            }
            Body::Appended { matched: true, index } => {
                let (last, log) = (disk.log.last(), replica.node.entries());
                assert!(
                    *index <= last,
                    "h{i} acknowledges index {index}, but its disk ends at {last}"
                );
                for at in log.base() + 1..=*index {
                    let holds = disk.holds(at, log.term(at));
                    assert!(holds, "h{i} acknowledges entry {at} that is not on its disk");
                }
            }
            _ => {}
        }
        assert!(
            disk.hard.term >= term,
            "h{i} sends a message of term {term}, which is not on its disk"
        );
    }

    /// Checks that a host has applied exactly the committed commands up to its applied index.
    fn check_prefix(&mut self, i: usize) {
        let host = &self.hosts[i];
        let Some(replica) = &host.running else { return };
        let expected =
            self.committed.range(..=replica.applied_index).filter_map(|(_, e)| command(e));
        assert!(
            expected.eq(replica.applied.iter().cloned()),
            "h{i} differs from the committed commands at index {}",
            replica.applied_index
        );
        let highest = self.highest_applied.entry(host.id.clone()).or_default();
        *highest = replica.applied_index.max(*highest);
    }

    /// Checks that a term has one leader and that its log holds all committed entries.
    fn check_new_leader(&mut self, i: usize) {
        let host = &self.hosts[i];
        let Some(replica) = &host.running else { return };
        let (term, log) = (replica.node.hard_state().term, replica.node.entries());
        let first = self.leaders.entry(term).or_insert_with(|| host.id.clone());
        assert_eq!(*first, host.id, "two leaders of term {term}");
        for (&index, entry) in self.committed.range(log.base() + 1..) {
            assert_eq!(log.get(index), Some(entry), "leader of term {term} lacks entry {index}");
        }
    }
}

fn command(entry: &Entry) -> Option<Vec<u8>> {
    match &entry.payload {
        Payload::Data(data) => Some(data.clone()),
        Payload::Noop | Payload::Config(_) => None,
    }
}

fn encode_commands(commands: &[Vec<u8>]) -> Vec<u8> {
    commands.concat()
}

fn decode_commands(bytes: &[u8]) -> Vec<Vec<u8>> {
    bytes.chunks(8).map(<[u8]>::to_vec).collect()
}

/// Mixes the bits of a seed, so that consecutive seeds give unrelated results.
fn mix(n: u64) -> u64 {
    let n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}
