//! Calls of the operator API for zones, voters, revisions and the audit log.

use super::api::{Api, ApiError, ApiResult, bad_request, read_body};
use crate::core::document::ZoneState;
use crate::services::{Admin, VoterChange, ZoneChange, ZoneOutcome};
use hyper::Request;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;
use std::sync::Arc;

/// Number of audit entries returned if the call gives no limit.
const AUDIT_LIMIT: usize = 100;
/// Maximum number of audit entries in one response.
const AUDIT_LIMIT_MAX: usize = 1_000;

/// Body of a call that takes a zone out or puts it back. The type's name stays, as it is part of the
/// response to a malformed body.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Turn {
    id: String,
}

/// Body of `POST /v1/voters`, with exactly one of the two hosts.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct VoterEdit {
    id: String,
    add: Option<String>,
    remove: Option<String>,
}

/// Zone and new state in the path of a zone call; `None` for other paths.
pub fn zone_state(path: &str) -> Option<(&str, ZoneState)> {
    let (zone, verb) = path.strip_prefix("/v1/zones/")?.split_once('/')?;
    match verb {
        "out" => Some((zone, ZoneState::Out)),
        "in" => Some((zone, ZoneState::In)),
        _ => None,
    }
}

impl Api {
    pub(super) fn admin(&self) -> Result<Arc<dyn Admin>, ApiError> {
        self.find(<dyn Admin>::NAME)
    }

    pub(super) async fn set_zone_state(
        &self,
        operator: &str,
        path: &str,
        req: Request<Incoming>,
    ) -> ApiResult {
        let Some((zone, state)) = zone_state(path) else {
            return Err(bad_request("no such call".to_owned()));
        };
        let Turn { id } = read_body(req.into_body()).await?;
        let (operator, zone) = (operator.to_owned(), zone.to_owned());
        Ok(match self.admin()?.zone(ZoneChange { id, operator, zone, state }).await? {
            ZoneOutcome::Accepted(revision) => json!({ "revision": revision }),
            ZoneOutcome::Local => json!({ "local": true }),
        })
    }

    pub(super) async fn revisions(&self) -> ApiResult {
        Ok(json!(self.admin()?.revisions().await))
    }

    pub(super) async fn audit(&self, query: &str) -> ApiResult {
        let number = |name: &str, default: u64| {
            let value = query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
            let parsed = value.map_or(Ok(default), str::parse);
            parsed.map_err(|_| bad_request(format!("`{name}` takes a whole number")))
        };
        let after = number("after", 0)?;
        let limit = usize::try_from(number("limit", AUDIT_LIMIT as u64)?).unwrap_or(usize::MAX);
        Ok(json!(self.admin()?.audit(after, limit.min(AUDIT_LIMIT_MAX)).await?))
    }

    pub(super) async fn voters(&self) -> ApiResult {
        Ok(json!(self.admin()?.voters().await?))
    }

    pub(super) async fn set_voters(&self, operator: &str, req: Request<Incoming>) -> ApiResult {
        let (host, add, id) = match read_body(req.into_body()).await? {
            VoterEdit { id, add: Some(host), remove: None } => (host, true, id),
            VoterEdit { id, add: None, remove: Some(host) } => (host, false, id),
            _ => return Err(bad_request("name one host, under `add` or `remove`".to_owned())),
        };
        let change = VoterChange { id, operator: operator.to_owned(), host, add };
        let revision = self.admin()?.change_voters(change).await?;
        Ok(json!({ "revision": revision }))
    }
}
