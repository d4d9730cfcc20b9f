//! `wisteriactl status`, `zones` and `endpoints`.

use super::{block_on, json};
use crate::cli::Remote;
use crate::table::{cell, render};
use serde_json::Value;
use wisteriahead::ops::failure::Failure;
use wisteriahead::ops::show::{ShowOptions, What, show};

const STATUS: &[&str] = &["host", "zone", "revision", "others"];
const ZONES: &[&str] = &["zone", "state", "endpoints", "hosts"];
const ENDPOINTS: &[&str] =
    &["endpoint", "host", "zone", "service", "state", "address", "holdings", "age_ms"];

/// Shows a view.
pub fn run(remote: Remote, what: What) -> Result<String, Failure> {
    let plain = !remote.json;
    let value = block_on(show(&ShowOptions { server: remote.server(), what }))?;
    Ok(match what {
        _ if !plain => json(&value),
        What::Status => status(&value),
        What::Zones => render(&value, ZONES),
        What::Endpoints => render(&value, ENDPOINTS),
    })
}

fn status(value: &Value) -> String {
    STATUS.iter().map(|f| format!("{f:10}{}\n", cell(&value[*f]))).collect()
}
