//! Operator calls other than edits of the document: zone states, revisions, the audit log and
//! voters.

use super::bootstrap::TIER_GROUP;
use super::submit::{self, to_submit_result};
use super::wire::{Request, SubmitResult, Voters, ZoneOverride};
use super::{CHANGE_TIMEOUT, Shared, check_id};
use crate::core::control::Command;
use crate::core::control::audit::AuditEntry;
use crate::core::control::lockout::{lockout, retired_hosts};
use crate::core::document::{Revision, ZoneState};
use crate::core::log::{Change, Config};
use crate::core::message::{decode, encode};
use crate::prelude::*;
use crate::services::replica::ReplicaStatus;
use crate::services::{Admin, HostRevision, VoterChange, ZoneChange, ZoneOutcome};
use futures::future::{BoxFuture, join_all};

/// Time allowed for a quorum to commit that this host's own zone is taken out; after it, the zone
/// is overridden locally.
const ZONE_TIMEOUT: Span = Span::millis(2_500);

impl Shared {
    async fn set_zone(&self, change: ZoneChange) -> Result<ZoneOutcome, Refusal> {
        check_id(&change.id)?;
        let ZoneChange { id, operator, zone, state } = change;
        let active = self.revisions.active();
        let listed = active.document().is_ok_and(|d| d.zone(&zone).is_some());
        if !listed {
            let detail = format!("zone `{zone}` is not listed in revision {}", active.revision);
            return Err(Refusal::not_run(Reason::BadRequest, detail));
        }
        let base = active.revision;
        let zone_override =
            ZoneOverride { id: id.clone(), operator: operator.clone(), zone: zone.clone(), base };
        let local = state == ZoneState::Out && zone == self.peers.zone();
        let bound = if local { ZONE_TIMEOUT } else { CHANGE_TIMEOUT };
        let command = Command::Zone { id, operator, zone, state, base, seen: None };
        match self.change(command, bound).await {
            Ok(revision) => Ok(ZoneOutcome::Accepted(revision)),
            Err(refusal) if local && refusal.reason == Reason::NoQuorum => {
                self.override_locally(&zone_override)
            }
            Err(refusal) => Err(refusal),
        }
    }

    /// Takes this host's own zone out without a quorum, here and at the reachable hosts of the zone.
    fn override_locally(&self, zone_override: &ZoneOverride) -> Result<ZoneOutcome, Refusal> {
        if !self.revisions.add_override(zone_override) {
            let detail = "the mark could not be kept on disk; ask another host of the zone";
            return Err(Refusal::may_have_run(Reason::Internal, detail));
        }
        self.broadcast_status();
        Ok(ZoneOutcome::Local)
    }

    async fn all_revisions(&self) -> Vec<HostRevision> {
        let own = HostRevision {
            host: self.peers.host().to_owned(),
            zone: self.peers.zone().to_owned(),
            revision: self.revisions.revision(),
            age_ms: 0,
        };
        let hosts = self.peers.others();
        let others = join_all(hosts.iter().map(|h| self.revision_of(h))).await;
        std::iter::once(own).chain(others.into_iter().flatten()).collect()
    }

    /// A host's revision: current if the host answers, otherwise the last one that it reported.
    async fn revision_of(&self, host: &str) -> Option<HostRevision> {
        let current = self.call::<Option<Revision>>(host, &Request::Revision).await.ok().flatten();
        let statuses = self.statuses.lock();
        let known = statuses.get(host);
        let (zone, last, age) = match known {
            Some(s) => {
                (s.status.zone.clone(), s.status.revision, Span::from(s.received_at.elapsed()))
            }
            None => (String::new(), 0, Span::from(self.started.elapsed())),
        };
        let age_ms = if current.is_some() { 0 } else { age.as_millis() };
        Some(HostRevision {
            host: host.to_owned(),
            zone,
            revision: current.unwrap_or(last),
            age_ms,
        })
    }

    async fn read_audit(&self, after: u64, limit: usize) -> Result<Vec<AuditEntry>, Refusal> {
        let request = Request::Audit { after, limit };
        let entries = match self.group(TIER_GROUP) {
            Some(group) => {
                group.query(encode(&request)).await.and_then(|bytes| decode(&bytes).ok())
            }
            None => match self.leader(TIER_GROUP) {
                Some(leader) => self.call(&leader, &request).await.ok(),
                None => None,
            },
        };
        entries.ok_or_else(no_leader)
    }

    pub(super) async fn all_voters(&self) -> Result<Voters, Refusal> {
        match (self.group(TIER_GROUP), self.leader(TIER_GROUP)) {
            (Some(_), _) => Ok(self.local_voters()),
            (None, Some(leader)) => {
                self.call(&leader, &Request::Voters).await.map_err(|_| no_leader())
            }
            (None, None) => Err(no_leader()),
        }
    }

    pub(super) fn local_voters(&self) -> Voters {
        let status = self.group(TIER_GROUP).map(|g| g.status()).unwrap_or_default();
        let hosts = |list: &[crate::core::log::Replica]| {
            list.iter().map(|r| r.host.clone()).collect::<Vec<_>>()
        };
        Voters {
            leader: status.leader.as_ref().map(|l| l.host.clone()),
            term: status.term,
            voters: hosts(&status.config.voters),
            learners: hosts(&status.config.learners),
        }
    }

    /// Adds a host as a learner, or removes it; refused unless this host is the leader.
    pub(super) async fn change_voters_here(&self, host: &str, add: bool) -> SubmitResult {
        let Some(group) = self.group(TIER_GROUP) else {
            return SubmitResult::Refused("this host holds no log".to_owned());
        };
        let config = group.status().config;
        if !add && let Some(why) = self.removal_conflict(&config, host) {
            return SubmitResult::Refused(why);
        }
        let change = if add {
            let own = self.me.clone();
            let known = self.recent_replicas().into_iter().chain(own).find(|r| r.host == host);
            known.map(Change::AddLearner)
        } else {
            config.all().find(|r| r.host == host).cloned().map(Change::Remove)
        };
        let Some(change) = change else {
            let why = if add { "has no data folder or was not heard of" } else { "does not vote" };
            return SubmitResult::Refused(format!("host `{host}` {why}"));
        };
        to_submit_result(group.change(change).await)
    }

    /// Why a voter may not be removed: the remaining voters that the document does not retire would
    /// be less than a quorum. `None` if it may.
    fn removal_conflict(&self, config: &Config, host: &str) -> Option<String> {
        let retired = retired_hosts(&self.revisions.active().document().ok()?);
        let others = config.voters.iter().map(|v| &v.host).filter(|name| *name != host);
        let others: Vec<String> = others.cloned().collect();
        lockout(&retired, &others, &[])
    }

    async fn set_voters(&self, change: VoterChange) -> Result<Revision, Refusal> {
        check_id(&change.id)?;
        let VoterChange { id, operator, host, add } = change;
        let leads = self.group(TIER_GROUP).is_some_and(|g| g.status().leads);
        let result = match self.leader(TIER_GROUP) {
            _ if leads => self.change_voters_here(&host, add).await,
            Some(leader) => {
                let request = Request::Change { host: host.clone(), add };
                self.call(&leader, &request).await.unwrap_or(SubmitResult::Unknown)
            }
            None => return Err(no_leader()),
        };
        let what = format!("voters {} {host}", if add { "add" } else { "remove" });
        let (fault, refusal) = match result {
            SubmitResult::Done(_) => (None, None),
            SubmitResult::Refused(why) => {
                let refusal = Refusal::not_run(Reason::Conflict, why.clone());
                (Some(why), Some(refusal))
            }
            SubmitResult::Unknown => {
                let why = "no quorum answered in time; see `wisteriactl voters`";
                let refusal = Refusal::may_have_run(Reason::NoQuorum, why);
                (Some(why.to_owned()), Some(refusal))
            }
        };
        let command = Command::Voters { id, operator, what, fault };
        let recorded = submit::submit(self, TIER_GROUP, command, CHANGE_TIMEOUT).await;
        match refusal {
            Some(refusal) => Err(refusal),
            None => recorded.map(|_| self.revisions.revision()),
        }
    }

    fn time_since_quorum(&self) -> Span {
        let status = self.group(TIER_GROUP).map(|g| g.status());
        // A host with a disk that is not yet a replica learns of the quorum from the status
        // messages of other hosts, like a host without a disk.
        let is_member = |v: &ReplicaStatus| v.config.all().any(|r| Some(r) == self.me.as_ref());
        if let Some(status) = status.filter(is_member) {
            return status.since_quorum;
        }
        let leader = self.leader(TIER_GROUP);
        let statuses = self.statuses.lock();
        let heard = statuses.values().filter(|s| s.status.leader.is_some()).map(|s| s.received_at);
        let leads = leader.and_then(|l| statuses.get(&l).map(|s| s.received_at));
        let at = leads.or_else(|| heard.max()).unwrap_or(self.started);
        Span::from(at.elapsed())
    }
}

fn no_leader() -> Refusal {
    let detail = "no leader of the hosts that keep the tier's state is known here";
    Refusal::not_run(Reason::NoQuorum, detail)
}

impl Admin for Shared {
    fn quorum_silence(&self) -> Span {
        self.time_since_quorum()
    }

    fn zone(&self, change: ZoneChange) -> BoxFuture<'_, Result<ZoneOutcome, Refusal>> {
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
