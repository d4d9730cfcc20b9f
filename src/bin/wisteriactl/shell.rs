//! Status lines for people on standard error, so that standard output holds results alone.

use std::io::Write as _;

/// Columns that the verb of a status line is aligned in.
const VERB_COLUMNS: usize = 12;

/// Says what is done, by a verb and what it is about.
pub fn status(verb: &str, about: &str) {
    say(&format!("{verb:>VERB_COLUMNS$} {about}"));
}

/// Says what the operator should know before it surprises.
pub fn warn(about: &str) {
    say(&format!("warning: {about}"));
}

fn say(line: &str) {
    // Whoever closed standard error wants no status.
    let _ = writeln!(std::io::stderr(), "{line}");
}
