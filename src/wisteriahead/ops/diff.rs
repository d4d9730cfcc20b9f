//! Shows what a document would change.

use super::client::Server;
use super::failure::Failure;
use super::inventory::{CheckOptions, GetOptions, check, get};
use crate::core::document::{Document, Revision};
use anyhow::anyhow;
use serde::Serialize;
use similar::{ChangeTag, TextDiff};
use std::path::PathBuf;

/// Unchanged lines shown around each change.
const CONTEXT_LINES: usize = 3;

/// Options of [`diff`].
#[derive(Clone, Debug)]
pub struct DiffOptions {
    /// Host to ask.
    pub server: Server,
    /// Document to compare with the one in force.
    pub file: PathBuf,
}

/// How a document differs from the one in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Revision in force.
    pub revision: Revision,
    /// Lines that would be added.
    pub added: usize,
    /// Lines that would be removed.
    pub removed: usize,
    /// Both in the unified format; empty when nothing would change.
    pub text: String,
}

/// Compares a document with the one in force. Comments and layout are not compared.
///
/// # Errors
///
/// Fails when the document does not hold, or the host cannot be reached or refuses.
pub async fn diff(opts: &DiffOptions) -> Result<Difference, Failure> {
    let new = check(&CheckOptions { file: opts.file.clone() })?;
    let old = get(&GetOptions { server: opts.server.clone() }).await?;
    let known = Document::read(&old.text)
        .map_err(|e| anyhow!("the inventory in force cannot be read by this wisteriactl: {e}"))?;
    Ok(compare(old.revision, &known.render(), &new.render()))
}

fn compare(revision: Revision, old: &str, new: &str) -> Difference {
    let lines = TextDiff::from_lines(old, new);
    let count = |tag| lines.iter_all_changes().filter(|c| c.tag() == tag).count();
    let mut unified = lines.unified_diff();
    let head = format!("revision {revision}");
    let text = unified.context_radius(CONTEXT_LINES).header(&head, "edited").to_string();
    let (added, removed) = (count(ChangeTag::Insert), count(ChangeTag::Delete));
    Difference { revision, added, removed, text }
}
