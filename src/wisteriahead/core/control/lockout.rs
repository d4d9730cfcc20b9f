//! Which edits would lock a tier out of itself.

use crate::core::document::{Document, HostState};
use crate::prelude::*;

/// Names of the hosts that a document retires.
pub fn retired_hosts(document: &Document) -> IndexSet<String> {
    let gone = document.hosts.iter().filter(|h| h.state == HostState::Retired);
    gone.map(|h| h.name.clone()).collect()
}

/// Why hosts may not be retired: without them no quorum of the voters, or no host of the
/// tier, would be left.
pub fn lockout(retired: &IndexSet<String>, voters: &[String], hosts: &[String]) -> Option<String> {
    let listed = |names: &[String]| {
        let gone: Vec<&str> =
            names.iter().filter(|n| retired.contains(*n)).map(String::as_str).collect();
        gone.join("`, `")
    };
    let left = |names: &[String]| names.iter().filter(|n| !retired.contains(*n)).count();
    let quorum = voters.len() / 2 + 1;
    if !voters.is_empty() && left(voters) < quorum {
        return Some(format!(
            "`{}` may not be retired: of the {} voters {} would be left, and changes need {quorum}; \
             take them out by `wisteriactl voters remove` first, one after the other",
            listed(voters),
            voters.len(),
            left(voters)
        ));
    }
    if !hosts.is_empty() && left(hosts) == 0 {
        return Some(format!(
            "`{}` may not all be retired: no host of the tier would be left",
            listed(hosts)
        ));
    }
    None
}
