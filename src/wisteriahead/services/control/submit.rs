//! Submits commands to the leader of a group and waits for their outcome.
//!
//! A command carries the identifier of its change or the number of its claim, which makes it
//! idempotent: it is submitted again until its outcome is known.

use super::Shared;
use super::wire::{Request, SubmitResult};
use crate::core::control::claims::{Ticket, expired_key};
use crate::core::control::{Command, Reply, StampedCommand};
use crate::core::log::ProposeError;
use crate::core::message::{decode, encode};
use crate::prelude::*;
use crate::services::replica::{CommitError, Group};
use std::time::SystemTime;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Pause between two attempts.
const RETRY_INTERVAL: Span = Span::millis(30);
/// Time that a leader waits for a proposal to be committed.
pub const COMMIT_TIMEOUT: Span = Span::secs(3);

/// Milliseconds since the Unix epoch by this host's clock.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or_default()
}

/// Submits a command to the leader, here or on another host, until it is committed or the time
/// limit expires.
///
/// # Errors
///
/// Refuses with "not run" if no leader can have received the command, and with "may have run" if
/// one may have received it but its outcome is unknown.
pub async fn submit(
    shared: &Shared,
    group: &str,
    command: Command,
    time_limit: Span,
) -> Result<Reply, Refusal> {
    let deadline = Instant::now() + time_limit.to_std();
    let command = encode(&StampedCommand { time_ms: wall_ms(), command });
    let mut may_have_run = false;
    while Instant::now() < deadline {
        let result = timeout_at(deadline, submit_once(shared, group, &command)).await;
        match result {
            Ok(Some(SubmitResult::Done(reply))) => {
                return decode(&reply)
                    .map_err(|e| Refusal::may_have_run(Reason::Internal, e.to_string()));
            }
            Ok(Some(SubmitResult::Refused(_)) | None) => {}
            Ok(Some(SubmitResult::Unknown)) | Err(_) => may_have_run = true,
        }
        sleep(RETRY_INTERVAL.to_std()).await;
    }
    let detail = format!(
        "no quorum of the hosts that keep the tier's state was reached within {time_limit}; \
         see `wisteriactl voters`"
    );
    Err(if may_have_run {
        Refusal::may_have_run(Reason::NoQuorum, detail)
    } else {
        Refusal::not_run(Reason::NoQuorum, detail)
    })
}

/// Submits a command once; `None` if no leader is known.
async fn submit_once(shared: &Shared, group: &str, command: &[u8]) -> Option<SubmitResult> {
    if let Some(group) = shared.group(group)
        && group.status().leads
    {
        return Some(propose(shared, &group, command.to_vec()).await);
    }
    let leader = shared.leader(group)?;
    let request = Request::Submit { group: group.to_owned(), command: command.to_vec() };
    // The leader may have received the command even if the call fails.
    Some(shared.call(&leader, &request).await.unwrap_or(SubmitResult::Unknown))
}

/// Proposes a command to this host's replica; refused unless it is the leader.
pub async fn propose(shared: &Shared, group: &Group, command: Vec<u8>) -> SubmitResult {
    if group.status().leads
        && let Some(refusal) = reject_foreign_ticket(shared, &command)
    {
        return SubmitResult::Done(encode(&Reply::Claim(Err(refusal))));
    }
    to_submit_result(
        timeout(COMMIT_TIMEOUT.to_std(), group.propose(command))
            .await
            .unwrap_or(Err(CommitError::Unknown)),
    )
}

/// Refuses a claim whose ticket was issued by an earlier tier, whose state is lost.
fn reject_foreign_ticket(shared: &Shared, command: &[u8]) -> Option<Refusal> {
    let Ok(StampedCommand { command: Command::Claim { key, .. }, .. }) = decode(command) else {
        return None;
    };
    let (ticket, tier) = (Ticket::parse(&key)?, shared.tier_info()?.tier);
    (ticket.home != Ticket::TIER || ticket.epoch != tier).then(expired_key)
}

/// Converts the outcome of a proposal to the answer to a remote caller.
pub fn to_submit_result(result: Result<Vec<u8>, CommitError>) -> SubmitResult {
    match result {
        Ok(reply) => SubmitResult::Done(reply),
        Err(CommitError::Unknown) => SubmitResult::Unknown,
        Err(CommitError::Refused(refused)) => SubmitResult::Refused(match refused {
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
