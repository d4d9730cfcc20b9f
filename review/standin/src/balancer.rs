//! The provider's balancer, as the pages describe it, and requesters that keep their connections.

use crate::client::{Log, Sent};
use crate::http;
use crate::tier::{FRONT_ZONES, Tier, ZONES};
use crate::world::World;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Misses after which a node receives no new connections.
const MISSES: u32 = 2;

struct Node {
    front: SocketAddr,
    zone: &'static str,
    misses: u32,
}

pub struct Balancer {
    nodes: Mutex<Vec<Node>>,
    next: AtomicUsize,
}

impl Balancer {
    /// Starts the readiness checks, one per node and second.
    pub fn start(world: &Arc<World>, tier: &Tier) -> Arc<Self> {
        let count = tier.fronts.len();
        let node = |i| Node { front: tier.entry(i), zone: FRONT_ZONES[i], misses: 0 };
        let nodes = Mutex::new((0..count).map(node).collect());
        let balancer = Arc::new(Self { nodes, next: AtomicUsize::new(0) });
        for i in 0..count {
            let (world, balancer, to) = (Arc::clone(world), Arc::clone(&balancer), tier.ready(i));
            thread::spawn(move || {
                while !world.is_over() {
                    let started = world.now();
                    let start = format!("GET {}", world.name("ready"));
                    let second = Duration::from_secs(1);
                    let answer = http::call(to, &start, &[], &[], second);
                    let is_ready = answer.is_ok_and(|m| m.status() == 200);
                    let mut nodes = balancer.nodes.lock().unwrap();
                    let before = nodes[i].misses;
                    nodes[i].misses = if is_ready { 0 } else { before + 1 };
                    match (before, nodes[i].misses) {
                        (1, MISSES) => world.note(format!("balancer: {to} out of rotation")),
                        (MISSES.., 0) => world.note(format!("balancer: {to} back in rotation")),
                        _ => {}
                    }
                    drop(nodes);
                    thread::sleep(second.saturating_sub(world.now() - started));
                }
            });
        }
        balancer
    }

    /// Node for a new connection from a zone: one in rotation, all nodes of the zone if fewer than
    /// half are, or another zone's if none is.
    fn choose(&self, zone: &str) -> SocketAddr {
        let nodes = self.nodes.lock().unwrap();
        let own: Vec<&Node> = nodes.iter().filter(|n| n.zone == zone).collect();
        let ready: Vec<&Node> = own.iter().copied().filter(|n| n.misses < MISSES).collect();
        let from = match (ready.len(), own.len()) {
            (0, _) => nodes.iter().filter(|n| n.misses < MISSES).collect(),
            (n, all) if n * 2 < all => own,
            _ => ready,
        };
        let at = self.next.fetch_add(1, Ordering::Relaxed);
        from.get(at % from.len().max(1)).map_or(nodes[0].front, |n| n.front)
    }
}

/// Starts `count` requesters in a zone. Each keeps its connection and sends a request every
/// `period_ms`, each at its own time. A request that is not answered within `patience_ms` is
/// abandoned with its connection; a GET is then sent once more on a new one.
pub fn start_requesters(
    world: &Arc<World>,
    balancer: &Arc<Balancer>,
    log: &Arc<Log>,
    (zone, count): (&'static str, u64),
    (method, path): (&'static str, &'static str),
    (period_ms, deadline_ms, patience_ms): (u64, u64, u64),
) {
    for i in 0..count {
        let (world, balancer, log) = (Arc::clone(world), Arc::clone(balancer), Arc::clone(log));
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(period_ms * i / count));
            let mut kept = None;
            while !world.is_over() {
                let started = world.now();
                for left in [deadline_ms, deadline_ms - patience_ms] {
                    let (front, stream) = match kept.take() {
                        Some(kept) => kept,
                        None => {
                            let front = balancer.choose(zone);
                            match TcpStream::connect_timeout(&front, Duration::from_secs(1)) {
                                Ok(stream) => (front, stream),
                                Err(_) => continue,
                            }
                        }
                    };
                    let sent = send(&world, &stream, front, (method, path), left, patience_ms);
                    let answered = sent.status != 0;
                    log.0.lock().unwrap().push(sent);
                    if answered {
                        kept = Some((front, stream));
                    }
                    if answered || method != "GET" {
                        break;
                    }
                }
                let period = Duration::from_millis(period_ms);
                thread::sleep(period.saturating_sub(world.now() - started));
            }
        });
    }
    assert!(ZONES.contains(&zone));
}

fn send(
    world: &World,
    stream: &TcpStream,
    front: SocketAddr,
    (method, path): (&str, &str),
    deadline_ms: u64,
    patience_ms: u64,
) -> Sent {
    let (at, id) = (world.now(), format!("{:016x}", 0x9c41_d07b_0000_0000 + world.unique()));
    let deadline = deadline_ms.to_string();
    let headers = [
        ("host", "standin.example"),
        (world.name("id"), id.as_str()),
        (world.name("deadline"), deadline.as_str()),
    ];
    let answer = stream.try_clone().and_then(|mut stream| {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(patience_ms)))?;
        let body = if method == "POST" { "one order" } else { "" };
        http::write(&mut stream, &format!("{method} {path} HTTP/1.1"), &headers, body.as_bytes())?;
        http::read(&mut stream, &mut Vec::new())
    });
    let status = answer.ok().flatten().map_or(0, |m| m.status());
    world.note(format!(
        "requester: {method} {path} {id} sent at {:.3} to {front}: {status}",
        at.as_secs_f64()
    ));
    Sent { at, id, status }
}
