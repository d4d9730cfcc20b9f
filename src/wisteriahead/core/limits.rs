//! Which values of the rules are allowed, and in which line of the document a faulty one
//! stands.
//!
//! Only a new document is checked so: what was accepted once stays in force, also at a host
//! of a version that allows less.

use std::ops::RangeInclusive;

use serde::Deserialize;
use toml::Spanned;

/// Requests at once of a class; none at all would refuse each of its requests.
const CONCURRENCY: RangeInclusive<i64> = 1..=1_000_000;
/// Milliseconds; as callers may ask for.
const TIMEOUT_MS: RangeInclusive<i64> = 1..=60_000;
/// Requests at once at an endpoint.
const SLOTS: RangeInclusive<i64> = 1..=1_000_000;

#[derive(Default, Deserialize)]
struct Places {
    #[serde(default)]
    rules: Rules,
}

#[derive(Default, Deserialize)]
struct Rules {
    #[serde(default, rename = "class")]
    classes: Vec<Class>,
    #[serde(default, rename = "cap")]
    caps: Vec<Cap>,
}

#[derive(Deserialize)]
struct Class {
    name: String,
    concurrency: Option<Spanned<i64>>,
    timeout_ms: Option<Spanned<i64>>,
}

#[derive(Deserialize)]
struct Cap {
    service: String,
    slots: Spanned<i64>,
}

/// Checks the values of the rules.
///
/// # Errors
///
/// Returns the first fault with its line, its reason and what is allowed.
pub fn check(text: &str) -> Result<(), String> {
    let places: Places = toml::from_str(text).map_err(|e| e.to_string())?;
    for class in &places.rules.classes {
        let name = format!("class `{}`", class.name);
        let concurrency = class.concurrency.as_ref();
        let why = "with none, every request of the class would be refused";
        concurrency.map_or(Ok(()), |v| within(text, &name, "concurrency", v, CONCURRENCY, why))?;
        let timeout = class.timeout_ms.as_ref();
        let why = "no answer could come within less, and no caller may ask for more";
        timeout.map_or(Ok(()), |v| within(text, &name, "timeout_ms", v, TIMEOUT_MS, why))?;
    }
    for cap in &places.rules.caps {
        let name = format!("cap of `{}`", cap.service);
        let why = "to take endpoints out, set their hosts to `leaving` or their zone to `out`";
        within(text, &name, "slots", &cap.slots, SLOTS, why)?;
    }
    Ok(())
}

fn within(
    text: &str,
    name: &str,
    field: &str,
    value: &Spanned<i64>,
    allowed: RangeInclusive<i64>,
    why: &str,
) -> Result<(), String> {
    let n = *value.get_ref();
    if allowed.contains(&n) {
        return Ok(());
    }
    let before = text.get(..value.span().start).unwrap_or_default();
    let line = before.matches('\n').count() + 1;
    let (min, max) = allowed.into_inner();
    Err(format!("line {line}: {name} has {field} = {n}; {min} to {max} is allowed: {why}"))
}
