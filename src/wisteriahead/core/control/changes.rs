//! The document in force, and what became of the changes that were asked for.

use crate::core::document::{Admit, Document, Revision, Zone, ZoneState};
use crate::core::plan::Plan;
use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// Most outcomes of changes remembered.
pub const IDS_MAX: usize = 1024;
/// Most bytes of a change's identifier.
pub const ID_MAX_BYTES: usize = 128;
/// Changes of zones that hosts are told of, so that a host drops its own mark for them.
const CARRIED_MAX: usize = 64;

/// A change asked for by an operator.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Change {
    /// Identifier that makes a resend recognisable.
    pub id: String,
    /// Name of the operator.
    pub operator: String,
    /// Revision that the operator edited; the change is refused if another is in force.
    pub base: Revision,
    /// The new document as TOML, or the name of a zone.
    pub text: String,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeOutcome {
    /// It is in force with this revision.
    Accepted(Revision),
    /// It was refused.
    Refused(Refusal),
}

impl From<ChangeOutcome> for Result<Revision, Refusal> {
    fn from(done: ChangeOutcome) -> Self {
        match done {
            ChangeOutcome::Accepted(revision) => Ok(revision),
            ChangeOutcome::Refused(refusal) => Err(refusal),
        }
    }
}

/// What is in force, as hosts tell each other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveRevision {
    /// Revision; it rises with each accepted change.
    pub revision: Revision,
    /// Operator of the last change.
    pub operator: String,
    /// The document as the operators wrote it.
    pub text: Arc<str>,
    /// States of zones that were set without an edit, in place of the document's.
    pub zones: IndexMap<String, ZoneState>,
    /// Identifiers of the last changes of zones.
    pub carried: Vec<String>,
    /// The plan, where the tier is run by one.
    #[serde(default)]
    pub plan: Option<Arc<Plan>>,
}

impl ActiveRevision {
    /// The document with the zones' states put in.
    ///
    /// # Errors
    ///
    /// Fails when the document is faulty, which a host of another version may have let in.
    pub fn document(&self) -> Result<Document, String> {
        let mut document = Document::read(&self.text)?;
        for zone in &mut document.zones {
            if let Some(&state) = self.zones.get(&zone.name) {
                zone.state = state;
            }
        }
        if self.plan.is_some() {
            self.stand_in(&mut document);
        }
        Ok(document)
    }

    /// Has a plan stand in for the inventory: endpoints say themselves where they stand.
    fn stand_in(&self, document: &mut Document) {
        document.rules.admit = Admit::Any;
        for (name, &state) in &self.zones {
            if document.zone(name).is_none() {
                let zone = Zone { name: name.clone(), region: String::new(), state };
                document.zones.push(zone);
            }
        }
    }
}

/// The document and the outcomes of the last changes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Changes {
    /// Revision in force.
    pub revision: Revision,
    operator: String,
    text: Arc<str>,
    zones: IndexMap<String, ZoneState>,
    ids: IndexMap<String, ChangeOutcome>,
    carried: Vec<String>,
    #[serde(default)]
    plan: Option<Arc<Plan>>,
    /// Highest revision at which an outcome that is forgotten now was reached.
    forgotten: Option<Revision>,
}

impl Changes {
    /// What is in force.
    pub fn active(&self) -> ActiveRevision {
        ActiveRevision {
            revision: self.revision,
            operator: self.operator.clone(),
            text: self.text.clone(),
            zones: self.zones.clone(),
            carried: self.carried.clone(),
            plan: self.plan.clone(),
        }
    }

    /// Whether the outcome of a change is remembered.
    pub fn has_outcome(&self, id: &str) -> bool {
        self.ids.contains_key(id)
    }

    /// Accepts or refuses a new document; a resend gets its first outcome.
    pub fn edit(
        &mut self,
        change: Change,
        fault: Option<String>,
        zones: &[String],
    ) -> ChangeOutcome {
        if let Some(done) = self.ids.get(&change.id) {
            return done.clone();
        }
        if self.forgotten.is_some_and(|at| change.base <= at) {
            return ChangeOutcome::Refused(unknown(&change));
        }
        let refusal = if change.base != self.revision {
            Some(self.conflict(&change))
        } else {
            fault.map(|f| Refusal::not_run(Reason::BadRequest, f))
        };
        if let Some(refusal) = refusal {
            return self.remember(change.id, ChangeOutcome::Refused(refusal));
        }
        // An edit of a zone's state in the text is newer than a state set without one.
        self.zones.retain(|zone, _| !zones.contains(zone));
        self.text = change.text.into();
        self.accept(change.id, change.operator)
    }

    /// Sets the state of the zone named by the change's text; a resend gets its first
    /// outcome, and whatever is in force is no conflict.
    pub fn zone(&mut self, change: Change, state: ZoneState) -> ChangeOutcome {
        if let Some(done) = self.ids.get(&change.id) {
            return done.clone();
        }
        if self.forgotten.is_some_and(|at| change.base <= at) {
            return ChangeOutcome::Refused(unknown(&change));
        }
        let Change { id, operator, text: zone, .. } = change;
        self.zones.insert(zone, state);
        self.carried.push(id.clone());
        let old = self.carried.len().saturating_sub(CARRIED_MAX);
        self.carried.drain(..old);
        self.accept(id, operator)
    }

    /// The plan that holds.
    pub fn plan(&self) -> Option<&Arc<Plan>> {
        self.plan.as_ref()
    }

    /// Has a plan hold if its number is higher than that of the one that does; says whether it
    /// took its place.
    pub fn publish(&mut self, plan: Arc<Plan>) -> bool {
        let higher = self.plan.as_ref().is_none_or(|held| held.number < plan.number);
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

    fn remember(&mut self, id: String, done: ChangeOutcome) -> ChangeOutcome {
        self.ids.insert(id, done.clone());
        if self.ids.len() > IDS_MAX
            && let Some((_, ChangeOutcome::Accepted(at))) = self.ids.shift_remove_index(0)
        {
            // That change was based on the revision before its own.
            self.forgotten = Some(at.saturating_sub(1));
        }
        done
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

fn unknown(change: &Change) -> Refusal {
    let detail = format!(
        "the change is based on revision {}, and the outcomes of changes that old are forgotten: \
         it may have been accepted; look it up in the audit trail",
        change.base
    );
    Refusal::may_have_run(Reason::Conflict, detail)
}
