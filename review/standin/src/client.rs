//! Requesters: each attempt has its own identifier and connection.

use crate::http;
use crate::world::World;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// An attempt of a requester and its answer; status 0 stands for a connection that ended without one.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: Duration,
    pub id: String,
    pub status: u16,
}

#[derive(Default)]
pub struct Log(pub Mutex<Vec<Sent>>);

/// Sends one attempt and waits for its answer at most `deadline_ms`.
pub fn attempt(
    world: &World,
    log: &Log,
    front: SocketAddr,
    method: &str,
    path: &str,
    deadline_ms: u64,
) -> Sent {
    let (at, id) = (world.now(), format!("{:016x}", 0x9c41_d07b_0000_0000 + world.unique()));
    let deadline = deadline_ms.to_string();
    let headers = [
        ("host", "standin.example"),
        (world.name("id"), id.as_str()),
        (world.name("deadline"), deadline.as_str()),
    ];
    let body = if method == "POST" { "one order" } else { "" };
    let limit = Duration::from_millis(deadline_ms);
    let start = format!("{method} {path}");
    let answer = http::call(front, &start, &headers, body.as_bytes(), limit);
    let status = answer.map_or(0, |m| m.status());
    let sent = Sent { at, id, status };
    world.note(format!(
        "requester: {method} {path} {} sent at {:.3} to {front}: {status}",
        sent.id,
        at.as_secs_f64()
    ));
    log.0.lock().unwrap().push(sent.clone());
    sent
}

/// Sends requests at a steady rate to one entry host until the case is over.
pub fn steady(
    world: &Arc<World>,
    log: &Arc<Log>,
    front: SocketAddr,
    (method, path): (&'static str, &'static str),
    gap_ms: u64,
    deadline_ms: u64,
) -> JoinHandle<()> {
    let (world, log) = (Arc::clone(world), Arc::clone(log));
    thread::spawn(move || {
        while !world.is_over() {
            let (w, l) = (Arc::clone(&world), Arc::clone(&log));
            thread::spawn(move || attempt(&w, &l, front, method, path, deadline_ms));
            thread::sleep(Duration::from_millis(gap_ms));
        }
    })
}
