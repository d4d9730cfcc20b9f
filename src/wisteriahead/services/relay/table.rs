//! Routes of a plan, each with the endpoints that serve it at present.

use crate::core::plan::{Destination, Plan, Route, RouteIndex};
use crate::core::query::meets_coverage;
use crate::core::relay::cover::ZoneCover;
use crate::core::routes::{Routes, Snapshot, Target};
use crate::prelude::*;
use parking_lot::Mutex;
use std::sync::OnceLock;

/// Inverse of the fraction of services that must have known endpoints for the host to be ready.
const SERVED_DIVISOR: usize = 2;

/// A route and the endpoints it leads to.
pub struct RouteEntry {
    /// Route of the plan.
    pub route: Route,
    /// One snapshot per part of a split route, or a single one for a gathering route. Built on first
    /// use, since most routes of a large plan are idle.
    snapshots: OnceLock<Vec<Arc<Snapshot>>>,
}

/// Immutable table of all routes; a request uses the same one from start to end.
pub struct RouteTable {
    /// Plan that the routes come from.
    pub plan: Arc<Plan>,
    index: RouteIndex,
    entries: Vec<Arc<RouteEntry>>,
    endpoints: Arc<Routes>,
    /// Availability zones of the endpoints.
    zones: OnceLock<IndexSet<Arc<str>>>,
    /// Whether endpoints are known for enough services.
    has_endpoints: OnceLock<bool>,
    /// Zones that gathers are sent to, by the zones that they leave out.
    covers: Mutex<IndexMap<Vec<Arc<str>>, Arc<ZoneCover>>>,
}

impl RouteTable {
    /// Creates the table for a plan and the known endpoints.
    pub fn new(plan: Arc<Plan>, endpoints: Arc<Routes>) -> Self {
        let index = RouteIndex::new(&plan.routes);
        let entry =
            |r: &Route| Arc::new(RouteEntry { route: r.clone(), snapshots: OnceLock::new() });
        let entries = plan.routes.iter().map(entry).collect();
        let (zones, has_endpoints) = (OnceLock::new(), OnceLock::new());
        Self { plan, index, entries, endpoints, zones, has_endpoints, covers: Mutex::default() }
    }

    /// Availability zones of the endpoints that take new requests.
    pub fn zones(&self) -> &IndexSet<Arc<str>> {
        self.zones.get_or_init(|| self.targets().map(|t| t.zone.clone()).collect())
    }

    /// Zones that the gathers of a host in the zone `own` are sent to, without the excluded ones. They
    /// are chosen for the route with the most shards.
    pub fn cover(&self, host: &str, own: &str, excluded: &[Arc<str>]) -> Arc<ZoneCover> {
        let mut covers = self.covers.lock();
        if let Some(cover) = covers.get(excluded) {
            return cover.clone();
        }
        let zones = |service| {
            let known = self.endpoints.services.get(service).into_iter().flatten();
            let zones: IndexSet<_> =
                known.map(|t| &t.zone).filter(|z| !excluded.contains(z)).collect();
            zones.into_iter().cloned().collect()
        };
        let cover =
            Arc::new(ZoneCover::new(host, own, self.largest_gather().iter().map(zones).collect()));
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
        shards.filter_map(|service| self.endpoints.services.get(service)).flatten()
    }

    /// Endpoints that take new requests.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.endpoints.services.values().flatten()
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
        let all = entry.snapshots.get_or_init(|| match &entry.route.destination {
            Destination::Split(list) => list
                .iter()
                .map(|(service, _)| self.build_snapshot(std::slice::from_ref(service)))
                .collect(),
            Destination::Gather { shards, .. } => vec![self.build_snapshot(shards)],
        });
        all.get(part).cloned()
    }

    /// Builds the snapshots of the gathering routes that were in use in `previous`, so that no request
    /// has to; returns them.
    pub fn prepare(&self, previous: &Self) -> Vec<Arc<Snapshot>> {
        let used = previous.entries.iter().filter(|e| e.snapshots.get().is_some());
        let gathers = used.filter(|e| matches!(e.route.destination, Destination::Gather { .. }));
        gathers
            .filter_map(|old| self.entries.iter().find(|e| e.route.name == old.route.name))
            .filter_map(|entry| self.snapshot(entry, 0))
            .collect()
    }

    fn build_snapshot(&self, services: &[Arc<str>]) -> Arc<Snapshot> {
        let name = self.plan.number.to_string().into();
        Arc::new(Snapshot { name, shards: services.iter().map(|s| self.replicas(s)).collect() })
    }

    fn replicas(&self, service: &Arc<str>) -> Vec<Target> {
        let connections = self.plan.services.get(service).map_or(1, |s| s.connections);
        let known = self.endpoints.services.get(service).map(Vec::as_slice).unwrap_or_default();
        known.iter().map(|t| Target { connections, ..t.clone() }).collect()
    }
}
