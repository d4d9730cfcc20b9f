//! `wisteriactl inventory`.

use super::{block_on, json};
use crate::cli::Inventory;
use wisteriahead::ops::failure::Failure;
use wisteriahead::ops::inventory::{ApplyOptions, CheckOptions, GetOptions, apply, check, get};

/// Gets, checks or changes the inventory.
pub fn run(inventory: Inventory) -> Result<String, Failure> {
    match inventory {
        Inventory::Get { remote } => {
            let plain = !remote.json;
            let inv = block_on(get(&GetOptions { server: remote.server() }))?;
            let text = || format!("# revision {}\n{}", inv.revision, inv.text);
            Ok(if plain { text() } else { json(&inv) })
        }
        Inventory::Check { file } => {
            let doc = check(&CheckOptions { file })?;
            let (zones, hosts) = (doc.zones.len(), doc.hosts.len());
            Ok(format!("holds: {zones} availability zones, {hosts} hosts\n"))
        }
        Inventory::Apply { file, base, id, remote } => {
            let plain = !remote.json;
            let opts = ApplyOptions { server: remote.server(), file, base, id };
            let done = block_on(apply(&opts))?;
            let text = || format!("revision {} is in force (change {})\n", done.revision, done.id);
            Ok(if plain { text() } else { json(&done) })
        }
    }
}
