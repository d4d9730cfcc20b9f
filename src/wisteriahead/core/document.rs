//! The document that operators edit: an inventory of hosts and zones, and rules.
//!
//! Both are in one TOML document, so that one revision number identifies the accepted state of
//! everything that operators configure.

use super::endpoint::check_name;
use super::limits;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

/// Revision number of an accepted document; it only increases.
pub type Revision = u64;

/// Maximum number of hosts in one inventory.
pub const HOSTS_MAX: usize = 10_000;
/// Maximum size of one document.
pub const DOCUMENT_MAX_BYTES: usize = 2 << 20;

/// Lifecycle state of a host, set by operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// Takes requests.
    #[default]
    Serving,
    /// Takes requests, up to the cold-start limit of each endpoint.
    Starting,
    /// Takes no new requests.
    Leaving,
    /// Removed permanently: announcements from it are ignored.
    Retired,
}

/// Whether an availability zone takes new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneState {
    /// Takes requests.
    #[default]
    In,
    /// Takes no new requests.
    Out,
}

/// A host in the inventory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Unique name.
    pub name: String,
    /// Name of its availability zone.
    pub zone: String,
    /// Lifecycle state.
    #[serde(default)]
    pub state: HostState,
}

/// An availability zone in the inventory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Unique name.
    pub name: String,
    /// Region of the zone.
    #[serde(default)]
    pub region: String,
    /// Whether it takes new requests.
    #[serde(default)]
    pub state: ZoneState,
}

/// Which endpoints are accepted on hosts that the inventory does not list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Admit {
    /// None: the host must be listed.
    #[default]
    Listed,
    /// All; each is in the zone that it announces.
    Any,
}

/// Priority and limits of a class of callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Unique name, sent by callers in the header `wisteria-class`.
    pub name: String,
    /// Priority: a lower number is served first.
    pub priority: u8,
    /// Maximum number of concurrent requests per entry host, over all callers of the class.
    #[serde(default)]
    pub concurrency: Option<u32>,
    /// Default timeout, in milliseconds, for requests that give none.
    #[serde(default)]
    pub timeout_ms: Option<u64>,
    /// Default minimum share of shards that an answer must cover, 0 to 1, for requests that give
    /// none.
    #[serde(default)]
    pub min_coverage: Option<f64>,
}

/// An upper limit on the requests sent to each endpoint of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cap {
    /// Name of the service.
    pub service: String,
    /// Maximum number of concurrent requests per endpoint, over all entry hosts.
    pub slots: u32,
}

/// Rules that operators set in addition to the inventory.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// Which endpoints are accepted on hosts that are not listed.
    #[serde(default)]
    pub admit: Admit,
    /// Classes of callers.
    #[serde(default, rename = "class", skip_serializing_if = "Vec::is_empty")]
    pub classes: Vec<Class>,
    /// Limits per service.
    #[serde(default, rename = "cap", skip_serializing_if = "Vec::is_empty")]
    pub caps: Vec<Cap>,
}

/// An inventory and rules.
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
    /// Revision of the last zone change of each zone, which is no part of the text.
    #[serde(skip)]
    pub zone_changes: IndexMap<String, Revision>,
}

impl Document {
    /// Parses a new document and validates it, including the bounds in [`limits`].
    ///
    /// # Errors
    ///
    /// Returns the first error with its line or entry and what is allowed.
    pub fn parse(text: &str) -> Result<Self, String> {
        let doc = Self::read(text)?;
        limits::check(text)?;
        Ok(doc)
    }

    /// Parses a document that was accepted before, possibly by a version with wider bounds.
    ///
    /// # Errors
    ///
    /// Returns the first error with its line or entry and what is allowed.
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

    /// Validates names, references and sizes.
    ///
    /// # Errors
    ///
    /// Returns the first invalid entry and what is allowed.
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

    /// All hosts by name.
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

/// Validates names and returns them as a set, or an error if one is listed twice.
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
