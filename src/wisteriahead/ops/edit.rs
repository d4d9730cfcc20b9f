//! Edits the inventory in an editor, and keeps the revision that was edited.

use super::change::{Applied, identifier};
use super::client::Server;
use super::failure::Failure;
use super::inventory::{ApplyOptions, CheckOptions, GetOptions, apply, check, get};
use crate::prelude::*;
use anyhow::{anyhow, bail};
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Mode of the copy: its owner alone reads and writes it.
const COPY_MODE: u32 = 0o600;

/// Options of [`edit`].
#[derive(Clone, Debug)]
pub struct EditOptions {
    /// Host to ask.
    pub server: Server,
    /// Program that edits the file named as its last argument; arguments of its own may follow it.
    pub editor: String,
    /// Folder for the copy.
    pub folder: PathBuf,
    /// Identifier of the change; a random one if none is given.
    pub id: Option<String>,
}

/// Edits a copy of the inventory in force and puts it in force; nothing when it is left as it is.
///
/// # Errors
///
/// Fails when the editor fails, the edited copy does not hold, or the host refuses it. The
/// copy is kept then, and the cause says how to go on from it.
pub async fn edit(opts: &EditOptions) -> Result<Option<Applied>, Failure> {
    let old = get(&GetOptions { server: opts.server.clone() }).await?;
    let id = identifier(opts.id.as_deref());
    let copy = opts.folder.join(format!("inventory-{}-{id}.toml", old.revision));
    write(&copy, &old.text)?;
    open(&opts.editor, &copy)?;
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

fn open(editor: &str, copy: &Path) -> Result<()> {
    let mut words = editor.split_whitespace();
    let program = words.next().context("no editor is named; set --editor or EDITOR")?;
    let status = Command::new(program).args(words).arg(copy).status();
    let status = status.with_context(|| format!("could not start `{program}`; set EDITOR"))?;
    if !status.success() {
        bail!("`{editor}` ended with {status}; the copy is kept in {}", copy.display());
    }
    Ok(())
}

fn discard(copy: &Path) {
    if let Err(e) = fs::remove_file(copy) {
        log::warn!("could not remove the copy {}: {e}", copy.display());
    }
}

fn kept(failure: Failure, copy: &Path, base: u64) -> Failure {
    let copy = copy.display();
    let advice =
        format!("the copy is kept; go on with `inventory apply --file {copy} --base {base}`");
    match failure {
        Failure::Refused(mut refusal) => {
            refusal.detail = format!("{}; the copy is kept in {copy}", refusal.detail);
            Failure::Refused(refusal)
        }
        Failure::Unknown(e) => Failure::Unknown(e.context(advice)),
        other => Failure::Failed(anyhow!("{other}").context(advice)),
    }
}
