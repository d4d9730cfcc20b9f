//! Brings commands to the leader of a group and waits for what became of them.
//!
//! A command is named by its change's identifier or its claim's number, so it may be
//! handed in again until its outcome is known.

use super::Shared;
use super::wire::{Ask, Submitted};
use crate::core::control::claims::{Ticket, expired_key};
use crate::core::control::{Command, Reply, StampedCommand};
use crate::core::log::ProposeError;
use crate::core::message::{decode, encode};
use crate::prelude::*;
use crate::services::replica::{CommitError, Group};
use std::time::SystemTime;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Pause between two tries.
const RETRY: Span = Span::millis(30);
/// Longest wait of a leader for a proposal.
pub const COMMIT_MAX: Span = Span::secs(3);

/// Milliseconds since 1970 by this host's clock.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or_default()
}

/// Hands a command in at the leader, wherever it is, until it is committed or the time is over.
///
/// # Errors
///
/// Refuses with "not run" when no leader was handed the command, and with "may have run"
/// when one was and its answer is missing.
pub async fn submit(
    shared: &Shared,
    group: &str,
    command: Command,
    bound: Span,
) -> Result<Reply, Refusal> {
    let end = Instant::now() + bound.to_std();
    let command = encode(&StampedCommand { time_ms: wall_ms(), command });
    let mut handed = false;
    while Instant::now() < end {
        let tried = timeout_at(end, hand_in(shared, group, &command)).await;
        match tried {
            Ok(Some(Submitted::Done(reply))) => {
                return decode(&reply)
                    .map_err(|e| Refusal::may_have_run(Reason::Internal, e.to_string()));
            }
            Ok(Some(Submitted::Refused(_)) | None) => {}
            Ok(Some(Submitted::Unknown)) | Err(_) => handed = true,
        }
        sleep(RETRY.to_std()).await;
    }
    let detail = format!(
        "no quorum of the hosts that keep the tier's state was reached within {bound}; \
         see `wisteriactl voters`"
    );
    Err(if handed {
        Refusal::may_have_run(Reason::NoQuorum, detail)
    } else {
        Refusal::not_run(Reason::NoQuorum, detail)
    })
}

/// Hands a command in once; nothing if no leader is known.
async fn hand_in(shared: &Shared, group: &str, command: &[u8]) -> Option<Submitted> {
    if let Some(group) = shared.group(group)
        && group.status().leads
    {
        return Some(propose(shared, &group, command.to_vec()).await);
    }
    let leader = shared.leader(group)?;
    let ask = Ask::Submit { group: group.to_owned(), command: command.to_vec() };
    // A call that failed may have been handed over.
    Some(shared.call(&leader, &ask).await.unwrap_or(Submitted::Unknown))
}

/// Proposes a command at this host, if it leads.
pub async fn propose(shared: &Shared, group: &Group, command: Vec<u8>) -> Submitted {
    if group.status().leads
        && let Some(refusal) = foreign(shared, &command)
    {
        return Submitted::Done(encode(&Reply::Claim(Err(refusal))));
    }
    finish(
        timeout(COMMIT_MAX.to_std(), group.propose(command))
            .await
            .unwrap_or(Err(CommitError::Unknown)),
    )
}

/// Refuses a ticket of a tier that was founded before this one and lost its memory.
fn foreign(shared: &Shared, command: &[u8]) -> Option<Refusal> {
    let Ok(StampedCommand { command: Command::Claim { key, .. }, .. }) = decode(command) else {
        return None;
    };
    let (ticket, tier) = (Ticket::parse(&key)?, shared.founded()?.tier);
    (ticket.home != Ticket::TIER || ticket.epoch != tier).then(expired_key)
}

/// The answer for a caller on another host.
pub fn finish(done: Result<Vec<u8>, CommitError>) -> Submitted {
    match done {
        Ok(reply) => Submitted::Done(reply),
        Err(CommitError::Unknown) => Submitted::Unknown,
        Err(CommitError::Refused(refused)) => Submitted::Refused(match refused {
            ProposeError::NotLeader => "this host does not lead".to_owned(),
            ProposeError::ChangePending => {
                "another change of the voters is under way; wait".to_owned()
            }
            ProposeError::InvalidChange => {
                "the voters are so already, or the host is the last one".to_owned()
            }
        }),
    }
}
