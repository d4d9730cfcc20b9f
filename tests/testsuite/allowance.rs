//! The slots of one host as its queries see them, without a network.

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

/// A tier of one host, whose endpoints the test sets.
struct Alone {
    members: watch::Receiver<Arc<Vec<Member>>>,
    routes: Mutex<Arc<Routes>>,
}

impl Peers for Alone {
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
        panic!("a message for `{to}`");
    }

    fn call<'a>(&'a self, _: &'a str, _: Topic, _: Vec<u8>) -> BoxFuture<'a, Result<Vec<u8>>> {
        Box::pin(std::future::pending())
    }
}

impl Members for Alone {
    fn watch(&self) -> watch::Receiver<Arc<Vec<Member>>> {
        self.members.clone()
    }
}

impl Endpoints for Alone {
    fn routes(&self) -> Arc<Routes> {
        self.routes.lock().clone()
    }
}

struct Bench {
    alone: Arc<Alone>,
    allowance: Arc<dyn Allowance>,
    told: Arc<Mutex<Vec<EndpointKey>>>,
    target: Target,
    kernel: Kernel,
    _members: watch::Sender<Arc<Vec<Member>>>,
}

impl Bench {
    /// One endpoint of two slots that bears both from its start.
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
        let alone = Arc::new(Alone { members, routes: Mutex::default() });
        let mut kernel = Kernel::default();
        let ctx = kernel.context();
        ctx.publish::<dyn Peers>(<dyn Peers>::NAME, alone.clone());
        ctx.publish::<dyn Members>(<dyn Members>::NAME, alone.clone());
        ctx.publish::<dyn Endpoints>(<dyn Endpoints>::NAME, alone.clone());
        let service: Arc<dyn Service> = Arc::new(AllowanceService::new(1));
        kernel.start(service).await.unwrap();
        let allowance = kernel.context().find::<dyn Allowance>(<dyn Allowance>::NAME).unwrap();
        let told = Arc::<Mutex<Vec<_>>>::default();
        let to = told.clone();
        allowance.set_listener(Box::new(move |at| to.lock().push(at)));
        let bench = Self { alone, allowance, told, target, kernel, _members: sender };
        bench.set(vec![bench.target.clone()]);
        bench
    }

    fn set(&self, targets: Vec<Target>) {
        let targets = targets.into_iter().map(|t| (t.name.clone(), t)).collect();
        *self.alone.routes.lock() = Arc::new(Routes { targets, ..Routes::default() });
    }

    fn ask(&self) {
        self.allowance.request_slots(std::slice::from_ref(&self.target));
    }

    /// Asks until the host lends, which it does once it owns the endpoint.
    async fn permit(&self) -> Permit {
        let found = Mutex::new(None);
        until("a slot is lent", || {
            self.ask();
            *found.lock() = self.allowance.acquire(&self.target);
            found.lock().is_some()
        })
        .await;
        found.into_inner().unwrap()
    }
}

#[tokio::test]
async fn word_of_room_comes_with_a_lent_slot_and_with_a_permit_that_comes_back() {
    let mut bench = Bench::start().await;
    assert!(bench.allowance.acquire(&bench.target).is_none());
    let first = bench.permit().await;
    // The second slot is not lent before it is asked for.
    bench.told.lock().clear();
    bench.ask();
    until("word of a lent slot", || bench.told.lock().contains(&bench.target.key)).await;
    let second = bench.allowance.acquire(&bench.target).unwrap();
    assert_eq!(bench.allowance.in_flight(bench.target.key), 2);
    assert!(bench.allowance.acquire(&bench.target).is_none());
    bench.told.lock().clear();
    drop(first);
    assert_eq!(*bench.told.lock(), [bench.target.key]);
    drop(second);
    bench.kernel.stop(Span::secs(1)).await;
}

#[tokio::test]
async fn endpoint_that_is_gone_is_forgotten() {
    let mut bench = Bench::start().await;
    let permit = bench.permit().await;
    assert_eq!(bench.allowance.in_flight(bench.target.key), 1);
    bench.set(Vec::new());
    until("it is forgotten", || bench.allowance.in_flight(bench.target.key) == 0).await;
    assert!(bench.allowance.acquire(&bench.target).is_none());
    drop(permit);
    bench.kernel.stop(Span::secs(1)).await;
}
