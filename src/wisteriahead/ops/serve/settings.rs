//! The daemon's settings: as given, and as parsed and validated together.

use crate::core::admission::QUEUE_MAX;
use crate::core::endpoint::check_name;
use crate::core::time::Span;
use crate::util::logging::{Format, Levels};
use std::fmt;
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Largest value of `--drain-timeout`.
const DRAIN_TIMEOUT_MAX: Span = Span::secs(600);
/// Largest value of `--lame-duck`.
const LAME_DUCK_MAX: Span = Span::secs(600);

/// The settings as given by flags or environment variables.
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

/// Validated settings.
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
    /// TCP address for the tier's other hosts.
    pub peer_listen: SocketAddr,
    /// TCP addresses of other hosts, contacted at start to join the tier.
    pub peers: Vec<SocketAddr>,
    /// File of the authority's certificate.
    pub ca: PathBuf,
    /// File of this host's certificate.
    pub cert: PathBuf,
    /// File of this host's private key.
    pub key: PathBuf,
    /// Data folder; a host without one neither votes nor stores claims.
    pub data: Option<PathBuf>,
    /// Names of the hosts that are the voters when the tier is first started.
    pub voters: Vec<String>,
    /// UDP address that metrics are sent to.
    pub metrics: Option<SocketAddr>,
    /// Least severe levels that are logged.
    pub log_level: Levels,
    /// Format of log lines.
    pub log_format: Format,
    /// Time for which a stopping host still serves after its health check reports that it leaves.
    pub lame_duck: Span,
    /// Longest wait for requests in flight at shutdown.
    pub drain_timeout: Span,
    /// Largest number of requests of one caller that run or wait at a time.
    pub caller_limit: usize,
}

/// An invalid setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// Flag of the setting.
    pub flag: &'static str,
    /// Value as given.
    pub value: String,
    /// What the value must be.
    pub requirement: String,
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is `{}`: {}", self.flag, self.value, self.requirement)
    }
}

/// Parses settings and collects the errors. An invalid setting gets a placeholder value, so that
/// the others are checked too.
#[derive(Default)]
struct Checker {
    errors: Vec<InvalidSetting>,
}

impl Checker {
    fn reject(&mut self, flag: &'static str, value: &str, requirement: impl Into<String>) {
        self.errors.push(InvalidSetting {
            flag,
            value: value.to_owned(),
            requirement: requirement.into(),
        });
    }

    fn name(&mut self, flag: &'static str, value: &str) -> String {
        if let Err(e) = check_name(flag, value) {
            self.reject(flag, value, e);
        }
        value.to_owned()
    }

    fn address(&mut self, flag: &'static str, value: &str) -> SocketAddr {
        value.parse().unwrap_or_else(|_| {
            self.reject(flag, value, "must be an IP address and a port, such as 127.0.0.1:7000");
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    /// Rejects listeners that share a TCP address. Port 0 is exempt: the system picks a free port.
    fn distinct_addresses(&mut self, listeners: &[(&'static str, SocketAddr)]) {
        for (i, (flag, address)) in listeners.iter().enumerate() {
            let earlier = listeners[..i].iter().find(|(_, a)| a == address && a.port() != 0);
            if let Some((other, _)) = earlier {
                let requirement = format!("must be an address of its own; {other} has this one");
                self.reject(flag, &address.to_string(), requirement);
            }
        }
    }

    fn file(&mut self, flag: &'static str, value: &str) -> PathBuf {
        let path = PathBuf::from(value);
        if let Err(e) = File::open(&path) {
            let requirement = "must be a readable file; `wisteriactl keys` creates it";
            self.reject(flag, value, format!("{requirement} ({e})"));
        } else if !path.is_file() {
            self.reject(flag, value, "must be a regular file");
        }
        path
    }

    fn folder(&mut self, flag: &'static str, value: &str) -> PathBuf {
        let path = PathBuf::from(value);
        if path.exists() && !path.is_dir() {
            self.reject(flag, value, "must be a folder, or a path where one can be created");
        }
        path
    }

    fn span(&mut self, flag: &'static str, value: &str, max: Span) -> Span {
        match humantime::parse_duration(value).map(Span::from) {
            Ok(span) if span <= max => span,
            _ => {
                self.reject(flag, value, format!("must be a time up to {max}, such as 10s"));
                Span::ZERO
            }
        }
    }

    fn count(&mut self, flag: &'static str, value: &str, max: usize) -> usize {
        match value.parse() {
            Ok(n) if (1..=max).contains(&n) => n,
            _ => {
                self.reject(flag, value, format!("must be a whole number from 1 to {max}"));
                max
            }
        }
    }
}

impl RawSettings {
    /// Parses and validates all settings.
    ///
    /// # Errors
    ///
    /// Returns every invalid setting, not just the first.
    pub fn check(&self) -> Result<Settings, Vec<InvalidSetting>> {
        let mut c = Checker::default();
        let settings = self.parse(&mut c);
        c.distinct_addresses(&[
            ("--caller-listen", settings.caller_listen),
            ("--endpoint-listen", settings.endpoint_listen),
            ("--operator-listen", settings.operator_listen),
        ]);
        if settings.data.is_none() && settings.voters.contains(&settings.host) {
            c.reject("--voter", &settings.host, "a voter needs a data folder; set --data");
        }
        if c.errors.is_empty() { Ok(settings) } else { Err(c.errors) }
    }

    fn parse(&self, c: &mut Checker) -> Settings {
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
            log_level: self.log_level.parse().unwrap_or_else(|e: String| {
                c.reject("--log-level", &self.log_level, e);
                Levels::default()
            }),
            log_format: self.log_format.parse().unwrap_or_else(|e: String| {
                c.reject("--log-format", &self.log_format, e);
                Format::Text
            }),
            lame_duck: c.span("--lame-duck", &self.lame_duck, LAME_DUCK_MAX),
            drain_timeout: c.span("--drain-timeout", &self.drain_timeout, DRAIN_TIMEOUT_MAX),
            caller_limit: c.count("--caller-limit", &self.caller_limit, QUEUE_MAX),
        }
    }
}
