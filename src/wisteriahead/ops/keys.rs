//! Creates the certificate authority, and issues, renews and shows the certificates of hosts and
//! operators.
//!
//! All files are in one folder: `ca.pem` and `ca.key`, and `NAME.pem` and `NAME.key` for each
//! holder. A private key is never overwritten; a certificate is replaced only by a renewal.

use crate::core::endpoint::check_name;
use crate::prelude::*;
use crate::util::certificate::Certificate;
use crate::util::tls::{Identity, Kind};
use anyhow::{anyhow, bail};
use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair, KeyUsagePurpose};
use serde::Serialize;
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use time::format_description::well_known::Rfc3339;
use time::{Duration, OffsetDateTime};

/// File name of the authority's certificate and private key, without extension.
const CA_NAME: &str = "ca";
/// File mode of a private key; readable and writable by its owner only.
const KEY_MODE: u32 = 0o600;
/// File mode of a certificate.
const CERT_MODE: u32 = 0o644;
/// Default validity of the authority's certificate, in days.
pub const AUTHORITY_DAYS: u32 = 3_650;
/// Default validity of the certificate of a host or operator, in days.
pub const HOLDER_DAYS: u32 = 365;
/// Longest validity of a certificate, in days.
pub const DAYS_MAX: u32 = 36_500;
/// How far before its issue a certificate becomes valid, so that hosts whose clocks are behind
/// accept it.
const BACKDATE: Duration = Duration::hours(1);

/// Options of [`init`].
#[derive(Clone, Debug)]
pub struct InitOptions {
    /// Folder to write to; created if missing.
    pub folder: PathBuf,
    /// Validity of the authority's certificate, in days.
    pub days: u32,
}

/// Options of [`issue`].
#[derive(Clone, Debug)]
pub struct IssueOptions {
    /// Folder that holds the authority's files, and that the certificate is written to.
    pub folder: PathBuf,
    /// Kind of the holder.
    pub kind: Kind,
    /// Name of the holder.
    pub name: String,
    /// Availability zone of the holder.
    pub zone: Option<String>,
    /// Validity of the certificate, in days.
    pub days: u32,
    /// Whether to replace the holder's certificate and keep its private key.
    pub renew: bool,
}

/// Creates the certificate authority.
///
/// # Errors
///
/// Fails when the validity is out of range, or the folder already holds an authority or cannot be
/// written.
pub fn init(opts: &InitOptions) -> Result<()> {
    fs::create_dir_all(&opts.folder)
        .with_context(|| format!("could not create the folder {}", opts.folder.display()))?;
    let key = KeyPair::generate().context("could not generate a key")?;
    let mut params = params_valid_for(opts.days)?;
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params.distinguished_name.push(DnType::CommonName, "wisteriahead authority");
    let cert = params.self_signed(&key).context("could not sign the authority's certificate")?;
    write_pair(&opts.folder, CA_NAME, &cert.pem(), &key)
}

/// Issues the certificate of a host or operator.
///
/// # Errors
///
/// Fails for a malformed name, a validity out of range, a missing authority, a name that already
/// has files, or a renewal without a private key.
pub fn issue(opts: &IssueOptions) -> Result<()> {
    let issuer = load_issuer(&opts.folder)?;
    let params = holder_params(opts)?;
    let sign =
        |key: &KeyPair| params.signed_by(key, &issuer).context("could not sign the certificate");
    if opts.renew {
        let key = load_key(&opts.folder, &opts.name)?;
        return replace_cert(&opts.folder.join(format!("{}.pem", opts.name)), &sign(&key)?.pem());
    }
    let key = KeyPair::generate().context("could not generate a key")?;
    write_pair(&opts.folder, &opts.name, &sign(&key)?.pem(), &key)
}

fn load_key(folder: &Path, name: &str) -> Result<KeyPair> {
    let path = folder.join(format!("{name}.key"));
    let text = fs::read_to_string(&path).with_context(|| {
        format!(
            "could not read {}; to issue a first certificate, run without --renew",
            path.display()
        )
    })?;
    KeyPair::from_pem(&text).with_context(|| format!("{} is not a private key", path.display()))
}

fn params_valid_for(days: u32) -> Result<CertificateParams> {
    if !(1..=DAYS_MAX).contains(&days) {
        bail!("a certificate cannot be valid for {days} days; 1 to {DAYS_MAX} is allowed");
    }
    let now = OffsetDateTime::now_utc();
    let mut params = CertificateParams::default();
    params.not_before = now - BACKDATE;
    params.not_after = now + Duration::days(days.into());
    Ok(params)
}

fn holder_params(opts: &IssueOptions) -> Result<CertificateParams> {
    check_name("name", &opts.name).map_err(|e| anyhow!(e))?;
    let mut params = params_valid_for(opts.days)?;
    if let Some(zone) = &opts.zone {
        check_name("zone", zone).map_err(|e| anyhow!(e))?;
    }
    let (name, zone) = (opts.name.clone(), opts.zone.clone());
    Identity { kind: opts.kind, name, zone }.write(&mut params)?;
    params.use_authority_key_identifier_extension = true;
    Ok(params)
}

fn load_issuer(folder: &Path) -> Result<Issuer<'static, KeyPair>> {
    let read = |ext: &str| {
        let path = folder.join(format!("{CA_NAME}.{ext}"));
        fs::read_to_string(&path).with_context(|| {
            format!("could not read {}; create the authority with `keys init`", path.display())
        })
    };
    let key = KeyPair::from_pem(&read("key")?).context("ca.key is not a private key")?;
    Issuer::from_ca_cert_pem(&read("pem")?, key).context("ca.pem is not a certificate")
}

fn write_pair(folder: &Path, name: &str, cert: &str, key: &KeyPair) -> Result<()> {
    write_new(&folder.join(format!("{name}.key")), KEY_MODE, &key.serialize_pem())?;
    write_new(&folder.join(format!("{name}.pem")), CERT_MODE, cert)
}

/// Replaces a certificate atomically by a rename, so that a reader sees the old one or the new one.
fn replace_cert(path: &Path, text: &str) -> Result<()> {
    let new = path.with_extension("pem.new");
    write_new(&new, CERT_MODE, text)?;
    fs::rename(&new, path).with_context(|| format!("could not replace {}", path.display()))
}

fn write_new(path: &Path, mode: u32, text: &str) -> Result<()> {
    let mut file =
        OpenOptions::new().write(true).create_new(true).mode(mode).open(path).with_context(
            || format!("could not create {}; if it exists, move it away first", path.display()),
        )?;
    file.write_all(text.as_bytes())
        .and_then(|()| file.sync_all())
        .with_context(|| format!("could not write {}", path.display()))
}

/// Options of [`show`].
#[derive(Clone, Debug)]
pub struct ShowOptions {
    /// File of the certificate.
    pub file: PathBuf,
}

/// Holder and validity of a certificate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CertificateInfo {
    /// Kind of the holder: `authority`, `host` or `operator`.
    pub kind: &'static str,
    /// Name of the holder.
    pub name: String,
    /// Availability zone of the holder.
    pub zone: Option<String>,
    /// Start of the validity, in RFC 3339.
    pub from: String,
    /// End of the validity, in RFC 3339.
    pub until: String,
    /// Whole days until it expires, rounded down; negative afterwards.
    pub days_left: i64,
}

/// Shows who holds a certificate and when it expires.
///
/// # Errors
///
/// Fails when the file is not a certificate, or one that names no holder and is not an authority's.
pub fn show(opts: &ShowOptions) -> Result<CertificateInfo> {
    let cert = Certificate::load(&opts.file)?;
    let days_left = cert.days_left(OffsetDateTime::now_utc());
    let (from, until) = (rfc3339(cert.not_before)?, rfc3339(cert.not_after)?);
    Ok(match cert.holder {
        None => CertificateInfo {
            kind: "authority",
            name: cert.subject,
            zone: None,
            from,
            until,
            days_left,
        },
        Some(Identity { kind, name, zone }) => {
            CertificateInfo { kind: kind.name(), name, zone, from, until, days_left }
        }
    })
}

fn rfc3339(time: OffsetDateTime) -> Result<String> {
    time.format(&Rfc3339).context("could not format the time")
}
