//! Status lines and warnings for people, on standard error, so that standard output has results
//! only.

use std::io::Write as _;

/// Width that the verb of a status line is right-aligned in, in columns.
const VERB_COLUMNS: usize = 12;

/// Prints a status line: a verb such as `Accepted`, and what it applies to.
pub fn status(verb: &str, message: &str) {
    print_line(&format!("{verb:>VERB_COLUMNS$} {message}"));
}

/// Prints a warning.
pub fn warn(message: &str) {
    print_line(&format!("warning: {message}"));
}

fn print_line(line: &str) {
    // A closed standard error does not fail the command.
    let _ = writeln!(std::io::stderr(), "{line}");
}
