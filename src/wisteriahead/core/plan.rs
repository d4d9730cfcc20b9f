//! The plan: which requests go to which services, as operators number and replace it whole.
//!
//! A tier whose platform keeps no inventory is run by a plan in its place: endpoints say
//! themselves where they stand, and the plan says who is sent to them. Of two plans the one
//! with the higher number holds.

use super::endpoint::check_name;
use super::time::Span;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Most routes accepted in one plan.
pub const ROUTES_MAX: usize = 20_000;
/// Parts of a whole share.
const WHOLE: u32 = 1_000_000;

/// A share from nothing to all, in millionths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share(u32);

impl Share {
    /// The share nearest to a fraction, 0 to 1.
    pub fn from_fraction(fraction: f64) -> Self {
        Self((fraction.clamp(0.0, 1.0) * f64::from(WHOLE)).round() as u32)
    }

    /// As a fraction, 0 to 1.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(WHOLE)
    }
}

/// What may be done again with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// It is harmless to run more than once.
    Idempotent,
    /// It runs once at most.
    Once,
}

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Goal {
    /// Each to one of these services, in proportion to the weights.
    Split(Vec<(Arc<str>, u32)>),
    /// Each to all of these services, one shard each.
    Gather {
        /// The shards.
        shards: Vec<Arc<str>>,
        /// Most records of an answer.
        top: u32,
        /// Least share of the shards that an answer covers.
        least: Share,
    },
}

impl Goal {
    /// Least share of its services that an answer covers, 0 to 1.
    pub fn least(&self) -> f64 {
        match self {
            Self::Split(_) => 1.0,
            Self::Gather { least, .. } => least.fraction(),
        }
    }

    /// The services that it names.
    pub fn services(&self) -> Box<dyn Iterator<Item = &Arc<str>> + '_> {
        match self {
            Self::Split(list) => Box::new(list.iter().map(|(service, _)| service)),
            Self::Gather { shards, .. } => Box::new(shards.iter()),
        }
    }
}

/// Requests that belong together, and what is done with them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Unique name.
    pub name: Arc<str>,
    /// Host that callers name.
    pub host: Arc<str>,
    /// Beginning of the path.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Longest time that a caller is kept waiting.
    pub timeout: Span,
    /// Time within which an answer is worth most.
    pub objective: Span,
    /// Order of service: a lower number goes first.
    pub priority: u32,
    /// Most endpoints that one request is sent to, for each shard.
    pub attempts: u32,
    /// Where they go.
    pub goal: Goal,
}

/// What the operators say of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Connections that each of its endpoints accepts, over all hosts.
    pub connections: u32,
    /// Requests a second that each of its endpoints bears in cold start, in thousandths.
    pub cold_rate: u64,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time in which the head must arrive.
    pub head_time: Span,
    /// Time for which a connection may be idle.
    pub idle_time: Span,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 256 << 10,
            head_time: Span::secs(3),
            idle_time: Span::secs(15),
        }
    }
}

/// A whole plan.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Its number; of two plans the higher holds.
    pub number: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services by name.
    pub services: IndexMap<Arc<str>, Service>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// The plan as the operators wrote it, for them to read back.
    pub source: Arc<str>,
}

impl Plan {
    /// Checks that the plan holds together.
    ///
    /// # Errors
    ///
    /// Returns the first fault, with the name of the route or service.
    pub fn check(&self) -> Result<(), String> {
        if self.routes.len() > ROUTES_MAX {
            return Err(format!("there are more than {ROUTES_MAX} routes"));
        }
        for name in self.services.keys() {
            check_name("service", name)?;
        }
        let mut places = IndexSet::new();
        for route in &self.routes {
            route.check(&self.services).map_err(|e| format!("route `{}`: {e}", route.name))?;
            if !places.insert((&route.host, &route.prefix)) {
                return Err(format!(
                    "route `{}`: another route has host `{}` and prefix `{}` already",
                    route.name, route.host, route.prefix
                ));
            }
        }
        Ok(())
    }
}

impl Route {
    fn check(&self, services: &IndexMap<Arc<str>, Service>) -> Result<(), String> {
        if !self.prefix.starts_with('/') || !self.prefix.ends_with('/') {
            return Err(format!("prefix `{}` must begin and end with a slash", self.prefix));
        }
        if self.timeout == Span::ZERO {
            return Err("its timeout is 0; a longer one is needed".to_owned());
        }
        if let Some(unknown) = self.goal.services().find(|s| !services.contains_key(*s)) {
            return Err(format!("service `{unknown}` is not in the plan"));
        }
        match &self.goal {
            Goal::Split(list) if list.iter().all(|(_, weight)| *weight == 0) => {
                Err("its weights add up to 0".to_owned())
            }
            Goal::Gather { shards, .. } if shards.is_empty() => {
                Err("it gathers from no service".to_owned())
            }
            Goal::Gather { shards, .. }
                if shards.iter().collect::<IndexSet<_>>().len() < shards.len() =>
            {
                Err("it gathers from one service twice".to_owned())
            }
            _ => Ok(()),
        }
    }
}

/// Finds the route of a request.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    /// Keys of the routes by host, then prefix.
    hosts: IndexMap<Arc<str>, IndexMap<Arc<str>, usize>>,
}

impl RouteIndex {
    /// An index of the routes, by their places in the list.
    pub fn new(routes: &[Route]) -> Self {
        let mut hosts: IndexMap<Arc<str>, IndexMap<Arc<str>, usize>> = IndexMap::new();
        for (i, route) in routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().insert(route.prefix.clone(), i);
        }
        Self { hosts }
    }

    /// The place of the route with this host and the longest prefix that begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let prefixes = self.hosts.get(host)?;
        let ends = path.bytes().enumerate().rev().filter(|(_, b)| *b == b'/');
        ends.map(|(i, _)| &path[..=i]).find_map(|prefix| prefixes.get(prefix).copied())
    }
}

/// Shares requests out in proportion to weights, without chance: after any number of requests
/// each part is within one request of its share.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    owed: Vec<i64>,
}

impl Splitter {
    /// The part whose turn it is; nothing if the weights add up to 0.
    pub fn next(&mut self, weights: impl Iterator<Item = u32>) -> Option<usize> {
        let weights: Vec<i64> = weights.map(i64::from).collect();
        let sum: i64 = weights.iter().sum();
        if sum == 0 {
            return None;
        }
        self.owed.resize(weights.len(), 0);
        self.owed.iter_mut().zip(&weights).for_each(|(owed, w)| *owed += w);
        let parts = (0..weights.len()).filter(|&i| weights[i] > 0);
        let next = parts.max_by_key(|&i| (self.owed[i], std::cmp::Reverse(i)))?;
        self.owed[next] -= sum;
        Some(next)
    }
}
