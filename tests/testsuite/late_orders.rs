//! Orders of which a copy is carried out late.

use crate::plan::plan;
use crate::support::{ANY, Authority, HANG_TIMEOUT, Host, until};
use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use indexmap::IndexSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use wisteria_testkit::wait::wait_until;
use wisteriahead::core::document::ZoneState;
use wisteriahead::core::time::Span;
use wisteriahead::services::Plans;
use wisteriahead::util::http::{self, Answer, Server};
use wisteriahead::util::tls::Kind;

async fn give(plans: &Arc<dyn Plans>, state: ZoneState) {
    let given = async {
        while plans.set_zone("z", state).await.is_err() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(HANG_TIMEOUT, given).await.expect("the order is acknowledged");
}

/// Guards against an order that a host took and still holds when it was cut off, and carries out though
/// later orders were acknowledged (review/1, with a cut in place of a host that stands still).
#[tokio::test]
async fn order_held_by_a_host_that_was_cut_off_does_not_undo_a_later_one() {
    let authority = Authority::new();
    let mut a = Host::start("a", authority.issue(Kind::Host, "a"), &[]).await;
    let mut b = Host::start("b", authority.issue(Kind::Host, "b"), &[a.address]).await;
    let plans =
        |host: &Host| -> Arc<dyn Plans> { host.kernel.context().find(<dyn Plans>::NAME).unwrap() };
    let (at_a, at_b) = (plans(&a), plans(&b));
    at_a.publish(plan(1)).await.unwrap();
    give(&at_b, ZoneState::Out).await;
    b.peers.set_blocked(["a".to_owned()].into_iter().collect());
    let held = tokio::spawn(async move { at_b.set_zone("z", ZoneState::In).await });
    give(&at_a, ZoneState::In).await;
    give(&at_a, ZoneState::Out).await;
    b.peers.set_blocked(IndexSet::new());
    let held = held.await.unwrap();
    assert!(held.is_err(), "the late order was accepted");
    // Once a later plan is in force here, all that came before it is.
    plans(&a).publish(plan(2)).await.unwrap();
    let number = || a.control.watch().borrow().plan.as_ref().map(|plan| plan.number);
    until("the plan is in force", || number() == Some(2)).await;
    let zones = a.control.watch().borrow().document.clone();
    assert_eq!(zones.zone("z").map(|z| z.state), Some(ZoneState::Out));
    b.kernel.stop(Span::secs(5)).await;
    a.kernel.stop(Span::secs(5)).await;
}

/// Takes an order for each request, and counts the calls that have begun and those that are over,
/// answered or dropped.
struct Orders {
    plans: Arc<dyn Plans>,
    begun: Arc<AtomicUsize>,
    over: Arc<AtomicUsize>,
}

struct CountOnDrop(Arc<AtomicUsize>);

impl Drop for CountOnDrop {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

impl http::Routes for Orders {
    fn answer(&self, _: Request<Incoming>) -> BoxFuture<'_, Answer> {
        self.begun.fetch_add(1, Ordering::Relaxed);
        let over = CountOnDrop(self.over.clone());
        Box::pin(async move {
            let result = self.plans.set_zone("z", ZoneState::Out).await;
            drop(over);
            http::json(StatusCode::OK, &result.is_ok())
        })
    }
}

/// Guards against an order that is carried out after its caller has left: it arrives late, together
/// with the end of its connection, and the caller has long given it to another host.
#[tokio::test]
async fn order_whose_caller_has_left_is_not_carried_out() {
    const CALLS: usize = 20;
    let authority = Authority::new();
    let mut a = Host::start("a", authority.issue(Kind::Host, "a"), &[]).await;
    let plans: Arc<dyn Plans> = a.kernel.context().find(<dyn Plans>::NAME).unwrap();
    plans.publish(plan(1)).await.unwrap();
    let number = || a.control.watch().borrow().plan.as_ref().map(|plan| plan.number);
    until("the first plan is in force", || number() == Some(1)).await;
    let revision = a.control.watch().borrow().revision;
    let (begun, over) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let orders =
        Arc::new(Orders { plans: plans.clone(), begun: begun.clone(), over: over.clone() });
    let server = Server::start(http::bind(ANY).await.unwrap(), orders).unwrap();
    // The server may notice the end of a connection before it takes the order.
    wait_until("enough orders are taken", async || {
        let mut caller = TcpStream::connect(server.address()).await.unwrap();
        let order = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n";
        caller.write_all(order).await.unwrap();
        begun.load(Ordering::Relaxed) >= CALLS
    })
    .await;
    let counts = || [&begun, &over].map(|n| n.load(Ordering::Relaxed));
    until("all calls are over", || counts()[0] == counts()[1]).await;
    plans.publish(plan(2)).await.unwrap();
    until("the second plan is in force", || number() == Some(2)).await;
    let revision = revision + 1;
    assert_eq!(a.control.watch().borrow().revision, revision, "an order was carried out");
    a.kernel.stop(Span::secs(5)).await;
}
