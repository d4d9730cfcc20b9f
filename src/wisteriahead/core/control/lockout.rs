//! Detects edits that would retire so many hosts that the tier could no longer be changed.

use crate::core::document::{Document, HostState};
use crate::prelude::*;

/// Names of the retired hosts of a document.
pub fn retired_hosts(document: &Document) -> IndexSet<String> {
    let hosts = document.hosts.iter().filter(|h| h.state == HostState::Retired);
    hosts.map(|h| h.name.clone()).collect()
}

/// Why the hosts may not be retired: less than a quorum of the voters, or no host of the tier,
/// would remain. `None` if they may.
pub fn lockout(retired: &IndexSet<String>, voters: &[String], hosts: &[String]) -> Option<String> {
    let lost_names = |names: &[String]| {
        let lost: Vec<&str> =
            names.iter().filter(|n| retired.contains(*n)).map(String::as_str).collect();
        lost.join("`, `")
    };
    let remaining = |names: &[String]| names.iter().filter(|n| !retired.contains(*n)).count();
    let quorum = voters.len() / 2 + 1;
    if !voters.is_empty() && remaining(voters) < quorum {
        return Some(format!(
            "`{}` may not be retired: of the {} voters {} would be left, and changes need {quorum}; \
             take them out by `wisteriactl voters remove` first, one after the other",
            lost_names(voters),
            voters.len(),
            remaining(voters)
        ));
    }
    if !hosts.is_empty() && remaining(hosts) == 0 {
        return Some(format!(
            "`{}` may not all be retired: no host of the tier would be left",
            lost_names(hosts)
        ));
    }
    None
}
