//! Keys of a test: a certificate authority and certificates in a folder.

use anyhow::Result;
use std::path::{Path, PathBuf};
use wisteriahead::ops::keys::{self, AUTHORITY_DAYS, HOLDER_DAYS, InitOptions, IssueOptions};
use wisteriahead::util::tls::{Kind, TlsPaths};

/// A folder of keys.
#[derive(Clone, Debug)]
pub struct Keys {
    folder: PathBuf,
}

impl Keys {
    /// Makes a certificate authority in `folder`.
    ///
    /// # Errors
    ///
    /// Fails when the folder cannot be written.
    pub fn make(folder: &Path) -> Result<Self> {
        keys::init(&InitOptions { folder: folder.to_owned(), days: AUTHORITY_DAYS })?;
        Ok(Self { folder: folder.to_owned() })
    }

    /// Issues the key of a host.
    ///
    /// # Errors
    ///
    /// Fails when the name was issued before.
    pub fn host(&self, name: &str, zone: &str) -> Result<TlsPaths> {
        self.issue(Kind::Host, name, Some(zone.to_owned()))
    }

    /// Issues the key of an operator.
    ///
    /// # Errors
    ///
    /// Fails when the name was issued before.
    pub fn operator(&self, name: &str) -> Result<TlsPaths> {
        self.issue(Kind::Operator, name, None)
    }

    fn issue(&self, kind: Kind, name: &str, zone: Option<String>) -> Result<TlsPaths> {
        let folder = self.folder.clone();
        keys::issue(&IssueOptions {
            folder,
            kind,
            name: name.to_owned(),
            zone,
            days: HOLDER_DAYS,
            renew: false,
        })?;
        Ok(self.paths(name))
    }

    /// The files of a key issued before.
    pub fn paths(&self, name: &str) -> TlsPaths {
        TlsPaths {
            ca: self.folder.join("ca.pem"),
            cert: self.folder.join(format!("{name}.pem")),
            key: self.folder.join(format!("{name}.key")),
        }
    }
}
