//! Plays one case of the second review: `stand-in-2 CASE RECORD`, in the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` in the
//! environment it leaves out the disruption.

mod caller;
mod cold_again;
mod http;
mod late_retry;
mod leaf;
mod lost_learner;
mod poison;
mod record;
mod stale_refusal;
mod tier;
mod wire;

use record::Record;
use std::path::Path;
use std::process::ExitCode;

/// How a case ended.
pub enum Outcome {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: stand-in-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(record) = Record::create(Path::new(path)) else { return ExitCode::from(2) };
    let outcome = match case.as_str() {
        "stale-refusal" => stale_refusal::run(trouble, &record),
        "cold-again" => cold_again::run(trouble, &record),
        "lost-learner" => lost_learner::run(&record),
        "late-retry" => late_retry::run(trouble, &record),
        "poison" => poison::run(trouble, &record),
        _ => Err(format!("there is no case `{case}`")),
    };
    match outcome {
        Ok(Outcome::Held) => ExitCode::SUCCESS,
        Ok(Outcome::Broken) => ExitCode::from(1),
        Err(fault) => {
            record.note("case", &format!("could not run: {fault}"));
            eprintln!("could not run: {fault}");
            ExitCode::from(2)
        }
    }
}
