//! Keys: the certificate authority and the certificates of hosts and operators.
//!
//! All files stand in one folder: `ca.pem`, `ca.key`, and `NAME.pem`, `NAME.key` for
//! each holder. Existing private keys are never overwritten, and certificates only when
//! they are renewed.

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

/// File name of the authority, without extension.
const CA: &str = "ca";
/// Mode of a private key file: its owner alone reads and writes it.
const KEY_MODE: u32 = 0o600;
/// Mode of a certificate file.
const CERT_MODE: u32 = 0o644;
/// Days that the authority's certificate holds, if no other number is given.
pub const AUTHORITY_DAYS: u32 = 3_650;
/// Days that the certificate of a host or operator holds, if no other number is given.
pub const HOLDER_DAYS: u32 = 365;
/// Most days that a certificate may hold.
pub const DAYS_MAX: u32 = 36_500;
/// Time before its issue from which a certificate holds, for hosts whose clocks are behind.
const BACKDATE: Duration = Duration::hours(1);

/// Options of [`init`].
#[derive(Clone, Debug)]
pub struct InitOptions {
    /// Folder to write to; made when missing.
    pub folder: PathBuf,
    /// Days that its certificate holds.
    pub days: u32,
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
    /// Days that the certificate holds.
    pub days: u32,
    /// Whether to issue a new certificate for the private key that the holder has.
    pub renew: bool,
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
    let mut params = lasting(opts.days)?;
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
/// Fails for a malformed name, a missing authority, a name issued before, or a renewal
/// without a private key.
pub fn issue(opts: &IssueOptions) -> Result<()> {
    let issuer = load(&opts.folder)?;
    let params = params(opts)?;
    let sign =
        |key: &KeyPair| params.signed_by(key, &issuer).context("could not sign the certificate");
    if opts.renew {
        let key = known(&opts.folder, &opts.name)?;
        return replace(&opts.folder.join(format!("{}.pem", opts.name)), &sign(&key)?.pem());
    }
    let key = KeyPair::generate().context("could not generate a key")?;
    store(&opts.folder, &opts.name, &sign(&key)?.pem(), &key)
}

fn known(folder: &Path, name: &str) -> Result<KeyPair> {
    let path = folder.join(format!("{name}.key"));
    let text = fs::read_to_string(&path)
        .with_context(|| format!("could not read {}; issue without --renew", path.display()))?;
    KeyPair::from_pem(&text).with_context(|| format!("{} is not a private key", path.display()))
}

fn lasting(days: u32) -> Result<CertificateParams> {
    if !(1..=DAYS_MAX).contains(&days) {
        bail!("a certificate cannot hold for {days} days; 1 to {DAYS_MAX} is allowed");
    }
    let now = OffsetDateTime::now_utc();
    let mut params = CertificateParams::default();
    params.not_before = now - BACKDATE;
    params.not_after = now + Duration::days(days.into());
    Ok(params)
}

fn params(opts: &IssueOptions) -> Result<CertificateParams> {
    check_name("name", &opts.name).map_err(|e| anyhow!(e))?;
    let mut params = lasting(opts.days)?;
    if let Some(zone) = &opts.zone {
        check_name("zone", zone).map_err(|e| anyhow!(e))?;
    }
    let (name, zone) = (opts.name.clone(), opts.zone.clone());
    Identity { kind: opts.kind, name, zone }.write(&mut params)?;
    params.use_authority_key_identifier_extension = true;
    Ok(params)
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

/// Replaces a certificate at once, so that a reader sees the old one or the new one.
fn replace(path: &Path, text: &str) -> Result<()> {
    let fresh = path.with_extension("pem.new");
    write(&fresh, CERT_MODE, text)?;
    fs::rename(&fresh, path).with_context(|| format!("could not replace {}", path.display()))
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

/// Options of [`show`].
#[derive(Clone, Debug)]
pub struct ShowOptions {
    /// Certificate to show.
    pub file: PathBuf,
}

/// Who holds a certificate, and how long.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Shown {
    /// Kind of the holder: `authority`, `host` or `operator`.
    pub kind: &'static str,
    /// Name of the holder.
    pub name: String,
    /// Availability zone of the holder.
    pub zone: Option<String>,
    /// Time from which it holds.
    pub from: String,
    /// Time until which it holds.
    pub until: String,
    /// Whole days that are left; negative when it has expired.
    pub days_left: i64,
}

/// Shows who holds a certificate and when it expires.
///
/// # Errors
///
/// Fails when the file is no certificate or names no holder.
pub fn show(opts: &ShowOptions) -> Result<Shown> {
    let cert = Certificate::load(&opts.file)?;
    let days_left = cert.days_left(OffsetDateTime::now_utc());
    let (from, until) = (rfc3339(cert.not_before)?, rfc3339(cert.not_after)?);
    Ok(match cert.holder {
        None => Shown { kind: "authority", name: cert.subject, zone: None, from, until, days_left },
        Some(Identity { kind, name, zone }) => {
            Shown { kind: kind.name(), name, zone, from, until, days_left }
        }
    })
}

fn rfc3339(time: OffsetDateTime) -> Result<String> {
    time.format(&Rfc3339).context("the time cannot be shown")
}
