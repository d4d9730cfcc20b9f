//! Calls about zones, voters, revisions and the trail of changes.

use super::api::{Answer, Api, Fault, bad, read};
use crate::core::document::ZoneState;
use crate::services::{Admin, VoterChange, ZoneChange, ZoneOutcome};
use hyper::Request;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;
use std::sync::Arc;

/// Entries of the trail answered when the call names no number.
const AUDIT_LIMIT: usize = 100;
/// Most entries of the trail in one answer.
const AUDIT_LIMIT_MAX: usize = 1_000;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Turn {
    id: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct VoterEdit {
    id: String,
    add: Option<String>,
    remove: Option<String>,
}

/// The zone and its new state in a path, if it is one of such a call.
pub fn zone(path: &str) -> Option<(&str, ZoneState)> {
    let (zone, verb) = path.strip_prefix("/v1/zones/")?.split_once('/')?;
    match verb {
        "out" => Some((zone, ZoneState::Out)),
        "in" => Some((zone, ZoneState::In)),
        _ => None,
    }
}

impl Api {
    pub(super) fn admin(&self) -> Result<Arc<dyn Admin>, Fault> {
        self.find(<dyn Admin>::NAME)
    }

    pub(super) async fn turn(&self, operator: &str, path: &str, req: Request<Incoming>) -> Answer {
        let Some((zone, state)) = zone(path) else { return Err(bad("no such call".to_owned())) };
        let Turn { id } = read(req.into_body()).await?;
        let (operator, zone) = (operator.to_owned(), zone.to_owned());
        Ok(match self.admin()?.zone(ZoneChange { id, operator, zone, state }).await? {
            ZoneOutcome::Accepted(revision) => json!({ "revision": revision }),
            ZoneOutcome::Local => json!({ "local": true }),
        })
    }

    pub(super) async fn revisions(&self) -> Answer {
        Ok(json!(self.admin()?.revisions().await))
    }

    pub(super) async fn audit(&self, query: &str) -> Answer {
        let number = |name: &str, default: u64| {
            let value = query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
            let parsed = value.map_or(Ok(default), str::parse);
            parsed.map_err(|_| bad(format!("`{name}` takes a whole number")))
        };
        let after = number("after", 0)?;
        let limit = usize::try_from(number("limit", AUDIT_LIMIT as u64)?).unwrap_or(usize::MAX);
        Ok(json!(self.admin()?.audit(after, limit.min(AUDIT_LIMIT_MAX)).await?))
    }

    pub(super) async fn voters(&self) -> Answer {
        Ok(json!(self.admin()?.voters().await?))
    }

    pub(super) async fn set_voters(&self, operator: &str, req: Request<Incoming>) -> Answer {
        let (host, add, id) = match read(req.into_body()).await? {
            VoterEdit { id, add: Some(host), remove: None } => (host, true, id),
            VoterEdit { id, add: None, remove: Some(host) } => (host, false, id),
            _ => return Err(bad("name one host, under `add` or `remove`".to_owned())),
        };
        let change = VoterChange { id, operator: operator.to_owned(), host, add };
        let revision = self.admin()?.change_voters(change).await?;
        Ok(json!({ "revision": revision }))
    }
}
