//! How a tier is founded, and how a host with an empty disk joins one.
//!
//! A tier is founded once, by the first in name order of the voters in the settings, and
//! only when all of them answer, belong to no tier and name the same voters. A voter that
//! lost its disk finds a host that belongs to the tier and joins it without a vote; if the
//! others cannot be reached it waits.

use super::Shared;
use super::wire::{Ask, Founded, Hello};
use crate::core::log::{Checkpoint, Replica};
use crate::prelude::*;
use crate::services::replica::Store;
use futures::future::join_all;

/// Name of the group of the whole tier.
pub const TIER: &str = "tier";

/// Tries once to found a tier or to join one.
///
/// # Errors
///
/// Fails when the disk does.
pub async fn attempt(shared: &Arc<Shared>) -> Result<()> {
    let Some(me) = shared.me.clone() else { return Ok(()) };
    let hellos = ask_all(shared).await;
    if let Some((_, Hello { tier: Some(founded), .. })) =
        hellos.iter().find(|(_, h)| h.tier.is_some())
    {
        return shared.begin(founded.clone());
    }
    if let Some(first) = founders(shared, &me, &hellos) {
        let tier = rand::random();
        log::info!("founding the tier with voters {}", shared.voters.join(", "));
        return shared.begin(Founded { tier, first });
    }
    Ok(())
}

async fn ask_all(shared: &Shared) -> Vec<(String, Hello)> {
    let others = shared.peers.others();
    let named = shared.voters.iter().filter(|v| **v != shared.peers.host());
    let hosts: IndexSet<String> = others.into_iter().chain(named.cloned()).collect();
    let asked = hosts.into_iter().map(|host| async move {
        let hello = shared.call::<Hello>(&host, &Ask::Hello).await.ok()?;
        Some((host, hello))
    });
    join_all(asked).await.into_iter().flatten().collect()
}

/// The first voters, if this host is the one to found the tier now.
fn founders(shared: &Shared, me: &Replica, hellos: &[(String, Hello)]) -> Option<Vec<Replica>> {
    if shared.voters.first()? != shared.peers.host() {
        return None;
    }
    let find = |name: &String| {
        if *name == me.host {
            return Some(me.clone());
        }
        let (_, hello) = hellos.iter().find(|(host, _)| host == name)?;
        if hello.voters != shared.voters {
            log::warn!("host `{name}` names other voters than this one; set both to the same");
            return None;
        }
        Some(Replica { host: name.clone(), zone: hello.zone.clone(), disk: hello.disk? })
    };
    shared.voters.iter().map(find).collect()
}

/// The first base of a replica: a founder knows the voters, another is told by the leader.
pub fn base(me: &Replica, founded: &Founded) -> Checkpoint {
    Checkpoint::empty(if founded.first.contains(me) { founded.first.clone() } else { Vec::new() })
}

/// Opens a group's store and gives it its first base if it is new.
///
/// # Errors
///
/// Fails when the disk does.
pub fn store(
    shared: &Shared,
    group: &str,
    first: Checkpoint,
) -> Result<crate::services::replica::StoredReplica> {
    let disk = shared.disk.clone().context("this host has no data folder")?;
    let mut kept = Store::open(disk, group)?;
    if kept.checkpoint.is_none() {
        kept.store.compact(&first)?;
        kept.checkpoint = Some(first);
    }
    Ok(kept)
}
