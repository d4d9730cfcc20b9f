//! Callers: send a request each and note the answer.

use crate::http;
use crate::record::Record;
use crate::wire::wire;
use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;

/// Name that callers give in `Host`.
pub const HOST: &str = "shop.example";

/// A request and its answer.
#[derive(Clone, Debug)]
pub struct Answered {
    /// Identifier of the request.
    pub id: String,
    /// Status; none if the connection ended without an answer.
    pub status: Option<u16>,
}

/// Sends a request to a host on a new connection and waits for the answer.
pub fn send(
    to: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    wait: Duration,
    record: &Record,
) -> Answered {
    let deadline = wait.as_millis().to_string();
    let headers = [("Host", HOST), (wire("id"), id), (wire("deadline"), &deadline)];
    let body: &[u8] = if method == "POST" { b"an order" } else { b"" };
    let request = http::format(&format!("{method} {path} HTTP/1.1"), &headers, body);
    record.note("caller", &format!("sends {method} {path} {id} to {to}"));
    let answer = http::call(to, &request, wait + Duration::from_secs(1));
    let (status, text) = match answer {
        Ok(answer) => (Some(answer.status()), String::from_utf8_lossy(&answer.body).into_owned()),
        Err(e) => (None, e.to_string()),
    };
    record.note("caller", &format!("gets {status:?} for {id}: {text}"));
    Answered { id: id.to_owned(), status }
}

/// Sends a request like [`send`] from a thread of its own.
pub fn spawn(
    to: SocketAddr,
    method: &'static str,
    path: &str,
    id: &str,
    wait: Duration,
    record: &Record,
) -> JoinHandle<Answered> {
    let (path, id, record) = (path.to_owned(), id.to_owned(), record.clone());
    std::thread::spawn(move || send(to, method, &path, &id, wait, &record))
}
