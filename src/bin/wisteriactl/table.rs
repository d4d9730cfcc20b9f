//! Renders lists of JSON objects as text tables.

use serde_json::Value;

/// Renders a list of objects as a table with a column for each of the given fields.
pub fn render(list: &Value, fields: &[&str]) -> String {
    let head = fields.iter().map(|f| f.to_uppercase()).collect();
    let mut rows: Vec<Vec<String>> = vec![head];
    for item in list.as_array().into_iter().flatten() {
        rows.push(fields.iter().map(|f| cell(&item[*f])).collect());
    }
    align(&rows)
}

fn align(rows: &[Vec<String>]) -> String {
    let width = |col: usize| rows.iter().map(|r| r[col].chars().count()).max().unwrap_or(0);
    let widths: Vec<_> = (0..rows.first().map_or(0, Vec::len)).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths).map(|(text, &w)| format!("{text:w$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_owned() + "\n"
    };
    rows.iter().map(line).collect()
}

/// Renders a value on one line. A holding is written as `COLLECTION@SNAPSHOT:SHARD/SHARDS`.
pub fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(s) => printable(s),
        Value::Array(list) => list.iter().map(cell).collect::<Vec<_>>().join(","),
        Value::Object(o) if o.contains_key("collection") => format!(
            "{}@{}:{}/{}",
            cell(&value["collection"]),
            cell(&value["snapshot"]),
            cell(&value["shard"]),
            cell(&value["shards"])
        ),
        other => other.to_string(),
    }
}

/// Replaces control characters by `?`: texts come from endpoints, which could otherwise send escape
/// sequences to the operator's terminal.
fn printable(text: &str) -> String {
    text.chars().map(|c| if c.is_control() { '?' } else { c }).collect()
}
