//! The daemon's command line. Every setting is a flag and an environment variable.

use bpaf::{OptionParser, Parser, construct, long};
use std::env;
use wisteriahead::ops::serve::settings::RawSettings;

/// Parsed command line.
#[derive(Clone, Debug)]
pub struct Args {
    /// The settings as given.
    pub raw: RawSettings,
    /// Whether to check the settings and exit.
    pub check: bool,
}

/// A setting with one value.
fn single(
    flag: &'static str,
    env: &'static str,
    meta: &'static str,
    help: &'static str,
) -> impl Parser<String> {
    long(flag).env(env).help(help).argument::<String>(meta)
}

/// A required setting. A missing one becomes an empty value, which validation rejects together with
/// all other invalid settings.
fn required(
    flag: &'static str,
    env: &'static str,
    meta: &'static str,
    help: &'static str,
) -> impl Parser<String> {
    single(flag, env, meta, help).fallback(String::new())
}

/// Parser of the command line.
pub fn options() -> OptionParser<Args> {
    let host = required("host", "WISTERIAHEAD_HOST", "NAME", "Name of this host; required");
    let zone =
        required("zone", "WISTERIAHEAD_ZONE", "NAME", "Availability zone of this host; required");
    let caller_listen =
        single("caller-listen", "WISTERIAHEAD_CALLER_LISTEN", "IP:PORT", "Address for callers")
            .fallback("127.0.0.1:7100".into())
            .display_fallback();
    let endpoint_listen = single(
        "endpoint-listen",
        "WISTERIAHEAD_ENDPOINT_LISTEN",
        "IP:PORT",
        "Address for endpoints' announcements",
    )
    .fallback("127.0.0.1:7101".into())
    .display_fallback();
    let operator_listen = single(
        "operator-listen",
        "WISTERIAHEAD_OPERATOR_LISTEN",
        "IP:PORT",
        "Address for operators",
    )
    .fallback("127.0.0.1:7102".into())
    .display_fallback();
    let peer_listen =
        single("peer-listen", "WISTERIAHEAD_PEER_LISTEN", "IP:PORT", "TCP address for other hosts")
            .fallback("127.0.0.1:7103".into())
            .display_fallback();
    let peers = repeated(
        "peer",
        "WISTERIAHEAD_PEERS",
        "IP:PORT",
        "TCP address of another host; comma-separated in the environment",
    );
    let ca = single("ca", "WISTERIAHEAD_CA", "FILE", "Certificate of the authority")
        .fallback("keys/ca.pem".into())
        .display_fallback();
    let cert = required("cert", "WISTERIAHEAD_CERT", "FILE", "Certificate of this host; required");
    let key = required("key", "WISTERIAHEAD_KEY", "FILE", "Private key of this host; required");
    let data = single(
        "data",
        "WISTERIAHEAD_DATA",
        "FOLDER",
        "Data folder; a host without one does not vote",
    )
    .optional();
    let voters = repeated(
        "voter",
        "WISTERIAHEAD_VOTERS",
        "NAME",
        "Voter at the tier's first start; comma-separated in the environment",
    );
    let metrics =
        single("metrics", "WISTERIAHEAD_METRICS", "IP:PORT", "UDP address to send metrics to")
            .optional();
    let log_level =
        single("log-level", "WISTERIAHEAD_LOG_LEVEL", "LEVEL", "Least severe level that is logged")
            .fallback("info".into())
            .display_fallback();
    let log_format = single(
        "log-format",
        "WISTERIAHEAD_LOG_FORMAT",
        "FORMAT",
        "Format of log lines: text or json",
    )
    .fallback("text".into())
    .display_fallback();
    let drain_timeout = single(
        "drain-timeout",
        "WISTERIAHEAD_DRAIN_TIMEOUT",
        "TIME",
        "Longest wait for requests in flight at shutdown",
    )
    .fallback("10s".into())
    .display_fallback();
    let lame_duck = single(
        "lame-duck",
        "WISTERIAHEAD_LAME_DUCK",
        "TIME",
        "Time to keep serving at shutdown after the health check reports it",
    )
    .fallback("1s".into())
    .display_fallback();
    let caller_limit = single(
        "caller-limit",
        "WISTERIAHEAD_CALLER_LIMIT",
        "COUNT",
        "Largest number of requests of one caller that run or wait",
    )
    .fallback("128".into())
    .display_fallback();
    let raw = construct!(RawSettings {
        host,
        zone,
        caller_listen,
        endpoint_listen,
        operator_listen,
        peer_listen,
        peers,
        ca,
        cert,
        key,
        data,
        voters,
        metrics,
        log_level,
        log_format,
        lame_duck,
        drain_timeout,
        caller_limit,
    });
    let check = long("check").help("Check the settings and exit").switch();
    construct!(Args { raw, check })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("The query tier's daemon, one on each entry host")
}

/// A list: the flag may be repeated, the environment variable holds values separated by commas.
fn repeated(
    flag: &'static str,
    name: &'static str,
    meta: &'static str,
    help: &'static str,
) -> impl Parser<Vec<String>> {
    let help = format!("{help}\n[env:{name}: {}]", env::var(name).unwrap_or("N/A".to_owned()));
    let flags = long(flag).help(&*help).argument::<String>(meta).some("unreachable");
    let from_env = long(flag)
        .env(name)
        .argument::<String>(meta)
        .hide()
        .map(|all| all.split(',').filter(|s| !s.is_empty()).map(str::to_owned).collect());
    construct!([flags, from_env]).fallback(Vec::new())
}
