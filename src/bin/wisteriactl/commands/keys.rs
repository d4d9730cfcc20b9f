//! `wisteriactl keys`.

use super::json;
use crate::cli::Keys;
use crate::shell;
use std::path::PathBuf;
use wisteriahead::ops::failure::Failure;
use wisteriahead::ops::keys::{InitOptions, IssueOptions, ShowOptions, init, issue, show};

/// Runs a command on keys and certificates.
pub fn run(keys: Keys) -> Result<String, Failure> {
    match keys {
        Keys::Init { folder, days } => {
            init(&InitOptions { folder: folder.clone(), days })?;
            shell::status("Made", &format!("ca.pem and ca.key in {}", folder.display()));
        }
        Keys::Issue { folder, kind, name, zone, days, renew } => {
            let files =
                if renew { format!("{name}.pem") } else { format!("{name}.pem and {name}.key") };
            let message = format!("{files} in {}", folder.display());
            issue(&IssueOptions { folder, kind, name, zone, days, renew })?;
            shell::status(if renew { "Renewed" } else { "Issued" }, &message);
        }
        Keys::Show { json, file } => return describe(file, json),
    }
    Ok(String::new())
}

fn describe(file: PathBuf, as_json: bool) -> Result<String, Failure> {
    let info = show(&ShowOptions { file })?;
    if as_json {
        return Ok(json(&info));
    }
    let fields = [
        ("kind", info.kind.to_owned()),
        ("name", info.name),
        ("zone", info.zone.unwrap_or_else(|| "-".to_owned())),
        ("from", info.from),
        ("until", info.until),
        ("days left", info.days_left.to_string()),
    ];
    Ok(fields.iter().map(|(field, value)| format!("{field:11}{value}\n")).collect())
}
