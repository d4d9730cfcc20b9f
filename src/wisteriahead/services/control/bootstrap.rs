//! Bootstraps a new tier, or joins an existing one with an empty disk.
//!
//! A tier is created once, by the configured voter whose name sorts first, and only when all
//! configured voters answer, belong to no tier and have the same list of voters. A voter that lost
//! its disk joins the tier of any host that answers with one, without a vote; while no other host
//! is reachable, it waits.

use super::Shared;
use super::wire::{Hello, Request, TierInfo};
use crate::core::log::{Checkpoint, Replica};
use crate::prelude::*;
use crate::services::replica::Store;
use futures::future::join_all;

/// Name of the Raft group that replicates the tier's state.
pub const TIER_GROUP: &str = "tier";

/// Makes one attempt to join a tier or to create one.
///
/// # Errors
///
/// Fails on a disk error.
pub async fn try_join(shared: &Arc<Shared>) -> Result<()> {
    let Some(me) = shared.me.clone() else { return Ok(()) };
    let hellos = send_hellos(shared).await;
    if let Some((_, Hello { tier: Some(info), .. })) = hellos.iter().find(|(_, h)| h.tier.is_some())
    {
        return shared.join_tier(info.clone());
    }
    if let Some(first) = initial_voters(shared, &me, &hellos) {
        let tier = rand::random();
        log::info!("creating the tier with voters {}", shared.voters.join(", "));
        return shared.join_tier(TierInfo { tier, first });
    }
    Ok(())
}

async fn send_hellos(shared: &Shared) -> Vec<(String, Hello)> {
    let others = shared.peers.others();
    let configured = shared.voters.iter().filter(|v| **v != shared.peers.host());
    let hosts: IndexSet<String> = others.into_iter().chain(configured.cloned()).collect();
    let calls = hosts.into_iter().map(|host| async move {
        let hello = shared.call::<Hello>(&host, &Request::Hello).await.ok()?;
        Some((host, hello))
    });
    join_all(calls).await.into_iter().flatten().collect()
}

/// Initial voters of a new tier, if this host may create it now.
fn initial_voters(
    shared: &Shared,
    me: &Replica,
    hellos: &[(String, Hello)],
) -> Option<Vec<Replica>> {
    if shared.voters.first()? != shared.peers.host() {
        return None;
    }
    let find = |name: &String| {
        if *name == me.host {
            return Some(me.clone());
        }
        let (_, hello) = hellos.iter().find(|(host, _)| host == name)?;
        if hello.voters != shared.voters {
            log::warn!(
                "host `{name}` is configured with different voters; configure the same on both hosts"
            );
            return None;
        }
        Some(Replica { host: name.clone(), zone: hello.zone.clone(), disk: hello.disk? })
    };
    shared.voters.iter().map(find).collect()
}

/// Initial checkpoint of a replica: with the voters on one of the tier's initial voters; elsewhere
/// empty, as the leader sends the voters.
pub fn initial_checkpoint(me: &Replica, info: &TierInfo) -> Checkpoint {
    Checkpoint::empty(if info.first.contains(me) { info.first.clone() } else { Vec::new() })
}

/// Opens a group's store; a new one is initialized with the given checkpoint.
///
/// # Errors
///
/// Fails on a disk error.
pub fn open_store(
    shared: &Shared,
    group: &str,
    initial: Checkpoint,
) -> Result<crate::services::replica::StoredReplica> {
    let disk = shared.disk.clone().context("this host has no data folder")?;
    let mut stored = Store::open(disk, group)?;
    if stored.checkpoint.is_none() {
        stored.store.compact(&initial)?;
        stored.checkpoint = Some(initial);
    }
    Ok(stored)
}
