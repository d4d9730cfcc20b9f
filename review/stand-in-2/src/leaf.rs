//! An endpoint: runs as many requests at once as it has slots, queues a few more and refuses the rest.

use crate::http::{self, Message};
use crate::record::Record;
use crate::wire::{fill, wire};
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

/// Interval at which waits look whether the endpoint or the connection has ended.
const LOOK: Duration = Duration::from_millis(2);

/// What happened at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Happened {
    /// A request arrived and was neither for another endpoint nor a liveness check.
    Arrived,
    /// A request began to run.
    Ran,
    /// A request began to run while the endpoint was cold.
    RanCold,
    /// A request crashed the endpoint.
    Crashed,
}

/// An event at an endpoint.
#[derive(Clone, Debug)]
pub struct Event {
    /// Milliseconds since the start of the run.
    pub ms: u64,
    /// Endpoint.
    pub leaf: String,
    /// Request.
    pub request: String,
    /// What happened.
    pub what: Happened,
}

/// Events at all endpoints of a run.
pub type Events = Arc<Mutex<Vec<Event>>>;

/// Time that a request takes at an endpoint; none if it hangs.
pub type Work = Box<dyn Fn(&str) -> Option<Duration> + Send + Sync>;
/// Whether something holds for the request of this path.
pub type Test = Box<dyn Fn(&str) -> bool + Send + Sync>;

/// Time for which a request runs before it crashes its endpoint.
const CRASH_AFTER: Duration = Duration::from_millis(20);

/// What an endpoint is.
pub struct Setup {
    /// Name of its lifetime.
    pub id: String,
    /// Service.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Address to listen on; the port is drawn.
    pub ip: String,
    /// Requests that run at once.
    pub slots: usize,
    /// Requests that wait besides.
    pub queue: usize,
    /// Time of its work.
    pub work: Work,
    /// Requests to whose refusal it adds an extra copy.
    pub spoils: Test,
    /// Requests that crash it.
    pub crashes: Test,
    /// Requests that begin in a second at which it crashes while it is cold.
    pub cold_limit: usize,
}

struct Shared {
    setup: Setup,
    address: SocketAddr,
    born: u64,
    seq: AtomicU64,
    draining: AtomicBool,
    ended: AtomicBool,
    /// Tickets of the requests that run or wait, in the order of their arrival.
    present: Mutex<Vec<u64>>,
    tickets: AtomicU64,
    /// Until when it is cold, and when requests began since it became so.
    cold: Mutex<(Option<Instant>, Vec<Instant>)>,
    events: Events,
    record: Record,
}

/// A running endpoint.
#[derive(Clone)]
pub struct Leaf(Arc<Shared>);

impl Leaf {
    /// Starts an endpoint, which announces itself to the control plane until it ends.
    pub fn start(setup: Setup, control: &[SocketAddr], events: &Events, record: &Record) -> Self {
        let listener = TcpListener::bind((setup.ip.as_str(), 0)).expect("bind a leaf");
        let address = listener.local_addr().expect("address of a leaf");
        listener.set_nonblocking(true).expect("a listener that does not block");
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("a clock");
        let shared = Arc::new(Shared {
            setup,
            address,
            born: since.as_millis() as u64,
            seq: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            present: Mutex::default(),
            tickets: AtomicU64::new(0),
            cold: Mutex::default(),
            events: Arc::clone(events),
            record: record.clone(),
        });
        let accepting = Arc::clone(&shared);
        std::thread::spawn(move || accept(&accepting, &listener));
        let (beating, control) = (Arc::clone(&shared), control.to_vec());
        std::thread::spawn(move || {
            while !beating.ended() {
                beating.beat(&control);
                std::thread::sleep(Duration::from_millis(1_200));
            }
        });
        Self(shared)
    }

    /// Becomes cold for a time.
    pub fn become_cold(&self, time: Duration) {
        *self.0.cold.lock().unwrap() = (Some(Instant::now() + time), Vec::new());
        self.0.note(&format!("is cold for {time:?}"));
    }

    /// Says that it is draining until that is acknowledged; returns when it was.
    pub fn drain(&self, control: &[SocketAddr]) -> Option<u64> {
        self.0.draining.store(true, Ordering::Relaxed);
        let acknowledged = self.0.beat(control).then(|| self.0.record.ms());
        self.0.note(&format!("draining acknowledged={}", acknowledged.is_some()));
        acknowledged
    }

    /// Sends its last message and exits.
    pub fn leave(&self, control: &[SocketAddr]) {
        let s = &self.0;
        let body = fill("leave", &[("born", &s.born.to_string())]);
        let start = format!("POST {}{} HTTP/1.1", wire("leave-path"), s.setup.id);
        s.tell(control, &start, &body);
        s.note("leaves and exits");
        s.ended.store(true, Ordering::Relaxed);
    }

    /// Whether it has ended.
    pub fn has_ended(&self) -> bool {
        self.0.ended()
    }

    /// Ends without a word; its connections close and its address refuses new ones.
    pub fn crash(&self) {
        self.0.note("crashes");
        self.0.ended.store(true, Ordering::Relaxed);
    }
}

impl Shared {
    fn ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    fn note(&self, what: &str) {
        self.record.note(&self.setup.id, what);
    }

    /// How much longer it is cold.
    fn cold_left(&self) -> Duration {
        let until = self.cold.lock().unwrap().0;
        until.map_or(Duration::ZERO, |at| at.saturating_duration_since(Instant::now()))
    }

    /// Notes that a request begins; returns false if the endpoint cannot bear it and crashes.
    fn begin(&self, request: &str) -> bool {
        if self.cold_left().is_zero() {
            self.happened(request, Happened::Ran);
            return true;
        }
        self.happened(request, Happened::RanCold);
        let now = Instant::now();
        let begun = &mut self.cold.lock().unwrap().1;
        begun.retain(|at| now - *at < Duration::from_secs(1));
        begun.push(now);
        let bears = begun.len() < self.setup.cold_limit;
        if !bears && !self.ended.swap(true, Ordering::Relaxed) {
            self.note(&format!("crashes, cold, with {} requests in a second", begun.len()));
        }
        bears
    }

    fn beat(&self, control: &[SocketAddr]) -> bool {
        let state = if self.draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        let body = fill(
            "beat",
            &[
                ("service", &self.setup.service),
                ("address", &self.address.to_string()),
                ("zone", &self.setup.zone),
                ("slots", &self.setup.slots.to_string()),
                ("state", state),
                ("born", &self.born.to_string()),
                ("seq", &seq.to_string()),
                ("cold", &self.cold_left().as_millis().to_string()),
            ],
        );
        let start = format!("POST {}{} HTTP/1.1", wire("beat-path"), self.setup.id);
        self.tell(control, &start, &body)
    }

    fn tell(&self, control: &[SocketAddr], start: &str, body: &str) -> bool {
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let request = http::format(start, &headers, body.as_bytes());
        control.iter().any(|to| {
            let answer = http::call(*to, &request, Duration::from_secs(1));
            answer.is_ok_and(|answer| answer.status() / 100 == 2)
        })
    }

    fn happened(&self, request: &str, what: Happened) {
        self.note(&format!("{what:?} {request}"));
        let event = Event {
            ms: self.record.ms(),
            leaf: self.setup.id.clone(),
            request: request.to_owned(),
            what,
        };
        self.events.lock().unwrap().push(event);
    }

    /// Takes a place for a request; none if the endpoint is full.
    fn enter(self: &Arc<Self>) -> Option<Place> {
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        let mut present = self.present.lock().unwrap();
        if present.len() >= self.setup.slots + self.setup.queue {
            return None;
        }
        present.push(ticket);
        Some(Place { leaf: Arc::clone(self), ticket })
    }

    fn respond(&self, id: &str, status: &str, mark: Option<&str>, body: &[u8]) -> Vec<u8> {
        let stamp = format!("{}.{id}.{}", self.setup.id, status.len());
        let mut headers = vec![(wire("id"), id), ("Content-Type", "text/plain")];
        match mark {
            Some(mark) => headers.push((wire("not-run"), mark)),
            None => headers.push((wire("stamp"), &stamp)),
        }
        http::format(&format!("HTTP/1.1 {status}"), &headers, body)
    }
}

/// A place in the slots or the queue of an endpoint; dropping it frees the place.
struct Place {
    leaf: Arc<Shared>,
    ticket: u64,
}

impl Place {
    fn may_run(&self) -> bool {
        let present = self.leaf.present.lock().unwrap();
        present.iter().take(self.leaf.setup.slots).any(|t| *t == self.ticket)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.leaf.present.lock().unwrap().retain(|t| *t != self.ticket);
    }
}

fn accept(leaf: &Arc<Shared>, listener: &TcpListener) {
    while !leaf.ended() {
        match listener.accept() {
            Ok((stream, _)) => {
                let leaf = Arc::clone(leaf);
                std::thread::spawn(move || serve(&leaf, stream));
            }
            Err(_) => std::thread::sleep(LOOK),
        }
    }
}

/// Serves one connection until it or the endpoint ends.
fn serve(leaf: &Arc<Shared>, mut stream: TcpStream) -> Option<()> {
    stream.set_nonblocking(false).ok()?;
    stream.set_nodelay(true).ok()?;
    let (mut rest, mut extra) = (Vec::new(), None::<Vec<u8>>);
    loop {
        await_bytes(leaf, &stream, &rest)?;
        let deadline = Instant::now() + Duration::from_secs(10);
        let request = http::read(&mut stream, &mut rest, deadline).ok()?;
        // The extra copy of an earlier response arrives where the next response is expected.
        if let Some(late) = extra.take() {
            leaf.note("sends the extra copy of its earlier refusal");
            stream.write_all(&late).ok()?;
        }
        let response = answer(leaf, &stream, &request, &mut extra)?;
        stream.write_all(&response).ok()?;
    }
}

/// Waits until bytes can be read; none if the endpoint or the connection has ended.
fn await_bytes(leaf: &Shared, stream: &TcpStream, rest: &[u8]) -> Option<()> {
    while rest.is_empty() && !leaf.ended() {
        stream.set_read_timeout(Some(LOOK)).ok()?;
        match stream.peek(&mut [0]) {
            Ok(0) => return None,
            Ok(_) => return Some(()),
            Err(_) => {}
        }
    }
    (!leaf.ended()).then_some(())
}

fn answer(
    leaf: &Arc<Shared>,
    stream: &TcpStream,
    request: &Message,
    extra: &mut Option<Vec<u8>>,
) -> Option<Vec<u8>> {
    if request.path() == "/health" {
        let cold = leaf.cold_left().as_millis().to_string();
        let headers = [(wire("instance"), leaf.setup.id.as_str()), (wire("cold"), &cold)];
        return Some(http::format("HTTP/1.1 200 OK", &headers, b""));
    }
    let id = request.header(wire("id")).unwrap_or("").to_owned();
    if request.header(wire("expect")).is_some_and(|expected| expected != leaf.setup.id) {
        return Some(leaf.respond(&id, "421 Misdirected Request", Some("1"), b""));
    }
    leaf.happened(&id, Happened::Arrived);
    let Some(place) = leaf.enter() else {
        let refusal = leaf.respond(&id, "503 Service Unavailable", Some("1"), b"full");
        let spoils = (leaf.setup.spoils)(request.path());
        leaf.note(&format!(
            "refuses {id} as full{}",
            if spoils { ", with an extra copy" } else { "" }
        ));
        *extra = spoils.then(|| refusal.clone());
        return Some(refusal);
    };
    while !place.may_run() {
        look(leaf, stream, &id)?;
    }
    if !leaf.begin(&id) {
        return None;
    }
    if (leaf.setup.crashes)(request.path()) {
        std::thread::sleep(CRASH_AFTER);
        if !leaf.ended.swap(true, Ordering::Relaxed) {
            leaf.happened(&id, Happened::Crashed);
        }
        return None;
    }
    let work = (leaf.setup.work)(request.path());
    let end = work.map(|work| Instant::now() + work);
    while end.is_none_or(|end| Instant::now() < end) {
        look(leaf, stream, &id)?;
    }
    leaf.note(&format!("answers {id} with 200"));
    Some(leaf.respond(&id, "200 OK", None, format!("done by {}", leaf.setup.id).as_bytes()))
}

/// Waits a moment; none if the endpoint has ended or the connection has closed.
fn look(leaf: &Shared, stream: &TcpStream, id: &str) -> Option<()> {
    std::thread::sleep(LOOK);
    if leaf.ended() {
        leaf.note(&format!("ends with {id} unanswered"));
        return None;
    }
    stream.set_nonblocking(true).ok()?;
    let closed = matches!(stream.peek(&mut [0]), Ok(0));
    stream.set_nonblocking(false).ok()?;
    if closed {
        leaf.note(&format!("drops {id}, whose connection has closed"));
    }
    (!closed).then_some(())
}
