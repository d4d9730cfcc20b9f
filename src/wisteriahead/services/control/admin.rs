//! What operators see and change besides the document.

use super::form::TIER;
use super::submit::{self, finish};
use super::wire::{Ask, Submitted, Voters, ZoneOverride};
use super::{CHANGE_MAX, Shared, check_id};
use crate::core::control::Command;
use crate::core::control::audit::AuditEntry;
use crate::core::control::lockout::{lockout, retired_hosts};
use crate::core::document::{Revision, ZoneState};
use crate::core::log::{Change, Config};
use crate::core::message::{decode, encode};
use crate::prelude::*;
use crate::services::replica::ReplicaStatus;
use crate::services::{Admin, HostRevision, VoterChange, ZoneChange, ZoneDone};
use futures::future::{BoxFuture, join_all};

/// Time in which a quorum must accept that a zone is taken out before it is marked locally.
const ZONE_MAX: Span = Span::millis(2_500);

impl Shared {
    async fn set_zone(&self, change: ZoneChange) -> Result<ZoneDone, Refusal> {
        check_id(&change.id)?;
        let ZoneChange { id, operator, zone, state } = change;
        let force = self.revisions.active();
        let listed = force.document().is_ok_and(|d| d.zone(&zone).is_some());
        if !listed {
            let detail = format!("zone `{zone}` is not listed in revision {}", force.revision);
            return Err(Refusal::not_run(Reason::BadRequest, detail));
        }
        let base = force.revision;
        let mark =
            ZoneOverride { id: id.clone(), operator: operator.clone(), zone: zone.clone(), base };
        let local = state == ZoneState::Out && zone == self.peers.zone();
        let bound = if local { ZONE_MAX } else { CHANGE_MAX };
        let command = Command::Zone { id, operator, zone, state, base };
        match self.change(command, bound).await {
            Ok(revision) => Ok(ZoneDone::Accepted(revision)),
            Err(refusal) if local && refusal.reason == Reason::NoQuorum => self.mark_out(&mark),
            Err(refusal) => Err(refusal),
        }
    }

    /// Takes this host's own zone out here and at the hosts of the zone that it reaches.
    fn mark_out(&self, mark: &ZoneOverride) -> Result<ZoneDone, Refusal> {
        if !self.revisions.add_override(mark) {
            let detail = "the mark could not be kept on disk; ask another host of the zone";
            return Err(Refusal::may_have_run(Reason::Internal, detail));
        }
        self.tell_all();
        Ok(ZoneDone::Local)
    }

    async fn all_revisions(&self) -> Vec<HostRevision> {
        let mine = HostRevision {
            host: self.peers.host().to_owned(),
            zone: self.peers.zone().to_owned(),
            revision: self.revisions.revision(),
            age_ms: 0,
        };
        let hosts = self.peers.others();
        let others = join_all(hosts.iter().map(|h| self.revision_of(h))).await;
        std::iter::once(mine).chain(others.into_iter().flatten()).collect()
    }

    /// A host's revision: asked for now, or as it was last seen.
    async fn revision_of(&self, host: &str) -> Option<HostRevision> {
        let asked = self.call::<Option<Revision>>(host, &Ask::Revision).await.ok().flatten();
        let seen = self.seen.lock();
        let known = seen.get(host);
        let (zone, last, age) = match known {
            Some(s) => (s.here.zone.clone(), s.here.revision, Span::from(s.at.elapsed())),
            None => (String::new(), 0, Span::from(self.started.elapsed())),
        };
        let age_ms = if asked.is_some() { 0 } else { age.as_millis() };
        Some(HostRevision { host: host.to_owned(), zone, revision: asked.unwrap_or(last), age_ms })
    }

    async fn read_audit(&self, after: u64, limit: usize) -> Result<Vec<AuditEntry>, Refusal> {
        let ask = Ask::Audit { after, limit };
        let entries = match self.group(TIER) {
            Some(group) => group.ask(encode(&ask)).await.and_then(|bytes| decode(&bytes).ok()),
            None => match self.leader(TIER) {
                Some(leader) => self.call(&leader, &ask).await.ok(),
                None => None,
            },
        };
        entries.ok_or_else(no_leader)
    }

    pub(super) async fn all_voters(&self) -> Result<Voters, Refusal> {
        match (self.group(TIER), self.leader(TIER)) {
            (Some(_), _) => Ok(self.local_voters()),
            (None, Some(leader)) => self.call(&leader, &Ask::Voters).await.map_err(|_| no_leader()),
            (None, None) => Err(no_leader()),
        }
    }

    pub(super) fn local_voters(&self) -> Voters {
        let view = self.group(TIER).map(|g| g.status()).unwrap_or_default();
        let names = |list: &[crate::core::log::Replica]| {
            list.iter().map(|r| r.host.clone()).collect::<Vec<_>>()
        };
        Voters {
            leader: view.leader.as_ref().map(|l| l.host.clone()),
            term: view.term,
            voters: names(&view.config.voters),
            learners: names(&view.config.learners),
        }
    }

    /// Adds a host as a learner, or takes it out, if this host leads.
    pub(super) async fn local_change(&self, host: &str, add: bool) -> Submitted {
        let Some(group) = self.group(TIER) else {
            return Submitted::Refused("this host holds no log".to_owned());
        };
        let config = group.status().config;
        if !add && let Some(why) = self.strands(&config, host) {
            return Submitted::Refused(why);
        }
        let change = if add {
            let mine = self.me.clone();
            let known = self.disks().into_iter().chain(mine).find(|r| r.host == host);
            known.map(Change::AddLearner)
        } else {
            config.all().find(|r| r.host == host).cloned().map(Change::Remove)
        };
        let Some(change) = change else {
            let why = if add { "has no data folder or was not heard of" } else { "does not vote" };
            return Submitted::Refused(format!("host `{host}` {why}"));
        };
        finish(group.change(change).await)
    }

    /// Why a voter may not be taken out beside those that the document retires.
    fn strands(&self, config: &Config, host: &str) -> Option<String> {
        let retired = retired_hosts(&self.revisions.active().document().ok()?);
        let others = config.voters.iter().map(|v| &v.host).filter(|name| *name != host);
        let others: Vec<String> = others.cloned().collect();
        lockout(&retired, &others, &[])
    }

    async fn set_voters(&self, change: VoterChange) -> Result<Revision, Refusal> {
        check_id(&change.id)?;
        let VoterChange { id, operator, host, add } = change;
        let leads = self.group(TIER).is_some_and(|g| g.status().leads);
        let done = match self.leader(TIER) {
            _ if leads => self.local_change(&host, add).await,
            Some(leader) => {
                let ask = Ask::Change { host: host.clone(), add };
                self.call(&leader, &ask).await.unwrap_or(Submitted::Unknown)
            }
            None => return Err(no_leader()),
        };
        let what = format!("voters {} {host}", if add { "add" } else { "remove" });
        let (fault, refusal) = match done {
            Submitted::Done(_) => (None, None),
            Submitted::Refused(why) => {
                let refusal = Refusal::not_run(Reason::Conflict, why.clone());
                (Some(why), Some(refusal))
            }
            Submitted::Unknown => {
                let why = "no quorum answered in time; see `wisteriactl voters`";
                let refusal = Refusal::may_have_run(Reason::NoQuorum, why);
                (Some(why.to_owned()), Some(refusal))
            }
        };
        let command = Command::Voters { id, operator, what, fault };
        let noted = submit::submit(self, TIER, command, CHANGE_MAX).await;
        match refusal {
            Some(refusal) => Err(refusal),
            None => noted.map(|_| self.revisions.revision()),
        }
    }

    fn silence(&self) -> Span {
        let view = self.group(TIER).map(|g| g.status());
        // A host with a disk that the log was never given to hears of it as others do.
        let holds = |v: &ReplicaStatus| v.config.all().any(|r| Some(r) == self.me.as_ref());
        if let Some(view) = view.filter(holds) {
            return view.since_quorum;
        }
        let leader = self.leader(TIER);
        let seen = self.seen.lock();
        let heard = seen.values().filter(|s| s.here.leader.is_some()).map(|s| s.at);
        let leads = leader.and_then(|l| seen.get(&l).map(|s| s.at));
        let at = leads.or_else(|| heard.max()).unwrap_or(self.started);
        Span::from(at.elapsed())
    }
}

fn no_leader() -> Refusal {
    let detail = "no leader of the hosts that keep the tier's state is known here";
    Refusal::not_run(Reason::NoQuorum, detail)
}

impl Admin for Shared {
    fn silent(&self) -> Span {
        self.silence()
    }

    fn zone(&self, change: ZoneChange) -> BoxFuture<'_, Result<ZoneDone, Refusal>> {
        Box::pin(self.set_zone(change))
    }

    fn revisions(&self) -> BoxFuture<'_, Vec<HostRevision>> {
        Box::pin(self.all_revisions())
    }

    fn audit(&self, after: u64, limit: usize) -> BoxFuture<'_, Result<Vec<AuditEntry>, Refusal>> {
        Box::pin(self.read_audit(after, limit))
    }

    fn voters(&self) -> BoxFuture<'_, Result<Voters, Refusal>> {
        Box::pin(self.all_voters())
    }

    fn change_voters(&self, change: VoterChange) -> BoxFuture<'_, Result<Revision, Refusal>> {
        Box::pin(self.set_voters(change))
    }
}
