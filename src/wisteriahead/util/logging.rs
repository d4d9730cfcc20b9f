//! Logs, as text for people or one JSON object a line for programs.

use anyhow::{Context as _, Result};
use log::LevelFilter;
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
        Format::Text => dispatch.format(|out, message, record| {
            let time = humantime::format_rfc3339_millis(SystemTime::now());
            out.finish(format_args!("{time} {:<5} {}: {message}", record.level(), record.target()));
        }),
        Format::Json => dispatch.format(move |out, message, record| {
            let line = serde_json::json!({
                "time": humantime::format_rfc3339_millis(SystemTime::now()).to_string(),
                "level": record.level().as_str(),
                "host": host,
                "module": record.target(),
                "message": message.to_string(),
            });
            out.finish(format_args!("{line}"));
        }),
    };
    dispatch.chain(std::io::stderr()).apply().context("could not set the logger")
}
