//! Gets, checks and applies the inventory: the TOML document of the tier's availability zones,
//! hosts and rules.

use super::change::{
    AcceptedChange, ChangeReply, change_id, decode, decode_reply, with_resend_flags,
};
use super::client::{Client, Server};
use super::failure::Failure;
use crate::core::document::{Document, Revision};
use crate::prelude::*;
use crate::services::operator::Edit;
use anyhow::anyhow;
use serde::{Deserialize, Serialize};
use std::fs;
use std::path::{Path, PathBuf};

const PATH: &str = "/v1/inventory";

/// The inventory in force, which is the one that the tier currently uses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// Revision of the document.
    pub revision: Revision,
    /// The document as TOML.
    pub text: String,
}

/// Options of [`get`].
#[derive(Clone, Debug)]
pub struct GetOptions {
    /// Host to ask.
    pub server: Server,
}

/// Options of [`check`].
#[derive(Clone, Debug)]
pub struct CheckOptions {
    /// Document to check.
    pub file: PathBuf,
}

/// Options of [`apply`].
#[derive(Clone, Debug)]
pub struct ApplyOptions {
    /// Host to ask.
    pub server: Server,
    /// Document to apply.
    pub file: PathBuf,
    /// Revision that the document was edited from; the one in force now if none is given.
    pub base: Option<Revision>,
    /// Identifier of the change; a random one if none is given.
    pub id: Option<String>,
}

/// Gets the inventory in force at a host.
///
/// # Errors
///
/// Fails when the host cannot be reached or refuses the request.
pub async fn get(opts: &GetOptions) -> Result<Inventory, Failure> {
    fetch(&Client::new(&opts.server)?).await
}

/// Validates a document without asking any host.
///
/// # Errors
///
/// Fails if the file cannot be read, or with the first error in the document, its line or entry
/// and what is allowed.
pub fn check(opts: &CheckOptions) -> Result<Document, Failure> {
    let text = read_document(&opts.file)?;
    let file = opts.file.display();
    Ok(Document::parse(&text).map_err(|e| anyhow!("{file} is invalid: {e}"))?)
}

/// Replaces the inventory in force by a document.
///
/// # Errors
///
/// Fails when the host cannot be reached or refuses the change. When its response is
/// lost, the error names the flags to send the same change again with.
pub async fn apply(opts: &ApplyOptions) -> Result<AcceptedChange, Failure> {
    let text = read_document(&opts.file)?;
    let client = Client::new(&opts.server)?;
    let base = match opts.base {
        Some(base) => base,
        None => fetch(&client).await?.revision,
    };
    let id = change_id(opts.id.as_deref());
    let edit = Edit { id, base, text };
    let sent = client.put(PATH, &edit).await;
    let ChangeReply { revision } = sent.and_then(decode_reply).map_err(|e| {
        let flags = format!("--id {} --base {base}", edit.id);
        with_resend_flags(e, &flags)
    })?;
    Ok(AcceptedChange { id: edit.id, revision })
}

async fn fetch(client: &Client) -> Result<Inventory, Failure> {
    decode(client.get(PATH).await?)
}

fn read_document(file: &Path) -> Result<String, Failure> {
    fs::read_to_string(file)
        .with_context(|| format!("could not read {}; check --file", file.display()))
        .map_err(Failure::Settings)
}
