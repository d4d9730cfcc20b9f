//! `wisteriactl zone`.

use super::{block_on, json, revision};
use crate::cli::{Change, Remote, Zone};
use crate::shell;
use wisteriahead::core::document::ZoneState;
use wisteriahead::ops::failure::Failure;
use wisteriahead::ops::zone::{SetStateOptions, set_state};

/// Takes an availability zone out of service or brings it back.
pub fn run(zone: Zone) -> Result<String, Failure> {
    match zone {
        Zone::Out { change, remote, name } => apply(&remote, &change, name, ZoneState::Out),
        Zone::In { change, remote, name } => apply(&remote, &change, name, ZoneState::In),
    }
}

fn apply(
    remote: &Remote,
    change: &Change,
    zone: String,
    state: ZoneState,
) -> Result<String, Failure> {
    let what = match state {
        ZoneState::In => format!("availability zone {zone} in"),
        ZoneState::Out => format!("availability zone {zone} out"),
    };
    let opts = SetStateOptions { server: remote.server(), zone, state, id: change.id.clone() };
    let done = block_on(set_state(&opts))?;
    match done.revision {
        Some(revision) => {
            let message = format!("{what} by revision {revision} (change {})", done.id);
            shell::status("Accepted", &message);
            revision::wait_if_asked(remote, change, revision)?;
        }
        None => {
            shell::status("Marked", &format!("{what} by host {}", remote.server));
            shell::warn(
                "no quorum was reached: the change holds at the hosts of the availability zone \
                 that this host reaches, and everywhere once there is a quorum again",
            );
        }
    }
    Ok(if remote.json { json(&done) } else { String::new() })
}
