//! The state machine replicated by the log of the tier: the operators' document, the audit trail
//! of changes, the homes of zones, and the claims whose home is the whole tier.
//!
//! Every replica applies the same commands in the same order. Nothing is parsed or validated while
//! a command is applied, since hosts of different versions could reach different results: the host
//! that receives a change validates its document and puts the error into the command.

pub mod audit;
pub mod changes;
pub mod claims;
pub mod currency;
pub mod homes;
pub mod lockout;
pub mod plan_change;
pub mod settled;

use self::audit::{AuditTrail, ChangeRequest};
use self::changes::{Change, ChangeOutcome, Changes};
use self::claims::{Claim, Ledger, Outcome};
use self::homes::{EpochProposal, HomeEpoch, Homes};
use super::document::{Revision, ZoneState};
use super::message::{DecodeError, decode, encode};
use super::plan::Plan;
use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// Result of an accepted change in the audit trail.
const ACCEPTED: &str = "accepted";

/// A command with the time at the host that submitted it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StampedCommand {
    /// Milliseconds since 1970 by that host's clock.
    pub time_ms: u64,
    /// The command.
    pub command: Command,
}

/// A command of the replicated log.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Replaces the document.
    Edit {
        /// The change.
        change: Change,
        /// Validation error of the document, found by the host that received it.
        fault: Option<String>,
        /// Zones whose state differs from that in the document it is based on.
        zones: Vec<String>,
    },
    /// Takes a zone out of service or puts it back.
    Zone {
        /// Identifier by which a resent change is recognized.
        id: String,
        /// Name of the operator.
        operator: String,
        /// Name of the zone.
        zone: String,
        /// Its new state.
        state: ZoneState,
        /// Revision in force at the host that received the call. It is not a precondition but
        /// tells how old the call is.
        base: Revision,
        /// Newest revision that the caller certainly had regard to, if the call has no identifier of
        /// its own: it may be a late copy, and is refused if the zone was changed since. Older
        /// releases ignore the field.
        #[serde(default)]
        seen: Option<Revision>,
    },
    /// Adds a change of voters that was made or refused to the audit trail.
    Voters {
        /// Identifier of the change.
        id: String,
        /// Name of the operator.
        operator: String,
        /// The requested change.
        what: String,
        /// Reason for the refusal, if it was refused.
        fault: Option<String>,
    },
    /// Claims a key.
    Claim {
        /// The key.
        key: String,
        /// Digest of the request.
        digest: [u8; 32],
        /// Random number of the claim, chosen by the claimant.
        nonce: u64,
    },
    /// Records the outcome of a claim.
    Record {
        /// The key.
        key: String,
        /// Number of the claim.
        nonce: u64,
        /// The outcome.
        outcome: Outcome,
    },
    /// Creates an epoch of a zone's home.
    Found(EpochProposal),
    /// Publishes a plan; it becomes current if its number is the highest.
    Publish(Arc<Plan>),
    /// Reads the current plan; as a command of the log, the read is linearizable.
    Plan,
}

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// Outcome of a change.
    Change(Result<Revision, Refusal>),
    /// Response to a claim.
    Claim(Result<Claim, Refusal>),
    /// The epochs of a zone's home, oldest first.
    Homes(Result<Vec<HomeEpoch>, Refusal>),
    /// The current plan.
    Plan(Option<Arc<Plan>>),
    /// The revision in force, after a plan was published or ignored as old.
    Published(Revision),
    /// No result.
    Noted,
}

/// The replicated state of the tier.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct State {
    /// Highest time of any command applied, in milliseconds since 1970.
    pub time_ms: u64,
    /// The document and the outcomes of changes.
    pub changes: Changes,
    /// The audit trail of changes.
    pub audit: AuditTrail,
    /// The claims whose home is the whole tier.
    pub claims: Ledger,
    /// The homes of zones.
    #[serde(default)]
    pub homes: Homes,
}

impl State {
    /// Applies one command.
    ///
    /// # Errors
    ///
    /// Fails if the bytes do not decode as a command; the state is then unchanged.
    pub fn apply(&mut self, bytes: &[u8]) -> Result<Reply, DecodeError> {
        let StampedCommand { time_ms, command } = decode(bytes)?;
        // Time never runs backwards, whichever host's clock stamped the command.
        self.time_ms = self.time_ms.max(time_ms);
        Ok(match command {
            Command::Edit { change, fault, zones } => self.edit(change, fault, &zones),
            Command::Zone { id, operator, zone, state, base, seen } => {
                let change = Change { id, operator, base, text: zone };
                self.set_zone(change, state, seen)
            }
            Command::Voters { id, operator, what, fault } => {
                let result = fault.unwrap_or_else(|| ACCEPTED.to_owned());
                let base = self.changes.revision;
                self.append_audit(ChangeRequest { operator, id, what, base }, base, result);
                Reply::Noted
            }
            Command::Claim { key, digest, nonce } => {
                Reply::Claim(self.claims.claim(self.time_ms, &key, digest, nonce))
            }
            Command::Record { key, nonce, outcome } => {
                self.claims.record(&key, nonce, outcome);
                Reply::Noted
            }
            Command::Publish(plan) => self.publish(plan),
            Command::Plan => Reply::Plan(self.changes.plan().cloned()),
            Command::Found(proposal) => {
                Reply::Homes(self.homes.create_epoch(self.time_ms, proposal))
            }
        })
    }

    /// Encodes the state.
    pub fn write(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a state and verifies its audit trail; empty input stands for the initial state.
    ///
    /// # Errors
    ///
    /// Fails if the bytes do not decode or the audit trail was altered.
    pub fn read(bytes: &[u8]) -> Result<Self> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        let state: Self = decode(bytes)?;
        state.audit.verify()?;
        Ok(state)
    }

    fn edit(&mut self, change: Change, fault: Option<String>, zones: &[String]) -> Reply {
        let request = ChangeRequest {
            operator: change.operator.clone(),
            id: change.id.clone(),
            what: "inventory".to_owned(),
            base: change.base,
        };
        if let Some(outcome) = self.audited_outcome(&change.id) {
            return Reply::Change(outcome.into());
        }
        let resent = self.changes.has_outcome(&change.id);
        let outcome = self.changes.edit(change, fault, zones);
        self.finish(request, resent, outcome)
    }

    fn publish(&mut self, plan: Arc<Plan>) -> Reply {
        let number = plan.number;
        if self.changes.publish(plan) {
            let (base, what) = (self.changes.revision - 1, format!("plan {number}"));
            let request = ChangeRequest { operator: String::new(), id: what.clone(), what, base };
            self.append_audit(request, self.changes.revision, ACCEPTED.to_owned());
        }
        Reply::Published(self.changes.revision)
    }

    fn set_zone(&mut self, change: Change, state: ZoneState, seen: Option<Revision>) -> Reply {
        let verb = if state == ZoneState::Out { "out" } else { "in" };
        let request = ChangeRequest {
            operator: change.operator.clone(),
            id: change.id.clone(),
            what: format!("zone {} {verb}", change.text),
            base: change.base,
        };
        if let Some(outcome) = self.audited_outcome(&change.id) {
            return Reply::Change(outcome.into());
        }
        let resent = self.changes.has_outcome(&change.id);
        let outcome = self.changes.set_zone(change, state, seen);
        self.finish(request, resent, outcome)
    }

    /// The outcome of a change that only the audit trail still has.
    fn audited_outcome(&self, id: &str) -> Option<ChangeOutcome> {
        if self.changes.has_outcome(id) {
            return None;
        }
        let entry = self.audit.find(id)?;
        Some(if entry.result == ACCEPTED {
            ChangeOutcome::Accepted(entry.revision)
        } else {
            let detail =
                format!("as entry {} of the audit trail says: {}", entry.seq, entry.result);
            ChangeOutcome::Refused(Refusal::may_have_run(Reason::Conflict, detail))
        })
    }

    /// Adds a change to the audit trail unless it is a resend, and returns its outcome.
    fn finish(&mut self, request: ChangeRequest, resent: bool, outcome: ChangeOutcome) -> Reply {
        if !resent {
            let result = match &outcome {
                ChangeOutcome::Accepted(_) => ACCEPTED.to_owned(),
                ChangeOutcome::Refused(refusal) => refusal.to_string(),
            };
            self.append_audit(request, self.changes.revision, result);
        }
        Reply::Change(outcome.into())
    }

    fn append_audit(&mut self, request: ChangeRequest, revision: Revision, result: String) {
        self.audit.append(self.time_ms, request, revision, result);
    }
}
