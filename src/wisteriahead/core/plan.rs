//! The plan: a routing table from requests to services, which operators number and replace as a
//! whole.
//!
//! A platform without an inventory of hosts uses a plan instead: endpoints announce their own
//! location, and the plan says which requests they are sent. Of two plans, the one with the
//! higher number is in force.

use super::endpoint::check_name;
use super::time::Span;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Maximum number of routes accepted in one plan.
pub const ROUTES_MAX: usize = 20_000;
/// Units of [`Share`] in a share of 1.
const UNITS: u32 = 1_000_000;

/// A fraction from 0 to 1, in millionths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share(u32);

impl Share {
    /// Rounds a fraction from 0 to 1 to the nearest share.
    pub fn from_fraction(fraction: f64) -> Self {
        Self((fraction.clamp(0.0, 1.0) * f64::from(UNITS)).round() as u32)
    }

    /// Fraction from 0 to 1.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(UNITS)
    }
}

/// Whether requests of a route may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    Once,
}

/// Services that the requests of a route are sent to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Destination {
    /// Each request goes to one of these services, in proportion to the weights.
    Split(Vec<(Arc<str>, u32)>),
    /// Each request goes to all of these services, each of which is one shard.
    Gather {
        /// Services by shard index.
        shards: Vec<Arc<str>>,
        /// Maximum number of records in a merged answer.
        top: u32,
        /// Minimum fraction of the shards that an answer must cover.
        least: Share,
    },
}

impl Destination {
    /// Minimum fraction of the services that an answer must cover, 0 to 1.
    pub fn min_coverage(&self) -> f64 {
        match self {
            Self::Split(_) => 1.0,
            Self::Gather { least, .. } => least.fraction(),
        }
    }

    /// Services that requests may go to.
    pub fn services(&self) -> Box<dyn Iterator<Item = &Arc<str>> + '_> {
        match self {
            Self::Split(list) => Box::new(list.iter().map(|(service, _)| service)),
            Self::Gather { shards, .. } => Box::new(shards.iter()),
        }
    }
}

/// Requests of one host and path prefix, and how they are sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Unique name.
    pub name: Arc<str>,
    /// Host that callers name in a request.
    pub host: Arc<str>,
    /// Prefix of the request path.
    pub prefix: Arc<str>,
    /// Whether requests may run more than once.
    pub repeat: Idempotency,
    /// Longest time until a caller is answered.
    pub timeout: Span,
    /// Response time objective; a later answer is worth less to the caller.
    pub objective: Span,
    /// Priority; a lower number goes first.
    pub priority: u32,
    /// Maximum number of endpoints that one request is sent to, per shard.
    pub attempts: u32,
    /// Services that requests are sent to.
    #[serde(rename = "goal")]
    pub destination: Destination,
}

/// Limits of a service's endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Connections that each endpoint accepts, summed over all hosts.
    pub connections: u32,
    /// Requests per second that each endpoint can handle in cold start, in thousandths.
    pub cold_rate: u64,
    /// Longest time that an endpoint stays in cold start.
    #[serde(default)]
    pub cold_time: Span,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Time within which a request head must arrive.
    pub head_time: Span,
    /// Time after which an idle connection is closed.
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

/// A complete plan.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Version number; the plan with the highest is in force.
    pub number: u64,
    /// Routes, each with a host and prefix of its own.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: IndexMap<Arc<str>, Service>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Text as written by the operators, returned when they read the plan back.
    pub source: Arc<str>,
}

impl Plan {
    /// The same plan without the text as written by the operators.
    pub fn without_source(&self) -> Self {
        Self {
            number: self.number,
            routes: self.routes.clone(),
            services: self.services.clone(),
            limits: self.limits,
            source: Arc::default(),
        }
    }

    /// Checks names, references and limits.
    ///
    /// # Errors
    ///
    /// Returns the first error, with the name of the route or service.
    pub fn check(&self) -> Result<(), String> {
        if self.routes.len() > ROUTES_MAX {
            return Err(format!("there are more than {ROUTES_MAX} routes"));
        }
        for name in self.services.keys() {
            check_name("service", name)?;
        }
        let mut seen = IndexSet::new();
        for route in &self.routes {
            route.check(&self.services).map_err(|e| format!("route `{}`: {e}", route.name))?;
            if !seen.insert((&route.host, &route.prefix)) {
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
        if let Some(unknown) = self.destination.services().find(|s| !services.contains_key(*s)) {
            return Err(format!("service `{unknown}` is not in the plan"));
        }
        match &self.destination {
            Destination::Split(list) if list.iter().all(|(_, weight)| *weight == 0) => {
                Err("its weights add up to 0".to_owned())
            }
            Destination::Gather { shards, .. } if shards.is_empty() => {
                Err("it gathers from no service".to_owned())
            }
            Destination::Gather { shards, .. }
                if shards.iter().collect::<IndexSet<_>>().len() < shards.len() =>
            {
                Err("it gathers from one service twice".to_owned())
            }
            _ => Ok(()),
        }
    }
}

/// Lookup of routes by host and path prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    /// Positions in the list of routes, by host, then prefix.
    hosts: IndexMap<Arc<str>, IndexMap<Arc<str>, usize>>,
}

impl RouteIndex {
    /// Builds an index over a list of routes.
    pub fn new(routes: &[Route]) -> Self {
        let mut hosts: IndexMap<Arc<str>, IndexMap<Arc<str>, usize>> = IndexMap::new();
        for (i, route) in routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().insert(route.prefix.clone(), i);
        }
        Self { hosts }
    }

    /// Position of the route with this host and the longest prefix that matches the path.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let prefixes = self.hosts.get(host)?;
        let ends = path.bytes().enumerate().rev().filter(|(_, b)| *b == b'/');
        ends.map(|(i, _)| &path[..=i]).find_map(|prefix| prefixes.get(prefix).copied())
    }
}

/// Smooth weighted round-robin: picks parts in proportion to weights, without randomness.
///
/// At any time, the requests that each part was given are close to its share of all requests.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    credits: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Index of the part that is next; none if the weights add up to 0.
    pub fn next(&mut self, weights: impl Iterator<Item = u32>) -> Option<usize> {
        let weights: Vec<i64> = weights.map(i64::from).collect();
        let sum: i64 = weights.iter().sum();
        if sum == 0 {
            return None;
        }
        self.credits.resize(weights.len(), 0);
        self.credits.iter_mut().zip(&weights).for_each(|(credit, w)| *credit += w);
        let parts = (0..weights.len()).filter(|&i| weights[i] > 0);
        let next = parts.max_by_key(|&i| (self.credits[i], std::cmp::Reverse(i)))?;
        self.credits[next] -= sum;
        Some(next)
    }
}
