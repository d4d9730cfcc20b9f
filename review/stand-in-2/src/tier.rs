//! Starts the project's processes as the deploy file does, and ends them.

use crate::http;
use crate::wire::{fill, wire};
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The program, from the root of the repository, where it is started.
const PROGRAM: &str = "target/release/wisteriahead-platform";
/// The secret of the trials, as in the deploy file.
const SECRET: &str = "secret-of-the-trials";
/// Zones of the machines, in turn.
pub const ZONES: [&str; 3] = ["hk-a", "hk-b", "hk-c"];
/// Time allowed for the first plan, which is given while the tier starts.
pub const FIRST_PLAN_PATIENCE: Duration = Duration::from_secs(15);
/// Stands before the name of a service whose endpoints bear only some requests while they are cold.
pub const COLD_MARK: &str = "cold ";
const INTERNAL_PORTS: u16 = 8;

/// One process of the tier.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Processes of a small deployment; dropping it ends them.
pub struct Tier {
    folder: PathBuf,
    /// Processes by address; none where the machine is down or gone.
    processes: Vec<(String, Option<Process>)>,
    base: u16,
    /// Addresses for endpoints and operators.
    pub control: Vec<SocketAddr>,
    /// Addresses for callers.
    pub fronts: Vec<SocketAddr>,
    ready: Vec<SocketAddr>,
}

impl Tier {
    /// Starts hosts of both roles.
    pub fn start(cores: u8, fronts: u8) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let ips: Vec<String> = (0..cores)
            .map(core_ip)
            .chain((0..fronts).map(|i| format!("127.0.0.{}", 21 + i)))
            .collect();
        let base = free_ports(&ips)?;
        let address = |ip: &str, port: u16| format!("{ip}:{port}").parse::<SocketAddr>().unwrap();
        let (core_ips, front_ips) = ips.split_at(cores as usize);
        let mut tier = Self {
            folder,
            processes: Vec::new(),
            base,
            control: core_ips.iter().map(|ip| address(ip, base)).collect(),
            fronts: front_ips.iter().map(|ip| address(ip, base + 1)).collect(),
            ready: front_ips.iter().map(|ip| address(ip, base + 2)).collect(),
        };
        for (i, ip) in ips.iter().enumerate() {
            tier.start_process(i, ip, i < cores as usize, true)?;
        }
        Ok(tier)
    }

    fn start_process(
        &mut self,
        i: usize,
        ip: &str,
        core: bool,
        bootstrap: bool,
    ) -> Result<(), String> {
        let base = self.base;
        let number = |n: u16| n.to_string();
        let (control, front, ready) = (number(base), number(base + 1), number(base + 2));
        let ports = [("ip", ip), ("control", &control), ("front", &front), ("ready", &ready)];
        let listen = fill(if core { "listen-control" } else { "listen-front" }, &ports);
        let seeds: Vec<_> = self.control.iter().take(3).map(|a| format!("\"{a}\"")).collect();
        let data = self.folder.join(format!("data-{i}"));
        let data = if core { format!("\"{}\"", data.display()) } else { "null".to_owned() };
        if core {
            std::fs::create_dir_all(self.folder.join(format!("data-{i}")))
                .map_err(|e| e.to_string())?;
        }
        let settings = fill(
            "boot",
            &[
                ("name", &format!("machine-{i}")),
                ("role", if core { "control" } else { "entry" }),
                ("class", if core { "core" } else { "front" }),
                ("serves", if core { "control_plane" } else { "front" }),
                ("ip", ip),
                ("zone", ZONES[i % ZONES.len()]),
                ("listen", &listen),
                ("low", &number(base + 3)),
                ("high", &number(base + 2 + INTERNAL_PORTS)),
                ("seeds", &seeds.join(",")),
                ("bootstrap", if bootstrap { "true" } else { "false" }),
                ("counted", if core { "true" } else { "false" }),
                ("data", &data),
            ],
        );
        let path = self.folder.join(format!("settings-{i}.json"));
        std::fs::write(&path, settings).map_err(|e| e.to_string())?;
        let log = std::fs::File::create(self.folder.join(format!("log-{i}.txt")))
            .map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let child = Command::new(Path::new(PROGRAM))
            .env(wire("settings"), &path)
            .env(wire("secret"), SECRET)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|e| format!("could not start {PROGRAM}: {e}"))?;
        // Whoever runs the case ends them if this program cannot.
        let pids = std::env::temp_dir().join("pids");
        let pids = std::fs::OpenOptions::new().create(true).append(true).open(pids);
        writeln!(pids.map_err(|e| e.to_string())?, "{}", child.id()).map_err(|e| e.to_string())?;
        if self.processes.len() <= i {
            self.processes.resize_with(i + 1, || (String::new(), None));
        }
        self.processes[i] = (ip.to_owned(), Some(Process(child)));
        Ok(())
    }

    /// Kills a process of the core, and empties its disk.
    pub fn lose_disk(&mut self, i: usize) -> Result<(), String> {
        self.processes[i].1 = None;
        std::fs::remove_dir_all(self.folder.join(format!("data-{i}"))).map_err(|e| e.to_string())
    }

    /// Starts a process of the core again at its address.
    pub fn restart(&mut self, i: usize) -> Result<(), String> {
        let ip = self.processes[i].0.clone();
        self.start_process(i, &ip, true, false)
    }

    /// Kills a process of the core for good.
    pub fn remove(&mut self, i: usize) {
        self.processes[i].1 = None;
        let gone = format!("{}:{}", self.processes[i].0, self.base);
        self.control.retain(|a| a.to_string() != gone);
    }

    /// Adds a machine of the core with an empty disk, which becomes the `i`th process.
    pub fn add_core(&mut self, i: usize, ip: &str) -> Result<(), String> {
        let address: SocketAddr =
            format!("{ip}:{}", self.base).parse().map_err(|_| "no address".to_owned())?;
        self.start_process(i, ip, true, false)?;
        self.control.push(address);
        Ok(())
    }

    /// The desired state as a host of the control plane reads it back, within a time.
    pub fn read_plan(&self, wait: Duration) -> Result<String, String> {
        let request = format!("GET {} HTTP/1.1\r\nHost: control\r\n\r\n", wire("get-path"));
        let deadline = Instant::now() + wait;
        let mut last = String::new();
        for to in self.control.iter().cycle() {
            if Instant::now() >= deadline {
                break;
            }
            match http::call(*to, request.as_bytes(), Duration::from_secs(2)) {
                Ok(answer) if answer.status() == 200 => {
                    return Ok(String::from_utf8_lossy(&answer.body).into_owned());
                }
                Ok(answer) => last = answer.start,
                Err(e) => last = e.to_string(),
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(format!("no host answered in {wait:?}; the last one: {last}"))
    }

    /// Gives a plan to the tier until it is acknowledged, within a time.
    pub fn put_plan(
        &self,
        version: u32,
        routes: &[String],
        services: &[String],
        wait: Duration,
    ) -> Result<(), String> {
        let entry = |s: &String| match s.strip_prefix(COLD_MARK) {
            Some(name) => fill("cold-service", &[("name", name)]),
            None => fill("service", &[("name", s)]),
        };
        let services: Vec<_> = services.iter().map(entry).collect();
        let plan = fill(
            "plan",
            &[
                ("version", &version.to_string()),
                ("routes", &routes.join(",")),
                ("services", &services.join(",")),
            ],
        );
        let start = format!("POST {} HTTP/1.1", wire("put-path"));
        self.order(&start, plan.as_bytes(), wait)
    }

    /// Gives an order to the hosts of the control plane in turn, until one acknowledges it.
    pub fn order(&self, start: &str, body: &[u8], wait: Duration) -> Result<(), String> {
        let deadline = Instant::now() + wait;
        let mut last = String::new();
        for to in self.control.iter().cycle() {
            if Instant::now() >= deadline {
                break;
            }
            let request = http::format(
                start,
                &[("Host", "control"), ("Content-Type", "application/json")],
                body,
            );
            match http::call(*to, &request, Duration::from_secs(1)) {
                Ok(answer) if answer.status() / 100 == 2 => return Ok(()),
                Ok(answer) => last = answer.start,
                Err(e) => last = e.to_string(),
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(format!("`{start}` was not acknowledged: {last}"))
    }

    /// Waits until all hosts that serve callers say that they are ready.
    pub fn await_ready(&self) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(20);
        let request = format!("GET {} HTTP/1.1\r\nHost: ready\r\n\r\n", wire("ready-path"));
        let is_ready = |to: &SocketAddr| {
            let answer = http::call(*to, request.as_bytes(), Duration::from_secs(1));
            answer.is_ok_and(|answer| answer.status() == 200)
        };
        while Instant::now() < deadline {
            if self.ready.iter().all(is_ready) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err("the hosts did not become ready".to_owned())
    }
}

impl Drop for Tier {
    fn drop(&mut self) {
        self.processes.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Address of the `i`th machine of the core.
pub fn core_ip(i: u8) -> String {
    format!("127.0.0.{}", 11 + i)
}

/// First of the ports that are free on all addresses.
fn free_ports(ips: &[String]) -> Result<u16, String> {
    let count = 3 + INTERNAL_PORTS;
    let seed = std::process::id() as u16 % 400;
    let free = |base: &u16| {
        let ports = *base..*base + count;
        ips.iter().all(|ip| ports.clone().all(|p| TcpListener::bind((ip.as_str(), p)).is_ok()))
    };
    let bases = (0..400).map(|i| 20_000 + (seed + i) % 400 * 20);
    bases.into_iter().find(free).ok_or_else(|| "no ports are free".to_owned())
}
