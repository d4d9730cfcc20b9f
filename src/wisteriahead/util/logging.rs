//! Logs, as text for people or one JSON object a line for programs.

use anyhow::{Context as _, Result};
use log::kv::{Error, Key, VisitSource};
use log::{LevelFilter, Record};
use serde_json::{Map, Value};
use std::time::SystemTime;

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Text for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
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

/// Sends all logs to standard error.
///
/// # Errors
///
/// Fails when a logger is set already.
pub fn init(level: LevelFilter, format: Format, host: &str) -> Result<()> {
    let host = host.to_owned();
    let dispatch = fern::Dispatch::new()
        .level(level)
        .level_for("quinn", LevelFilter::Warn)
        .level_for("quinn_proto", LevelFilter::Warn)
        .level_for("rustls", LevelFilter::Warn);
    let dispatch = match format {
        Format::Text => {
            dispatch.format(|out, _, record| out.finish(format_args!("{}", text(record))))
        }
        Format::Json => dispatch
            .format(move |out, _, record| out.finish(format_args!("{}", json(record, &host)))),
    };
    dispatch.chain(std::io::stderr()).apply().context("could not set the logger")
}

/// One line of text, whatever the record holds; the fields of the record follow its message.
pub fn text(record: &Record<'_>) -> String {
    let mut line =
        format!("{} {:<5} {}: {}", now(), record.level(), record.target(), record.args());
    for (field, value) in fields(record) {
        line += &format!(" {field}={value}");
    }
    // A message may hold what others sent; it must not look like a line of its own.
    line.replace(|c: char| c.is_control(), " ")
}

/// One JSON object, one line when written; the fields of the record stand beside those of every line.
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
    // The collector itself never fails.
    let _ = record.key_values().visit(&mut fields);
    fields.0
}

/// Collects the fields of a record.
struct Fields(Map<String, Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: log::kv::Value<'kvs>) -> Result<(), Error> {
        let number = value.to_u64().map(Value::from).or_else(|| value.to_i64().map(Value::from));
        let value = number.unwrap_or_else(|| value.to_string().into());
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
