//! Replicas of a log on disks and a network that fail, one step at a time.

use crate::disk::FakeDisk;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use wisteriahead::core::log::{
    Action, Body, Change, Checkpoint, Config, Entries, Entry, Event, HardState, Index, Limits,
    Message, Node, Payload, Record, Replica, Term, WriteId,
};
use wisteriahead::core::time::{Span, Time};
use wisteriahead::services::replica::{Kept, Store};

/// Journal of the log on each disk.
const NAME: &str = "log";

/// One host: its disk, and its replica while its process runs.
pub struct Host {
    /// Which replica its disk makes it.
    pub id: Replica,
    /// Its disk.
    pub disk: Arc<FakeDisk>,
    /// Its process.
    pub running: Option<RunningReplica>,
    /// Actions until the power fails, and what that leaves.
    crash_countdown: Option<(usize, u64)>,
    /// Whether its process stands still.
    pub frozen: bool,
    /// Whether its disk writes only when [`Cluster::sync`] is called.
    pub slow: bool,
    now: Time,
}

/// A running replica.
pub struct RunningReplica {
    /// The state machine.
    pub node: Node,
    store: Store,
    /// Writes under way.
    writes: VecDeque<(WriteId, Write)>,
    /// Commands applied, in their order.
    pub applied: Vec<Vec<u8>>,
    at: Index,
}

enum Write {
    Records(Vec<Record>),
    Base(Checkpoint),
}

/// What a disk holds for certain.
struct Synced {
    hard: HardState,
    log: Entries,
}

impl Synced {
    fn read(base: &Checkpoint, records: &[Record]) -> Self {
        let mut synced = Self { hard: base.hard.clone(), log: Entries::after(&base.snapshot) };
        base.entries.iter().for_each(|e| synced.log.put(e.clone()));
        synced.add(records);
        synced
    }

    fn add(&mut self, records: &[Record]) {
        for record in records {
            match record {
                Record::Hard(hard) => self.hard = hard.clone(),
                Record::Entry(entry) => self.log.put(entry.clone()),
            }
        }
    }

    /// Whether it holds an entry, or a snapshot in its place.
    fn holds(&self, index: Index, term: Option<Term>) -> bool {
        index <= self.log.base() || (index <= self.log.last() && self.log.term(index) == term)
    }
}

/// All hosts, the network between them and what was seen to be promised.
pub struct Cluster {
    /// The hosts.
    pub hosts: Vec<Host>,
    /// Messages under way.
    pub in_flight: Vec<(Replica, Message)>,
    cuts: Vec<(String, String)>,
    first: Config,
    disks: u64,
    seed: u64,
    starts: u64,
    committed: BTreeMap<Index, Arc<Entry>>,
    leaders: BTreeMap<Term, Replica>,
    highest: BTreeMap<Replica, Index>,
    /// What each disk holds, also of those that are lost: it was true when it was told.
    synced: BTreeMap<Replica, Synced>,
}

impl Cluster {
    /// A cluster whose first `voters` hosts form it; the others have empty disks.
    pub fn new(hosts: usize, voters: usize, seed: u64) -> Self {
        let id = |i: usize| Replica { host: format!("h{i}"), zone: "z".into(), disk: i as u64 };
        let first = Config { voters: (0..voters).map(id).collect(), learners: Vec::new() };
        let mut cluster = Self {
            hosts: Vec::new(),
            in_flight: Vec::new(),
            cuts: Vec::new(),
            first,
            disks: hosts as u64,
            seed,
            starts: 0,
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            highest: BTreeMap::new(),
            synced: BTreeMap::new(),
        };
        for i in 0..hosts {
            let disk = Arc::new(FakeDisk::default());
            let now = Time(1_000_000);
            let (frozen, slow) = (false, false);
            let host =
                Host { id: id(i), disk, running: None, crash_countdown: None, frozen, slow, now };
            cluster.hosts.push(host);
            cluster.start(i);
        }
        cluster
    }

    /// Starts a host's process from its disk.
    pub fn start(&mut self, i: usize) {
        let host = &mut self.hosts[i];
        if host.running.is_some() {
            return;
        }
        let Kept { mut store, base, records } =
            Store::open(host.disk.clone(), NAME).expect("the fake disk works");
        // A replica that joins begins with a log that names no voters.
        let base = base.unwrap_or_else(|| {
            let founder = self.first.voters.contains(&host.id);
            let base =
                Checkpoint::empty(if founder { self.first.voters.clone() } else { Vec::new() });
            store.compact(&base).expect("the fake disk works");
            base
        });
        self.synced.insert(host.id.clone(), Synced::read(&base, &records));
        let applied = unpack(&base.snapshot.data);
        let at = base.snapshot.index;
        self.starts += 1;
        let seed = mix(self.seed ^ mix(self.starts));
        let node = Node::recover(host.id.clone(), base, records, seed, host.now)
            .with_limits(Limits { chunk_bytes: 20, kept_entries: 2 });
        host.frozen = false;
        host.running = Some(RunningReplica { node, store, writes: VecDeque::new(), applied, at });
    }

    /// Lets a host's disk do the next write that waits.
    pub fn sync(&mut self, i: usize) {
        if self.count_down_to_crash(i) {
            return;
        }
        let host = &mut self.hosts[i];
        let Some(live) = &mut host.running else { return };
        let Some((mark, write)) = live.writes.pop_front() else { return };
        let done = match &write {
            Write::Records(records) => live.store.append(records).and_then(|()| live.store.sync()),
            Write::Base(base) => live.store.compact(base),
        };
        if done.is_err() {
            // The disk is full; the replica stops, as the driver does.
            host.running = None;
            return;
        }
        let synced = self.synced.get_mut(&host.id).expect("it was noted at the start");
        match write {
            Write::Records(records) => synced.add(&records),
            Write::Base(base) => *synced = Synced::read(&base, &[]),
        }
        self.event(i, Event::Synced(mark));
    }

    /// Cuts the power of a host; part of what was not synced is lost.
    pub fn crash(&mut self, i: usize, seed: u64) {
        self.hosts[i].running = None;
        self.hosts[i].crash_countdown = None;
        self.hosts[i].disk.crash(seed);
    }

    /// Has the power of a host fail after so many more actions.
    pub fn crash_after(&mut self, i: usize, actions: usize, seed: u64) {
        self.hosts[i].crash_countdown = Some((actions, seed));
    }

    /// Loses a host's disk: it is another replica from here on.
    pub fn replace_disk(&mut self, i: usize) {
        self.hosts[i].running = None;
        self.hosts[i].crash_countdown = None;
        self.hosts[i].disk.wipe();
        self.hosts[i].id.disk = self.disks;
        self.disks += 1;
        self.start(i);
    }

    /// Cuts one direction between two hosts.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.push((self.hosts[from].id.host.clone(), self.hosts[to].id.host.clone()));
    }

    /// Heals all cuts.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Lets time pass at one host.
    pub fn tick(&mut self, i: usize, span: Span) {
        self.hosts[i].now += span;
        self.step(i, Event::Tick);
    }

    /// Delivers one message, unless it is cut off; a copy may stay under way.
    pub fn deliver(&mut self, n: usize, copy: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let n = n % self.in_flight.len();
        let (to, message) = if copy { self.in_flight[n].clone() } else { self.in_flight.remove(n) };
        let route = (message.from.host.clone(), to.host.clone());
        let Some(i) = self.hosts.iter().position(|h| h.id == to) else { return };
        if !self.cuts.contains(&route) && !self.hosts[i].frozen {
            self.step(i, Event::Receive(message));
        }
    }

    /// Delivers everything and lets time pass until nothing is left to do.
    pub fn settle(&mut self, rounds: usize) {
        for _ in 0..rounds {
            for _ in 0..400 {
                self.deliver(0, false);
            }
            (0..self.hosts.len()).for_each(|i| self.tick(i, Span::millis(50)));
        }
    }

    /// The host that leads with a settled term, if one does.
    pub fn leader(&self) -> Option<usize> {
        let settled = |h: &Host| h.running.as_ref().is_some_and(|l| l.node.has_committed_in_term());
        let leaders = (0..self.hosts.len()).filter(|&i| settled(&self.hosts[i]));
        leaders.max_by_key(|&i| self.hosts[i].running.as_ref().map(|l| l.node.hard_state().term))
    }

    /// The state of all hosts, for a failed test.
    pub fn describe(&self) -> String {
        let show = |h: &Host| {
            let Some(l) = &h.running else { return format!("{:?} is down\n", h.id) };
            let n = &l.node;
            let log = n.entries();
            format!(
                "{}/{} frozen {} term {} last {}/{} commit {} leads {} voters {:?}\n",
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
        format!("{} messages under way\n", self.in_flight.len())
            + &self.hosts.iter().map(show).collect::<String>()
    }

    /// Commands that were committed, in their order.
    pub fn committed(&self) -> Vec<Vec<u8>> {
        self.committed.values().filter_map(|e| data(e)).collect()
    }

    /// Has a host propose a command.
    pub fn propose(&mut self, i: usize, command: u64) {
        self.step(i, Event::Propose { token: command, data: command.to_be_bytes().to_vec() });
    }

    /// Has a host ask for a change of the replicas.
    pub fn propose_change(&mut self, i: usize, change: Change) {
        self.step(i, Event::Change { token: 0, change });
    }

    /// Has a host compact its log.
    pub fn compact(&mut self, i: usize) {
        let Some(live) = &self.hosts[i].running else { return };
        let state = pack(&live.applied);
        self.step(i, Event::Compact(state));
    }

    /// Gives an event to a host, carries out its actions and, unless its disk is slow, its
    /// writes.
    pub fn step(&mut self, i: usize, event: Event) {
        if self.hosts[i].frozen {
            return;
        }
        self.event(i, event);
        let waits = |h: &Host| h.running.as_ref().is_some_and(|l| !l.writes.is_empty());
        while !self.hosts[i].slow && waits(&self.hosts[i]) {
            self.sync(i);
        }
    }

    fn event(&mut self, i: usize, event: Event) {
        let host = &mut self.hosts[i];
        let Some(live) = &mut host.running else { return };
        let led = live.node.is_leader();
        let actions = live.node.step(host.now, event);
        let leads = live.node.is_leader();
        for action in actions {
            if self.count_down_to_crash(i) {
                return;
            }
            self.act(i, action);
        }
        if leads && !led {
            self.elected(i);
        }
    }

    /// Shortens a host's crash_countdown; true if its power fails now.
    fn count_down_to_crash(&mut self, i: usize) -> bool {
        let Some((left, seed)) = &mut self.hosts[i].crash_countdown else { return false };
        if *left > 0 {
            *left -= 1;
            return false;
        }
        let seed = *seed;
        // Half of the time the next write has begun when the power fails.
        if seed % 2 == 0 {
            self.begin(i);
        }
        self.crash(i, seed);
        true
    }

    fn begin(&mut self, i: usize) {
        let Some(live) = &mut self.hosts[i].running else { return };
        if let Some((_, Write::Records(records))) = live.writes.front() {
            live.store.append(records).expect("the fake disk works");
        }
    }

    fn act(&mut self, i: usize, action: Action) {
        let Some(live) = &mut self.hosts[i].running else { return };
        match action {
            Action::Persist(mark, records) => {
                live.writes.push_back((mark, Write::Records(records)));
            }
            Action::Checkpoint(mark, base) => live.writes.push_back((mark, Write::Base(base))),
            Action::Send { to, message } => {
                self.check_promise(i, &to, &message);
                self.in_flight.push((to, message));
            }
            Action::Apply(entry) => self.apply(i, &entry),
            Action::Install(snapshot) => {
                live.applied = unpack(&snapshot.data);
                live.at = snapshot.index;
                self.check_prefix(i);
            }
            Action::Proposed { .. } => {}
        }
    }

    fn apply(&mut self, i: usize, entry: &Arc<Entry>) {
        let Some(live) = &mut self.hosts[i].running else { return };
        assert_eq!(entry.index, live.at + 1, "h{i} applies in order");
        live.at = entry.index;
        live.applied.extend(data(entry));
        if !self.committed.contains_key(&entry.index) {
            let held = |r: &_| {
                let disk = self.synced.get(r);
                disk.is_some_and(|s| s.holds(entry.index, Some(entry.term)))
            };
            let quorum = live.node.config().has_quorum(held);
            assert!(quorum, "h{i} commits entry {} that no quorum has on disk", entry.index);
        }
        let first = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
        assert_eq!(first, entry, "h{i} applies another entry than was committed");
        self.check_prefix(i);
    }

    /// What a host says is true of its disk.
    fn check_promise(&self, i: usize, to: &Replica, message: &Message) {
        let host = &self.hosts[i];
        let (Some(live), Some(disk)) = (&host.running, self.synced.get(&host.id)) else { return };
        let term = message.term;
        match &message.body {
            Body::Ask { pre: true, .. } | Body::Vote { pre: true, .. } => return,
            Body::Vote { granted: true, .. } => {
                let vote = HardState { term, vote: Some(to.clone()) };
                assert_eq!(disk.hard, vote, "h{i} gives a vote that its disk does not hold");
            }
            Body::Appended { matched: true, index } => {
                let (last, log) = (disk.log.last(), live.node.entries());
                assert!(*index <= last, "h{i} acknowledges {index}, its disk ends at {last}");
                for at in log.base() + 1..=*index {
                    let holds = disk.holds(at, log.term(at));
                    assert!(holds, "h{i} acknowledges entry {at} that its disk does not hold");
                }
            }
            _ => {}
        }
        assert!(disk.hard.term >= term, "h{i} speaks in term {term} that its disk does not hold");
    }

    /// What a host has applied is what was committed up to there.
    fn check_prefix(&mut self, i: usize) {
        let host = &self.hosts[i];
        let Some(live) = &host.running else { return };
        let upto = self.committed.range(..=live.at).filter_map(|(_, e)| data(e));
        assert!(upto.eq(live.applied.iter().cloned()), "h{i} has another state at {}", live.at);
        let highest = self.highest.entry(host.id.clone()).or_default();
        *highest = live.at.max(*highest);
    }

    /// One leader a term, and it holds all that was committed.
    fn elected(&mut self, i: usize) {
        let host = &self.hosts[i];
        let Some(live) = &host.running else { return };
        let (term, log) = (live.node.hard_state().term, live.node.entries());
        let first = self.leaders.entry(term).or_insert_with(|| host.id.clone());
        assert_eq!(*first, host.id, "two leaders of term {term}");
        for (&index, entry) in self.committed.range(log.base() + 1..) {
            assert_eq!(log.get(index), Some(entry), "leader of term {term} lacks entry {index}");
        }
    }
}

fn data(entry: &Entry) -> Option<Vec<u8>> {
    match &entry.payload {
        Payload::Data(data) => Some(data.clone()),
        Payload::Noop | Payload::Config(_) => None,
    }
}

fn pack(commands: &[Vec<u8>]) -> Vec<u8> {
    commands.concat()
}

fn unpack(bytes: &[u8]) -> Vec<Vec<u8>> {
    bytes.chunks(8).map(<[u8]>::to_vec).collect()
}

/// Numbers of which none tells the next.
fn mix(n: u64) -> u64 {
    let n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}
