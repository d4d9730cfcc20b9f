//! Logging to standard error, as text or as one JSON object per line.

use anyhow::{Context as _, Result};
use log::kv::{Error, Key, VisitSource};
use log::{LevelFilter, Record};
use serde_json::{Map, Value};
use std::time::SystemTime;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Least severe levels that are logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Levels {
    /// Level of the modules that are not listed.
    pub default: LevelFilter,
    /// Levels of modules and those below them, by path.
    pub modules: Vec<(String, LevelFilter)>,
}

impl Default for Levels {
    fn default() -> Self {
        Self { default: LevelFilter::Info, modules: Vec::new() }
    }
}

impl std::str::FromStr for Levels {
    type Err = String;
    /// Parses a level, followed by `MODULE=LEVEL` for modules with another one, separated by commas.
    fn from_str(s: &str) -> Result<Self, String> {
        let allowed = "must be off, error, warn, info, debug or trace, then MODULE=LEVEL for modules \
                       with another level, separated by commas";
        let level = |s: &str| s.parse().map_err(|_| allowed.to_owned());
        let mut levels = Self::default();
        for (i, part) in s.split(',').enumerate() {
            match part.split_once('=') {
                Some((module, of)) if !module.is_empty() => {
                    levels.modules.push((module.to_owned(), level(of)?));
                }
                None if i == 0 => levels.default = level(part)?,
                _ => return Err(allowed.to_owned()),
            }
        }
        Ok(levels)
    }
}

impl std::fmt::Display for Levels {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.default.as_str().to_lowercase())?;
        let mut modules = self.modules.iter();
        modules.try_for_each(|(m, level)| write!(f, ",{m}={}", level.as_str().to_lowercase()))
    }
}

impl std::str::FromStr for Format {
    type Err = String;
    fn from_str(s: &str) -> Result<Self, String> {
        match s {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(format!("`{s}` is not a log format; `text` or `json` is allowed")),
        }
    }
}

/// Installs the logger, which writes to standard error.
///
/// # Errors
///
/// Fails if a logger is already installed.
pub fn init(levels: &Levels, format: Format, host: &str) -> Result<()> {
    let host = host.to_owned();
    let dispatch =
        fern::Dispatch::new().level(levels.default).level_for("rustls", LevelFilter::Warn);
    let modules = levels.modules.iter().cloned();
    let dispatch = modules.fold(dispatch, |d, (module, level)| d.level_for(module, level));
    let dispatch = match format {
        Format::Text => {
            dispatch.format(|out, _, record| out.finish(format_args!("{}", text(record))))
        }
        Format::Json => dispatch
            .format(move |out, _, record| out.finish(format_args!("{}", json(record, &host)))),
    };
    dispatch.chain(std::io::stderr()).apply().context("could not set the logger")
}

/// Formats a record as one line of text; its key-value pairs follow the message.
pub fn text(record: &Record<'_>) -> String {
    let mut line =
        format!("{} {:<5} {}: {}", now(), record.level(), record.target(), record.args());
    for (field, value) in fields(record) {
        line += &format!(" {field}={value}");
    }
    // A message may contain text from peers, which must not forge further lines.
    line.replace(|c: char| c.is_control(), " ")
}

/// Formats a record as a JSON object, with its key-value pairs beside the common fields; the latter
/// take precedence.
pub fn json(record: &Record<'_>, host: &str) -> Value {
    let mut line = fields(record);
    line.insert("time".to_owned(), now().into());
    line.insert("level".to_owned(), record.level().as_str().into());
    line.insert("host".to_owned(), host.into());
    line.insert("module".to_owned(), record.target().into());
    line.insert("message".to_owned(), record.args().to_string().into());
    Value::Object(line)
}

fn now() -> String {
    humantime::format_rfc3339_millis(SystemTime::now()).to_string()
}

fn fields(record: &Record<'_>) -> Map<String, Value> {
    let mut fields = Fields(Map::new());
    // `visit_pair` never fails.
    let _ = record.key_values().visit(&mut fields);
    fields.0
}

/// Collects the key-value pairs of a record.
struct Fields(Map<String, Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: log::kv::Value<'kvs>) -> Result<(), Error> {
        let number = value.to_u64().map(Value::from).or_else(|| value.to_i64().map(Value::from));
        let value = number.unwrap_or_else(|| value.to_string().into());
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
