//! The daemon's settings: raw as given, and checked as a whole.

use crate::core::admission::QUEUE_MAX;
use crate::core::endpoint::check_name;
use crate::core::time::Span;
use crate::util::logging::Format;
use log::LevelFilter;
use std::fmt;
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Longest time that a stop may take.
const DRAIN_MAX: Span = Span::secs(600);
/// Longest time that a host may serve on after it has said that it leaves.
const LAME_DUCK_MAX: Span = Span::secs(600);

/// The settings as they were given, by flag or environment variable.
#[derive(Clone, Debug, Default)]
pub struct RawSettings {
    /// `--host`
    pub host: String,
    /// `--zone`
    pub zone: String,
    /// `--caller-listen`
    pub caller_listen: String,
    /// `--endpoint-listen`
    pub endpoint_listen: String,
    /// `--operator-listen`
    pub operator_listen: String,
    /// `--peer-listen`
    pub peer_listen: String,
    /// `--peer`, repeated
    pub peers: Vec<String>,
    /// `--ca`
    pub ca: String,
    /// `--cert`
    pub cert: String,
    /// `--key`
    pub key: String,
    /// `--data`
    pub data: Option<String>,
    /// `--voter`, repeated
    pub voters: Vec<String>,
    /// `--metrics`
    pub metrics: Option<String>,
    /// `--log-level`
    pub log_level: String,
    /// `--log-format`
    pub log_format: String,
    /// `--lame-duck`
    pub lame_duck: String,
    /// `--drain-timeout`
    pub drain_timeout: String,
    /// `--caller-limit`
    pub caller_limit: String,
}

/// Settings that hold together.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this host.
    pub host: String,
    /// Availability zone of this host.
    pub zone: String,
    /// Address for callers.
    pub caller_listen: SocketAddr,
    /// Address for endpoints' announcements.
    pub endpoint_listen: SocketAddr,
    /// Address for operators.
    pub operator_listen: SocketAddr,
    /// Address for the tier's other hosts, UDP.
    pub peer_listen: SocketAddr,
    /// Addresses of other hosts, tried at start.
    pub peers: Vec<SocketAddr>,
    /// File of the certificate authority.
    pub ca: PathBuf,
    /// File of this host's certificate.
    pub cert: PathBuf,
    /// File of this host's private key.
    pub key: PathBuf,
    /// Data folder; a host without one neither votes nor keeps claims.
    pub data: Option<PathBuf>,
    /// Names of the hosts that form the first quorum.
    pub voters: Vec<String>,
    /// Address for metrics.
    pub metrics: Option<SocketAddr>,
    /// Least severe log lines written.
    pub log_level: LevelFilter,
    /// How log lines are written.
    pub log_format: Format,
    /// Time in which the host serves on after it has said that it leaves.
    pub lame_duck: Span,
    /// Longest time that requests in flight are waited for at a stop.
    pub drain_timeout: Span,
    /// Most requests of one caller that run or wait.
    pub caller_limit: usize,
}

/// One setting that does not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Flag of the setting.
    pub flag: &'static str,
    /// Value as given.
    pub value: String,
    /// What is allowed.
    pub allowed: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is `{}`: {}", self.flag, self.value, self.allowed)
    }
}

#[derive(Default)]
struct Checker {
    faults: Vec<Fault>,
}

impl Checker {
    fn fault(&mut self, flag: &'static str, value: &str, allowed: impl Into<String>) {
        self.faults.push(Fault { flag, value: value.to_owned(), allowed: allowed.into() });
    }

    fn name(&mut self, flag: &'static str, value: &str) -> String {
        if let Err(e) = check_name(flag, value) {
            self.fault(flag, value, e);
        }
        value.to_owned()
    }

    fn address(&mut self, flag: &'static str, value: &str) -> SocketAddr {
        value.parse().unwrap_or_else(|_| {
            self.fault(flag, value, "an IP number and a port are allowed, such as 127.0.0.1:7000");
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    /// Checks that no two listeners share a TCP address; port 0 stands for any free one.
    fn distinct(&mut self, listeners: &[(&'static str, SocketAddr)]) {
        for (i, (flag, address)) in listeners.iter().enumerate() {
            let earlier = listeners[..i].iter().find(|(_, a)| a == address && a.port() != 0);
            if let Some((other, _)) = earlier {
                let allowed = format!("an address of its own is allowed; {other} has this one");
                self.fault(flag, &address.to_string(), allowed);
            }
        }
    }

    fn file(&mut self, flag: &'static str, value: &str) -> PathBuf {
        let path = PathBuf::from(value);
        if let Err(e) = File::open(&path) {
            let allowed = "a file that can be read is allowed; `wisteriactl keys` makes them";
            self.fault(flag, value, format!("{allowed} ({e})"));
        } else if !path.is_file() {
            self.fault(flag, value, "a file is allowed; this is none");
        }
        path
    }

    fn folder(&mut self, flag: &'static str, value: &str) -> PathBuf {
        let path = PathBuf::from(value);
        if path.exists() && !path.is_dir() {
            self.fault(flag, value, "a folder, or a path where one can be made, is allowed");
        }
        path
    }

    fn span(&mut self, flag: &'static str, value: &str, max: Span) -> Span {
        match humantime::parse_duration(value).map(Span::from) {
            Ok(span) if span <= max => span,
            _ => {
                self.fault(flag, value, format!("a time up to {max} is allowed, such as 10s"));
                Span::ZERO
            }
        }
    }

    fn count(&mut self, flag: &'static str, value: &str, max: usize) -> usize {
        match value.parse() {
            Ok(n) if (1..=max).contains(&n) => n,
            _ => {
                self.fault(flag, value, format!("a whole number from 1 to {max} is allowed"));
                max
            }
        }
    }
}

impl RawSettings {
    /// Checks all settings.
    ///
    /// # Errors
    ///
    /// Returns every fault, not just the first.
    pub fn check(&self) -> Result<Settings, Vec<Fault>> {
        let mut c = Checker::default();
        let settings = self.read(&mut c);
        c.distinct(&[
            ("--caller-listen", settings.caller_listen),
            ("--endpoint-listen", settings.endpoint_listen),
            ("--operator-listen", settings.operator_listen),
        ]);
        if settings.data.is_none() && settings.voters.contains(&settings.host) {
            c.fault("--voter", &settings.host, "a voter needs a data folder; set --data");
        }
        if c.faults.is_empty() { Ok(settings) } else { Err(c.faults) }
    }

    fn read(&self, c: &mut Checker) -> Settings {
        Settings {
            host: c.name("--host", &self.host),
            zone: c.name("--zone", &self.zone),
            caller_listen: c.address("--caller-listen", &self.caller_listen),
            endpoint_listen: c.address("--endpoint-listen", &self.endpoint_listen),
            operator_listen: c.address("--operator-listen", &self.operator_listen),
            peer_listen: c.address("--peer-listen", &self.peer_listen),
            peers: self.peers.iter().map(|p| c.address("--peer", p)).collect(),
            ca: c.file("--ca", &self.ca),
            cert: c.file("--cert", &self.cert),
            key: c.file("--key", &self.key),
            data: self.data.as_ref().map(|d| c.folder("--data", d)),
            voters: self.voters.iter().map(|v| c.name("--voter", v)).collect(),
            metrics: self.metrics.as_ref().map(|m| c.address("--metrics", m)),
            log_level: self.log_level.parse().unwrap_or_else(|_| {
                let allowed = "off, error, warn, info, debug or trace is allowed";
                c.fault("--log-level", &self.log_level, allowed);
                LevelFilter::Info
            }),
            log_format: self.log_format.parse().unwrap_or_else(|e: String| {
                c.fault("--log-format", &self.log_format, e);
                Format::Text
            }),
            lame_duck: c.span("--lame-duck", &self.lame_duck, LAME_DUCK_MAX),
            drain_timeout: c.span("--drain-timeout", &self.drain_timeout, DRAIN_MAX),
            caller_limit: c.count("--caller-limit", &self.caller_limit, QUEUE_MAX),
        }
    }
}
