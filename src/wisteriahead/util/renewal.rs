//! A certificate and its private key, read anew when their files change.
//!
//! Handshakes look at the files, at most once in [`LOOK_PERIOD`]: a renewed certificate
//! is shown from the next handshake on, and an idle process reads nothing. Files that
//! cannot be used leave the old certificate in place, with one line in the log for each
//! change. The certificate authority is read at the start alone.

use super::tls::{Identity, TlsPaths, read_certificates, read_key};
use crate::prelude::*;
use anyhow::bail;
use arc_swap::ArcSwap;
use parking_lot::Mutex;
use rustls::client::ResolvesClientCert;
use rustls::crypto::ring::default_provider;
use rustls::server::{ClientHello, ResolvesServerCert};
use rustls::sign::CertifiedKey;
use rustls::{SignatureScheme, crypto::CryptoProvider};
use sha2::{Digest as _, Sha256};
use std::fs;
use std::path::Path;
use std::time::{Duration, Instant};

/// Least time between two looks at the files.
pub const LOOK_PERIOD: Duration = Duration::from_millis(500);

/// Digest of a file's content; times and sizes can stay the same through a change.
type Stamp = Option<[u8; 32]>;

struct Looked {
    at: Instant,
    stamps: [Stamp; 2],
}

/// A certificate and private key that follow their files.
pub struct Renewal {
    /// Files that it follows; none if it was made in memory.
    paths: Option<TlsPaths>,
    provider: Arc<CryptoProvider>,
    current: ArcSwap<CertifiedKey>,
    looked: Mutex<Looked>,
}

impl std::fmt::Debug for Renewal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Renewal({:?})", self.paths.as_ref().map(|p| &p.cert))
    }
}

impl Renewal {
    /// Reads the files.
    ///
    /// # Errors
    ///
    /// Names the file that cannot be read, or says that the two do not fit each other.
    pub fn load(paths: &TlsPaths) -> Result<Self> {
        let provider = Arc::new(default_provider());
        // Stamped before the read, so that a change during it is seen by the next look.
        let looked = Looked { at: Instant::now(), stamps: stamps(paths) };
        let current = ArcSwap::from_pointee(read(paths, &provider)?);
        Ok(Self { paths: Some(paths.clone()), provider, current, looked: Mutex::new(looked) })
    }

    /// A certificate and private key that no file holds.
    pub fn fixed(pair: CertifiedKey) -> Self {
        Self {
            paths: None,
            provider: Arc::new(default_provider()),
            current: ArcSwap::from_pointee(pair),
            looked: Mutex::new(Looked { at: Instant::now(), stamps: [None, None] }),
        }
    }

    /// The certificate and key in use now.
    pub fn current(&self) -> Arc<CertifiedKey> {
        self.look();
        self.current.load_full()
    }

    /// The holder of the certificate.
    ///
    /// # Errors
    ///
    /// Fails when the certificate does not name exactly one holder.
    pub fn identity(&self) -> Result<Identity> {
        holder(&self.current.load())
    }

    fn look(&self) {
        let Some(paths) = &self.paths else { return };
        // Another handshake that looks right now makes this look needless.
        let Some(mut looked) = self.looked.try_lock() else { return };
        if looked.at.elapsed() < LOOK_PERIOD {
            return;
        }
        looked.at = Instant::now();
        let stamps = stamps(paths);
        if stamps == looked.stamps {
            return;
        }
        looked.stamps = stamps;
        let file = paths.cert.display();
        match self.reload() {
            Ok(()) => log::info!("certificate {file} was renewed and is in use"),
            Err(e) => log::error!("certificate {file} was changed; the old one stays: {e:#}"),
        }
    }

    /// Reads the files now.
    ///
    /// # Errors
    ///
    /// Says why the files cannot be used; the old certificate and key stay in use then.
    pub fn reload(&self) -> Result<()> {
        let Some(paths) = &self.paths else { return Ok(()) };
        let fresh = read(paths, &self.provider)?;
        let (old, new) = (self.identity()?, holder(&fresh)?);
        if old != new {
            bail!("it is issued to {} `{}`, not `{}`; issue it anew", new.kind, new.name, old.name);
        }
        self.current.store(Arc::new(fresh));
        Ok(())
    }
}

impl ResolvesServerCert for Renewal {
    fn resolve(&self, _hello: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(self.current())
    }
}

impl ResolvesClientCert for Renewal {
    fn resolve(&self, _: &[&[u8]], _: &[SignatureScheme]) -> Option<Arc<CertifiedKey>> {
        Some(self.current())
    }

    fn has_certs(&self) -> bool {
        true
    }
}

fn read(paths: &TlsPaths, provider: &CryptoProvider) -> Result<CertifiedKey> {
    let (chain, key) = (read_certificates(&paths.cert)?, read_key(&paths.key)?);
    CertifiedKey::from_der(chain, key, provider).with_context(|| {
        let (cert, key) = (paths.cert.display(), paths.key.display());
        format!("{cert} and {key} do not fit each other; issue them together")
    })
}

fn holder(pair: &CertifiedKey) -> Result<Identity> {
    Identity::read(pair.cert.first().context("there is no certificate")?)
}

fn stamps(paths: &TlsPaths) -> [Stamp; 2] {
    [stamp(&paths.cert), stamp(&paths.key)]
}

fn stamp(file: &Path) -> Stamp {
    Some(Sha256::digest(fs::read(file).ok()?).into())
}
