//! What differs between two revisions of the configuration that is in force.
//!
//! Answers the load of plans in quick succession: a whole plan takes every host milliseconds to decode, and
//! most plans change a few routes.

use super::changes::ActiveRevision;
use crate::core::document::{Revision, ZoneState};
use crate::core::plan::{CallerLimits, Plan, Route, Service};
use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// A route of the new plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteChange {
    /// The route at this position of the old plan.
    Same(u32),
    /// Another one.
    New(Box<Route>),
}

/// The differences between two plans.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanChange {
    /// Number of the old plan.
    pub base: u64,
    /// Number of the new plan.
    pub number: u64,
    /// All routes of the new plan, in its order.
    pub routes: Vec<RouteChange>,
    /// Services that the new plan adds, changes or, if there is none, removes.
    pub services: Vec<(Arc<str>, Option<Service>)>,
    /// Limits of the new plan.
    pub limits: CallerLimits,
}

impl PlanChange {
    /// The differences between two plans; the text as written by the operators is not among them.
    pub fn between(old: &Plan, new: &Plan) -> Self {
        let positions: IndexMap<&Arc<str>, u32> =
            (0..).zip(&old.routes).map(|(at, route)| (&route.name, at)).collect();
        let route = |route: &Route| match positions.get(&route.name) {
            Some(&at) if old.routes[at as usize] == *route => RouteChange::Same(at),
            _ => RouteChange::New(Box::new(route.clone())),
        };
        let changed = new.services.iter().filter(|(name, s)| old.services.get(*name) != Some(s));
        let removed = old.services.keys().filter(|name| !new.services.contains_key(*name));
        let services = changed
            .map(|(name, s)| (name.clone(), Some(s.clone())))
            .chain(removed.map(|name| (name.clone(), None)));
        Self {
            base: old.number,
            number: new.number,
            routes: new.routes.iter().map(route).collect(),
            services: services.collect(),
            limits: new.limits,
        }
    }

    /// The new plan, without the text as written by the operators.
    ///
    /// # Errors
    ///
    /// Fails if `old` is not the plan that the change is based on.
    pub fn apply(self, old: &Plan) -> Result<Plan, String> {
        if old.number != self.base {
            return Err(format!("the change is based on plan {}, not {}", self.base, old.number));
        }
        let route = |change| match change {
            RouteChange::Same(at) => old.routes.get(at as usize).cloned(),
            RouteChange::New(route) => Some(*route),
        };
        let routes: Option<Vec<Route>> = self.routes.into_iter().map(route).collect();
        let routes = routes.ok_or("the change names a route that the old plan lacks")?;
        let mut services = old.services.clone();
        for (name, service) in self.services {
            match service {
                Some(service) => drop(services.insert(name, service)),
                None => drop(services.swap_remove(&name)),
            }
        }
        let (number, limits, source) = (self.number, self.limits, Arc::default());
        Ok(Plan { number, routes, services, limits, source })
    }
}

/// The differences between two revisions whose plans differ and whose documents don't.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionChange {
    /// The old revision.
    pub base: Revision,
    /// The new revision.
    pub revision: Revision,
    /// Operator who made the last change.
    pub operator: String,
    /// Zone states set by zone changes.
    pub zones: IndexMap<String, ZoneState>,
    /// Revision of the last zone change of each zone.
    pub zone_changes: IndexMap<String, Revision>,
    /// Identifiers of the latest zone changes, oldest first.
    pub carried: Vec<String>,
    /// Differences between the plans.
    pub plan: PlanChange,
}

impl RevisionChange {
    /// The differences between two revisions; none if one has no plan or the documents differ.
    pub fn between(old: &ActiveRevision, new: &ActiveRevision) -> Option<Self> {
        if old.text != new.text {
            return None;
        }
        Some(Self {
            base: old.revision,
            revision: new.revision,
            operator: new.operator.clone(),
            zones: new.zones.clone(),
            zone_changes: new.zone_changes.clone(),
            carried: new.carried.clone(),
            plan: PlanChange::between(old.plan.as_ref()?, new.plan.as_ref()?),
        })
    }

    /// The new revision.
    ///
    /// # Errors
    ///
    /// Fails if `old` is not the revision that the change is based on.
    pub fn apply(self, old: &ActiveRevision) -> Result<ActiveRevision, String> {
        if old.revision != self.base {
            return Err(format!("the change is based on revision {}", self.base));
        }
        let plan = old.plan.as_ref().ok_or("there is no plan yet")?;
        Ok(ActiveRevision {
            revision: self.revision,
            operator: self.operator,
            text: old.text.clone(),
            zones: self.zones,
            zone_changes: self.zone_changes,
            carried: self.carried,
            plan: Some(Arc::new(self.plan.apply(plan)?)),
        })
    }
}
