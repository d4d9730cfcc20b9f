//! Warns of a certificate that expires soon.

use crate::prelude::*;
use crate::util::certificate::Certificate;
use crate::util::metrics::Metrics;
use std::path::{Path, PathBuf};
use time::OffsetDateTime;
use tokio::time::sleep;

/// Days before its expiry from which a certificate is warned of.
const WARN_DAYS: i64 = 30;
/// Time between two looks at the certificate.
const LOOK_PERIOD: Span = Span::secs(3_600);

/// Looks at a certificate again and again.
pub async fn watch(file: PathBuf, metrics: Metrics) {
    loop {
        look(&file, &metrics);
        sleep(LOOK_PERIOD.to_std()).await;
    }
}

fn look(file: &Path, metrics: &Metrics) {
    let cert = match Certificate::load(file) {
        Ok(cert) => cert,
        Err(e) => return log::error!("could not look at the certificate: {e:#}"),
    };
    let days = cert.days_left(OffsetDateTime::now_utc());
    metrics.gauge("certificate.days_left", days.max(0).unsigned_abs());
    if days < WARN_DAYS {
        log::warn!(days_left = days; "the certificate expires soon; renew it by `wisteriactl keys issue --renew`");
    }
}
