//! The operators' document, held in memory and passed on by broadcast.
//!
//! A thin stand-in until the replicated log takes its place behind [`Control`]. What it
//! cannot do: nothing survives the restart of all hosts, there is no quorum, and two
//! hosts that accept a change on the same revision at once, or on two sides of a
//! partition, each keep their own until a higher revision reaches them, so an accepted
//! change can be lost. A change is acknowledged before any other host has it. Resends
//! are recognised by the last [`IDS_MAX`] changes that this host has seen. Only the
//! document's content is kept, not its comments.

use super::{Accepted, Change, Control, Handler, Peers};
use crate::core::document::{Document, Revision};
use crate::core::message::{Topic, decode, encode};
use crate::kernel::{Context, Service};
use crate::prelude::*;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::sync::OnceLock;
use tokio::sync::watch;
use tokio::time::sleep;

/// Most change identifiers remembered.
pub const IDS_MAX: usize = 1024;
/// Time between two rounds of asking the other hosts for a higher revision.
const SYNC_PERIOD: Span = Span::secs(1);

/// One accepted change, as hosts send it to each other.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Record {
    revision: Revision,
    id: String,
    operator: String,
    text: String,
}

/// Asks a host for its record if that is above the given revision.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Ask {
    above: Revision,
}

#[derive(Default)]
struct State {
    record: Record,
    ids: IndexMap<String, Revision>,
}

/// The service: publishes [`Control`].
pub struct ControlService {
    log: Arc<Log>,
}

struct Log {
    state: Mutex<State>,
    accepted: watch::Sender<Accepted>,
    peers: OnceLock<Arc<dyn Peers>>,
}

impl Default for ControlService {
    fn default() -> Self {
        let log = Log {
            state: Mutex::default(),
            accepted: watch::channel(Accepted::default()).0,
            peers: OnceLock::new(),
        };
        Self { log: Arc::new(log) }
    }
}

impl Service for ControlService {
    fn name(&self) -> &'static str {
        <dyn Control>::NAME
    }

    fn start<'a>(&'a self, ctx: &'a Context) -> BoxFuture<'a, Result<()>> {
        Box::pin(async move {
            let peers = ctx.find::<dyn Peers>(<dyn Peers>::NAME)?;
            peers.handle(Topic::Control, self.log.clone());
            self.log.peers.get_or_init(|| peers.clone());
            tokio::spawn(sync(self.log.clone(), peers, ctx.clone()));
            let control: Arc<dyn Control> = self.log.clone();
            ctx.publish(<dyn Control>::NAME, control);
            Ok(())
        })
    }

    fn stop(&self, _bound: Span) -> BoxFuture<'_, ()> {
        Box::pin(async {})
    }
}

impl State {
    /// Puts a record in force; the caller has checked that its revision is higher.
    fn adopt(&mut self, record: Record) {
        self.ids.insert(record.id.clone(), record.revision);
        if self.ids.len() > IDS_MAX {
            self.ids.shift_remove_index(0);
        }
        self.record = record;
    }
}

impl Log {
    fn accept(&self, change: Change) -> Result<Revision, Refusal> {
        let bad = |e| Refusal::not_run(Reason::BadRequest, e);
        if change.id.is_empty() {
            return Err(bad("`id` is empty; a change needs an identifier of its own".to_owned()));
        }
        let mut state = self.state.lock();
        if let Some(&revision) = state.ids.get(&change.id) {
            return Ok(revision);
        }
        if change.base != state.record.revision {
            return Err(conflict(&change, &state.record));
        }
        let document = Document::parse(&change.text).map_err(bad)?;
        let revision = change.base.checked_add(1).ok_or_else(|| {
            Refusal::not_run(Reason::Internal, "there is no higher revision; restart all hosts")
        })?;
        let Change { id, operator, text, .. } = change;
        self.install(&mut state, Record { revision, id, operator, text }, document);
        Ok(revision)
    }

    /// Applies another host's record if its revision is higher.
    fn learn(&self, from: &str, record: Record) {
        let mut state = self.state.lock();
        if record.revision <= state.record.revision {
            return;
        }
        match Document::parse(&record.text) {
            Ok(document) => self.install(&mut state, record, document),
            Err(e) => log::warn!("revision {} of host `{from}` dropped: {e}", record.revision),
        }
    }

    fn install(&self, state: &mut State, record: Record, document: Document) {
        log::info!("revision {} by `{}` is in force", record.revision, record.operator);
        // Sent under the lock, so that watchers never see a lower revision after a higher one.
        self.accepted
            .send_replace(Accepted { revision: record.revision, document: Arc::new(document) });
        state.adopt(record);
    }

    fn revision(&self) -> Revision {
        self.state.lock().record.revision
    }

    fn broadcast(&self) {
        let Some(peers) = self.peers.get() else { return };
        let body = encode(&self.state.lock().record);
        for host in peers.others() {
            peers.send(&host, Topic::Control, body.clone());
        }
    }
}

fn conflict(change: &Change, winner: &Record) -> Refusal {
    let by = if winner.revision == 0 {
        "the empty document".to_owned()
    } else {
        format!("by operator `{}`", winner.operator)
    };
    Refusal::not_run(
        Reason::Conflict,
        format!(
            "revision {} is in force, {by}, but the change is based on {}; get it and edit anew",
            winner.revision, change.base
        ),
    )
}

impl Control for Log {
    fn watch(&self) -> watch::Receiver<Accepted> {
        self.accepted.subscribe()
    }

    fn propose(&self, change: Change) -> BoxFuture<'_, Result<Revision, Refusal>> {
        Box::pin(async move {
            let revision = self.accept(change)?;
            self.broadcast();
            Ok(revision)
        })
    }
}

impl Handler for Log {
    fn receive(&self, from: &str, body: &[u8]) {
        match decode(body) {
            Ok(record) => self.learn(from, record),
            Err(e) => log::warn!("control message of host `{from}` dropped: {e}"),
        }
    }

    fn answer<'a>(&'a self, _from: &'a str, body: &'a [u8]) -> BoxFuture<'a, Result<Vec<u8>>> {
        Box::pin(async move {
            let ask: Ask = decode(body)?;
            let state = self.state.lock();
            let newer = (state.record.revision > ask.above).then_some(&state.record);
            Ok(encode(&newer))
        })
    }
}

/// Asks all other hosts for a higher revision, again and again.
async fn sync(log: Arc<Log>, peers: Arc<dyn Peers>, ctx: Context) {
    let rounds = async {
        loop {
            let hosts = peers.others();
            futures::future::join_all(hosts.iter().map(|h| pull(&log, &*peers, h))).await;
            sleep(SYNC_PERIOD.to_std()).await;
        }
    };
    tokio::select! {
        () = ctx.stopped() => {}
        () = rounds => {}
    }
}

async fn pull(log: &Log, peers: &dyn Peers, host: &str) {
    let ask = encode(&Ask { above: log.revision() });
    let answer = peers.call(host, Topic::Control, ask).await;
    match answer.and_then(|body| Ok(decode::<Option<Record>>(&body)?)) {
        Ok(Some(record)) => log.learn(host, record),
        Ok(None) => {}
        Err(e) => log::debug!("could not ask host `{host}` for its revision: {e:#}"),
    }
}
