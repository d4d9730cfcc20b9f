//! Credentials derived from one secret shared by all hosts, for deployments that do not distribute
//! key files.
//!
//! The private key of the certificate authority is derived from the secret and thus the same at
//! each host. A host issues its own certificate at startup and keeps it in memory. The validity
//! period of the certificates is practically unlimited, since hosts' clocks may differ by years.

use super::tls::{Identity, Kind};
use crate::core::endpoint::check_name;
use crate::prelude::*;
use anyhow::{anyhow, ensure};
use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair, KeyUsagePurpose};
use rustls::RootCertStore;
use rustls::crypto::ring::default_provider;
use rustls::sign::CertifiedKey;
use rustls_pki_types::{PrivateKeyDer, PrivatePkcs8KeyDer};
use sha2::{Digest as _, Sha256};

/// Minimum length of a secret, in bytes.
pub const SECRET_MIN_BYTES: usize = 16;
/// Domain separation label, hashed before the secret to derive the authority's key.
const KEY_LABEL: &[u8] = b"wisteriahead authority 1\0";
/// PKCS #8 header of an Ed25519 private key, before its 32 bytes (RFC 8410, section 7).
const PKCS8_PREFIX: [u8; 16] =
    [0x30, 0x2e, 2, 1, 0, 0x30, 5, 6, 3, 0x2b, 0x65, 0x70, 4, 0x22, 4, 0x20];

/// A secret shared by all hosts of a tier.
#[derive(Clone)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Takes a secret of at least [`SECRET_MIN_BYTES`] bytes.
    ///
    /// # Errors
    ///
    /// Returns the required length if the secret is shorter.
    pub fn new(text: &str) -> Result<Self, String> {
        if text.len() < SECRET_MIN_BYTES {
            return Err(format!(
                "a secret of {} bytes is too short; at least {SECRET_MIN_BYTES} are needed",
                text.len()
            ));
        }
        Ok(Self(text.into()))
    }

    /// Issues a certificate with a new private key for a host; also returns the authority's
    /// certificate.
    ///
    /// # Errors
    ///
    /// Fails if the host's name or zone is not valid in a certificate.
    pub fn issue(&self, host: &str, zone: &str) -> Result<(RootCertStore, CertifiedKey)> {
        let (authority, params) = (self.authority_key()?, authority_params());
        let mut roots = RootCertStore::empty();
        roots.add(params.self_signed(&authority)?.der().clone())?;
        let issuer = Issuer::new(params, authority);
        let key = KeyPair::generate().context("could not generate a key")?;
        let cert = host_params(host, zone)?.signed_by(&key, &issuer)?;
        let key = PrivateKeyDer::Pkcs8(PrivatePkcs8KeyDer::from(key.serialize_der()));
        let pair = CertifiedKey::from_der(vec![cert.der().clone()], key, &default_provider())?;
        let id = Identity::read(cert.der())?;
        ensure!(id.name == host && id.kind == Kind::Host, "the certificate names another holder");
        Ok((roots, pair))
    }

    fn authority_key(&self) -> Result<KeyPair> {
        let seed = Sha256::new().chain_update(KEY_LABEL).chain_update(self.0.as_bytes()).finalize();
        let der: Vec<u8> = PKCS8_PREFIX.iter().chain(seed.iter()).copied().collect();
        KeyPair::try_from(der).context("could not derive the authority's key")
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret")
    }
}

/// Parameters of the authority's certificate; by default of `rcgen`, it is valid from 1975 to 4096.
fn authority_params() -> CertificateParams {
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    params.distinguished_name.push(DnType::CommonName, "wisteriahead authority");
    params
}

fn host_params(host: &str, zone: &str) -> Result<CertificateParams> {
    check_name("host", host).map_err(|e| anyhow!(e))?;
    check_name("zone", zone).map_err(|e| anyhow!(e))?;
    let mut params = CertificateParams::default();
    let (name, zone) = (host.to_owned(), Some(zone.to_owned()));
    Identity { kind: Kind::Host, name, zone }.write(&mut params)?;
    Ok(params)
}
