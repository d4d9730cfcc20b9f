//! The thread that runs one replica: it steps the node, sends its messages and applies
//! what is committed.
//!
//! Its journal is written by a thread of its own, which reports what is durable; the node
//! holds back what must wait for that. A slow sync delays neither heartbeats nor answers.

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

/// Longest time between two looks at the clock.
const TICK: Span = Span::millis(20);
/// Most events stepped together.
const BATCH_MAX: usize = 256;
/// Most events that wait; further ones are dropped, as a network drops messages.
const QUEUE_MAX: usize = 4_096;

/// What a replica's entries change.
pub trait StateMachine: Send {
    /// Applies a command and returns the reply to who proposed it.
    fn apply(&mut self, data: &[u8]) -> Vec<u8>;

    /// The whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Takes a whole state in place of its own.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are no state.
    fn restore(&mut self, bytes: &[u8]) -> Result<()>;

    /// Called after each batch of applied commands.
    fn after_batch(&mut self, leads: bool);

    /// Answers a question about the state.
    fn query(&self, question: &[u8]) -> Vec<u8>;
}

/// Carries a replica's messages.
pub trait MessageSender: Send {
    /// Sends a message; it may be lost.
    fn send(&self, to: &Replica, message: Message);
}

/// Why a proposal has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitError {
    /// It was not appended.
    Refused(ProposeError),
    /// It was appended, and what became of it is not known here.
    Unknown,
}

/// How a replica stands.
#[derive(Clone, Debug, Default)]
pub struct ReplicaStatus {
    /// The leader, if one is known.
    pub leader: Option<Replica>,
    /// Whether this replica leads and its term is settled.
    pub leads: bool,
    /// Current term.
    pub term: Term,
    /// Who holds the log.
    pub config: Config,
    /// Time since the quorum was heard.
    pub since_quorum: Span,
    /// Last position known to be committed.
    pub commit: Index,
    /// How long the last write to the disk took.
    pub sync_time: Span,
    /// Learners that have caught up, as far as this replica leads.
    pub caught_up: Vec<Replica>,
}

/// A request to the thread.
enum Input {
    Receive(Message),
    Propose(Vec<u8>, oneshot::Sender<Result<Vec<u8>, CommitError>>),
    Change(Change, oneshot::Sender<Result<Vec<u8>, CommitError>>),
    Ask(Vec<u8>, oneshot::Sender<Vec<u8>>),
    Report(Report),
    Stop,
}

/// A handle on a running replica.
#[derive(Clone)]
pub struct Group {
    tx: SyncSender<Input>,
    view: watch::Receiver<ReplicaStatus>,
}

struct Driver {
    node: Node,
    writer: Writer,
    /// The last compaction, while it is under way.
    compacting: Option<WriteId>,
    /// Whether the journal should be compacted.
    long: bool,
    /// How long the last write took.
    sync_time: Span,
    machine: Box<dyn StateMachine>,
    carrier: Box<dyn MessageSender>,
    epoch: Instant,
    waiting: IndexMap<u64, oneshot::Sender<Result<Vec<u8>, CommitError>>>,
    placed: IndexMap<Index, (Term, u64)>,
    token: u64,
    view: watch::Sender<ReplicaStatus>,
}

impl Group {
    /// Starts a replica on its own thread with what its store kept.
    ///
    /// # Errors
    ///
    /// Fails when the kept state cannot be read or the thread cannot be started.
    pub fn start(
        me: Replica,
        kept: StoredReplica,
        mut machine: Box<dyn StateMachine>,
        carrier: Box<dyn MessageSender>,
        seed: u64,
    ) -> Result<Self> {
        let StoredReplica { store, checkpoint, records } = kept;
        let checkpoint = checkpoint.unwrap_or_else(|| Checkpoint::empty(Vec::new()));
        machine.restore(&checkpoint.snapshot.data)?;
        let node = Node::recover(me, checkpoint, records, seed, Time(0));
        let (tx, rx) = sync_channel(QUEUE_MAX);
        let (view, watch) = watch::channel(ReplicaStatus::default());
        let reports = tx.clone();
        let report = move |report| reports.send(Input::Report(report)).is_ok();
        let (writer, thread) = Writer::start(store, report)?;
        let mut driver = Driver {
            node,
            writer,
            compacting: None,
            long: false,
            sync_time: Span::ZERO,
            machine,
            carrier,
            epoch: Instant::now(),
            waiting: IndexMap::new(),
            placed: IndexMap::new(),
            token: 0,
            view,
        };
        std::thread::Builder::new()
            .name("replica".to_owned())
            .spawn(move || {
                driver.run(&rx);
                // So that the journal is closed when this thread has ended.
                drop((driver, rx));
                let _ = thread.join();
            })
            .context("could not start a thread")?;
        Ok(Self { tx, view: watch })
    }

    /// How the replica stands.
    pub fn status(&self) -> ReplicaStatus {
        self.view.borrow().clone()
    }

    /// Whether the replica still runs; it stops when its disk fails.
    pub fn is_running(&self) -> bool {
        self.view.has_changed().is_ok()
    }

    /// Hands it a message.
    pub fn receive(&self, message: Message) {
        if let Err(TrySendError::Full(_)) = self.tx.try_send(Input::Receive(message)) {
            log::debug!("a message to the replica was dropped: its queue is full");
        }
    }

    /// Proposes a command and waits until it was applied.
    ///
    /// # Errors
    ///
    /// Fails when it was not appended, or what became of it is not known.
    pub async fn propose(&self, data: Vec<u8>) -> Result<Vec<u8>, CommitError> {
        self.request(|reply| Input::Propose(data, reply)).await
    }

    /// Changes the replicas and waits until the change was committed.
    ///
    /// # Errors
    ///
    /// Fails when it was not appended, or what became of it is not known.
    pub async fn change(&self, change: Change) -> Result<Vec<u8>, CommitError> {
        self.request(|reply| Input::Change(change, reply)).await
    }

    /// Asks about the applied state.
    pub async fn ask(&self, question: Vec<u8>) -> Option<Vec<u8>> {
        let (tx, rx) = oneshot::channel();
        self.tx.try_send(Input::Ask(question, tx)).ok()?;
        rx.await.ok()
    }

    /// Stops the replica.
    pub fn stop(&self) {
        // A full queue or an ended thread leaves nothing to stop for.
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
            let first = match rx.recv_timeout(TICK.to_std()) {
                Ok(input) => Some(input),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let more = std::iter::from_fn(|| rx.try_recv().ok());
            let inputs: Vec<Input> = first.into_iter().chain(more.take(BATCH_MAX)).collect();
            if inputs.iter().any(|i| matches!(i, Input::Stop)) {
                return;
            }
            if let Err(e) = self.batch(inputs) {
                log::error!("this host no longer votes or keeps claims: {e:#}");
                return;
            }
        }
    }

    fn now(&self) -> Time {
        // Not zero, so that "never" is told from "at the start".
        Time(1) + Span::from(self.epoch.elapsed())
    }

    fn batch(&mut self, inputs: Vec<Input>) -> Result<()> {
        let now = self.now();
        let mut actions = Vec::new();
        for input in inputs {
            let event = match input {
                Input::Receive(message) => Event::Receive(message),
                Input::Propose(_, reply) if self.writer.is_full() => {
                    // Nobody waits any more if the send fails.
                    let _ = reply.send(Err(CommitError::Refused(ProposeError::NotLeader)));
                    continue;
                }
                Input::Report(Report::Synced { mark, long, took }) => {
                    self.synced(mark, long, took);
                    Event::Synced(mark)
                }
                Input::Report(Report::Failed(e)) => return Err(e),
                Input::Propose(data, reply) => Event::Propose { token: self.wait(reply), data },
                Input::Change(change, reply) => Event::Change { token: self.wait(reply), change },
                Input::Ask(question, reply) => {
                    // Nobody waits any more if the send fails.
                    let _ = reply.send(self.machine.query(&question));
                    continue;
                }
                Input::Stop => continue,
            };
            actions.extend(self.node.step(now, event));
        }
        actions.extend(self.node.step(now, Event::Tick));
        self.carry_out(actions)?;
        if std::mem::take(&mut self.long) {
            let state = self.machine.snapshot();
            let actions = self.node.step(now, Event::Compact(state));
            self.carry_out(actions)?;
        }
        self.show(now);
        Ok(())
    }

    fn synced(&mut self, mark: WriteId, long: bool, took: Span) {
        self.writer.finish(mark);
        self.sync_time = took;
        self.compacting = self.compacting.filter(|&m| m > mark);
        self.long = long && self.compacting.is_none();
    }

    fn wait(&mut self, reply: oneshot::Sender<Result<Vec<u8>, CommitError>>) -> u64 {
        self.token += 1;
        self.waiting.retain(|_, tx| !tx.is_closed());
        self.waiting.insert(self.token, reply);
        self.token
    }

    fn carry_out(&mut self, actions: Vec<Action>) -> Result<()> {
        let (mut applied, mut replies) = (false, Vec::new());
        for action in actions {
            match action {
                Action::Persist(mark, records) => self.writer.write(mark, Write::Records(records)),
                Action::Checkpoint(mark, base) => {
                    self.compacting = Some(mark);
                    self.writer.write(mark, Write::Base(base));
                }
                Action::Proposed { token, at } => self.place(token, at),
                Action::Send { to, message } => self.carrier.send(&to, message),
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

    fn place(&mut self, token: u64, at: Result<(Index, Term), ProposeError>) {
        match at {
            Ok((index, term)) => {
                self.placed.insert(index, (term, token));
            }
            Err(refused) => self.reply(token, Err(CommitError::Refused(refused))),
        }
    }

    /// Answers the proposal at a position, which may be another than the applied entry.
    fn answer(&mut self, index: Index, term: Term, reply: Vec<u8>) {
        let Some((placed, token)) = self.placed.swap_remove(&index) else { return };
        self.reply(token, if placed == term { Ok(reply) } else { Err(CommitError::Unknown) });
    }

    fn reply(&mut self, token: u64, reply: Result<Vec<u8>, CommitError>) {
        if let Some(tx) = self.waiting.swap_remove(&token) {
            // Nobody waits any more if the send fails.
            let _ = tx.send(reply);
        }
    }

    fn install(&mut self, snapshot: &Snapshot) -> Result<()> {
        self.machine.restore(&snapshot.data)?;
        let passed: Vec<Index> =
            self.placed.keys().copied().filter(|&i| i <= snapshot.index).collect();
        for index in passed {
            self.answer(index, Term::MAX, Vec::new());
        }
        Ok(())
    }

    fn show(&self, now: Time) {
        let node = &self.node;
        let learners = node.config().learners.iter();
        let view = ReplicaStatus {
            leader: node.leader().cloned(),
            leads: node.has_committed_in_term(),
            term: node.hard_state().term,
            config: node.config().clone(),
            since_quorum: now.since(node.last_contact(now).unwrap_or(Time(1))),
            commit: node.commit(),
            sync_time: self.sync_time,
            caught_up: learners.filter(|r| node.is_caught_up(now, r)).cloned().collect(),
        };
        self.view.send_replace(view);
    }
}
