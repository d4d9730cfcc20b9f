//! The allowance of a single host, as its queries acquire slots from it, without a network.

use crate::props::Endpoints as Targets;
use crate::support::until;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use std::sync::Arc;
use tokio::sync::watch;
use wisteriahead::core::message::Topic;
use wisteriahead::core::routes::{Routes, Target};
use wisteriahead::kernel::{Kernel, Service};
use wisteriahead::prelude::*;
use wisteriahead::services::allowance::AllowanceService;
use wisteriahead::services::{
    Allowance, Endpoints, Handler, Health, Member, Members, Peers, Permit,
};

/// A tier of one host, with endpoints set by the test.
struct SingleHost {
    members: watch::Receiver<Arc<Vec<Member>>>,
    routes: Mutex<Arc<Routes>>,
}

impl Peers for SingleHost {
    fn host(&self) -> &str {
        "a"
    }

    fn zone(&self) -> &str {
        "north"
    }

    fn others(&self) -> Vec<String> {
        Vec::new()
    }

    fn set_handler(&self, _: Topic, _: Arc<dyn Handler>) {}

    fn send(&self, to: &str, _: Topic, _: Vec<u8>) {
        panic!("unexpected message to `{to}`");
    }

    fn call<'a>(&'a self, _: &'a str, _: Topic, _: Vec<u8>) -> BoxFuture<'a, Result<Vec<u8>>> {
        Box::pin(std::future::pending())
    }
}

impl Members for SingleHost {
    fn watch(&self) -> watch::Receiver<Arc<Vec<Member>>> {
        self.members.clone()
    }
}

impl Endpoints for SingleHost {
    fn routes(&self) -> Arc<Routes> {
        self.routes.lock().clone()
    }
}

struct Fixture {
    tier: Arc<SingleHost>,
    allowance: Arc<dyn Allowance>,
    notified: Arc<Mutex<Vec<EndpointKey>>>,
    target: Target,
    kernel: Kernel,
    _members: watch::Sender<Arc<Vec<Member>>>,
}

impl Fixture {
    /// Starts the service with one endpoint of two slots, which sustains both from the start.
    async fn start() -> Self {
        let target = Target { bearable: 2, ..Targets::default().target("north") };
        let member = Member {
            host: "a".into(),
            zone: "north".into(),
            health: Health::Alive,
            incarnation: 1,
            durable: false,
        };
        let (sender, members) = watch::channel(Arc::new(vec![member]));
        let tier = Arc::new(SingleHost { members, routes: Mutex::default() });
        let mut kernel = Kernel::default();
        let ctx = kernel.context();
        ctx.publish::<dyn Peers>(<dyn Peers>::NAME, tier.clone());
        ctx.publish::<dyn Members>(<dyn Members>::NAME, tier.clone());
        ctx.publish::<dyn Endpoints>(<dyn Endpoints>::NAME, tier.clone());
        let service: Arc<dyn Service> = Arc::new(AllowanceService::new(1));
        kernel.start(service).await.unwrap();
        let allowance = kernel.context().find::<dyn Allowance>(<dyn Allowance>::NAME).unwrap();
        let notified = Arc::<Mutex<Vec<_>>>::default();
        let sink = notified.clone();
        allowance.set_listener(Box::new(move |key| sink.lock().push(key)));
        let fixture = Self { tier, allowance, notified, target, kernel, _members: sender };
        fixture.set_targets(vec![fixture.target.clone()]);
        fixture
    }

    fn set_targets(&self, targets: Vec<Target>) {
        let targets = targets.into_iter().map(|t| (t.name.clone(), Arc::new(t))).collect();
        *self.tier.routes.lock() = Arc::new(Routes { targets, ..Routes::default() });
    }

    fn request_slot(&self) {
        self.allowance.request_slots(std::slice::from_ref(&self.target));
    }

    /// Requests a slot until one is granted, once the host is elected owner of the endpoint.
    async fn permit(&self) -> Permit {
        let acquired = Mutex::new(None);
        until("a slot is granted", || {
            self.request_slot();
            *acquired.lock() = self.allowance.acquire(&self.target);
            acquired.lock().is_some()
        })
        .await;
        acquired.into_inner().unwrap()
    }
}

#[tokio::test]
async fn listener_is_called_for_a_granted_slot_and_for_a_released_permit() {
    let mut fixture = Fixture::start().await;
    assert!(fixture.allowance.acquire(&fixture.target).is_none());
    let first = fixture.permit().await;
    // The second slot is not granted until it is requested.
    fixture.notified.lock().clear();
    fixture.request_slot();
    until("a listener call for the granted slot", || {
        fixture.notified.lock().contains(&fixture.target.key)
    })
    .await;
    let second = fixture.allowance.acquire(&fixture.target).unwrap();
    assert_eq!(fixture.allowance.in_flight(fixture.target.key), 2);
    assert!(fixture.allowance.acquire(&fixture.target).is_none());
    fixture.notified.lock().clear();
    drop(first);
    assert_eq!(*fixture.notified.lock(), [fixture.target.key]);
    drop(second);
    fixture.kernel.stop(Span::secs(1)).await;
}

#[tokio::test]
async fn state_of_a_removed_endpoint_is_dropped() {
    let mut fixture = Fixture::start().await;
    let permit = fixture.permit().await;
    assert_eq!(fixture.allowance.in_flight(fixture.target.key), 1);
    fixture.set_targets(Vec::new());
    until("the state is dropped", || fixture.allowance.in_flight(fixture.target.key) == 0).await;
    assert!(fixture.allowance.acquire(&fixture.target).is_none());
    drop(permit);
    fixture.kernel.stop(Span::secs(1)).await;
}
