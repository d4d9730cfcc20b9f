//! Changes the inventory by editing a temporary copy, and remembers the revision that the copy
//! was made of, so that a change made by someone else in between is not overwritten.
//!
//! No editor is started, because the tier's programs start no other processes: the operator opens
//! the copy in an editor of their choice.

use super::change::{AcceptedChange, change_id};
use super::client::Server;
use super::failure::Failure;
use super::inventory::{ApplyOptions, CheckOptions, GetOptions, apply, check, get};
use crate::prelude::*;
use anyhow::anyhow;
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// File mode of the copy; readable and writable by its owner only.
const COPY_MODE: u32 = 0o600;

/// Options of [`edit`].
#[derive(Clone, Debug)]
pub struct EditOptions {
    /// Host to ask.
    pub server: Server,
    /// Folder that the copy is written to.
    pub folder: PathBuf,
    /// Identifier of the change; a random one if none is given.
    pub id: Option<String>,
}

/// Writes a copy of the inventory in force, waits until it is edited, and applies it.
///
/// `wait_edited` returns once the operator has edited the copy. Returns none, and sends nothing,
/// when the copy is unchanged.
///
/// # Errors
///
/// Fails when the host cannot be reached, `wait_edited` fails, the edited copy is invalid, or the
/// host refuses it. The copy is kept then, and the error says where it is.
pub async fn edit(
    opts: &EditOptions,
    wait_edited: impl FnOnce(&Path) -> Result<()>,
) -> Result<Option<AcceptedChange>, Failure> {
    let old = get(&GetOptions { server: opts.server.clone() }).await?;
    let id = change_id(opts.id.as_deref());
    let copy = opts.folder.join(format!("inventory-{}-{id}.toml", old.revision));
    write_copy(&copy, &old.text)?;
    wait_edited(&copy).with_context(|| resume_advice(&copy, old.revision))?;
    let new = fs::read_to_string(&copy).context("could not read the edited copy")?;
    if new == old.text {
        remove_copy(&copy);
        return Ok(None);
    }
    let applied = apply_copy(opts, &copy, old.revision, id).await;
    match applied {
        Ok(applied) => {
            remove_copy(&copy);
            Ok(Some(applied))
        }
        Err(failure) => Err(with_copy_path(failure, &copy, old.revision)),
    }
}

async fn apply_copy(
    opts: &EditOptions,
    copy: &Path,
    base: u64,
    id: String,
) -> Result<AcceptedChange, Failure> {
    check(&CheckOptions { file: copy.to_owned() })?;
    let (server, file) = (opts.server.clone(), copy.to_owned());
    apply(&ApplyOptions { server, file, base: Some(base), id: Some(id) }).await
}

fn write_copy(copy: &Path, text: &str) -> Result<()> {
    let mut options = OpenOptions::new();
    let file = options.write(true).create_new(true).mode(COPY_MODE).open(copy);
    file.and_then(|mut f| f.write_all(text.as_bytes())).with_context(|| {
        format!("could not write the copy {}; set TMPDIR to a writable folder", copy.display())
    })
}

fn remove_copy(copy: &Path) {
    if let Err(e) = fs::remove_file(copy) {
        log::warn!("could not remove the temporary copy {}: {e}", copy.display());
    }
}

fn with_copy_path(failure: Failure, copy: &Path, base: u64) -> Failure {
    match failure {
        Failure::Refused(mut refusal) => {
            refusal.detail = format!("{}; the copy is kept in {}", refusal.detail, copy.display());
            Failure::Refused(refusal)
        }
        Failure::Unknown(e) => Failure::Unknown(e.context(resume_advice(copy, base))),
        other => Failure::Failed(anyhow!("{other}").context(resume_advice(copy, base))),
    }
}

fn resume_advice(copy: &Path, base: u64) -> String {
    let copy = copy.display();
    format!("the copy is kept; to apply it, run `inventory apply --file {copy} --base {base}`")
}
