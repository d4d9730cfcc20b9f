//! Thread that runs one replica: steps the Raft node, sends its messages and applies committed
//! entries to the state machine.
//!
//! A second thread writes the journal and reports which writes are durable; the node holds back
//! what depends on them. A slow sync thus delays neither heartbeats nor answers.

use super::StoredReplica;
use super::writer::{Report, Write, Writer};
use crate::core::log::{
    Action, Change, Checkpoint, Config, Event, Index, Message, Node, Payload, ProposeError,
    Replica, Snapshot, Term, WriteId,
};
use crate::prelude::*;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::time::Instant;
use tokio::sync::{oneshot, watch};

/// Maximum interval between ticks of the node's clock.
const TICK_INTERVAL: Span = Span::millis(20);
/// Maximum number of queued inputs that one batch adds to its first.
const BATCH_MAX: usize = 256;
/// Maximum number of queued inputs. Further messages are dropped, as a network may drop them;
/// further requests are refused.
const QUEUE_MAX: usize = 4_096;

/// State machine that a replica applies committed commands to.
pub trait StateMachine: Send {
    /// Applies a command and returns the reply for the proposer.
    fn apply(&mut self, data: &[u8]) -> Vec<u8>;

    /// Encodes the whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state by an encoded one.
    ///
    /// # Errors
    ///
    /// Fails if the bytes cannot be decoded.
    fn restore(&mut self, bytes: &[u8]) -> Result<()>;

    /// Called after each batch of applied commands; `leads` is whether this replica is the leader.
    fn after_batch(&mut self, leads: bool);

    /// Answers a read-only query of the state.
    fn query(&self, question: &[u8]) -> Vec<u8>;
}

/// Sends a replica's messages to other replicas.
pub trait MessageSender: Send {
    /// Sends a message, which may be lost.
    fn send(&self, to: &Replica, message: Message);
}

/// Error of a proposal that returned no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitError {
    /// The proposal was not appended to the log.
    Refused(ProposeError),
    /// The proposal may have been appended; its outcome is unknown.
    Unknown,
}

/// Status of a replica.
#[derive(Clone, Debug, Default)]
pub struct ReplicaStatus {
    /// Current leader, if known.
    pub leader: Option<Replica>,
    /// Whether this replica is the leader and has committed an entry of its term.
    pub leads: bool,
    /// Current term.
    pub term: Term,
    /// Current replicas of the log.
    pub config: Config,
    /// Time since the last contact with the leader or, on the leader, with a quorum.
    pub since_quorum: Span,
    /// Last position known to be committed.
    pub commit: Index,
    /// Duration of the last write and sync of the journal.
    pub sync_time: Span,
    /// Learners that have caught up with the log, as known to the leader; empty elsewhere.
    pub caught_up: Vec<Replica>,
}

/// Input of the replica's thread.
enum Input {
    Receive(Message),
    Propose(Vec<u8>, oneshot::Sender<Result<Vec<u8>, CommitError>>),
    Change(Change, oneshot::Sender<Result<Vec<u8>, CommitError>>),
    Query(Vec<u8>, oneshot::Sender<Vec<u8>>),
    Report(Report),
    Stop,
}

/// Handle to this host's replica in a Raft group, which runs on a thread of its own.
#[derive(Clone)]
pub struct Group {
    tx: SyncSender<Input>,
    status: watch::Receiver<ReplicaStatus>,
}

struct Driver {
    node: Node,
    writer: Writer,
    /// Write of the latest checkpoint, until it is durable.
    compacting: Option<WriteId>,
    /// Whether the journal is large enough to be compacted.
    compact_due: bool,
    /// Duration of the last write and sync.
    sync_time: Span,
    machine: Box<dyn StateMachine>,
    sender: Box<dyn MessageSender>,
    started: Instant,
    /// Reply channels of unanswered requests, by token.
    pending: IndexMap<u64, oneshot::Sender<Result<Vec<u8>, CommitError>>>,
    /// Term and token of the proposals appended here, by position.
    appended: IndexMap<Index, (Term, u64)>,
    last_token: u64,
    status: watch::Sender<ReplicaStatus>,
}

impl Group {
    /// Starts a replica on its own thread from its stored state.
    ///
    /// # Errors
    ///
    /// Fails if the stored state cannot be decoded or a thread cannot be started.
    pub fn start(
        me: Replica,
        stored: StoredReplica,
        mut machine: Box<dyn StateMachine>,
        sender: Box<dyn MessageSender>,
        seed: u64,
    ) -> Result<Self> {
        let StoredReplica { store, checkpoint, records } = stored;
        let checkpoint = checkpoint.unwrap_or_else(|| Checkpoint::empty(Vec::new()));
        machine.restore(&checkpoint.snapshot.data)?;
        let node = Node::recover(me, checkpoint, records, seed, Time(0));
        let (tx, rx) = sync_channel(QUEUE_MAX);
        let (status, watch) = watch::channel(ReplicaStatus::default());
        let reports = tx.clone();
        let report = move |report| reports.send(Input::Report(report)).is_ok();
        let (writer, thread) = Writer::start(store, report)?;
        let mut driver = Driver {
            node,
            writer,
            compacting: None,
            compact_due: false,
            sync_time: Span::ZERO,
            machine,
            sender,
            started: Instant::now(),
            pending: IndexMap::new(),
            appended: IndexMap::new(),
            last_token: 0,
            status,
        };
        std::thread::Builder::new()
            .name("replica".to_owned())
            .spawn(move || {
                driver.run(&rx);
                // Ends the writer thread, so that the journal is closed when this thread ends.
                drop((driver, rx));
                let _ = thread.join();
            })
            .context("could not start a thread")?;
        Ok(Self { tx, status: watch })
    }

    /// Current status of the replica.
    pub fn status(&self) -> ReplicaStatus {
        self.status.borrow().clone()
    }

    /// Whether the replica is running; it stops on a disk error.
    pub fn is_running(&self) -> bool {
        self.status.has_changed().is_ok()
    }

    /// Delivers a message from another replica; dropped if the queue is full.
    pub fn receive(&self, message: Message) {
        if let Err(TrySendError::Full(_)) = self.tx.try_send(Input::Receive(message)) {
            log::debug!("dropped a message to the replica: its input queue is full");
        }
    }

    /// Proposes a command and waits for the reply of the state machine.
    ///
    /// # Errors
    ///
    /// Fails if the command was not appended, or if its outcome is unknown.
    pub async fn propose(&self, data: Vec<u8>) -> Result<Vec<u8>, CommitError> {
        self.request(|reply| Input::Propose(data, reply)).await
    }

    /// Proposes a change of the replicas and waits until it is committed.
    ///
    /// # Errors
    ///
    /// Fails if the change was not appended, or if its outcome is unknown.
    pub async fn change(&self, change: Change) -> Result<Vec<u8>, CommitError> {
        self.request(|reply| Input::Change(change, reply)).await
    }

    /// Queries the applied state; `None` if the replica has stopped or its queue is full.
    pub async fn query(&self, question: Vec<u8>) -> Option<Vec<u8>> {
        let (tx, rx) = oneshot::channel();
        self.tx.try_send(Input::Query(question, tx)).ok()?;
        rx.await.ok()
    }

    /// Stops the replica's thread.
    pub fn stop(&self) {
        // Best effort: fails if the queue is full or the thread has already ended.
        let _ = self.tx.try_send(Input::Stop);
    }

    async fn request(
        &self,
        input: impl FnOnce(oneshot::Sender<Result<Vec<u8>, CommitError>>) -> Input,
    ) -> Result<Vec<u8>, CommitError> {
        let (tx, rx) = oneshot::channel();
        let refused = CommitError::Refused(ProposeError::NotLeader);
        self.tx.try_send(input(tx)).map_err(|_| refused)?;
        rx.await.unwrap_or(Err(CommitError::Unknown))
    }
}

impl Driver {
    fn run(&mut self, rx: &Receiver<Input>) {
        loop {
            let first = match rx.recv_timeout(TICK_INTERVAL.to_std()) {
                Ok(input) => Some(input),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let more = std::iter::from_fn(|| rx.try_recv().ok());
            let inputs: Vec<Input> = first.into_iter().chain(more.take(BATCH_MAX)).collect();
            if inputs.iter().any(|i| matches!(i, Input::Stop)) {
                return;
            }
            if let Err(e) = self.step_batch(inputs) {
                log::error!(
                    "this host's replica has stopped, so it neither votes nor keeps claims: {e:#}"
                );
                return;
            }
        }
    }

    fn now(&self) -> Time {
        // Starts at 1, so that time zero can stand for "never".
        Time(1) + Span::from(self.started.elapsed())
    }

    fn step_batch(&mut self, inputs: Vec<Input>) -> Result<()> {
        let now = self.now();
        let mut actions = Vec::new();
        for input in inputs {
            let event = match input {
                Input::Receive(message) => Event::Receive(message),
                Input::Propose(_, reply) if self.writer.is_full() => {
                    // The send fails if the caller no longer waits.
                    let _ = reply.send(Err(CommitError::Refused(ProposeError::NotLeader)));
                    continue;
                }
                Input::Report(Report::Synced { id, compact_due, took }) => {
                    self.synced(id, compact_due, took);
                    Event::Synced(id)
                }
                Input::Report(Report::Failed(e)) => return Err(e),
                Input::Propose(data, reply) => {
                    Event::Propose { token: self.add_pending(reply), data }
                }
                Input::Change(change, reply) => {
                    Event::Change { token: self.add_pending(reply), change }
                }
                Input::Query(question, reply) => {
                    // The send fails if the caller no longer waits.
                    let _ = reply.send(self.machine.query(&question));
                    continue;
                }
                Input::Stop => continue,
            };
            actions.extend(self.node.step(now, event));
        }
        actions.extend(self.node.step(now, Event::Tick));
        self.carry_out(actions)?;
        if std::mem::take(&mut self.compact_due) {
            let state = self.machine.snapshot();
            let actions = self.node.step(now, Event::Compact(state));
            self.carry_out(actions)?;
        }
        self.publish_status(now);
        Ok(())
    }

    /// Handles the report that all writes up to one are durable.
    fn synced(&mut self, id: WriteId, compact_due: bool, took: Span) {
        self.writer.finish(id);
        self.sync_time = took;
        self.compacting = self.compacting.filter(|&c| c > id);
        self.compact_due = compact_due && self.compacting.is_none();
    }

    /// Registers a reply channel and returns its token.
    fn add_pending(&mut self, reply: oneshot::Sender<Result<Vec<u8>, CommitError>>) -> u64 {
        self.last_token += 1;
        self.pending.retain(|_, tx| !tx.is_closed());
        self.pending.insert(self.last_token, reply);
        self.last_token
    }

    fn carry_out(&mut self, actions: Vec<Action>) -> Result<()> {
        let (mut applied, mut replies) = (false, Vec::new());
        for action in actions {
            match action {
                Action::Persist(id, records) => self.writer.write(id, Write::Records(records)),
                Action::Checkpoint(id, checkpoint) => {
                    self.compacting = Some(id);
                    self.writer.write(id, Write::Checkpoint(checkpoint));
                }
                Action::Proposed { token, at } => self.proposed(token, at),
                Action::Send { to, message } => self.sender.send(&to, message),
                Action::Apply(entry) => {
                    let reply = match &entry.payload {
                        Payload::Data(data) => self.machine.apply(data),
                        Payload::Noop | Payload::Config(_) => Vec::new(),
                    };
                    replies.push((entry.index, entry.term, reply));
                    applied = true;
                }
                Action::Install(snapshot) => {
                    self.install(&snapshot)?;
                    applied = true;
                }
            }
        }
        if applied {
            self.machine.after_batch(self.node.is_leader());
        }
        for (index, term, reply) in replies {
            self.answer(index, term, reply);
        }
        Ok(())
    }

    /// Records the position of an appended proposal, or answers a refused one.
    fn proposed(&mut self, token: u64, at: Result<(Index, Term), ProposeError>) {
        match at {
            Ok((index, term)) => {
                self.appended.insert(index, (term, token));
            }
            Err(refused) => self.reply(token, Err(CommitError::Refused(refused))),
        }
    }

    /// Answers the proposal appended at a position. An entry of another term may have replaced it
    /// there; then its outcome is unknown.
    fn answer(&mut self, index: Index, term: Term, reply: Vec<u8>) {
        let Some((appended, token)) = self.appended.swap_remove(&index) else { return };
        self.reply(token, if appended == term { Ok(reply) } else { Err(CommitError::Unknown) });
    }

    fn reply(&mut self, token: u64, reply: Result<Vec<u8>, CommitError>) {
        if let Some(tx) = self.pending.swap_remove(&token) {
            // The send fails if the caller no longer waits.
            let _ = tx.send(reply);
        }
    }

    fn install(&mut self, snapshot: &Snapshot) -> Result<()> {
        self.machine.restore(&snapshot.data)?;
        let covered: Vec<Index> =
            self.appended.keys().copied().filter(|&i| i <= snapshot.index).collect();
        for index in covered {
            self.answer(index, Term::MAX, Vec::new());
        }
        Ok(())
    }

    fn publish_status(&self, now: Time) {
        let node = &self.node;
        let learners = node.config().learners.iter();
        let status = ReplicaStatus {
            leader: node.leader().cloned(),
            leads: node.has_committed_in_term(),
            term: node.hard_state().term,
            config: node.config().clone(),
            since_quorum: now.since(node.last_contact(now).unwrap_or(Time(1))),
            commit: node.commit(),
            sync_time: self.sync_time,
            caught_up: learners.filter(|r| node.is_caught_up(now, r)).cloned().collect(),
        };
        self.status.send_replace(status);
    }
}
