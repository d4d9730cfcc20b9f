//! `wisteriactl audit`.

use super::block_on;
use crate::cli::Audit;
use crate::table::cell;
use serde_json::Value;
use std::io::Write as _;
use std::time::{Duration, UNIX_EPOCH};
use wisteriahead::ops::audit::{Entry, ReadOptions, follow, read};
use wisteriahead::ops::failure::Failure;

/// Widths of the columns. They are fixed, because `--follow` prints rows before the later ones are
/// known.
const WIDTHS: [usize; 6] = [6, 24, 12, 8, 14, 0];
const HEAD: [&str; 6] = ["SEQ", "TIME", "OPERATOR", "REVISION", "RESULT", "WHAT"];

/// Shows the audit trail as a table, or as one JSON object per line.
pub fn run(audit: &Audit) -> Result<String, Failure> {
    let server = audit.remote.server();
    let opts = ReadOptions { server, after: audit.after, limit: audit.limit };
    let head = if audit.remote.json { String::new() } else { row(HEAD.map(str::to_owned)) };
    let show = |entries: &[Entry]| entries.iter().map(|e| line(e, audit.remote.json)).collect();
    if !audit.follow {
        let entries = block_on(read(&opts))?;
        let text: String = show(&entries);
        return Ok(head + &text);
    }
    if print(&head) {
        block_on(follow(&opts, |entries| print(&show(entries))))?;
    }
    Ok(String::new())
}

/// Prints and flushes; returns false if standard output is closed.
fn print(text: &str) -> bool {
    let mut out = std::io::stdout().lock();
    out.write_all(text.as_bytes()).and_then(|()| out.flush()).is_ok()
}

fn line(entry: &Entry, json: bool) -> String {
    if json {
        return serde_json::to_string(entry).unwrap_or_default() + "\n";
    }
    let time = UNIX_EPOCH + Duration::from_millis(entry.time_ms);
    row([
        entry.seq.to_string(),
        humantime::format_rfc3339_millis(time).to_string(),
        cell(&Value::from(entry.operator.as_str())),
        cell(&entry.revision),
        cell(&entry.result),
        cell(&entry.what),
    ])
}

fn row(cells: [String; 6]) -> String {
    let cells = cells.iter().zip(WIDTHS).map(|(text, w)| format!("{text:w$}"));
    cells.collect::<Vec<_>>().join("  ").trim_end().to_owned() + "\n"
}
