//! What a certificate says of its holder and of its own time.

use super::tls::{Identity, read_certificates};
use crate::prelude::*;
use rustls_pki_types::CertificateDer;
use std::path::Path;
use time::OffsetDateTime;
use x509_parser::prelude::{FromDer, X509Certificate};

/// What a certificate says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Certificate {
    /// Its holder; none for the authority's own.
    pub holder: Option<Identity>,
    /// Common name of its subject.
    pub subject: String,
    /// Time from which it holds.
    pub not_before: OffsetDateTime,
    /// Time until which it holds.
    pub not_after: OffsetDateTime,
}

impl Certificate {
    /// Reads the first certificate of a file.
    ///
    /// # Errors
    ///
    /// Fails when the file holds no certificate, or one that names no holder and is not an
    /// authority's.
    pub fn load(file: &Path) -> Result<Self> {
        let chain = read_certificates(file)?;
        let first = chain.first().context("the file holds no certificate")?;
        Self::read(first).with_context(|| format!("could not use {}", file.display()))
    }

    /// Reads a certificate.
    ///
    /// # Errors
    ///
    /// Fails when it is malformed, or names no holder and is not an authority's.
    pub fn read(der: &CertificateDer<'_>) -> Result<Self> {
        let (_, cert) = X509Certificate::from_der(der).context("malformed certificate")?;
        let holder = if cert.is_ca() { None } else { Some(Identity::read(der)?) };
        let subject = cert.subject().iter_common_name().next();
        let subject = subject.and_then(|n| n.as_str().ok()).unwrap_or("-").to_owned();
        let time = cert.validity();
        let (not_before, not_after) = (time.not_before.to_datetime(), time.not_after.to_datetime());
        Ok(Self { holder, subject, not_before, not_after })
    }

    /// Whole days that are left until it expires; negative afterwards.
    pub fn days_left(&self, now: OffsetDateTime) -> i64 {
        (self.not_after - now).whole_seconds().div_euclid(DAY_SECS)
    }
}

/// Seconds of a day.
const DAY_SECS: i64 = 86_400;
