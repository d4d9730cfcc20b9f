//! Routes of a plan, each with the endpoints that serve it at present.

use crate::core::plan::{Destination, Plan, Route, RouteIndex};
use crate::core::query::meets_coverage;
use crate::core::relay::cover::ZoneCover;
use crate::core::routes::{Replicas, Routes, Snapshot, Target};
use crate::prelude::*;
use parking_lot::Mutex;
use std::sync::OnceLock;

/// Inverse of the fraction of services that must have known endpoints for the host to be ready.
const SERVED_DIVISOR: usize = 2;

/// A route and the endpoints it leads to.
pub struct RouteEntry {
    plan: Arc<Plan>,
    /// Position of the route in the plan.
    position: usize,
    /// One snapshot per part of a split route, or a single one for a gathering route. Built on first
    /// use, since most routes of a large plan are idle.
    snapshots: OnceLock<Vec<Arc<Snapshot>>>,
}

impl RouteEntry {
    /// Route of the plan.
    pub fn route(&self) -> &Route {
        &self.plan.routes[self.position]
    }

    fn is_used(&self) -> bool {
        self.snapshots.get().is_some()
    }
}

/// Replicas of a service under the limits of a plan, and what they were built from.
struct CachedReplicas {
    announced: Replicas,
    connections: u32,
    limited: Replicas,
}

/// Replicas by service, kept from one table to the next as long as they stay the same.
#[derive(Default)]
pub struct ReplicaCache(Mutex<IndexMap<Arc<str>, CachedReplicas>>);

impl ReplicaCache {
    fn get(&self, service: &Arc<str>, announced: &Replicas, connections: u32) -> Replicas {
        let mut cached = self.0.lock();
        if let Some(c) = cached.get(service)
            && Arc::ptr_eq(&c.announced, announced)
            && c.connections == connections
        {
            return c.limited.clone();
        }
        let limited = announced.iter().map(|t| Target { connections, ..t.clone() });
        let limited = Replicas::new(limited.collect());
        let announced = announced.clone();
        let entry = CachedReplicas { announced, connections, limited: limited.clone() };
        cached.insert(service.clone(), entry);
        limited
    }

    /// Drops the services that are no longer known.
    fn retain_known(&self, endpoints: &Routes) {
        let mut cached = self.0.lock();
        if cached.len() > endpoints.services.len() {
            cached.retain(|service, _| endpoints.services.contains_key(service));
        }
    }
}

/// Immutable table of all routes. A request uses the same one from start to end, and for each attempt the
/// endpoints that take new requests then ([`RouteTable::newer_replicas`]).
pub struct RouteTable {
    /// Plan that the routes come from.
    pub plan: Arc<Plan>,
    index: Arc<RouteIndex>,
    entries: Vec<Arc<RouteEntry>>,
    endpoints: Arc<Routes>,
    replicas: Arc<ReplicaCache>,
    /// Availability zones of the endpoints; few.
    zones: OnceLock<Vec<Arc<str>>>,
    /// Whether endpoints are known for enough services.
    has_endpoints: OnceLock<bool>,
    /// Zones that gathers are sent to, by the zones that they leave out.
    covers: Mutex<IndexMap<Vec<Arc<str>>, Arc<ZoneCover>>>,
}

impl RouteTable {
    /// Creates the table for a plan and the known endpoints. What `previous` has in common with it is
    /// shared.
    pub fn new(plan: Arc<Plan>, endpoints: Arc<Routes>, previous: Option<&Self>) -> Self {
        let replicas = previous.map(|p| p.replicas.clone()).unwrap_or_default();
        replicas.retain_known(&endpoints);
        let same_plan = previous.filter(|p| Arc::ptr_eq(&p.plan, &plan));
        let index = match same_plan {
            Some(previous) => previous.index.clone(),
            None => Arc::new(RouteIndex::new(&plan.routes)),
        };
        let entry = |position| {
            let snapshots = OnceLock::new();
            Arc::new(RouteEntry { plan: plan.clone(), position, snapshots })
        };
        let entries = (0..plan.routes.len()).map(entry).collect();
        Self {
            index,
            entries,
            endpoints,
            replicas,
            zones: OnceLock::new(),
            has_endpoints: OnceLock::new(),
            covers: Mutex::default(),
            plan,
        }
    }

    /// Availability zones of the endpoints that take new requests.
    pub fn zones(&self) -> &[Arc<str>] {
        self.zones.get_or_init(|| {
            let mut zones: Vec<Arc<str>> = Vec::new();
            for target in self.targets() {
                if !zones.contains(&target.zone) {
                    zones.push(target.zone.clone());
                }
            }
            zones
        })
    }

    /// Zones that the gathers of a host in the zone `own` are sent to, without the excluded ones. They
    /// are chosen for the route with the most shards.
    pub fn cover(&self, host: &str, own: &str, excluded: &[Arc<str>]) -> Arc<ZoneCover> {
        let mut covers = self.covers.lock();
        if let Some(cover) = covers.get(excluded) {
            return cover.clone();
        }
        let endpoints = self.largest_gather().iter().map(|s| self.endpoints.services.get(s));
        let zones = endpoints.map(|known| {
            known
                .into_iter()
                .flat_map(|list| list.iter())
                .map(|t| &t.zone)
                .filter(|zone| !excluded.contains(zone))
        });
        let cover = Arc::new(ZoneCover::new(host, own, zones));
        covers.insert(excluded.to_vec(), cover.clone());
        cover
    }

    /// Shards of the route with the most; empty if no route gathers.
    fn largest_gather(&self) -> &[Arc<str>] {
        let gathers = self.plan.routes.iter().filter_map(|r| match &r.destination {
            Destination::Gather { shards, .. } => Some(shards),
            Destination::Split(_) => None,
        });
        gathers.max_by_key(|shards| shards.len()).map_or(&[][..], Vec::as_slice)
    }

    /// Connections that an endpoint of the route with the most shards accepts.
    pub fn gather_connections(&self) -> u32 {
        let service = self.largest_gather().first().and_then(|s| self.plan.services.get(s));
        service.map_or(1, |s| s.connections)
    }

    /// Endpoints of the route with the most shards.
    pub fn gather_targets(&self) -> impl Iterator<Item = &Target> {
        let shards = self.largest_gather().iter();
        let known = shards.filter_map(|service| self.endpoints.services.get(service));
        known.flat_map(|replicas| replicas.iter())
    }

    /// Endpoints that take new requests.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.endpoints.services.values().flat_map(|replicas| replicas.iter())
    }

    /// Whether each gathering route reaches its minimum coverage without the endpoints in cold start
    /// and those in the excluded zones.
    pub fn covers_gather_routes(&self, excluded: &[Arc<str>]) -> bool {
        let serves = |t: &Target| !t.cold && !excluded.contains(&t.zone);
        let known = |s: &Arc<str>| self.endpoints.services.get(s);
        self.plan.routes.iter().all(|route| match &route.destination {
            Destination::Gather { shards, .. } => {
                let held = shards.iter().filter(|s| known(s).is_some_and(|l| l.iter().any(serves)));
                meets_coverage(held.count(), shards.len(), route.destination.min_coverage())
            }
            Destination::Split(_) => true,
        })
    }

    /// Finds the route of a request by its `Host` header and path.
    pub fn find(&self, host: &str, path: &str) -> Option<Arc<RouteEntry>> {
        self.entries.get(self.index.find(host, path)?).cloned()
    }

    /// Whether endpoints are known for enough of the services that the routes name.
    pub fn has_endpoints(&self) -> bool {
        *self.has_endpoints.get_or_init(|| {
            let named: IndexSet<_> =
                self.plan.routes.iter().flat_map(|r| r.destination.services()).collect();
            let known = named.iter().filter(|s| self.endpoints.services.contains_key(**s));
            known.count() * SERVED_DIVISOR >= named.len().max(1)
        })
    }

    /// Snapshot that a part of the route's destination leads to.
    pub fn snapshot(&self, entry: &RouteEntry, part: usize) -> Option<Arc<Snapshot>> {
        let all = entry.snapshots.get_or_init(|| match &entry.route().destination {
            Destination::Split(list) => list
                .iter()
                .map(|(service, _)| self.build_snapshot(std::slice::from_ref(service)))
                .collect(),
            Destination::Gather { shards, .. } => vec![self.build_snapshot(shards)],
        });
        all.get(part).cloned()
    }

    /// Builds the snapshots of the gathering routes that were in use in `previous`, so that no request
    /// has to. Returns the replicas that `previous` did not have.
    pub fn prepare(&self, previous: &Self) -> Vec<Replicas> {
        let used = previous.entries.iter().filter(|e| e.is_used());
        let gathers = used.filter(|e| matches!(e.route().destination, Destination::Gather { .. }));
        let mut new = Vec::new();
        for old in gathers {
            let name = &old.route().name;
            let Some(entry) = self.entries.iter().find(|e| e.route().name == *name) else {
                continue;
            };
            let Some(snapshot) = self.snapshot(entry, 0) else { continue };
            let before = old.snapshots.get().and_then(|all| all.first());
            let before = before.map(|s| &s.shards[..]).unwrap_or_default();
            let known = |(shard, replicas): &(usize, &Replicas)| {
                before.get(*shard).is_some_and(|old| Arc::ptr_eq(old, replicas))
            };
            let all = snapshot.shards.iter().enumerate();
            new.extend(all.filter(|r| !known(r)).map(|(_, replicas)| replicas.clone()));
        }
        new
    }

    /// Replicas of the gathering routes that are in use.
    pub fn used_replicas(&self) -> impl Iterator<Item = &Target> {
        let used = self.entries.iter().filter_map(|e| e.snapshots.get());
        used.flatten().flat_map(|s| s.replicas())
    }

    /// Endpoints of a service that take new requests by a newer table, under the limits of this plan.
    pub fn newer_replicas(&self, newer: &Self, service: &Arc<str>) -> Replicas {
        self.limited(&newer.endpoints, service)
    }

    fn build_snapshot(&self, services: &[Arc<str>]) -> Arc<Snapshot> {
        let name = self.plan.number.to_string().into();
        Arc::new(Snapshot { name, shards: services.iter().map(|s| self.replicas(s)).collect() })
    }

    fn replicas(&self, service: &Arc<str>) -> Replicas {
        self.limited(&self.endpoints, service)
    }

    fn limited(&self, endpoints: &Routes, service: &Arc<str>) -> Replicas {
        let connections = self.plan.services.get(service).map_or(1, |s| s.connections);
        let Some(known) = endpoints.services.get(service) else { return Replicas::default() };
        self.replicas.get(service, known, connections)
    }
}
