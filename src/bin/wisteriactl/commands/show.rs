//! `wisteriactl status`, `zones`, `endpoints` and `rules`.

use super::{block_on, json};
use crate::cli::Remote;
use crate::table::{cell, render};
use anyhow::{Context as _, anyhow};
use serde::Serialize;
use serde_json::Value;
use wisteriahead::core::document::{Document, Revision, Rules};
use wisteriahead::ops::failure::Failure;
use wisteriahead::ops::inventory::{GetOptions, get};
use wisteriahead::ops::show::{ShowOptions, View, show};

const STATUS_FIELDS: &[&str] = &["host", "zone", "revision", "others"];
const ZONES_FIELDS: &[&str] = &["zone", "state", "endpoints", "hosts"];
const ENDPOINTS_FIELDS: &[&str] =
    &["endpoint", "host", "zone", "service", "state", "address", "holdings", "age_ms"];
const CLASSES_FIELDS: &[&str] = &["name", "priority", "concurrency", "timeout_ms", "min_coverage"];
const CAPS_FIELDS: &[&str] = &["service", "slots"];

/// Shows a view of the host.
pub fn run(remote: &Remote, view: View) -> Result<String, Failure> {
    let value = block_on(show(&ShowOptions { server: remote.server(), view }))?;
    Ok(match view {
        _ if remote.json => json(&value),
        View::Status => status(&value),
        View::Zones => render(&value, ZONES_FIELDS),
        View::Endpoints => render(&value, ENDPOINTS_FIELDS),
    })
}

/// Renders one field per line: the known ones first, in a fixed order, then those that a host of a
/// later version adds.
fn status(value: &Value) -> String {
    let known = STATUS_FIELDS.iter().map(|f| (*f, &value[*f]));
    let added = value.as_object().into_iter().flatten();
    let added = added.map(|(f, v)| (f.as_str(), v)).filter(|(f, _)| !STATUS_FIELDS.contains(f));
    known.chain(added).map(|(field, v)| format!("{field:10}{}\n", cell(v))).collect()
}

#[derive(Serialize)]
struct CurrentRules {
    revision: Revision,
    rules: Rules,
}

/// Shows the rules in force.
pub fn rules(remote: &Remote) -> Result<String, Failure> {
    let inventory = block_on(get(&GetOptions { server: remote.server() }))?;
    let document = Document::read(&inventory.text).map_err(|e| {
        anyhow!("this version of wisteriactl cannot read the inventory in force: {e}")
    })?;
    let shown = CurrentRules { revision: inventory.revision, rules: document.rules };
    if remote.json {
        return Ok(json(&shown));
    }
    let value = serde_json::to_value(&shown.rules).context("could not encode the rules as JSON")?;
    let mut text = format!("revision  {}\nadmit     {}\n", shown.revision, cell(&value["admit"]));
    for (list, fields) in [("class", CLASSES_FIELDS), ("cap", CAPS_FIELDS)] {
        if value[list].as_array().is_some_and(|l| !l.is_empty()) {
            text += &format!("\n{}", render(&value[list], fields));
        }
    }
    Ok(text)
}
