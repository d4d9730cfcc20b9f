//! The project's program as separate processes on loopback addresses, and the operator's calls.

use crate::http::{self, Message};
use crate::world::{World, sleep_ms};
use std::fs::{self, File};
use std::io::Write as _;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Zones of the hosts, in turn.
pub const ZONES: [&str; 4] = ["hk-a", "hk-b", "hk-c", "hk-d"];
/// Zones of the entry hosts, as on the site.
pub const FRONT_ZONES: [&str; 6] = ["hk-a", "hk-b", "hk-c", "hk-d", "hk-a", "hk-b"];
/// Ports from the first one on: the tier's own 16, then control, front, ready, leafs.
const CONTROL: u16 = 16;
const FRONT: u16 = 17;
const READY: u16 = 18;
const LEAF: u16 = 19;

/// Time after which a process that has ended is started again.
const RESTART_MS: u64 = 500;

/// Addresses of a case: a loopback network and a port that are free.
#[derive(Clone, Copy)]
pub struct Net {
    second: u8,
    port: u16,
}

impl Net {
    pub fn find() -> Self {
        let pid = std::process::id();
        (0..200_u32)
            .map(|i| Self {
                second: (20 + (pid + i) % 200) as u8,
                port: (20_000 + (pid * 32 + i * 320) % 8_000) as u16,
            })
            .find(Self::is_free)
            .expect("a free port")
    }

    fn ip(self, third: u8, last: usize) -> IpAddr {
        Ipv4Addr::new(127, self.second, third, last as u8 + 11).into()
    }

    pub fn core(self, i: usize) -> IpAddr {
        self.ip(1, i)
    }

    pub fn front(self, i: usize) -> IpAddr {
        self.ip(2, i)
    }

    pub fn leaf(self, i: usize) -> SocketAddr {
        SocketAddr::new(self.ip(3, i), self.port + LEAF)
    }

    fn is_free(&self) -> bool {
        let hosts = (0..6).flat_map(|i| [self.core(i), self.front(i)]);
        hosts.into_iter().all(|ip| {
            UdpSocket::bind((ip, self.port)).is_ok()
                && [CONTROL, FRONT, READY]
                    .iter()
                    .all(|p| TcpListener::bind((ip, self.port + p)).is_ok())
        }) && (0..8).all(|i| TcpListener::bind(self.leaf(i)).is_ok())
    }
}

/// One process of the tier.
pub struct Host {
    pub name: String,
    settings: PathBuf,
    log: PathBuf,
    pids: PathBuf,
    child: Child,
}

impl Host {
    /// Starts the program with the commands of the deploy file.
    fn start(
        world: &World,
        name: String,
        (settings, log, pids): (PathBuf, PathBuf, PathBuf),
    ) -> Self {
        let child = Self::spawn(world, &settings, &log, &pids);
        Self { name, settings, log, pids, child }
    }

    fn spawn(world: &World, settings: &Path, log: &Path, pids: &Path) -> Child {
        let append = |path: &Path| File::options().create(true).append(true).open(path);
        let log = append(log).expect("log");
        let child = Command::new("target/release/wisteriahead-platform")
            .env(world.name("env_settings"), settings)
            .env(world.name("env_secret"), "secret-of-the-trials")
            // As where the platform plays it; otherwise each thread has memory of its own.
            .env("MALLOC_ARENA_MAX", "1")
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("the build of the deploy file");
        // For the script, which ends what a stopped stand-in leaves behind.
        writeln!(append(pids).expect("pids"), "{}", child.id()).expect("pids");
        child
    }

    /// Memory that the process holds, in MB.
    pub fn memory_mb(&self) -> f64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kb = line.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok());
        kb.unwrap_or(0.0) / 1024.0
    }

    /// Kills the process, as the platform does when it holds too much memory, and starts it again
    /// with its disk.
    pub fn kill_and_restart(&mut self, world: &World) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        sleep_ms(RESTART_MS);
        self.child = Self::spawn(world, &self.settings, &self.log, &self.pids);
    }

    pub fn signal(&self, world: &World, signal: &str) {
        world.note(format!("operator of the case: {signal} to {}", self.name));
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([format!("-{signal}"), pid]).status();
        assert!(sent.is_ok_and(|s| s.success()), "kill -{signal}");
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A deployment of `cores` hosts with a disk and `fronts` entry hosts.
pub struct Tier {
    pub net: Net,
    pub cores: Vec<Host>,
    pub fronts: Vec<Host>,
    folder: PathBuf,
    core_count: usize,
}

impl Tier {
    pub fn start(world: &World, folder: &Path, cores: usize, fronts: usize) -> Self {
        let net = Net::find();
        let mut tier = Self {
            net,
            cores: Vec::new(),
            fronts: Vec::new(),
            folder: folder.to_owned(),
            core_count: cores,
        };
        for i in 0..cores {
            let host = tier.spawn_host(world, true, i);
            tier.cores.push(host);
        }
        for i in 0..fronts {
            let host = tier.spawn_host(world, false, i);
            tier.fronts.push(host);
        }
        tier
    }

    fn spawn_host(&self, world: &World, core: bool, i: usize) -> Host {
        let (net, class) = (self.net, if core { "core" } else { "front" });
        let ip = if core { net.core(i) } else { net.front(i) }.to_string();
        let zone = if core { ZONES[i % ZONES.len()] } else { FRONT_ZONES[i] };
        let name = format!("{class}-{zone}-{i}");
        let port = |n: u16| (net.port + n).to_string();
        let listen = world.fill(
            if core { "listen_core.json" } else { "listen_front.json" },
            &[
                ("ip", ip.as_str()),
                ("control", &port(CONTROL)),
                ("front", &port(FRONT)),
                ("ready", &port(READY)),
            ],
        );
        let seeds: Vec<String> =
            (0..self.core_count.min(3)).map(|i| format!("\"{}\"", self.control(i))).collect();
        let disk = self.folder.join(format!("{name}.disk"));
        let data = if core { format!("\"{}\"", disk.display()) } else { "null".to_owned() };
        if core {
            fs::create_dir_all(&disk).expect("data folder");
        }
        let settings = world.fill(
            "settings.json",
            &[
                ("name", name.as_str()),
                ("role", if core { "control" } else { "entry" }),
                ("class", class),
                ("serves", if core { "control_plane" } else { "front" }),
                ("ip", &ip),
                ("zone", zone),
                ("listen", &listen),
                ("port", &port(0)),
                ("port_end", &port(15)),
                ("seeds", &format!("[{}]", seeds.join(","))),
                ("counted", if core { "true" } else { "false" }),
                ("data", &data),
            ],
        );
        let file = self.folder.join(format!("{name}.json"));
        fs::write(&file, settings).expect("settings");
        let log = self.folder.join(format!("{name}.log"));
        Host::start(world, name, (file, log, self.folder.join("pids")))
    }

    pub fn control(&self, i: usize) -> SocketAddr {
        SocketAddr::new(self.net.core(i), self.net.port + CONTROL)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..self.core_count).map(|i| self.control(i)).collect()
    }

    pub fn entry(&self, i: usize) -> SocketAddr {
        SocketAddr::new(self.net.front(i), self.net.port + FRONT)
    }

    /// Address of an entry host's readiness check.
    pub fn ready(&self, i: usize) -> SocketAddr {
        SocketAddr::new(self.net.front(i), self.net.port + READY)
    }

    /// Whether an entry host says that it is ready.
    pub fn is_ready(&self, world: &World, i: usize) -> bool {
        let start = format!("GET {}", world.name("ready"));
        http::call(self.ready(i), &start, &[], &[], Duration::from_secs(1))
            .is_ok_and(|m| m.status() == 200)
    }

    pub fn await_ready(&self, world: &World) -> Result<(), String> {
        for _ in 0..300 {
            if (0..self.fronts.len()).all(|i| self.is_ready(world, i)) {
                world.note("all entry hosts are ready");
                return Ok(());
            }
            sleep_ms(100);
        }
        Err("the entry hosts did not become ready".to_owned())
    }
}

/// Sends an order to the nodes in turn until one acknowledges it, as an operator does: a node that
/// has not answered after a second is left for the next one.
pub fn order(
    world: &World,
    nodes: &[SocketAddr],
    path: &str,
    body: &str,
) -> Result<Duration, String> {
    let limit = Duration::from_secs(1);
    let started = world.now();
    for (i, node) in nodes.iter().cycle().enumerate().take(24) {
        if world.now() - started > Duration::from_secs(15) {
            break;
        }
        world.note(format!("operator sends {path} to {node}"));
        let start = format!("POST {path}");
        let json = [("content-type", "application/json")];
        let headers = if body.is_empty() { &[][..] } else { &json[..] };
        match http::call(*node, &start, headers, body.as_bytes(), limit) {
            Ok(Message { start, .. }) if start.contains(" 200") => {
                world.note(format!("operator: {node} acknowledges {path}"));
                return Ok(world.now());
            }
            Ok(m) => world.note(format!("operator: {node} answers {}", m.start)),
            Err(e) => world.note(format!("operator: no answer from {node}: {:?}", e.kind())),
        }
        sleep_ms(50 * (i as u64 + 1).min(10));
    }
    Err(format!("no node acknowledged {path}"))
}
