//! The state that the replicated log of the tier carries: the operators' document, the
//! trail of changes, the homes of zones, and the claims whose home is the whole tier.
//!
//! Every replica applies the same commands in the same order. So that hosts of different
//! versions agree, nothing is parsed or judged here that another version might judge
//! otherwise: the host that takes a change checks its document and says what is wrong.

pub mod audit;
pub mod changes;
pub mod claims;
pub mod homes;
pub mod lockout;

use self::audit::{AuditTrail, ChangeRequest};
use self::changes::{Change, ChangeOutcome, Changes};
use self::claims::{Claim, Ledger, Outcome};
use self::homes::{EpochProposal, Home, Homes};
use super::document::{Revision, ZoneState};
use super::message::{DecodeError, decode, encode};
use super::plan::Plan;
use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// Result of an accepted change in the trail.
const ACCEPTED: &str = "accepted";

/// A command with the time at the host that took it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StampedCommand {
    /// Milliseconds since 1970 by that host's clock.
    pub time_ms: u64,
    /// The command.
    pub command: Command,
}

/// What the log is asked for.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// A new document.
    Edit {
        /// The change.
        change: Change,
        /// What is wrong with the document, as its host found.
        fault: Option<String>,
        /// Zones whose state the text changes against the document it is based on.
        zones: Vec<String>,
    },
    /// A zone is taken out or put back.
    Zone {
        /// Identifier that makes a resend recognisable.
        id: String,
        /// Name of the operator.
        operator: String,
        /// Name of the zone.
        zone: String,
        /// Its new state.
        state: ZoneState,
        /// Revision in force at the host that took the call; no precondition, it tells how
        /// old the call is.
        base: Revision,
    },
    /// A change of the voters that was made or refused.
    Voters {
        /// Identifier of the change.
        id: String,
        /// Name of the operator.
        operator: String,
        /// What was asked for.
        what: String,
        /// Why it was refused.
        fault: Option<String>,
    },
    /// A claim on a key.
    Claim {
        /// The key.
        key: String,
        /// Digest of the request.
        digest: [u8; 32],
        /// Number of the claim, drawn by the claimant.
        nonce: u64,
    },
    /// What became of a claim.
    Record {
        /// The key.
        key: String,
        /// Number of the claim.
        nonce: u64,
        /// What became of it.
        outcome: Outcome,
    },
    /// A new epoch of a zone's home.
    Found(EpochProposal),
    /// A plan, to hold if its number is the highest.
    Publish(Arc<Plan>),
    /// Asks for the plan that holds, in the order of the log.
    Plan,
}

/// What a command led to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// A change.
    Change(Result<Revision, Refusal>),
    /// A claim.
    Claim(Result<Claim, Refusal>),
    /// The epochs of a zone's home, oldest first.
    Homes(Result<Vec<Home>, Refusal>),
    /// The plan that holds.
    Plan(Option<Arc<Plan>>),
    /// The revision in which a plan was published, or that was in force already.
    Published(Revision),
    /// Nothing to tell.
    Noted,
}

/// The state.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct State {
    /// Highest time of any command, in milliseconds since 1970.
    pub time_ms: u64,
    /// The document and the outcomes of changes.
    pub changes: Changes,
    /// The trail of changes.
    pub audit: AuditTrail,
    /// The claims.
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
    /// Fails for bytes that are no command; the state is unchanged then.
    pub fn apply(&mut self, bytes: &[u8]) -> Result<Reply, DecodeError> {
        let StampedCommand { time_ms, command } = decode(bytes)?;
        // Kept times never run backwards, whichever host's clock stamped the command.
        self.time_ms = self.time_ms.max(time_ms);
        Ok(match command {
            Command::Edit { change, fault, zones } => self.edit(change, fault, &zones),
            Command::Zone { id, operator, zone, state, base } => {
                let change = Change { id, operator, base, text: zone };
                self.zone(change, state)
            }
            Command::Voters { id, operator, what, fault } => {
                let result = fault.unwrap_or_else(|| ACCEPTED.to_owned());
                let base = self.changes.revision;
                self.note(ChangeRequest { operator, id, what, base }, base, result);
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
            Command::Found(ask) => Reply::Homes(self.homes.found(self.time_ms, ask)),
        })
    }

    /// The state as bytes.
    pub fn write(&self) -> Vec<u8> {
        encode(self)
    }

    /// Reads a state and checks its trail of changes; no bytes are the first state.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are no state or the trail was altered.
    pub fn read(bytes: &[u8]) -> Result<Self> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        let state: Self = decode(bytes)?;
        state.audit.verify()?;
        Ok(state)
    }

    fn edit(&mut self, change: Change, fault: Option<String>, zones: &[String]) -> Reply {
        let asked = ChangeRequest {
            operator: change.operator.clone(),
            id: change.id.clone(),
            what: "inventory".to_owned(),
            base: change.base,
        };
        if let Some(done) = self.told(&change.id) {
            return Reply::Change(done.into());
        }
        let known = self.changes.has_outcome(&change.id);
        let done = self.changes.edit(change, fault, zones);
        self.finish(asked, known, done)
    }

    fn publish(&mut self, plan: Arc<Plan>) -> Reply {
        let number = plan.number;
        if self.changes.publish(plan) {
            let (base, what) = (self.changes.revision - 1, format!("plan {number}"));
            let asked = ChangeRequest { operator: String::new(), id: what.clone(), what, base };
            self.note(asked, self.changes.revision, ACCEPTED.to_owned());
        }
        Reply::Published(self.changes.revision)
    }

    fn zone(&mut self, change: Change, state: ZoneState) -> Reply {
        let verb = if state == ZoneState::Out { "out" } else { "in" };
        let asked = ChangeRequest {
            operator: change.operator.clone(),
            id: change.id.clone(),
            what: format!("zone {} {verb}", change.text),
            base: change.base,
        };
        if let Some(done) = self.told(&change.id) {
            return Reply::Change(done.into());
        }
        let known = self.changes.has_outcome(&change.id);
        let done = self.changes.zone(change, state);
        self.finish(asked, known, done)
    }

    /// The outcome of a change that is remembered by the trail alone.
    fn told(&self, id: &str) -> Option<ChangeOutcome> {
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

    /// Notes a change unless it is a resend of one that stands in the trail.
    fn finish(&mut self, asked: ChangeRequest, known: bool, done: ChangeOutcome) -> Reply {
        if !known {
            let result = match &done {
                ChangeOutcome::Accepted(_) => ACCEPTED.to_owned(),
                ChangeOutcome::Refused(refusal) => refusal.to_string(),
            };
            self.note(asked, self.changes.revision, result);
        }
        Reply::Change(done.into())
    }

    fn note(&mut self, asked: ChangeRequest, revision: Revision, result: String) {
        self.audit.append(self.time_ms, asked, revision, result);
    }
}
