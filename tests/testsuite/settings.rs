//! The daemon's settings: flags, environment and errors, and its logs and metrics.

use crate::support::Authority;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::process::{Command, Output};
use std::time::{Duration, Instant};
use wisteria_testkit::client;
use wisteria_testkit::process::program_folder;
use wisteria_testkit::tier::Tier;
use wisteria_testkit::wait::{WAIT_TIMEOUT, wait_until};
use wisteriahead::util::logging;
use wisteriahead::util::tls::{Kind, TlsPaths};
use yare::parameterized;

const EXIT_OK: i32 = 0;
const EXIT_USAGE: i32 = 2;

/// A daemon command that checks its settings, which are valid, and exits.
fn check_command(tls: &TlsPaths) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wisteriahead"));
    command
        .env_clear()
        .env("WISTERIAHEAD_HOST", "a")
        .env("WISTERIAHEAD_ZONE", "north")
        .env("WISTERIAHEAD_CA", &tls.ca)
        .env("WISTERIAHEAD_CERT", &tls.cert)
        .env("WISTERIAHEAD_KEY", &tls.key)
        .arg("--check");
    command
}

fn stderr(out: &Output) -> String {
    String::from_utf8_lossy(&out.stderr).into_owned()
}

#[test]
fn valid_settings_pass_the_check() {
    let ca = Authority::new();
    let tls = ca.issue(Kind::Host, "a");
    let out = check_command(&tls).output().unwrap();
    assert_eq!(out.status.code(), Some(EXIT_OK), "{out:?}");
    assert_eq!(out.stdout, b"settings hold\n");
}

#[parameterized(
    host = {"--host", "a/b", "letters, digits"},
    long_name = {"--zone", "0123456789012345678901234567890123456789012345678901234567890123456789",
        "1 to 64"},
    address = {"--caller-listen", "localhost:80", "IP address and a port"},
    port = {"--endpoint-listen", "127.0.0.1:65536", "IP address and a port"},
    operator_address = {"--operator-listen", "", "IP address and a port"},
    peer_address = {"--peer-listen", "1.2.3.4", "IP address and a port"},
    peer = {"--peer", "b:7103", "IP address and a port"},
    ca = {"--ca", "/nowhere/ca.pem", "a readable file"},
    cert = {"--cert", "/", "a regular file"},
    key = {"--key", "/nowhere/a.key", "a readable file"},
    data = {"--data", "/dev/null", "a folder"},
    voter = {"--voter", "b c", "letters, digits"},
    voter_without_disk = {"--voter", "a", "set --data"},
    metrics = {"--metrics", "x", "IP address and a port"},
    level = {"--log-level", "loud", "off, error, warn, info, debug or trace"},
    module_level = {"--log-level", "info,a::b=loud", "MODULE=LEVEL"},
    module_without_level = {"--log-level", "info,a::b", "MODULE=LEVEL"},
    level_without_module = {"--log-level", "info,=debug", "MODULE=LEVEL"},
    format = {"--log-format", "xml", "`text` or `json`"},
    drain = {"--drain-timeout", "soon", "a time up to 10m"},
    lame_duck = {"--lame-duck", "11m", "a time up to 10m"},
    no_callers = {"--caller-limit", "0", "a whole number from 1 to 1024"},
    many_callers = {"--caller-limit", "1025", "a whole number from 1 to 1024"},
    long_drain = {"--drain-timeout", "11m", "a time up to 10m"},
    shared_address = {"--operator-listen", "127.0.0.1:7100", "--caller-listen has this one"},
)]
fn error_names_flag_value_and_allowed_values(flag: &str, value: &str, allowed: &str) {
    let ca = Authority::new();
    let tls = ca.issue(Kind::Host, "a");
    let out = check_command(&tls).arg(format!("{flag}={value}")).output().unwrap();
    assert_eq!(out.status.code(), Some(EXIT_USAGE), "{out:?}");
    let stderr = stderr(&out);
    assert!(stderr.starts_with(&format!("error: {flag} is `{value}`: ")), "{stderr}");
    assert!(stderr.contains(allowed), "{stderr}");
    assert_eq!(stderr.lines().count(), 1, "{stderr}");
}

#[test]
fn all_errors_are_reported_at_once() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wisteriahead"));
    let out = command.env_clear().args(["--log-level", "loud", "--peer", "x"]).output().unwrap();
    assert_eq!(out.status.code(), Some(EXIT_USAGE), "{out:?}");
    let stderr = stderr(&out);
    for flag in ["--host", "--zone", "--ca", "--cert", "--key", "--log-level", "--peer"] {
        assert!(stderr.contains(&format!("error: {flag} is `")), "{flag} is not in:\n{stderr}");
    }
}

#[test]
fn unknown_flag_is_a_usage_error() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wisteriahead"));
    let out = command.env_clear().arg("--colour").output().unwrap();
    assert_eq!(out.status.code(), Some(EXIT_USAGE), "{out:?}");
}

#[test]
fn flag_overrides_environment_and_lists_are_split() {
    let ca = Authority::new();
    let tls = ca.issue(Kind::Host, "a");
    let mut command = check_command(&tls);
    command.env("WISTERIAHEAD_LOG_LEVEL", "loud").env("WISTERIAHEAD_PEERS", "127.0.0.1:1,x,y");
    let out = command.args(["--log-level", "warn"]).output().unwrap();
    let stderr = stderr(&out);
    assert_eq!(out.status.code(), Some(EXIT_USAGE), "{out:?}");
    assert!(stderr.contains("--peer is `x`") && stderr.contains("--peer is `y`"), "{stderr}");
    assert!(!stderr.contains("--log-level") && !stderr.contains("`127.0.0.1:1`"), "{stderr}");
}

#[tokio::test]
async fn json_logs_are_one_object_per_line_with_state_changes() {
    let mut tier = Tier::new(&program_folder().unwrap()).unwrap();
    tier.start_daemon("entry-1", "north", &["--log-format", "json", "--log-level", "debug"])
        .await
        .unwrap();
    let process = &mut tier.daemons[0].process;
    process.terminate().await.unwrap();
    assert!(process.wait().await.unwrap());
    let log = tier.log(0).unwrap();
    let lines: Vec<Value> = log.lines().map(|l| serde_json::from_str(l).unwrap()).collect();
    for line in &lines {
        for field in ["time", "level", "module", "message"] {
            assert!(line[field].is_string(), "{line}");
        }
        assert_eq!(line["host"], "entry-1");
    }
    let states: Vec<_> = lines.iter().filter_map(|l| l["state"].as_str()).collect();
    assert_eq!(states, ["ready", "stopping", "stopped"]);
}

#[tokio::test]
async fn log_level_of_one_module_leaves_the_others() {
    let mut tier = Tier::new(&program_folder().unwrap()).unwrap();
    let levels = "info,wisteriahead::util::work=debug";
    let args = ["--log-format", "json", "--log-level", levels];
    tier.start_daemon("entry-1", "north", &args).await.unwrap();
    let work = |log: &str| log.lines().any(|l| l.contains("\"event\":\"work\""));
    while !work(&tier.log(0).unwrap()) {
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    let log = tier.log(0).unwrap();
    let lines: Vec<Value> = log.lines().map(|l| serde_json::from_str(l).unwrap()).collect();
    let debug = lines.iter().filter(|l| l["level"] == "DEBUG");
    let modules: Vec<_> = debug.map(|l| l["module"].as_str().unwrap()).collect();
    assert!(!modules.is_empty() && modules.iter().all(|m| *m == "wisteriahead::util::work"));
    assert!(lines.iter().any(|l| l["event"] == "work" && l["kind"] == "registry"), "{log}");
}

#[test]
fn control_characters_do_not_break_a_log_line() {
    let args = format_args!("a\r\nb\u{1b}[2J");
    let record = log::Record::builder().args(args).target("t").build();
    let text = logging::text(&record);
    assert!(text.ends_with("t: a  b [2J") && !text.contains(char::is_control), "{text}");
    let json = logging::json(&record, "h").to_string();
    assert!(!json.contains(char::is_control), "{json}");
    assert_eq!(serde_json::from_str::<Value>(&json).unwrap()["message"], "a\r\nb\u{1b}[2J");
}

#[tokio::test]
async fn text_log_lines_start_with_a_timestamp() {
    let mut tier = Tier::new(&program_folder().unwrap()).unwrap();
    tier.start_daemon("entry-1", "north", &["--log-level", "debug"]).await.unwrap();
    let daemon = &mut tier.daemons[0];
    daemon.process.terminate().await.unwrap();
    daemon.process.wait().await.unwrap();
    let log = tier.log(0).unwrap();
    for line in log.lines() {
        let time = line.split(' ').next().unwrap();
        assert!(humantime::parse_rfc3339(time).is_ok(), "{line}");
    }
    assert!(log.contains("signal=\"SIGTERM\" state=\"stopping\""), "{log}");
}

#[tokio::test]
async fn metrics_are_sent_as_statsd() {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    // Only a daemon that sends nothing reaches this timeout.
    socket.set_read_timeout(Some(Duration::from_secs(60))).unwrap();
    let to = socket.local_addr().unwrap().to_string();
    let mut tier = Tier::new(&program_folder().unwrap()).unwrap();
    tier.start_daemon("entry-1", "north", &["--metrics", &to]).await.unwrap();
    tier.start_daemon("entry-2", "north", &[]).await.unwrap();
    tier.start_leaves(2, &[0], &["--shards", "2", "--snapshot", "s1"]).await.unwrap();
    let mut left: BTreeSet<&str> =
        ["certificate.days_left:364|g", "hosts.alive:2|g", "hosts.lost:0|g", "endpoints.known:2|g"]
            .into();
    let mut sent = ["member.messages_sent", "peers.sent_bytes", "peers.member.received_bytes"]
        .map(|name| (name, 0i64));
    let begun = Instant::now();
    while !left.is_empty() || sent.iter().any(|(_, n)| *n == 0) {
        assert!(begun.elapsed() < WAIT_TIMEOUT, "never sent: {left:?} or some of {sent:?}");
        let mut bytes = [0; 2_048];
        let len = socket.recv(&mut bytes).unwrap();
        let text = String::from_utf8_lossy(&bytes[..len]).into_owned();
        for line in text.lines() {
            let line = line.strip_prefix("wisteriahead.").unwrap();
            left.remove(line);
            let (name, value) = line.split_once(':').unwrap();
            if let Some((_, n)) = sent.iter_mut().find(|(known, _)| *known == name) {
                *n += value.strip_suffix("|c").unwrap().parse::<i64>().unwrap();
            }
        }
    }
}

#[tokio::test]
async fn host_in_lame_duck_serves_for_the_configured_time() {
    let mut tier = Tier::new(&program_folder().unwrap()).unwrap();
    let daemon = tier.start_daemon("entry-1", "north", &["--lame-duck", "10m"]).await.unwrap();
    daemon.process.terminate().await.unwrap();
    wait_until("a health check that fails", async || {
        client::get(daemon.callers, "/v1/health").await.unwrap().status == 503
    })
    .await;
    let body = json!({"collection": "kits", "query": {}});
    for _ in 0..300 {
        let answer = client::post(daemon.callers, "/v1/search", &body).await.unwrap();
        assert_eq!(answer.status, 404, "{answer:?}");
    }
    daemon.process.kill().await.unwrap();
}

#[tokio::test]
async fn caller_over_its_limit_is_refused() {
    let mut tier = Tier::new(&program_folder().unwrap()).unwrap();
    tier.start_daemon("entry-1", "north", &["--caller-limit", "1"]).await.unwrap();
    let slow = ["--shards", "1", "--snapshot", "s1", "--mean-us", "600000000"];
    tier.start_leaves(1, &[0], &slow).await.unwrap();
    tier.apply_inventory(0, "[[zone]]\nname = \"north\"\n[rules]\nadmit = \"any\"\n")
        .await
        .unwrap();
    let callers = tier.daemons[0].callers;
    let search = move |caller: &'static str, millis: &'static str| async move {
        let headers = [("wisteria-caller", caller), ("wisteria-timeout-ms", millis)];
        let body = json!({"collection": "kits", "query": {}}).to_string();
        client::send(callers, hyper::Method::POST, "/v1/search", &headers, body).await.unwrap()
    };
    wait_until("a known collection", async || {
        search("other", "20").await.body["reason"] == "coverage"
    })
    .await;
    // Neither search is answered, so the second one exceeds the limit and is refused at once.
    let (first, second) =
        (tokio::spawn(search("desk", "60000")), tokio::spawn(search("desk", "60000")));
    let answer = futures::future::select(first, second).await.factor_first().0.unwrap();
    assert_eq!((answer.status.as_u16(), &answer.body["verdict"]), (429, &"not-run".into()));
}

#[tokio::test]
async fn certificate_that_expires_soon_logs_a_warning() {
    let mut tier = Tier::new(&program_folder().unwrap()).unwrap();
    let folder = tier.folder().join("keys");
    let name = "entry-1".to_owned();
    let zone = Some("north".to_owned());
    let opts = wisteriahead::ops::keys::IssueOptions {
        folder,
        kind: Kind::Host,
        name,
        zone,
        days: 29,
        renew: false,
    };
    wisteriahead::ops::keys::issue(&opts).unwrap();
    tier.start_daemon("entry-1", "north", &[]).await.unwrap();
    tier.start_daemon("entry-2", "north", &[]).await.unwrap();
    // The first daemon checks its certificate once it is ready.
    wait_until("a warning", async || tier.log(0).unwrap().contains("expires soon")).await;
    for daemon in &mut tier.daemons {
        daemon.process.terminate().await.unwrap();
        daemon.process.wait().await.unwrap();
    }
    assert!(tier.log(0).unwrap().contains("days_left=28"));
    assert!(!tier.log(1).unwrap().contains("expires soon"));
}
