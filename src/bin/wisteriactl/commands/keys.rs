//! `wisteriactl keys`.

use crate::cli::Keys;
use wisteriahead::ops::failure::Failure;
use wisteriahead::ops::keys::{InitOptions, IssueOptions, init, issue};

/// Makes keys.
pub fn run(keys: Keys) -> Result<String, Failure> {
    match keys {
        Keys::Init { folder } => {
            init(&InitOptions { folder: folder.clone() })?;
            Ok(format!("made ca.pem and ca.key in {}\n", folder.display()))
        }
        Keys::Issue { folder, kind, name, zone } => {
            let text = format!("made {name}.pem and {name}.key in {}\n", folder.display());
            issue(&IssueOptions { folder, kind, name, zone })?;
            Ok(text)
        }
    }
}
