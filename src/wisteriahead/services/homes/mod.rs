//! Claims of tickets whose home is one availability zone.
//!
//! The disks of a zone hold one group for each epoch of its home. A host without a replica
//! hands commands to those of the ticket's zone that have a disk; these name the leader.

mod groups;
mod rounds;
mod shelf;
mod wire;

use self::shelf::Shelf;
use self::wire::{Ask, Hello, Note, Submitted};
use super::control::wall_ms;
use super::replica::{CommitError, Group};
use super::{Commands, Handler, Health, Homes, Member, Members, Peers, Seat};
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

/// Time allowed for one call to another host.
const CALL_TIMEOUT: Span = Span::millis(1_000);
/// Longest wait of a leader for a proposal.
const COMMIT_MAX: Span = Span::millis(800);
/// Pause between two tries.
const RETRY: Span = Span::millis(30);

/// The service: publishes [`Homes`].
#[derive(Default)]
pub struct HomesService {
    shared: Mutex<Option<Arc<Shared>>>,
}

/// What the tasks of the service share.
struct Shared {
    peers: Arc<dyn Peers>,
    commands: Arc<dyn Commands>,
    members: watch::Receiver<Arc<Vec<Member>>>,
    seat: Option<Seat>,
    shelf: Mutex<Shelf>,
    /// Replicas that this disk holds, by epoch; nothing for one that it cannot hold.
    groups: Mutex<IndexMap<u64, Option<Group>>>,
}

impl HomesService {
    fn run(&self, ctx: &Context) -> Result<()> {
        let peers = ctx.find::<dyn Peers>(<dyn Peers>::NAME)?;
        let commands = ctx.find::<dyn Commands>(<dyn Commands>::NAME)?;
        let members = ctx.find::<dyn Members>(<dyn Members>::NAME)?.watch();
        let seat = commands.seat();
        let shelf = Mutex::new(Shelf::open(seat.as_ref().map(|s| s.disk.clone()))?);
        let groups = Mutex::default();
        let shared = Arc::new(Shared { peers, commands, members, seat, shelf, groups });
        shared.hold();
        *self.shared.lock() = Some(shared.clone());
        shared.peers.handle(Topic::Orders, shared.clone());
        let homes: Arc<dyn Homes> = shared.clone();
        ctx.publish(<dyn Homes>::NAME, homes);
        tokio::spawn(rounds::run(shared, ctx.clone()));
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
    /// The current epoch of this zone's home, as far as this host knows.
    fn current(&self) -> Option<HomeEpoch> {
        self.shelf.lock().epochs().current().cloned()
    }

    fn group(&self, epoch: u64) -> Option<Group> {
        self.groups.lock().get(&epoch).cloned().flatten().filter(Group::is_running)
    }

    /// Other hosts of a zone that have a disk, those that answer first.
    fn holders(&self, zone: &str) -> Vec<String> {
        let members = self.members.borrow().clone();
        let fits = |m: &&Member| m.durable && &*m.zone == zone && &*m.host != self.peers.host();
        let mut found: Vec<&Member> = members.iter().filter(fits).collect();
        found.sort_by_key(|m| m.health != Health::Alive);
        found.into_iter().map(|m| m.host.to_string()).collect()
    }

    /// What the hosts of this zone that have a disk say of themselves.
    async fn hellos(&self) -> Vec<Hello> {
        let hosts = self.holders(self.peers.zone());
        let asked = hosts.iter().map(|h| self.call::<Hello>(h, &Ask::Hello));
        join_all(asked).await.into_iter().flatten().collect()
    }

    async fn call<T: DeserializeOwned>(&self, host: &str, ask: &Ask) -> Result<T> {
        let call = self.peers.call(host, Topic::Orders, encode(ask));
        Ok(decode(&timeout(CALL_TIMEOUT.to_std(), call).await??)?)
    }

    async fn known(&self) -> Option<u64> {
        if self.seat.is_none() {
            for hello in self.hellos().await {
                self.shelf.lock().merge(&hello.homes).ok()?;
            }
        }
        self.current().map(|h| h.epoch)
    }

    async fn hand(&self, ticket: &Ticket, command: Command, bound: Span) -> Result<Reply, Refusal> {
        let end = Instant::now() + bound.to_std();
        let command = encode(&StampedCommand { time_ms: wall_ms(), command });
        let (mut handed, mut hint) = (false, None);
        let mut tried = 0;
        while Instant::now() < end {
            let to = hint.take().or_else(|| self.next(ticket, &mut tried));
            let done = timeout_at(end, self.hand_in(to, ticket.epoch, &command)).await;
            match done {
                Ok(Submitted::Done(reply)) => {
                    return decode(&reply)
                        .map_err(|e| Refusal::may_have_run(Reason::Internal, e.to_string()));
                }
                Ok(Submitted::Elsewhere(leader)) => hint = leader,
                Ok(Submitted::Unknown) | Err(_) => handed = true,
            }
            sleep(RETRY.to_std()).await;
        }
        let detail = format!(
            "no quorum of the home in zone `{}` was reached within {bound}; send it again with \
             the same key when the zone is reached",
            ticket.home
        );
        Err(if handed {
            Refusal::may_have_run(Reason::NoQuorum, detail)
        } else {
            Refusal::not_run(Reason::NoQuorum, detail)
        })
    }

    /// The next host to ask: this one if it holds the epoch, then the others in turn.
    fn next(&self, ticket: &Ticket, tried: &mut usize) -> Option<String> {
        let mut hosts = self.holders(&ticket.home);
        if self.group(ticket.epoch).is_some() {
            hosts.insert(0, self.peers.host().to_owned());
        }
        let host = hosts.get(*tried % hosts.len().max(1)).cloned();
        *tried += 1;
        host
    }

    async fn hand_in(&self, to: Option<String>, epoch: u64, command: &[u8]) -> Submitted {
        let Some(to) = to else { return Submitted::Elsewhere(None) };
        if to == self.peers.host() {
            return self.propose(epoch, command.to_vec()).await;
        }
        let ask = Ask::Submit { epoch, command: command.to_vec() };
        // A call that failed may have been handed over.
        self.call(&to, &ask).await.unwrap_or(Submitted::Unknown)
    }

    /// Proposes a command here, if this host leads the epoch's group.
    async fn propose(&self, epoch: u64, command: Vec<u8>) -> Submitted {
        let Some(group) = self.group(epoch) else { return Submitted::Elsewhere(None) };
        let view = group.status();
        if !view.leads {
            let leader = view.leader.map(|l| l.host);
            return Submitted::Elsewhere(leader.filter(|host| host != self.peers.host()));
        }
        match timeout(COMMIT_MAX.to_std(), group.propose(command)).await {
            Ok(Ok(reply)) => Submitted::Done(reply),
            Ok(Err(CommitError::Refused(_))) => Submitted::Elsewhere(None),
            Ok(Err(CommitError::Unknown)) | Err(_) => Submitted::Unknown,
        }
    }
}

impl Homes for Shared {
    fn epoch(&self) -> BoxFuture<'_, Option<u64>> {
        Box::pin(self.known())
    }

    fn submit<'a>(
        &'a self,
        ticket: &'a Ticket,
        command: Command,
        bound: Span,
    ) -> BoxFuture<'a, Result<Reply, Refusal>> {
        Box::pin(self.hand(ticket, command, bound))
    }
}

impl Handler for Shared {
    fn receive(&self, from: &str, body: &[u8]) {
        match decode::<Note>(body) {
            Ok(Note { epoch, to, message }) => {
                if self.seat.as_ref().is_some_and(|s| s.me.disk == to)
                    && let Some(group) = self.group(epoch)
                {
                    group.receive(message);
                }
            }
            Err(e) => log::warn!("message of a home from host `{from}` dropped: {e}"),
        }
    }

    fn answer<'a>(&'a self, _from: &'a str, body: &'a [u8]) -> BoxFuture<'a, Result<Vec<u8>>> {
        Box::pin(async move {
            Ok(match decode(body)? {
                Ask::Hello => {
                    let me = self.seat.as_ref().map(|s| s.me.clone());
                    let homes = self.shelf.lock().epochs().list().to_vec();
                    encode(&Hello { me, homes })
                }
                Ask::Submit { epoch, command } => encode(&self.propose(epoch, command).await),
            })
        })
    }
}
