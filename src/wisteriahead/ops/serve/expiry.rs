//! Periodic check of the host's certificate, which logs a warning before it expires.

use crate::prelude::*;
use crate::util::certificate::Certificate;
use crate::util::metrics::Metrics;
use std::path::{Path, PathBuf};
use time::OffsetDateTime;
use tokio::time::sleep;

/// Remaining days below which a warning is logged.
const WARN_DAYS: i64 = 30;
/// Time between two checks.
const CHECK_PERIOD: Span = Span::secs(3_600);

/// Checks the certificate at once and then once per [`CHECK_PERIOD`], forever. The file is read
/// each time, because a renewal replaces it.
pub async fn watch(file: PathBuf, metrics: Metrics) {
    loop {
        check(&file, &metrics);
        sleep(CHECK_PERIOD.to_std()).await;
    }
}

fn check(file: &Path, metrics: &Metrics) {
    let cert = match Certificate::load(file) {
        Ok(cert) => cert,
        Err(e) => return log::error!("could not check when the certificate expires: {e:#}"),
    };
    let days = cert.days_left(OffsetDateTime::now_utc());
    metrics.gauge("certificate.days_left", days.max(0).unsigned_abs());
    if days < WARN_DAYS {
        log::warn!(days_left = days; "the certificate expires soon; renew it with `wisteriactl keys issue --renew`");
    }
}
