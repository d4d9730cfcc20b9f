//! A certificate authority for tests, and the certificates that it issues.

use anyhow::Result;
use std::path::{Path, PathBuf};
use wisteriahead::ops::keys::{self, AUTHORITY_DAYS, HOLDER_DAYS, InitOptions, IssueOptions};
use wisteriahead::util::tls::{Kind, TlsPaths};

/// A folder with a certificate authority, certificates and private keys.
#[derive(Clone, Debug)]
pub struct Keys {
    folder: PathBuf,
}

impl Keys {
    /// Creates a certificate authority in `folder`.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be written.
    pub fn create(folder: &Path) -> Result<Self> {
        keys::init(&InitOptions { folder: folder.to_owned(), days: AUTHORITY_DAYS })?;
        Ok(Self { folder: folder.to_owned() })
    }

    /// Issues a certificate and key for a host.
    ///
    /// # Errors
    ///
    /// Fails if the name already has a certificate.
    pub fn issue_host(&self, name: &str, zone: &str) -> Result<TlsPaths> {
        self.issue(Kind::Host, name, Some(zone.to_owned()))
    }

    /// Issues a certificate and key for an operator.
    ///
    /// # Errors
    ///
    /// Fails if the name already has a certificate.
    pub fn issue_operator(&self, name: &str) -> Result<TlsPaths> {
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

    /// Paths of the certificate and key files for a name.
    pub fn paths(&self, name: &str) -> TlsPaths {
        TlsPaths {
            ca: self.folder.join("ca.pem"),
            cert: self.folder.join(format!("{name}.pem")),
            key: self.folder.join(format!("{name}.key")),
        }
    }
}
