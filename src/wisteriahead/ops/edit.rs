//! Edits a copy of the inventory, and keeps the revision that was edited.
//!
//! The operator edits the copy with a program of their own: a program of the tier
//! starts no other process.

use super::change::{Applied, identifier};
use super::client::Server;
use super::failure::Failure;
use super::inventory::{ApplyOptions, CheckOptions, GetOptions, apply, check, get};
use crate::prelude::*;
use anyhow::anyhow;
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// Mode of the copy: its owner alone reads and writes it.
const COPY_MODE: u32 = 0o600;

/// Options of [`edit`].
#[derive(Clone, Debug)]
pub struct EditOptions {
    /// Host to ask.
    pub server: Server,
    /// Folder for the copy.
    pub folder: PathBuf,
    /// Identifier of the change; a random one if none is given.
    pub id: Option<String>,
}

/// Writes a copy of the inventory in force, has it edited, and puts it in force.
///
/// `edited` returns once the operator has edited the copy. Nothing is put in force when
/// the copy is left as it is.
///
/// # Errors
///
/// Fails when `edited` fails, the edited copy does not hold, or the host refuses it. The
/// copy is kept then, and the cause says how to go on from it.
pub async fn edit(
    opts: &EditOptions,
    edited: impl FnOnce(&Path) -> Result<()>,
) -> Result<Option<Applied>, Failure> {
    let old = get(&GetOptions { server: opts.server.clone() }).await?;
    let id = identifier(opts.id.as_deref());
    let copy = opts.folder.join(format!("inventory-{}-{id}.toml", old.revision));
    write(&copy, &old.text)?;
    edited(&copy).with_context(|| advice(&copy, old.revision))?;
    let new = fs::read_to_string(&copy).context("could not read the edited copy")?;
    if new == old.text {
        discard(&copy);
        return Ok(None);
    }
    let done = put(opts, &copy, old.revision, id).await;
    match done {
        Ok(applied) => {
            discard(&copy);
            Ok(Some(applied))
        }
        Err(failure) => Err(kept(failure, &copy, old.revision)),
    }
}

async fn put(opts: &EditOptions, copy: &Path, base: u64, id: String) -> Result<Applied, Failure> {
    check(&CheckOptions { file: copy.to_owned() })?;
    let (server, file) = (opts.server.clone(), copy.to_owned());
    apply(&ApplyOptions { server, file, base: Some(base), id: Some(id) }).await
}

fn write(copy: &Path, text: &str) -> Result<()> {
    let mut options = OpenOptions::new();
    let file = options.write(true).create_new(true).mode(COPY_MODE).open(copy);
    file.and_then(|mut f| f.write_all(text.as_bytes()))
        .with_context(|| format!("could not write the copy {}; set TMPDIR", copy.display()))
}

fn discard(copy: &Path) {
    if let Err(e) = fs::remove_file(copy) {
        log::warn!("could not remove the copy {}: {e}", copy.display());
    }
}

fn kept(failure: Failure, copy: &Path, base: u64) -> Failure {
    match failure {
        Failure::Refused(mut refusal) => {
            refusal.detail = format!("{}; the copy is kept in {}", refusal.detail, copy.display());
            Failure::Refused(refusal)
        }
        Failure::Unknown(e) => Failure::Unknown(e.context(advice(copy, base))),
        other => Failure::Failed(anyhow!("{other}").context(advice(copy, base))),
    }
}

fn advice(copy: &Path, base: u64) -> String {
    let copy = copy.display();
    format!("the copy is kept; go on with `inventory apply --file {copy} --base {base}`")
}
