//! Endpoints whose refusals of orders come twice: the late copy must not be taken for the response to
//! another sending.

use crate::relay_tier::*;
use crate::support::{ANY, HANG_TIMEOUT};
use hyper::StatusCode;
use indexmap::IndexMap;
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use wisteria_testkit::wait::wait_until;
use yare::parameterized;

/// An endpoint that refuses each order once and runs it when it comes again.
#[derive(Default)]
struct Endpoint {
    /// Sendings and runs of each order.
    seen: Mutex<IndexMap<String, (usize, usize)>>,
    /// Whether the late copy of a refusal names its order.
    copies_name_order: bool,
}

impl Endpoint {
    async fn start(copies_name_order: bool) -> (Arc<Self>, SocketAddr) {
        let endpoint = Arc::new(Self { copies_name_order, ..Self::default() });
        let listener = TcpListener::bind(ANY).await.unwrap();
        let address = listener.local_addr().unwrap();
        let accepting = endpoint.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(accepting.clone().serve(stream));
            }
        });
        (endpoint, address)
    }

    /// Serves the requests of a connection one after the other. The copy of a refusal comes where the
    /// response to the next request is due.
    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let (mut head, mut late) = (vec![0; 4_096], None::<String>);
        while let Ok(read) = stream.read(&mut head).await
            && read > 0
        {
            let text = String::from_utf8_lossy(&head[..read]).into_owned();
            let id = text.lines().find_map(|l| l.strip_prefix("id: ")).unwrap_or_default();
            if let Some(copy) = late.take() {
                let _ = stream.write_all(copy.as_bytes()).await;
            }
            let refuses = {
                let mut seen = self.seen.lock();
                let (sent, ran) = seen.entry(id.to_owned()).or_default();
                *sent += 1;
                *ran += usize::from(*sent > 1);
                *sent == 1
            };
            let answer = if refuses {
                let refusal = |id: &str| {
                    format!("HTTP/1.1 503 Busy\r\n{id}{REFUSED}: 1\r\ncontent-length: 0\r\n\r\n")
                };
                let named = format!("{ID}: {id}\r\n");
                late = Some(refusal(if self.copies_name_order { &named } else { "" }));
                refusal(&named)
            } else {
                format!(
                    "HTTP/1.1 200 OK\r\n{ID}: {id}\r\n{SIGNATURE}: s\r\ncontent-length: 2\r\n\r\nok"
                )
            };
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    }

    fn runs(&self, id: &str) -> usize {
        self.seen.lock().get(id).map_or(0, |(_, ran)| *ran)
    }
}

async fn tier(address: SocketAddr, connections: u32) -> Tier {
    let tier = Tier::start_scarce(&[("a", "south")], 2, connections, Some(address)).await;
    let follows = async || {
        let got = get_path(tier.entry, "s1", "/q", "first").await.unwrap().status();
        got == StatusCode::OK
    };
    wait_until("the plan is followed", follows).await;
    tier
}

async fn order(tier: &Tier, id: &str) -> StatusCode {
    let sent = get_path(tier.entry, "once", "/q", id);
    timeout(HANG_TIMEOUT, sent).await.unwrap().unwrap().status()
}

/// Guards against orders that run twice (review/7): an order that was refused is sent again over the
/// connection on which the copy of the refusal is still to come, and the copy is believed.
#[parameterized(
    many_connections = { CONNECTIONS },
    single_connection = { 1 },
)]
#[test_macro(tokio::test)]
async fn late_copy_of_a_refusal_is_not_the_answer_to_the_next_sending(connections: u32) {
    let (endpoint, address) = Endpoint::start(true).await;
    let tier = tier(address, connections).await;
    for n in 0..20 {
        let id = format!("order-{n}");
        let status = order(&tier, &id).await;
        assert!(endpoint.runs(&id) <= 1, "{id} ran {} times", endpoint.runs(&id));
        // The copy of another order's refusal ends an order without a proof that it has not run.
        let known = [StatusCode::OK, StatusCode::BAD_GATEWAY].contains(&status);
        assert!(known, "{id} ran {} times and was answered {status}", endpoint.runs(&id));
    }
}

/// Guards against a refusal that names no request: it may be the copy of one to another order.
#[tokio::test]
async fn refusal_that_names_no_order_proves_nothing() {
    let (endpoint, address) = Endpoint::start(false).await;
    let tier = tier(address, CONNECTIONS).await;
    for n in 0..20 {
        let id = format!("order-{n}");
        let status = order(&tier, &id).await;
        assert!(endpoint.runs(&id) <= 1, "{id} ran {} times", endpoint.runs(&id));
        assert_ne!(status, StatusCode::SERVICE_UNAVAILABLE, "{id}: {:?}", endpoint.seen.lock());
    }
}
