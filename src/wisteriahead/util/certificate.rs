//! The holder and the validity period of a certificate.

use super::tls::{Identity, read_certificates};
use crate::prelude::*;
use rustls_pki_types::CertificateDer;
use std::path::Path;
use time::OffsetDateTime;
use x509_parser::prelude::{FromDer, X509Certificate};

/// Holder and validity of a certificate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Certificate {
    /// Holder; none for a certificate authority.
    pub holder: Option<Identity>,
    /// Common name of the subject, or `-`.
    pub subject: String,
    /// Start of the validity period.
    pub not_before: OffsetDateTime,
    /// End of the validity period.
    pub not_after: OffsetDateTime,
}

impl Certificate {
    /// Reads the first certificate of a file.
    ///
    /// # Errors
    ///
    /// Fails if the file holds no certificate, or one that neither names a holder nor is an
    /// authority's.
    pub fn load(file: &Path) -> Result<Self> {
        let chain = read_certificates(file)?;
        let first = chain.first().context("the file holds no certificate")?;
        Self::read(first).with_context(|| format!("could not use {}", file.display()))
    }

    /// Parses a DER-encoded certificate.
    ///
    /// # Errors
    ///
    /// Fails if it is malformed, or neither names a holder nor is an authority's.
    pub fn read(der: &CertificateDer<'_>) -> Result<Self> {
        let (_, cert) = X509Certificate::from_der(der).context("malformed certificate")?;
        let holder = if cert.is_ca() { None } else { Some(Identity::read(der)?) };
        let subject = cert.subject().iter_common_name().next();
        let subject = subject.and_then(|n| n.as_str().ok()).unwrap_or("-").to_owned();
        let validity = cert.validity();
        let (not_before, not_after) =
            (validity.not_before.to_datetime(), validity.not_after.to_datetime());
        Ok(Self { holder, subject, not_before, not_after })
    }

    /// Whole days until it expires, rounded down; negative afterwards.
    pub fn days_left(&self, now: OffsetDateTime) -> i64 {
        (self.not_after - now).whole_seconds().div_euclid(DAY_SECS)
    }
}

/// Seconds of a day.
const DAY_SECS: i64 = 86_400;
