//! Gets, checks and changes the inventory.

use super::change::{Applied, Reply, identifier, read as decode, reply, resend};
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

/// The inventory in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// Its revision.
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
    /// Document to put in force.
    pub file: PathBuf,
    /// Revision that was edited; the one in force now if none is given.
    pub base: Option<Revision>,
    /// Identifier of the change; a random one if none is given.
    pub id: Option<String>,
}

/// Gets the inventory in force at a host.
///
/// # Errors
///
/// Fails when the host cannot be reached or refuses.
pub async fn get(opts: &GetOptions) -> Result<Inventory, Failure> {
    fetch(&Client::new(&opts.server)?).await
}

/// Checks a document without asking any host.
///
/// # Errors
///
/// Returns the first fault with its line or entry and what is allowed.
pub fn check(opts: &CheckOptions) -> Result<Document, Failure> {
    let text = read(&opts.file)?;
    let file = opts.file.display();
    Ok(Document::parse(&text).map_err(|e| anyhow!("{file} does not hold: {e}"))?)
}

/// Puts a document in force.
///
/// # Errors
///
/// Fails when the host cannot be reached or refuses the change. When its answer is
/// lost, the cause names the identifier to send the change again with.
pub async fn apply(opts: &ApplyOptions) -> Result<Applied, Failure> {
    let text = read(&opts.file)?;
    let client = Client::new(&opts.server)?;
    let base = match opts.base {
        Some(base) => base,
        None => fetch(&client).await?.revision,
    };
    let id = identifier(opts.id.as_deref());
    let edit = Edit { id, base, text };
    let sent = client.put(PATH, &edit).await;
    let Reply { revision } = sent.and_then(reply).map_err(|e| {
        let flags = format!("--id {} --base {base}", edit.id);
        resend(e, &flags)
    })?;
    Ok(Applied { id: edit.id, revision })
}

async fn fetch(client: &Client) -> Result<Inventory, Failure> {
    decode(client.get(PATH).await?)
}

fn read(file: &Path) -> Result<String, Failure> {
    fs::read_to_string(file)
        .with_context(|| format!("could not read {}; check --file", file.display()))
        .map_err(Failure::Settings)
}
