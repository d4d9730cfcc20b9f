//! The daemon's command line: every setting as a flag and an environment variable.

use bpaf::{OptionParser, Parser, construct, long};
use std::env;
use wisteriahead::ops::serve::settings::RawSettings;

/// What the command line says.
#[derive(Clone, Debug)]
pub struct Args {
    /// The settings as given.
    pub raw: RawSettings,
    /// Whether only to check them.
    pub check: bool,
}

fn text(
    flag: &'static str,
    env: &'static str,
    meta: &'static str,
    help: &'static str,
) -> impl Parser<String> {
    long(flag).env(env).help(help).argument::<String>(meta)
}

/// A setting without a default. Its absence is a fault of the settings like any other, so
/// that all faults are named at once.
fn needed(
    flag: &'static str,
    env: &'static str,
    meta: &'static str,
    help: &'static str,
) -> impl Parser<String> {
    text(flag, env, meta, help).fallback(String::new())
}

/// The command line.
pub fn options() -> OptionParser<Args> {
    let host = needed("host", "WISTERIAHEAD_HOST", "NAME", "Name of this host; needed");
    let zone =
        needed("zone", "WISTERIAHEAD_ZONE", "NAME", "Availability zone of this host; needed");
    let caller_listen =
        text("caller-listen", "WISTERIAHEAD_CALLER_LISTEN", "IP:PORT", "Address for callers")
            .fallback("127.0.0.1:7100".into())
            .display_fallback();
    let endpoint_listen = text(
        "endpoint-listen",
        "WISTERIAHEAD_ENDPOINT_LISTEN",
        "IP:PORT",
        "Address for endpoints' announcements",
    )
    .fallback("127.0.0.1:7101".into())
    .display_fallback();
    let operator_listen =
        text("operator-listen", "WISTERIAHEAD_OPERATOR_LISTEN", "IP:PORT", "Address for operators")
            .fallback("127.0.0.1:7102".into())
            .display_fallback();
    let peer_listen =
        text("peer-listen", "WISTERIAHEAD_PEER_LISTEN", "IP:PORT", "UDP address for other hosts")
            .fallback("127.0.0.1:7103".into())
            .display_fallback();
    let peers = list(
        "peer",
        "WISTERIAHEAD_PEERS",
        "IP:PORT",
        "UDP address of another host; with commas in the environment",
    );
    let ca = text("ca", "WISTERIAHEAD_CA", "FILE", "Certificate authority")
        .fallback("keys/ca.pem".into())
        .display_fallback();
    let cert = needed("cert", "WISTERIAHEAD_CERT", "FILE", "Certificate of this host; needed");
    let key = needed("key", "WISTERIAHEAD_KEY", "FILE", "Private key of this host; needed");
    let data =
        text("data", "WISTERIAHEAD_DATA", "FOLDER", "Data folder; without one, no vote").optional();
    let voters = list(
        "voter",
        "WISTERIAHEAD_VOTERS",
        "NAME",
        "Host of the first quorum; with commas in the environment",
    );
    let metrics =
        text("metrics", "WISTERIAHEAD_METRICS", "IP:PORT", "Send metrics here by UDP").optional();
    let log_level = text("log-level", "WISTERIAHEAD_LOG_LEVEL", "LEVEL", "Least severe log lines")
        .fallback("info".into())
        .display_fallback();
    let log_format = text("log-format", "WISTERIAHEAD_LOG_FORMAT", "FORMAT", "text or json")
        .fallback("text".into())
        .display_fallback();
    let drain_timeout = text(
        "drain-timeout",
        "WISTERIAHEAD_DRAIN_TIMEOUT",
        "TIME",
        "Longest wait for requests in flight at a stop",
    )
    .fallback("10s".into())
    .display_fallback();
    let lame_duck = text(
        "lame-duck",
        "WISTERIAHEAD_LAME_DUCK",
        "TIME",
        "Time to serve on at a stop after health says so",
    )
    .fallback("1s".into())
    .display_fallback();
    let caller_limit = text(
        "caller-limit",
        "WISTERIAHEAD_CALLER_LIMIT",
        "COUNT",
        "Most requests of one caller that run or wait",
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
    let check = long("check").help("Check the settings and stop").switch();
    construct!(Args { raw, check })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("The query tier's daemon, one on each entry host")
}

/// A setting given several times as a flag, or once in the environment with commas.
fn list(
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
