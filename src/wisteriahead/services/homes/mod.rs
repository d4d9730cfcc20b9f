//! Claims on tickets whose home is one availability zone.
//!
//! The hosts of a zone that have a disk run one replicated log for each epoch of its home. A
//! command about a ticket is proposed to the leader of the ticket's epoch. A host without a replica
//! of the epoch sends it to the hosts in the ticket's zone that have a disk, which name the leader.

mod epoch_store;
mod groups;
mod maintenance;
mod wire;

use self::epoch_store::EpochStore;
use self::wire::{GroupMessage, HelloReply, HomeCall, SubmitReply};
use super::control::wall_ms;
use super::replica::{CommitError, Group};
use super::{Commands, Handler, Health, Homes, Member, Members, Peers, ReplicaStorage};
use crate::core::control::claims::Ticket;
use crate::core::control::homes::HomeEpoch;
use crate::core::control::{Command, Reply, StampedCommand};
use crate::core::message::{Topic, decode, encode};
use crate::kernel::{Context, Service};
use crate::prelude::*;
use futures::future::{BoxFuture, join_all};
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Maximum time for one call to another host.
const CALL_TIMEOUT: Span = Span::millis(1_000);
/// Maximum time for which a leader waits until a proposal is applied.
const COMMIT_TIMEOUT: Span = Span::millis(800);
/// Delay between two attempts to submit a command.
const RETRY_DELAY: Span = Span::millis(30);

/// Service that publishes [`Homes`].
#[derive(Default)]
pub struct HomesService {
    shared: Mutex<Option<Arc<Shared>>>,
}

/// State shared by the tasks of the service.
struct Shared {
    peers: Arc<dyn Peers>,
    commands: Arc<dyn Commands>,
    members: watch::Receiver<Arc<Vec<Member>>>,
    seat: Option<ReplicaStorage>,
    epochs: Mutex<EpochStore>,
    /// This host's replicas, by epoch; `None` if it has no vote or its replica failed to start.
    groups: Mutex<IndexMap<u64, Option<Group>>>,
}

impl HomesService {
    fn run(&self, ctx: &Context) -> Result<()> {
        let peers = ctx.find::<dyn Peers>(<dyn Peers>::NAME)?;
        let commands = ctx.find::<dyn Commands>(<dyn Commands>::NAME)?;
        let members = ctx.find::<dyn Members>(<dyn Members>::NAME)?.watch();
        let seat = commands.replica_storage();
        let epochs = Mutex::new(EpochStore::open(seat.as_ref().map(|s| s.disk.clone()))?);
        let groups = Mutex::default();
        let shared = Arc::new(Shared { peers, commands, members, seat, epochs, groups });
        shared.start_replicas();
        *self.shared.lock() = Some(shared.clone());
        shared.peers.set_handler(Topic::Orders, shared.clone());
        let homes: Arc<dyn Homes> = shared.clone();
        ctx.publish(<dyn Homes>::NAME, homes);
        tokio::spawn(maintenance::run(shared, ctx.clone()));
        Ok(())
    }
}

impl Service for HomesService {
    fn name(&self) -> &'static str {
        <dyn Homes>::NAME
    }

    fn start<'a>(&'a self, ctx: &'a Context) -> BoxFuture<'a, Result<()>> {
        Box::pin(async { self.run(ctx) })
    }

    fn stop(&self, _bound: Span) -> BoxFuture<'_, ()> {
        Box::pin(async {
            if let Some(shared) = &*self.shared.lock() {
                shared.groups.lock().values().flatten().for_each(Group::stop);
            }
        })
    }
}

impl Shared {
    /// The current epoch of the home of this host's zone, as known here.
    fn current(&self) -> Option<HomeEpoch> {
        self.epochs.lock().epochs().current().cloned()
    }

    /// This host's replica of an epoch, if it runs.
    fn group(&self, epoch: u64) -> Option<Group> {
        self.groups.lock().get(&epoch).cloned().flatten().filter(Group::is_running)
    }

    /// The other hosts of a zone that have a disk; those that are alive come first.
    fn disk_hosts(&self, zone: &str) -> Vec<String> {
        let members = self.members.borrow().clone();
        let is_candidate =
            |m: &&Member| m.durable && &*m.zone == zone && &*m.host != self.peers.host();
        let mut found: Vec<&Member> = members.iter().filter(is_candidate).collect();
        found.sort_by_key(|m| m.health >= Health::Suspect);
        found.into_iter().map(|m| m.host.to_string()).collect()
    }

    /// Calls the other hosts of this zone that have a disk for their replicas and known epochs.
    async fn poll_disk_hosts(&self) -> Vec<HelloReply> {
        let hosts = self.disk_hosts(self.peers.zone());
        let calls = hosts.iter().map(|h| self.call::<HelloReply>(h, &HomeCall::Hello));
        join_all(calls).await.into_iter().flatten().collect()
    }

    async fn call<T: DeserializeOwned>(&self, host: &str, call: &HomeCall) -> Result<T> {
        let answer = self.peers.call(host, Topic::Orders, encode(call));
        Ok(decode(&timeout(CALL_TIMEOUT.to_std(), answer).await??)?)
    }

    /// Identifier of the current epoch; a host without a disk asks those with one first.
    async fn current_epoch(&self) -> Option<u64> {
        if self.seat.is_none() {
            for reply in self.poll_disk_hosts().await {
                self.epochs.lock().merge(&reply.homes).ok()?;
            }
        }
        self.current().map(|h| h.epoch)
    }

    /// Submits a command to the home of a ticket; tries again until it was applied or `bound` is
    /// over.
    async fn submit_command(
        &self,
        ticket: &Ticket,
        command: Command,
        bound: Span,
    ) -> Result<Reply, Refusal> {
        let end = Instant::now() + bound.to_std();
        let command = encode(&StampedCommand { time_ms: wall_ms(), command });
        let (mut may_have_run, mut leader_hint) = (false, None);
        let mut tried = 0;
        while Instant::now() < end {
            let to = leader_hint.take().or_else(|| self.next_host(ticket, &mut tried));
            let reply = timeout_at(end, self.submit_to(to, ticket.epoch, &command)).await;
            match reply {
                Ok(SubmitReply::Done(reply)) => {
                    return decode(&reply)
                        .map_err(|e| Refusal::may_have_run(Reason::Internal, e.to_string()));
                }
                Ok(SubmitReply::Elsewhere(leader)) => leader_hint = leader,
                Ok(SubmitReply::Unknown) | Err(_) => may_have_run = true,
            }
            sleep(RETRY_DELAY.to_std()).await;
        }
        let detail = format!(
            "no quorum of the home in zone `{}` was reached within {bound}; send it again with \
             the same key when the zone is reached",
            ticket.home
        );
        Err(if may_have_run {
            Refusal::may_have_run(Reason::NoQuorum, detail)
        } else {
            Refusal::not_run(Reason::NoQuorum, detail)
        })
    }

    /// The next host to submit to: this one if it runs a replica of the epoch, then the others in
    /// turn. Counts the calls in `tried`.
    fn next_host(&self, ticket: &Ticket, tried: &mut usize) -> Option<String> {
        let mut hosts = self.disk_hosts(&ticket.home);
        if self.group(ticket.epoch).is_some() {
            hosts.insert(0, self.peers.host().to_owned());
        }
        let host = hosts.get(*tried % hosts.len().max(1)).cloned();
        *tried += 1;
        host
    }

    /// Submits a command to one host; `None` for no host, to which nothing is submitted.
    async fn submit_to(&self, to: Option<String>, epoch: u64, command: &[u8]) -> SubmitReply {
        let Some(to) = to else { return SubmitReply::Elsewhere(None) };
        if to == self.peers.host() {
            return self.propose(epoch, command.to_vec()).await;
        }
        let call = HomeCall::Submit { epoch, command: command.to_vec() };
        // The host may have received a call that failed.
        self.call(&to, &call).await.unwrap_or(SubmitReply::Unknown)
    }

    /// Proposes a command to this host's replica of the epoch, if it is the leader.
    async fn propose(&self, epoch: u64, command: Vec<u8>) -> SubmitReply {
        let Some(group) = self.group(epoch) else { return SubmitReply::Elsewhere(None) };
        let view = group.status();
        if !view.leads {
            let leader = view.leader.map(|l| l.host);
            return SubmitReply::Elsewhere(leader.filter(|host| host != self.peers.host()));
        }
        match timeout(COMMIT_TIMEOUT.to_std(), group.propose(command)).await {
            Ok(Ok(reply)) => SubmitReply::Done(reply),
            Ok(Err(CommitError::Refused(_))) => SubmitReply::Elsewhere(None),
            Ok(Err(CommitError::Unknown)) | Err(_) => SubmitReply::Unknown,
        }
    }
}

impl Homes for Shared {
    fn epoch(&self) -> BoxFuture<'_, Option<u64>> {
        Box::pin(self.current_epoch())
    }

    fn submit<'a>(
        &'a self,
        ticket: &'a Ticket,
        command: Command,
        bound: Span,
    ) -> BoxFuture<'a, Result<Reply, Refusal>> {
        Box::pin(self.submit_command(ticket, command, bound))
    }
}

impl Handler for Shared {
    fn receive(&self, from: &str, body: &[u8]) {
        match decode::<GroupMessage>(body) {
            Ok(GroupMessage { epoch, to, message }) => {
                if self.seat.as_ref().is_some_and(|s| s.me.disk == to)
                    && let Some(group) = self.group(epoch)
                {
                    group.receive(message);
                }
            }
            Err(e) => log::warn!("dropped an invalid message about a home from host `{from}`: {e}"),
        }
    }

    fn answer<'a>(&'a self, _from: &'a str, body: &'a [u8]) -> BoxFuture<'a, Result<Vec<u8>>> {
        Box::pin(async move {
            Ok(match decode(body)? {
                HomeCall::Hello => {
                    let me = self.seat.as_ref().map(|s| s.me.clone());
                    let homes = self.epochs.lock().epochs().list().to_vec();
                    encode(&HelloReply { me, homes })
                }
                HomeCall::Submit { epoch, command } => encode(&self.propose(epoch, command).await),
            })
        })
    }
}
