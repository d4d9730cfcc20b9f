//! Bounds of the values in the rules of a new document, with the line of an invalid value.
//!
//! Only new documents are checked against these bounds. A document that was accepted once stays in
//! force, also on a host whose version has narrower bounds.

use std::ops::RangeInclusive;

use serde::Deserialize;
use toml::Spanned;

/// Concurrent requests of a class. With 0, every request of the class would be refused.
const CONCURRENCY_RANGE: RangeInclusive<i64> = 1..=1_000_000;
/// Timeout in milliseconds; the same range as for the timeout of a request.
const TIMEOUT_MS_RANGE: RangeInclusive<i64> = 1..=60_000;
/// Concurrent requests at an endpoint.
const SLOTS_RANGE: RangeInclusive<i64> = 1..=1_000_000;

/// The parts of a document that are checked, with the positions of their values.
#[derive(Default, Deserialize)]
struct SpannedDocument {
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

/// Checks that the values of the rules are within their bounds.
///
/// # Errors
///
/// Returns the first invalid value with its line, what is allowed and the reason.
pub fn check(text: &str) -> Result<(), String> {
    let document: SpannedDocument = toml::from_str(text).map_err(|e| e.to_string())?;
    for class in &document.rules.classes {
        let name = format!("class `{}`", class.name);
        let concurrency = class.concurrency.as_ref();
        let reason = "with none, every request of the class would be refused";
        concurrency.map_or(Ok(()), |v| {
            check_range(text, &name, "concurrency", v, CONCURRENCY_RANGE, reason)
        })?;
        let timeout = class.timeout_ms.as_ref();
        let reason = "no answer could come within less, and no caller may ask for more";
        timeout.map_or(Ok(()), |v| {
            check_range(text, &name, "timeout_ms", v, TIMEOUT_MS_RANGE, reason)
        })?;
    }
    for cap in &document.rules.caps {
        let name = format!("cap of `{}`", cap.service);
        let reason = "to take endpoints out, set their hosts to `leaving` or their zone to `out`";
        check_range(text, &name, "slots", &cap.slots, SLOTS_RANGE, reason)?;
    }
    Ok(())
}

fn check_range(
    text: &str,
    name: &str,
    field: &str,
    value: &Spanned<i64>,
    allowed: RangeInclusive<i64>,
    reason: &str,
) -> Result<(), String> {
    let n = *value.get_ref();
    if allowed.contains(&n) {
        return Ok(());
    }
    let before = text.get(..value.span().start).unwrap_or_default();
    let line = before.matches('\n').count() + 1;
    let (min, max) = allowed.into_inner();
    Err(format!("line {line}: {name} has {field} = {n}; {min} to {max} is allowed: {reason}"))
}
