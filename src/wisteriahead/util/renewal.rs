//! Hot reload of a certificate and its private key when their files change.
//!
//! Each handshake checks the files, at most once per [`CHECK_INTERVAL`]: a renewed certificate is
//! presented from the next handshake on, and an idle process reads nothing. If the new files are
//! not usable, the old certificate stays in use and one error is logged per change. The certificate
//! of the authority is read at startup only.

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

/// Minimum time between two checks of the files.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Digest of a file's content, if it can be read; modification time and size can stay the same
/// through a change.
type FileDigest = Option<[u8; 32]>;

/// The last check of the files.
struct LastCheck {
    at: Instant,
    digests: [FileDigest; 2],
}

/// A certificate and private key that are reloaded when their files change.
pub struct Renewal {
    /// The files; none for a pair that exists only in memory.
    paths: Option<TlsPaths>,
    provider: Arc<CryptoProvider>,
    current: ArcSwap<CertifiedKey>,
    last_check: Mutex<LastCheck>,
}

impl std::fmt::Debug for Renewal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Renewal({:?})", self.paths.as_ref().map(|p| &p.cert))
    }
}

impl Renewal {
    /// Loads the files.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read or the key does not match the certificate.
    pub fn load(paths: &TlsPaths) -> Result<Self> {
        let provider = Arc::new(default_provider());
        // Computed before loading the files, so that the next check sees a change made meanwhile.
        let last = LastCheck { at: Instant::now(), digests: digests(paths) };
        let current = ArcSwap::from_pointee(read(paths, &provider)?);
        Ok(Self { paths: Some(paths.clone()), provider, current, last_check: Mutex::new(last) })
    }

    /// A certificate and private key that exist only in memory.
    pub fn fixed(pair: CertifiedKey) -> Self {
        Self {
            paths: None,
            provider: Arc::new(default_provider()),
            current: ArcSwap::from_pointee(pair),
            last_check: Mutex::new(LastCheck { at: Instant::now(), digests: [None, None] }),
        }
    }

    /// The certificate and key in use, after checking the files.
    pub fn current(&self) -> Arc<CertifiedKey> {
        self.check_files();
        self.current.load_full()
    }

    /// The holder of the certificate.
    ///
    /// # Errors
    ///
    /// Fails unless the certificate names exactly one holder.
    pub fn identity(&self) -> Result<Identity> {
        holder(&self.current.load())
    }

    fn check_files(&self) {
        let Some(paths) = &self.paths else { return };
        // Skips the check while another handshake is making it.
        let Some(mut last) = self.last_check.try_lock() else { return };
        if last.at.elapsed() < CHECK_INTERVAL {
            return;
        }
        last.at = Instant::now();
        let digests = digests(paths);
        if digests == last.digests {
            return;
        }
        last.digests = digests;
        let file = paths.cert.display();
        match self.reload() {
            Ok(()) => log::info!("certificate {file} was renewed and is in use"),
            Err(e) => log::error!("certificate {file} was changed; the old one stays: {e:#}"),
        }
    }

    /// Reloads the files now.
    ///
    /// # Errors
    ///
    /// Fails if the files cannot be used; the old certificate and key then stay in use.
    pub fn reload(&self) -> Result<()> {
        let Some(paths) = &self.paths else { return Ok(()) };
        let pair = read(paths, &self.provider)?;
        let (old, new) = (self.identity()?, holder(&pair)?);
        if old != new {
            bail!("it is issued to {} `{}`, not `{}`; issue it anew", new.kind, new.name, old.name);
        }
        self.current.store(Arc::new(pair));
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

fn digests(paths: &TlsPaths) -> [FileDigest; 2] {
    [digest(&paths.cert), digest(&paths.key)]
}

fn digest(file: &Path) -> FileDigest {
    Some(Sha256::digest(fs::read(file).ok()?).into())
}
