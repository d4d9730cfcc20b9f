//! A leaf as the pages describe a sound one. It ends and starts again as a case asks.

use crate::http;
use crate::world::{World, sleep_ms, unix_ms};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const BEAT_MS: u64 = 1_200;
/// Requests that wait for a slot.
const QUEUE: usize = 8;

#[derive(Default)]
struct State {
    up: bool,
    id: String,
    born: u64,
    seq: u64,
    cold_until: Option<Instant>,
    running: usize,
    waiting: usize,
    /// Number of lifetimes so far; runs of an earlier one end without an answer.
    life: u64,
    crashes: u64,
    conns: Vec<TcpStream>,
}

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub id: String,
    pub path: String,
    pub cold: bool,
    /// Whether the answer was written, once known.
    pub answered: Option<bool>,
}

pub struct Leaf {
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: usize,
    pub work: Duration,
    /// A request whose path contains this text crashes the leaf.
    pub poison: Option<String>,
    /// Requests begun in a second at which the leaf crashes while it is cold.
    pub cold_crash: usize,
    world: Arc<World>,
    controls: Vec<SocketAddr>,
    state: Mutex<State>,
    free: Condvar,
    pub runs: Mutex<Vec<Run>>,
}

impl Leaf {
    pub fn start(
        world: &Arc<World>,
        controls: &[SocketAddr],
        (service, zone, address): (&str, &str, SocketAddr),
        (slots, work_ms): (usize, u64),
        poison: Option<&str>,
        cold_crash: usize,
    ) -> Arc<Self> {
        let leaf = Arc::new(Self {
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            slots,
            work: Duration::from_millis(work_ms),
            poison: poison.map(str::to_owned),
            cold_crash,
            world: Arc::clone(world),
            controls: controls.to_owned(),
            state: Mutex::default(),
            free: Condvar::new(),
            runs: Mutex::default(),
        });
        leaf.begin_life();
        let (server, beater) = (Arc::clone(&leaf), Arc::clone(&leaf));
        thread::spawn(move || server.serve());
        thread::spawn(move || beater.beat_forever());
        leaf
    }

    /// Starts a lifetime under a new identifier.
    pub fn begin_life(&self) {
        let mut s = self.state.lock().unwrap();
        s.id = format!("i-{:08x}", 0x7f3a_0000 + self.world.unique());
        (s.born, s.seq, s.running, s.waiting) = (unix_ms(), 0, 0, 0);
        s.life += 1;
        s.up = true;
        self.world.note(format!("leaf {} of {} starts as {}", self.address, self.service, s.id));
    }

    pub fn is_up(&self) -> bool {
        self.state.lock().unwrap().up
    }

    /// Falls back into cold start for a time, and says so with the next regular heartbeat.
    pub fn become_cold(&self, span: Duration) {
        let mut s = self.state.lock().unwrap();
        s.cold_until = Some(Instant::now() + span);
        self.world.note(format!("leaf {} is cold for {} ms", s.id, span.as_millis()));
    }

    /// Sends a heartbeat now.
    pub fn announce(&self) {
        assert!(self.beat(&mut 0), "no node acknowledged a heartbeat");
        self.world.note("the heartbeat that says so is acknowledged");
    }

    /// Starts the leaf again some time after each crash, until the case is over.
    pub fn revive(&self, world: &World, after_ms: u64) {
        while !world.is_over() {
            if !self.is_up() {
                sleep_ms(after_ms);
                self.begin_life();
                self.beat(&mut 0);
            }
            sleep_ms(10);
        }
    }

    /// Number of crashes so far.
    pub fn crashes(&self) -> u64 {
        self.state.lock().unwrap().crashes
    }

    /// Ends the lifetime without notice: its connections are reset and its port refuses others.
    pub fn crash(&self) {
        let mut s = self.state.lock().unwrap();
        s.up = false;
        s.life += 1;
        s.crashes += 1;
        for conn in s.conns.drain(..) {
            let _ = conn.shutdown(Shutdown::Both);
        }
        self.free.notify_all();
        self.world.note(format!("leaf {} crashes", s.id));
    }

    fn cold_left(s: &State) -> u64 {
        let left = s.cold_until.map(|at| at.saturating_duration_since(Instant::now()));
        left.unwrap_or_default().as_millis() as u64
    }

    fn beat_forever(&self) {
        let mut node = self.world.unique() as usize;
        while !self.world.is_over() {
            if self.state.lock().unwrap().up {
                self.beat(&mut node);
            }
            sleep_ms(BEAT_MS);
        }
    }

    /// Sends one heartbeat, to the next node while none acknowledges it; whether one did.
    pub fn beat(&self, node: &mut usize) -> bool {
        for _ in 0..self.controls.len() {
            let (id, body) = {
                let mut s = self.state.lock().unwrap();
                s.seq += 1;
                let body = self.world.fill(
                    "beat.json",
                    &[
                        ("service", self.service.as_str()),
                        ("address", &self.address.to_string()),
                        ("zone", &self.zone),
                        ("slots", &self.slots.to_string()),
                        ("state", "ready"),
                        ("cold", &Self::cold_left(&s).to_string()),
                        ("seq", &s.seq.to_string()),
                        ("born", &s.born.to_string()),
                    ],
                );
                (s.id.clone(), body)
            };
            let to = self.controls[*node % self.controls.len()];
            let start = format!("POST {}{id}", self.world.name("beat"));
            let json = [("content-type", "application/json")];
            let sent = http::call(to, &start, &json, body.as_bytes(), Duration::from_secs(1));
            if sent.is_ok_and(|m| m.status() / 100 == 2) {
                return true;
            }
            *node += 1;
        }
        false
    }

    fn serve(self: Arc<Self>) {
        while !self.world.is_over() {
            if !self.state.lock().unwrap().up {
                sleep_ms(5);
                continue;
            }
            let Ok(listener) = TcpListener::bind(self.address) else {
                sleep_ms(5);
                continue;
            };
            let _ = listener.set_nonblocking(true);
            while !self.world.is_over() && self.state.lock().unwrap().up {
                match listener.accept() {
                    Ok((stream, _)) => self.accept(stream),
                    Err(_) => sleep_ms(2),
                }
            }
        }
    }

    fn accept(self: &Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let mut s = self.state.lock().unwrap();
        if let Ok(copy) = stream.try_clone() {
            s.conns.push(copy);
        }
        let (leaf, life) = (Arc::clone(self), s.life);
        thread::spawn(move || leaf.serve_connection(stream, life));
    }

    fn serve_connection(&self, mut stream: TcpStream, life: u64) {
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = http::read(&mut stream, &mut buffer) {
            if self.answer(&mut stream, &request, life).is_none() {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// Answers a request; none if the lifetime has ended.
    fn answer(&self, stream: &mut TcpStream, request: &http::Message, life: u64) -> Option<()> {
        let w = &self.world;
        let id = request.header(w.name("id")).unwrap_or_default().to_owned();
        let path = request.second().to_owned();
        let (me, cold) = {
            let s = self.state.lock().unwrap();
            (s.id.clone(), Self::cold_left(&s))
        };
        if path == "/health" {
            let cold = cold.to_string();
            let headers = [(w.name("instance"), me.as_str()), (w.name("warmup"), &cold)];
            return http::write(stream, "HTTP/1.1 200 OK", &headers, b"").ok();
        }
        let refuse = |stream: &mut TcpStream, status: &str| {
            let headers = [(w.name("id"), id.as_str()), (w.name("not_run"), "1")];
            http::write(stream, &format!("HTTP/1.1 {status}"), &headers, b"").ok()
        };
        if request.header(w.name("expect")).is_some_and(|wanted| wanted != me) {
            w.note(format!("leaf {me} answers 421 to {id}"));
            return refuse(stream, "421 Misdirected Request");
        }
        if !self.take_slot(life)? {
            return refuse(stream, "503 Service Unavailable");
        }
        w.note(format!(
            "leaf {me} ({}) runs {id} {path}{}",
            self.zone,
            if cold > 0 { " cold" } else { "" }
        ));
        let index = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                at: w.now(),
                id: id.clone(),
                path: path.clone(),
                cold: cold > 0,
                answered: None,
            });
            runs.len() - 1
        };
        if cold > 0 && self.begun_in_last_second() >= self.cold_crash {
            self.crash();
            return None;
        }
        if self.poison.as_ref().is_some_and(|p| path.contains(p.as_str())) {
            sleep_ms(5);
            self.crash();
            return None;
        }
        thread::sleep(self.work);
        let ended = {
            let mut s = self.state.lock().unwrap();
            let ended = s.life != life;
            if !ended {
                s.running -= 1;
                self.free.notify_one();
            }
            ended
        };
        let stamp = format!("{me}.{id}");
        let headers = [(w.name("id"), id.as_str()), (w.name("stamp"), &stamp)];
        let body = format!("answer to {id}");
        let written =
            !ended && http::write(stream, "HTTP/1.1 200 OK", &headers, body.as_bytes()).is_ok();
        self.runs.lock().unwrap()[index].answered = Some(written);
        if ended { None } else { Some(()) }
    }

    fn begun_in_last_second(&self) -> usize {
        let (runs, now) = (self.runs.lock().unwrap(), self.world.now());
        runs.iter().rev().take_while(|r| r.cold && now - r.at < Duration::from_secs(1)).count()
    }

    /// Waits for a slot; false if too many wait, none if the lifetime has ended.
    fn take_slot(&self, life: u64) -> Option<bool> {
        let mut s = self.state.lock().unwrap();
        if s.running >= self.slots && s.waiting >= QUEUE {
            return Some(false);
        }
        s.waiting += 1;
        while s.life == life && s.running >= self.slots {
            s = self.free.wait(s).unwrap();
        }
        if s.life != life {
            return None;
        }
        s.waiting -= 1;
        s.running += 1;
        Some(true)
    }
}
