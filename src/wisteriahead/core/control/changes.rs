//! The document in force and the outcomes of recent changes, which make resent changes idempotent.

use crate::core::document::{Admit, Document, Revision, Zone, ZoneState};
use crate::core::plan::Plan;
use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// Maximum number of outcomes remembered.
pub const IDS_MAX: usize = 1024;
/// Maximum length of a change's identifier, in bytes.
pub const ID_MAX_BYTES: usize = 128;
/// Maximum number of zone changes listed in an [`ActiveRevision`]. A host that took a zone out by
/// itself drops that local override once its change is listed.
const CARRIED_MAX: usize = 64;

/// A change requested by an operator.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Change {
    /// Identifier by which a resent change is recognized.
    pub id: String,
    /// Name of the operator.
    pub operator: String,
    /// Revision that the operator edited; an edit is refused if another one is in force.
    pub base: Revision,
    /// The new document as TOML, or the name of a zone.
    pub text: String,
}

/// The outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeOutcome {
    /// It took effect with this revision.
    Accepted(Revision),
    /// It was refused.
    Refused(Refusal),
}

impl From<ChangeOutcome> for Result<Revision, Refusal> {
    fn from(outcome: ChangeOutcome) -> Self {
        match outcome {
            ChangeOutcome::Accepted(revision) => Ok(revision),
            ChangeOutcome::Refused(refusal) => Err(refusal),
        }
    }
}

/// The configuration in force, as hosts send it to each other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveRevision {
    /// Revision, incremented by each accepted change.
    pub revision: Revision,
    /// Operator who made the last change.
    pub operator: String,
    /// The document as the operators wrote it, in TOML.
    pub text: Arc<str>,
    /// Zone states set by zone changes; they override those in the document.
    pub zones: IndexMap<String, ZoneState>,
    /// Revision of the last zone change of each zone.
    #[serde(default)]
    pub zone_changes: IndexMap<String, Revision>,
    /// Identifiers of the latest zone changes, oldest first.
    pub carried: Vec<String>,
    /// The current plan, if the tier is run by a plan. The text as written by the operators is kept in the
    /// log alone.
    #[serde(default)]
    pub plan: Option<Arc<Plan>>,
}

impl ActiveRevision {
    /// The parsed document with the zone states and the plan applied.
    ///
    /// # Errors
    ///
    /// Fails if the document is invalid; a host of another version may have accepted it.
    pub fn document(&self) -> Result<Document, String> {
        let mut document = Document::read(&self.text)?;
        for zone in &mut document.zones {
            if let Some(&state) = self.zones.get(&zone.name) {
                zone.state = state;
            }
        }
        document.zone_changes = self.zone_changes.clone();
        if self.plan.is_some() {
            self.replace_inventory(&mut document);
        }
        Ok(document)
    }

    /// Admits endpoints that the inventory does not list, and adds zones that have a state but are
    /// not in the document: under a plan, endpoints announce their own location.
    fn replace_inventory(&self, document: &mut Document) {
        document.rules.admit = Admit::Any;
        for (name, &state) in &self.zones {
            if document.zone(name).is_none() {
                let zone = Zone { name: name.clone(), region: String::new(), state };
                document.zones.push(zone);
            }
        }
    }
}

/// The document in force and the outcomes of recent changes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Changes {
    /// Revision in force.
    pub revision: Revision,
    operator: String,
    text: Arc<str>,
    zones: IndexMap<String, ZoneState>,
    /// Revision of the last zone change of each zone; edits do not count, which list added zones too.
    #[serde(default)]
    zone_changes: IndexMap<String, Revision>,
    ids: IndexMap<String, ChangeOutcome>,
    carried: Vec<String>,
    #[serde(default)]
    plan: Option<Arc<Plan>>,
    /// Revision before that of the newest accepted change whose outcome was dropped; changes based
    /// on it or on an older revision may be resends.
    forgotten: Option<Revision>,
}

impl Changes {
    /// The configuration in force.
    pub fn active(&self) -> ActiveRevision {
        ActiveRevision {
            revision: self.revision,
            operator: self.operator.clone(),
            text: self.text.clone(),
            zones: self.zones.clone(),
            zone_changes: self.zone_changes.clone(),
            carried: self.carried.clone(),
            plan: self.plan.as_ref().map(|plan| Arc::new(plan.without_source())),
        }
    }

    /// Whether the outcome of a change is remembered.
    pub fn has_outcome(&self, id: &str) -> bool {
        self.ids.contains_key(id)
    }

    /// Accepts or refuses a new document; a resend gets the first outcome. `fault` is a validation
    /// error, and `zones` names the zones whose state the edit changes.
    pub fn edit(
        &mut self,
        change: Change,
        fault: Option<String>,
        zones: &[String],
    ) -> ChangeOutcome {
        if let Some(outcome) = self.ids.get(&change.id) {
            return outcome.clone();
        }
        if self.forgotten.is_some_and(|at| change.base <= at) {
            return ChangeOutcome::Refused(outcome_forgotten(&change));
        }
        let refusal = if change.base != self.revision {
            Some(self.conflict(&change))
        } else {
            fault.map(|f| Refusal::not_run(Reason::BadRequest, f))
        };
        if let Some(refusal) = refusal {
            return self.remember(change.id, ChangeOutcome::Refused(refusal));
        }
        // A zone state edited in the document replaces one set earlier by a zone change.
        self.zones.retain(|zone, _| !zones.contains(zone));
        self.text = change.text.into();
        self.accept(change.id, change.operator)
    }

    /// Sets the state of the zone named by the change's text; a resend gets the first outcome.
    /// Unlike an edit, it applies whatever revision is in force, unless the zone was changed after the
    /// revision `seen`: then the change may be a late copy, and is refused. If the zone is in that state
    /// already, such a change is accepted without effect.
    pub fn set_zone(
        &mut self,
        change: Change,
        state: ZoneState,
        seen: Option<Revision>,
    ) -> ChangeOutcome {
        if let Some(outcome) = self.ids.get(&change.id) {
            return outcome.clone();
        }
        if self.forgotten.is_some_and(|at| change.base <= at) {
            return ChangeOutcome::Refused(outcome_forgotten(&change));
        }
        let Change { id, operator, text: zone, .. } = change;
        if let Some(seen) = seen {
            if self.zones.get(&zone) == Some(&state) {
                return self.remember(id, ChangeOutcome::Accepted(self.revision));
            }
            if let Some(&changed) = self.zone_changes.get(&zone).filter(|at| **at > seen) {
                let detail = format!(
                    "revision {changed} changed zone `{zone}`, and this host has not known it for \
                     long enough to tell that the order is not an older one; give it again"
                );
                let refusal = Refusal::not_run(Reason::Conflict, detail);
                return self.remember(id, ChangeOutcome::Refused(refusal));
            }
        }
        self.zone_changes.insert(zone.clone(), self.revision + 1);
        self.zones.insert(zone, state);
        self.carried.push(id.clone());
        let old = self.carried.len().saturating_sub(CARRIED_MAX);
        self.carried.drain(..old);
        self.accept(id, operator)
    }

    /// The current plan.
    pub fn plan(&self) -> Option<&Arc<Plan>> {
        self.plan.as_ref()
    }

    /// Makes a plan current if its number is higher than that of the current one; returns whether
    /// it did.
    pub fn publish(&mut self, plan: Arc<Plan>) -> bool {
        let higher = self.plan.as_ref().is_none_or(|current| current.number < plan.number);
        if higher {
            self.plan = Some(plan);
            self.revision += 1;
        }
        higher
    }

    fn accept(&mut self, id: String, operator: String) -> ChangeOutcome {
        self.revision += 1;
        self.operator = operator;
        self.remember(id, ChangeOutcome::Accepted(self.revision))
    }

    fn remember(&mut self, id: String, outcome: ChangeOutcome) -> ChangeOutcome {
        self.ids.insert(id, outcome.clone());
        if self.ids.len() > IDS_MAX
            && let Some((_, ChangeOutcome::Accepted(at))) = self.ids.shift_remove_index(0)
        {
            // An accepted edit was based on the revision just before its own.
            self.forgotten = Some(at.saturating_sub(1));
        }
        outcome
    }

    fn conflict(&self, change: &Change) -> Refusal {
        let by = match self.revision {
            0 => "the empty document".to_owned(),
            _ => format!("by operator `{}`", self.operator),
        };
        let detail = format!(
            "revision {} is in force, {by}, but the change is based on {}; get it and edit anew",
            self.revision, change.base
        );
        Refusal::not_run(Reason::Conflict, detail)
    }
}

/// The refusal of a change so old that the outcome of an earlier attempt may be forgotten.
fn outcome_forgotten(change: &Change) -> Refusal {
    let detail = format!(
        "the change is based on revision {}, and the outcomes of changes that old are forgotten: \
         it may have been accepted; look it up in the audit trail",
        change.base
    );
    Refusal::may_have_run(Reason::Conflict, detail)
}
