//! Keys: the certificate authority and the certificates of hosts and operators.
//!
//! All files stand in one folder: `ca.pem`, `ca.key`, and `NAME.pem`, `NAME.key` for
//! each holder. Existing files are never overwritten.

use crate::core::endpoint::check_name;
use crate::prelude::*;
use crate::util::tls::{Kind, SCHEME, SERVER_NAME};
use anyhow::anyhow;
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose, SanType,
};
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// File name of the authority, without extension.
const CA: &str = "ca";
/// Mode of a private key file: its owner alone reads and writes it.
const KEY_MODE: u32 = 0o600;
/// Mode of a certificate file.
const CERT_MODE: u32 = 0o644;

/// Options of [`init`].
#[derive(Clone, Debug)]
pub struct InitOptions {
    /// Folder to write to; made when missing.
    pub folder: PathBuf,
}

/// Options of [`issue`].
#[derive(Clone, Debug)]
pub struct IssueOptions {
    /// Folder with the authority's files, to write to as well.
    pub folder: PathBuf,
    /// Kind of the holder.
    pub kind: Kind,
    /// Name of the holder.
    pub name: String,
    /// Availability zone of the holder.
    pub zone: Option<String>,
}

/// Makes the certificate authority.
///
/// # Errors
///
/// Fails when the folder holds an authority already or cannot be written.
pub fn init(opts: &InitOptions) -> Result<()> {
    fs::create_dir_all(&opts.folder)
        .with_context(|| format!("could not make folder {}", opts.folder.display()))?;
    let key = KeyPair::generate().context("could not generate a key")?;
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params.distinguished_name.push(DnType::CommonName, "wisteriahead authority");
    let cert = params.self_signed(&key).context("could not sign the authority")?;
    store(&opts.folder, CA, &cert.pem(), &key)
}

/// Issues the certificate of a host or operator.
///
/// # Errors
///
/// Fails for a malformed name, a missing authority, or a name issued before.
pub fn issue(opts: &IssueOptions) -> Result<()> {
    let issuer = load(&opts.folder)?;
    let key = KeyPair::generate().context("could not generate a key")?;
    let cert = params(opts)?.signed_by(&key, &issuer).context("could not sign the certificate")?;
    store(&opts.folder, &opts.name, &cert.pem(), &key)
}

fn params(opts: &IssueOptions) -> Result<CertificateParams> {
    check_name("name", &opts.name).map_err(|e| anyhow!(e))?;
    let mut params = CertificateParams::default();
    params.distinguished_name.push(DnType::CommonName, opts.name.as_str());
    params.subject_alt_names.push(uri(opts.kind.name(), &opts.name)?);
    if let Some(zone) = &opts.zone {
        check_name("zone", zone).map_err(|e| anyhow!(e))?;
        params.subject_alt_names.push(uri("zone", zone)?);
    }
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages = vec![ExtendedKeyUsagePurpose::ClientAuth];
    if opts.kind == Kind::Host {
        params.extended_key_usages.push(ExtendedKeyUsagePurpose::ServerAuth);
        params.subject_alt_names.push(SanType::DnsName(SERVER_NAME.try_into()?));
    }
    params.use_authority_key_identifier_extension = true;
    Ok(params)
}

fn uri(field: &str, value: &str) -> Result<SanType> {
    Ok(SanType::URI(format!("{SCHEME}:{field}:{value}").try_into()?))
}

fn load(folder: &Path) -> Result<Issuer<'static, KeyPair>> {
    let read = |ext: &str| {
        let path = folder.join(format!("{CA}.{ext}"));
        fs::read_to_string(&path).with_context(|| {
            format!("could not read {}; make the authority by `keys init`", path.display())
        })
    };
    let key = KeyPair::from_pem(&read("key")?).context("ca.key is not a private key")?;
    Issuer::from_ca_cert_pem(&read("pem")?, key).context("ca.pem is not a certificate")
}

fn store(folder: &Path, name: &str, cert: &str, key: &KeyPair) -> Result<()> {
    write(&folder.join(format!("{name}.key")), KEY_MODE, &key.serialize_pem())?;
    write(&folder.join(format!("{name}.pem")), CERT_MODE, cert)
}

fn write(path: &Path, mode: u32, text: &str) -> Result<()> {
    let mut file =
        OpenOptions::new().write(true).create_new(true).mode(mode).open(path).with_context(
            || format!("could not make {}; move an earlier file away first", path.display()),
        )?;
    file.write_all(text.as_bytes())
        .and_then(|()| file.sync_all())
        .with_context(|| format!("could not write {}", path.display()))
}
