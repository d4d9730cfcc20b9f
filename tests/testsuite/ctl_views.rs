//! Views of `wisteriactl`: rules, the audit trail, certificates and shell completion.

use crate::scripted::Scripted;
use crate::support::Authority;
use serde_json::{Value, json};
use std::io::{BufRead as _, BufReader};
use std::process::{Command, Stdio};
use wisteriahead::ops::keys::{HOLDER_DAYS, IssueOptions, ShowOptions, issue, show};
use wisteriahead::util::tls::{Credentials, Kind};
use yare::parameterized;

fn entry(seq: u64) -> Value {
    json!({"seq": seq, "time_ms": 1_000, "operator": "ann", "id": "c1", "what": "zone north out",
        "base": null, "revision": 4, "result": "accepted", "hash": "ab"})
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn audit_is_printed_as_a_table_or_as_lines_of_json() {
    let host = Scripted::new(|_, _| (200, json!([entry(5), entry(6)]))).await;
    let out = host.ctl(&["audit", "--after", "4", "--limit", "2"]).await;
    let stdout = String::from_utf8(out.stdout).unwrap();
    let rows: Vec<Vec<_>> = stdout.lines().map(|l| l.split_whitespace().collect()).collect();
    assert_eq!(rows[0], ["SEQ", "TIME", "OPERATOR", "REVISION", "RESULT", "WHAT"]);
    let time = "1970-01-01T00:00:01.000Z";
    assert_eq!(rows[2], ["6", time, "ann", "4", "accepted", "zone", "north", "out"]);
    assert_eq!(host.seen()[0].call, "GET /v1/audit?after=4&limit=2");
    let out = host.ctl(&["audit", "--json"]).await;
    let lines: Vec<Value> =
        out.stdout.lines().map(|l| serde_json::from_str(&l.unwrap()).unwrap()).collect();
    assert_eq!(lines, [entry(5), entry(6)]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn audit_follows_on_from_the_last_entry() {
    let host = Scripted::new(|n, _| match n {
        0 => (200, json!([entry(1), entry(2)])),
        2 => (200, json!([entry(3)])),
        _ => (200, json!([])),
    })
    .await;
    let mut child =
        host.command(&["audit", "--follow", "--json"]).stdout(Stdio::piped()).spawn().unwrap();
    let out = BufReader::new(child.stdout.take().unwrap());
    let read = move || out.lines().take(3).map(|l| l.unwrap()).collect::<Vec<_>>();
    let lines = tokio::task::spawn_blocking(read).await.unwrap();
    child.kill().unwrap();
    child.wait().unwrap();
    let seqs: Vec<_> =
        lines.iter().map(|l| serde_json::from_str::<Value>(l).unwrap()["seq"].clone()).collect();
    assert_eq!(seqs, [1, 2, 3]);
    let calls: Vec<_> = host.seen().into_iter().map(|s| s.call).take(3).collect();
    let call = |after| format!("GET /v1/audit?after={after}&limit=100");
    assert_eq!(calls, [call(0), call(2), call(2)]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rules_are_shown_without_the_inventory() {
    let text = "[[zone]]\nname = \"north\"\n[rules]\nadmit = \"any\"\n\
        [[rules.class]]\nname = \"phone\"\npriority = 0\ntimeout_ms = 90\n";
    let host = Scripted::new(move |_, _| (200, json!({"revision": 3, "text": text}))).await;
    let stdout = String::from_utf8(host.ctl(&["rules"]).await.stdout).unwrap();
    assert!(stdout.starts_with("revision  3\nadmit     any\n\nNAME   PRIORITY"), "{stdout}");
    assert!(stdout.contains("phone  0         -            90"), "{stdout}");
    assert!(!stdout.contains("north") && !stdout.contains("SERVICE"), "{stdout}");
    let value: Value =
        serde_json::from_slice(&host.ctl(&["rules", "--json"]).await.stdout).unwrap();
    assert_eq!(value["rules"]["class"][0]["name"], "phone");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn control_characters_of_a_host_do_not_reach_the_terminal() {
    let zones = json!([{"zone": "no\u{1b}[2Jrth", "state": "in", "endpoints": 1, "hosts": 1}]);
    let host = Scripted::new(move |_, _| (200, zones.clone())).await;
    let out = host.ctl(&["zones"]).await;
    assert!(!out.stdout.contains(&0x1b), "{out:?}");
}

#[parameterized(
    authority = {"ca", "authority", None},
    host = {"a", "host", Some("north")},
    operator = {"ann", "operator", None},
)]
fn certificate_is_shown(name: &str, kind: &str, zone: Option<&str>) {
    let ca = Authority::new();
    ca.issue(Kind::Host, "a");
    ca.issue(Kind::Operator, "ann");
    let file = ca.folder().join(format!("{name}.pem"));
    let certificate = show(&ShowOptions { file: file.clone() }).unwrap();
    assert_eq!((certificate.kind, certificate.zone.as_deref()), (kind, zone));
    let mut ctl = Command::new(env!("CARGO_BIN_EXE_wisteriactl"));
    let out = ctl.args(["keys", "show"]).arg(file).output().unwrap();
    let text = String::from_utf8(out.stdout).unwrap();
    for part in [kind, &certificate.name, &certificate.until, "days left"] {
        assert!(text.contains(part), "{part} is not in:\n{text}");
    }
}

#[test]
fn certificate_lifetime_is_as_requested_and_within_its_limits() {
    let ca = Authority::new();
    let opts = |name: &str, days| {
        let (folder, name) = (ca.folder().to_owned(), name.to_owned());
        IssueOptions { folder, kind: Kind::Host, name, zone: None, days, renew: false }
    };
    issue(&opts("a", 10)).unwrap();
    let certificate = show(&ShowOptions { file: ca.paths("a").cert }).unwrap();
    // Only whole days are counted, and the first one has begun.
    assert_eq!(certificate.days_left, 9);
    for days in [0, 36_501] {
        let e = format!("{:#}", issue(&opts("b", days)).unwrap_err());
        assert!(e.contains("1 to 36500"), "{e}");
    }
}

#[test]
fn renewal_keeps_the_private_key_and_replaces_the_certificate() {
    let ca = Authority::new();
    let paths = ca.issue(Kind::Host, "a");
    let read = || (std::fs::read(&paths.key).unwrap(), std::fs::read(&paths.cert).unwrap());
    let (key, cert) = read();
    let (folder, name) = (ca.folder().to_owned(), "a".to_owned());
    let mut opts =
        IssueOptions { folder, kind: Kind::Host, name, zone: None, days: HOLDER_DAYS, renew: true };
    issue(&opts).unwrap();
    assert_eq!(read().0, key);
    assert_ne!(read().1, cert);
    Credentials::load(&paths).unwrap().server(b"x").unwrap();
    opts.name = "b".to_owned();
    assert!(format!("{:#}", issue(&opts).unwrap_err()).contains("without --renew"));
}

#[parameterized(
    bash = {"bash", "complete -o nosort"},
    zsh = {"zsh", "#compdef wisteriactl"},
    fish = {"fish", "complete --no-files --command wisteriactl"},
)]
fn shell_completion_is_printed(shell: &str, part: &str) {
    let mut ctl = Command::new(env!("CARGO_BIN_EXE_wisteriactl"));
    let out = ctl.arg(format!("--bpaf-complete-style-{shell}")).output().unwrap();
    let text = String::from_utf8(out.stdout).unwrap();
    assert!(text.contains(part), "{text}");
}
