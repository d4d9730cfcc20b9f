//! Compares a document with the inventory in force.

use super::client::Server;
use super::failure::Failure;
use super::inventory::{CheckOptions, GetOptions, check, get};
use crate::core::document::{Document, Revision};
use anyhow::anyhow;
use serde::Serialize;
use similar::{ChangeTag, TextDiff};
use std::path::PathBuf;

/// Lines of context around each change in the unified diff.
const CONTEXT_LINES: usize = 3;

/// Options of [`diff`].
#[derive(Clone, Debug)]
pub struct DiffOptions {
    /// Host to ask.
    pub server: Server,
    /// Document to compare with the inventory in force.
    pub file: PathBuf,
}

/// Difference between the inventory in force and a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Revision of the inventory in force.
    pub revision: Revision,
    /// Lines that would be added.
    pub added: usize,
    /// Lines that would be removed.
    pub removed: usize,
    /// Unified diff; empty when nothing would change.
    pub text: String,
}

/// Compares a document with the inventory in force. Both are rendered from their parsed form, so
/// comments and layout make no difference.
///
/// # Errors
///
/// Fails when the document is invalid, or the host cannot be reached or refuses the request.
pub async fn diff(opts: &DiffOptions) -> Result<Difference, Failure> {
    let new = check(&CheckOptions { file: opts.file.clone() })?;
    let old = get(&GetOptions { server: opts.server.clone() }).await?;
    let current = Document::read(&old.text).map_err(|e| {
        anyhow!("this version of wisteriactl cannot read the inventory in force: {e}")
    })?;
    Ok(compare(old.revision, &current.render(), &new.render()))
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
