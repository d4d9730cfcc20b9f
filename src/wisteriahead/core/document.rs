//! The operators' document: the inventory of hosts and zones, and the rules.
//!
//! One document holds both, so that one revision names one accepted state of
//! everything that operators decide. It is written in TOML.

use super::endpoint::check_name;
use super::limits;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

/// Number of an accepted document; it only rises.
pub type Revision = u64;

/// Most hosts accepted in one inventory.
pub const HOSTS_MAX: usize = 10_000;
/// Most bytes accepted in one document.
pub const DOCUMENT_MAX_BYTES: usize = 2 << 20;

/// Where a host stands in its life, as the operators record it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// Takes work.
    #[default]
    Serving,
    /// Takes work, up to its cold limit until it proves warm.
    Starting,
    /// Takes no new work.
    Leaving,
    /// Gone for good: announcements are ignored.
    Retired,
}

/// Whether an availability zone takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneState {
    /// Takes work.
    #[default]
    In,
    /// Takes no new work.
    Out,
}

/// One host of the inventory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Unique name.
    pub name: String,
    /// Availability zone that it stands in.
    pub zone: String,
    /// Its state.
    #[serde(default)]
    pub state: HostState,
}

/// One availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Unique name.
    pub name: String,
    /// Region that it stands in.
    #[serde(default)]
    pub region: String,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: ZoneState,
}

/// Which endpoints are let in that the inventory does not list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Admit {
    /// None.
    #[default]
    Listed,
    /// All, in the zone that they announce.
    Any,
}

/// A limit on what one caller class may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Unique name, sent by callers in `wisteria-class`.
    pub name: String,
    /// Order of service: a lower number goes first.
    pub priority: u8,
    /// Requests at once per entry host, for all callers of the class.
    #[serde(default)]
    pub concurrency: Option<u32>,
    /// Time allowed when the caller names none, in milliseconds.
    #[serde(default)]
    pub timeout_ms: Option<u64>,
    /// Least share of shards that an answer covers when the caller names none, 0 to 1.
    #[serde(default)]
    pub min_coverage: Option<f64>,
}

/// An upper limit on the work sent to each endpoint of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cap {
    /// Service that it applies to.
    pub service: String,
    /// Requests at once per endpoint, over all entry hosts.
    pub slots: u32,
}

/// What operators add on top of the inventory.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// Endpoints let in beyond the listed ones.
    #[serde(default)]
    pub admit: Admit,
    /// Classes of callers.
    #[serde(default, rename = "class", skip_serializing_if = "Vec::is_empty")]
    pub classes: Vec<Class>,
    /// Limits per service.
    #[serde(default, rename = "cap", skip_serializing_if = "Vec::is_empty")]
    pub caps: Vec<Cap>,
}

/// The inventory and the rules.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Availability zones.
    #[serde(default, rename = "zone", skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<Zone>,
    /// Hosts.
    #[serde(default, rename = "host", skip_serializing_if = "Vec::is_empty")]
    pub hosts: Vec<Host>,
    /// Rules.
    #[serde(default)]
    pub rules: Rules,
}

impl Document {
    /// Reads a new document and checks it whole.
    ///
    /// # Errors
    ///
    /// Returns the first fault with its line or entry and what is allowed.
    pub fn parse(text: &str) -> Result<Self, String> {
        let doc = Self::read(text)?;
        limits::check(text)?;
        Ok(doc)
    }

    /// Reads a document that was accepted, perhaps by a host of a version that allowed more.
    ///
    /// # Errors
    ///
    /// Returns the first fault with its line or entry and what is allowed.
    pub fn read(text: &str) -> Result<Self, String> {
        if text.len() > DOCUMENT_MAX_BYTES {
            return Err(format!(
                "the document has {} bytes; at most {DOCUMENT_MAX_BYTES} are allowed",
                text.len()
            ));
        }
        let doc: Self = toml::from_str(text).map_err(|e| e.to_string())?;
        doc.check()?;
        Ok(doc)
    }

    /// The document as TOML.
    pub fn render(&self) -> String {
        toml::to_string_pretty(self).unwrap_or_default()
    }

    /// Checks names, references and limits.
    ///
    /// # Errors
    ///
    /// Returns the first fault with its entry and what is allowed.
    pub fn check(&self) -> Result<(), String> {
        if self.hosts.len() > HOSTS_MAX {
            return Err(format!(
                "{} hosts are listed; at most {HOSTS_MAX} are allowed",
                self.hosts.len()
            ));
        }
        let zones = unique("zone", self.zones.iter().map(|z| z.name.as_str()))?;
        unique("host", self.hosts.iter().map(|h| h.name.as_str()))?;
        for h in &self.hosts {
            if !zones.contains(h.zone.as_str()) {
                return Err(format!(
                    "host `{}` names zone `{}`, which is not listed; add a [[zone]] of that name",
                    h.name, h.zone
                ));
            }
        }
        self.rules.check()
    }

    /// The zone with the given name.
    pub fn zone(&self, name: &str) -> Option<&Zone> {
        self.zones.iter().find(|z| z.name == name)
    }

    /// The hosts by name.
    pub fn hosts_by_name(&self) -> IndexMap<&str, &Host> {
        self.hosts.iter().map(|h| (h.name.as_str(), h)).collect()
    }
}

impl Rules {
    fn check(&self) -> Result<(), String> {
        unique("class", self.classes.iter().map(|c| c.name.as_str()))?;
        unique("cap", self.caps.iter().map(|c| c.service.as_str()))?;
        for c in &self.classes {
            let share = c.min_coverage.unwrap_or(0.0);
            if !(0.0..=1.0).contains(&share) {
                return Err(format!(
                    "class `{}` has min_coverage {share}; 0 to 1 is allowed",
                    c.name
                ));
            }
        }
        Ok(())
    }
}

fn unique<'a>(
    kind: &str,
    names: impl Iterator<Item = &'a str>,
) -> Result<IndexSet<&'a str>, String> {
    let mut seen = IndexSet::new();
    for name in names {
        check_name(kind, name)?;
        if !seen.insert(name) {
            return Err(format!("{kind} `{name}` is listed twice; remove one"));
        }
    }
    Ok(seen)
}
