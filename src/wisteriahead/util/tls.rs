//! TLS with mutual authentication against one certificate authority.
//!
//! A certificate names its holder in a URI subject alternative name, `wisteriahead:KIND:NAME`, and
//! may name its zone in another, `wisteriahead:zone:ZONE`. Addresses are not verified: every host's
//! certificate also has the same DNS name, [`SERVER_NAME`], and a client learns which host it is
//! connected to from the certificate.

use super::renewal::Renewal;
use super::secret::Secret;
use crate::prelude::*;
use anyhow::{anyhow, bail};
use rcgen::{CertificateParams, DnType, ExtendedKeyUsagePurpose, KeyUsagePurpose, SanType};
use rustls::client::Resumption;
use rustls::server::{NoServerSessionStorage, WebPkiClientVerifier};
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use std::fmt;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use x509_parser::prelude::{FromDer, GeneralName, X509Certificate};

/// DNS name in the certificate of every host, which clients verify.
pub const SERVER_NAME: &str = "host.wisteriahead";
/// Scheme of the URIs with the holder's kind, name and zone.
pub const SCHEME: &str = "wisteriahead";
/// ALPN protocol name of connections between hosts.
pub const ALPN_HOST: &[u8] = b"wisteriahead/2";
/// ALPN protocol name of the operator API.
pub const ALPN_HTTP: &[u8] = b"http/1.1";

/// Kind of a certificate's holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A host of the tier.
    Host,
    /// An operator.
    Operator,
}

impl Kind {
    /// Name in certificates and on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Host => "host",
            Self::Operator => "operator",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        [Self::Host, Self::Operator]
            .into_iter()
            .find(|k| k.name() == s)
            .ok_or_else(|| format!("kind `{s}` is unknown; `host` or `operator` is allowed"))
    }
}

/// The holder of a certificate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Kind of the holder.
    pub kind: Kind,
    /// Name of the holder.
    pub name: String,
    /// Availability zone of the holder, if the certificate names one.
    pub zone: Option<String>,
}

impl Identity {
    /// Reads the holder from a certificate that is already verified.
    ///
    /// # Errors
    ///
    /// Fails unless the certificate names exactly one holder.
    pub fn read(cert: &CertificateDer<'_>) -> Result<Self> {
        let (_, cert) = X509Certificate::from_der(cert).context("malformed certificate")?;
        let names = cert.subject_alternative_name().context("malformed alternative names")?;
        let uris = names
            .iter()
            .flat_map(|n| &n.value.general_names)
            .filter_map(|n| match n {
                GeneralName::URI(uri) => Some(*uri),
                _ => None,
            })
            .filter_map(|uri| uri.strip_prefix(SCHEME)?.strip_prefix(':')?.split_once(':'));
        Self::from_fields(uris)
    }

    /// Writes the holder, in the form that [`Self::read`] reads, and the key usages of its kind
    /// into the parameters of a certificate.
    ///
    /// # Errors
    ///
    /// Fails if the name or zone is not valid in a certificate.
    pub fn write(&self, params: &mut CertificateParams) -> Result<()> {
        let uri = |field: &str, value: &str| -> Result<SanType> {
            Ok(SanType::URI(format!("{SCHEME}:{field}:{value}").try_into()?))
        };
        params.distinguished_name.push(DnType::CommonName, self.name.as_str());
        params.subject_alt_names.push(uri(self.kind.name(), &self.name)?);
        if let Some(zone) = &self.zone {
            params.subject_alt_names.push(uri("zone", zone)?);
        }
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages = vec![ExtendedKeyUsagePurpose::ClientAuth];
        if self.kind == Kind::Host {
            params.extended_key_usages.push(ExtendedKeyUsagePurpose::ServerAuth);
            params.subject_alt_names.push(SanType::DnsName(SERVER_NAME.try_into()?));
        }
        Ok(())
    }

    fn from_fields<'a>(fields: impl Iterator<Item = (&'a str, &'a str)>) -> Result<Self> {
        let (mut holder, mut zone) = (None, None);
        for (field, value) in fields {
            if field == "zone" {
                zone = Some(value.to_owned());
            } else if let Ok(kind) = field.parse::<Kind>()
                && holder.replace((kind, value.to_owned())).is_some()
            {
                bail!("the certificate names two holders; issue it anew");
            }
        }
        let (kind, name) = holder.ok_or_else(|| {
            anyhow!("the certificate names no holder; issue it by `wisteriactl keys issue`")
        })?;
        Ok(Self { kind, name, zone })
    }

    /// Reads the holder from a peer's certificate chain and checks its kind.
    ///
    /// # Errors
    ///
    /// Fails if there is no certificate or its holder is of another kind.
    pub fn expect(chain: Option<&[CertificateDer<'_>]>, kind: Kind) -> Result<Self> {
        let cert = chain.and_then(<[_]>::first).context("the other side has no certificate")?;
        Self::read(cert)?.ensure_kind(kind)
    }

    fn ensure_kind(self, kind: Kind) -> Result<Self> {
        if self.kind != kind {
            bail!(
                "`{}` holds a certificate of kind {}; {kind} is needed here",
                self.name,
                self.kind
            );
        }
        Ok(self)
    }
}

/// Paths of the files with a program's credentials.
#[derive(Clone, Debug)]
pub struct TlsPaths {
    /// Certificate of the certificate authority.
    pub ca: PathBuf,
    /// Certificate of the program.
    pub cert: PathBuf,
    /// Private key of the program.
    pub key: PathBuf,
}

/// Source of a host's credentials.
#[derive(Clone, Debug)]
pub enum HostKeys {
    /// Files issued by a certificate authority.
    Files(TlsPaths),
    /// A secret shared by all hosts.
    Secret(Secret),
}

impl HostKeys {
    /// Loads or issues the credentials of the named host.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read or used, or if no certificate can be issued.
    pub fn load(&self, host: &str, zone: &str) -> Result<Credentials> {
        match self {
            Self::Files(paths) => Credentials::load(paths),
            Self::Secret(secret) => {
                let (roots, pair) = secret.issue(host, zone)?;
                Ok(Credentials { roots: Arc::new(roots), own: Arc::new(Renewal::fixed(pair)) })
            }
        }
    }
}

/// The authority's certificate, and the own certificate and key, which are reloaded when their
/// files change.
pub struct Credentials {
    roots: Arc<RootCertStore>,
    own: Arc<Renewal>,
}

impl Credentials {
    /// Loads the files.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file that cannot be read or used.
    pub fn load(paths: &TlsPaths) -> Result<Self> {
        let mut roots = RootCertStore::empty();
        for cert in read_certificates(&paths.ca)? {
            roots.add(cert).with_context(|| format!("could not use {}", paths.ca.display()))?;
        }
        Ok(Self { roots: Arc::new(roots), own: Arc::new(Renewal::load(paths)?) })
    }

    /// The holder of the own certificate, which must be of the given kind.
    ///
    /// # Errors
    ///
    /// Fails if the certificate names no holder or one of another kind.
    pub fn identity(&self, kind: Kind) -> Result<Identity> {
        self.own.identity()?.ensure_kind(kind)
    }

    /// Configuration of a server that requires client certificates. Session resumption is disabled,
    /// so that certificates, including their expiry, are verified on every connection.
    ///
    /// # Errors
    ///
    /// Fails if the certificate authority cannot be used.
    pub fn server(&self, alpn: &[u8]) -> Result<ServerConfig> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(self.roots.clone(), provider.clone())
                .build()
                .context("could not use the certificate authority")?;
        let mut config = ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_client_cert_verifier(verifier)
            .with_cert_resolver(self.own.clone());
        config.session_storage = Arc::new(NoServerSessionStorage {});
        config.send_tls13_tickets = 0;
        config.alpn_protocols = vec![alpn.to_vec()];
        Ok(config)
    }

    /// Configuration of a client that presents its certificate on each connection.
    ///
    /// # Errors
    ///
    /// Fails if the protocol version is not supported.
    pub fn client(&self, alpn: &[u8]) -> Result<ClientConfig> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut config = ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_root_certificates(self.roots.clone())
            .with_client_cert_resolver(self.own.clone());
        config.resumption = Resumption::disabled();
        config.alpn_protocols = vec![alpn.to_vec()];
        Ok(config)
    }
}

/// Reads a private key from a PEM file.
pub(super) fn read_key(path: &Path) -> Result<PrivateKeyDer<'static>> {
    PrivateKeyDer::from_pem_file(path)
        .map_err(|e| anyhow!("could not read private key {}: {e}", path.display()))
}

/// Reads one or more certificates from a PEM file.
pub(super) fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>> {
    let certs: Vec<_> = CertificateDer::pem_file_iter(path)
        .and_then(Iterator::collect)
        .map_err(|e| anyhow!("could not read certificate {}: {e}", path.display()))?;
    if certs.is_empty() {
        bail!("{} holds no certificate; issue one by `wisteriactl keys issue`", path.display());
    }
    Ok(certs)
}
