//! Changes by `wisteriactl` to zones, voters and the inventory, and the wait for a revision.

use crate::scripted::{Scripted, SeenRequest};
use serde_json::{Value, json};
use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::process::{Output, Stdio};

const DONE: i32 = 0;
const FAILED: i32 = 1;
const USAGE: i32 = 2;
const REFUSED: i32 = 3;
const WAIT_TIMEOUT: i32 = 4;
const UNKNOWN: i32 = 5;

/// Checks the exit status and that standard error contains the given texts.
fn check_output(out: &Output, status: i32, expected: &[&str]) {
    assert_eq!(out.status.code(), Some(status), "{out:?}");
    let stderr = String::from_utf8_lossy(&out.stderr);
    for text in expected {
        assert!(stderr.contains(text), "`{text}` is not in:\n{stderr}");
    }
}

fn refusal(verdict: &str, reason: &str, detail: &str) -> Value {
    json!({"verdict": verdict, "reason": reason, "detail": detail})
}

/// Accepts every change as revision 7, in force at `b` from the fourth request on.
fn accept_changes(n: usize, seen: &SeenRequest) -> (u16, Value) {
    let revisions = json!([{"host": "a", "zone": "n", "revision": 7, "age_ms": 0},
        {"host": "b", "zone": "s", "revision": if n < 3 { 6 } else { 7 }, "age_ms": 900}]);
    match seen.call.as_str() {
        "GET /v1/revisions" => (200, revisions),
        "GET /v1/inventory" => {
            (200, json!({"revision": 6, "text": "[[zone]]\nname = \"north\"\n"}))
        }
        _ => (200, json!({"revision": 7})),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn zone_is_taken_out_and_brought_back() {
    let host = Scripted::new(accept_changes).await;
    let out = host.ctl(&["zone", "out", "--id", "c1", "north"]).await;
    check_output(
        &out,
        DONE,
        &["    Accepted availability zone north out by revision 7 (change c1)"],
    );
    check_output(&host.ctl(&["zone", "in", "--id", "c2", "north"]).await, DONE, &["north in"]);
    let calls = [("POST /v1/zones/north/out", "c1"), ("POST /v1/zones/north/in", "c2")];
    let calls = calls.map(|(c, id)| SeenRequest { call: c.to_owned(), body: json!({"id": id}) });
    assert_eq!(host.seen(), calls);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn zone_marked_without_a_quorum_is_reported_with_a_warning() {
    let host = Scripted::new(|_, _| (200, json!({"local": true}))).await;
    let out = host.ctl(&["zone", "out", "north", "--json"]).await;
    check_output(&out, DONE, &["      Marked availability zone north out", "warning: no quorum"]);
    let value: Value = serde_json::from_slice(&out.stdout).unwrap();
    assert_eq!((&value["local"], &value["revision"]), (&json!(true), &Value::Null));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_zone_name_is_not_sent() {
    let host = Scripted::new(accept_changes).await;
    check_output(&host.ctl(&["zone", "out", "north/../x"]).await, USAGE, &["`zone` is"]);
    assert_eq!(host.seen(), []);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn wait_lists_the_hosts_that_are_behind() {
    let host = Scripted::new(accept_changes).await;
    let out = host.ctl(&["zone", "out", "--wait", "north"]).await;
    check_output(
        &out,
        DONE,
        &["     Waiting for revision 7 at b\n", "    In force revision 7 at 2 hosts"],
    );
    let stderr = String::from_utf8_lossy(&out.stderr);
    assert_eq!(stderr.matches("Waiting").count(), 1, "{stderr}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn wait_times_out_and_names_the_hosts_that_are_behind() {
    let host = Scripted::new(accept_changes).await;
    let out = host.ctl(&["revision", "wait", "8", "--timeout", "50ms"]).await;
    check_output(&out, WAIT_TIMEOUT, &["revision 8 is not in force after 50ms at a (7), b (6)"]);
    let out = host.ctl(&["revisions"]).await;
    let stdout = String::from_utf8(out.stdout).unwrap();
    assert!(
        stdout.starts_with("HOST  ZONE  REVISION  AGE_MS\na     n     7         0\n"),
        "{stdout}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn voters_are_listed_added_and_removed() {
    let host = Scripted::new(|_, seen| match seen.call.as_str() {
        "GET /v1/voters" => {
            (200, json!({"leader": "a", "term": 3, "voters": ["a", "b"], "learners": []}))
        }
        _ => (200, json!({"revision": 9})),
    })
    .await;
    let out = host.ctl(&["voters", "list"]).await;
    check_output(&out, DONE, &[]);
    let stdout = String::from_utf8(out.stdout).unwrap();
    assert_eq!(stdout, "leader    a\nterm      3\nvoters    a,b\nlearners  -\n");
    check_output(
        &host.ctl(&["voters", "add", "--id", "c1", "c"]).await,
        DONE,
        &["voter c by revision 9"],
    );
    check_output(
        &host.ctl(&["voters", "remove", "--id", "c2", "a"]).await,
        DONE,
        &["removal of voter a"],
    );
    let bodies: Vec<_> = host.seen().into_iter().skip(1).map(|s| s.body).collect();
    assert_eq!(bodies, [json!({"id": "c1", "add": "c"}), json!({"id": "c2", "remove": "a"})]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answer_reports_the_identifier_for_a_resend() {
    let host =
        Scripted::new(|n, _| if n == 0 { (0, Value::Null) } else { (200, json!({"revision": 2})) })
            .await;
    let first = host.ctl(&["zone", "out", "north"]).await;
    let id = host.seen()[0].body["id"].as_str().unwrap().to_owned();
    check_output(&first, UNKNOWN, &["may be in force or not", &format!("--id {id}")]);
    check_output(&host.ctl(&["zone", "out", "north", "--id", &id]).await, DONE, &[&id]);
    assert_eq!(host.seen()[0], host.seen()[1]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_that_may_have_run_has_an_unknown_outcome_and_one_not_run_is_refused() {
    let host = Scripted::new(|n, _| match n {
        0 => (503, refusal("may-have-run", "no-quorum", "the leader is gone")),
        1 => (503, refusal("not-run", "no-quorum", "no leader")),
        _ => (500, Value::Null),
    })
    .await;
    check_output(
        &host.ctl(&["zone", "in", "north"]).await,
        UNKNOWN,
        &["the leader is gone", "--id"],
    );
    check_output(
        &host.ctl(&["zone", "in", "north"]).await,
        REFUSED,
        &["error: refused: no leader"],
    );
    check_output(&host.ctl(&["zone", "in", "north"]).await, UNKNOWN, &["500", "--id"]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn host_that_does_not_know_the_call_is_reported_as_older() {
    let host = Scripted::new(|n, _| {
        (404, if n == 0 { Value::Null } else { refusal("not-run", "bad-request", "nothing there") })
    })
    .await;
    for args in [&["voters", "list"][..], &["revisions"], &["audit"], &["zone", "out", "north"]] {
        check_output(&host.ctl(args).await, REFUSED, &["version may be older"]);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn apply_without_a_base_warns_and_with_one_does_not() {
    let host = Scripted::new(accept_changes).await;
    let file = host.ca.folder().join("new.toml");
    std::fs::write(&file, "[[zone]]\nname = \"south\"\n").unwrap();
    let file = file.to_str().unwrap();
    let out = host.ctl(&["inventory", "apply", "--file", file]).await;
    check_output(&out, DONE, &["warning: no --base is given", "Accepted revision 7"]);
    assert_eq!(host.seen()[1].body["base"], 6);
    let out = host.ctl(&["inventory", "apply", "--file", file, "--base", "3"]).await;
    check_output(&out, DONE, &[]);
    assert!(!String::from_utf8_lossy(&out.stderr).contains("warning"), "{out:?}");
    assert_eq!(host.seen()[2].body["base"], 3);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn diff_shows_what_would_change_and_ignores_comments() {
    let host = Scripted::new(accept_changes).await;
    let file = host.ca.folder().join("new.toml");
    let diff = ["inventory", "diff", "--file", file.to_str().unwrap()];
    std::fs::write(&file, "# ours\n[[zone]]\nname = \"north\"\n").unwrap();
    let out = host.ctl(&diff).await;
    check_output(&out, DONE, &["0 lines added, 0 removed"]);
    assert_eq!(out.stdout, b"");
    std::fs::write(&file, "[[zone]]\nname = \"south\"\n").unwrap();
    let out = host.ctl(&diff).await;
    let stdout = String::from_utf8(out.stdout).unwrap();
    assert!(stdout.contains("-name = \"north\"\n+name = \"south\"\n"), "{stdout}");
    std::fs::write(&file, "[[zone]]\n").unwrap();
    check_output(&host.ctl(&diff).await, FAILED, &["name"]);
}

/// Runs `inventory edit`, changes the copy by `change`, and presses Enter if `enter` is set, else
/// closes standard input.
async fn edit(host: &Scripted, more: &[&str], change: fn(String) -> String, enter: bool) -> Output {
    let mut command = host.command(&["inventory", "edit"]);
    command.args(more).stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let run = move || {
        let mut child = command.spawn().unwrap();
        let mut prompt = String::new();
        let mut stderr = BufReader::new(child.stderr.take().unwrap());
        stderr.read_line(&mut prompt).unwrap();
        let copy = prompt.split_whitespace().find(|w| w.contains("inventory-")).unwrap();
        let copy = copy.trim_end_matches(',');
        std::fs::write(copy, change(std::fs::read_to_string(copy).unwrap())).unwrap();
        let mut stdin = child.stdin.take().unwrap();
        if enter {
            stdin.write_all(b"\n").unwrap();
        }
        drop(stdin);
        let mut out = child.wait_with_output().unwrap();
        stderr.read_to_end(&mut out.stderr).unwrap();
        out
    };
    tokio::task::spawn_blocking(run).await.unwrap()
}

fn to_south(text: String) -> String {
    text.replace("north", "south")
}

fn count_copies(host: &Scripted) -> usize {
    let names = std::fs::read_dir(host.ca.folder()).unwrap().map(|e| e.unwrap().file_name());
    names.filter(|n| n.to_string_lossy().starts_with("inventory-")).count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn edit_sends_its_base_and_removes_the_copy() {
    let host = Scripted::new(accept_changes).await;
    let out = edit(&host, &["--id", "c1"], to_south, true).await;
    check_output(&out, DONE, &["Accepted revision 7 (change c1)"]);
    let sent = json!({"id": "c1", "base": 6, "text": "[[zone]]\nname = \"south\"\n"});
    assert_eq!(host.seen()[1], SeenRequest { call: "PUT /v1/inventory".to_owned(), body: sent });
    assert_eq!(count_copies(&host), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn edit_is_not_sent_when_unchanged_or_not_confirmed() {
    let host = Scripted::new(accept_changes).await;
    let out = edit(&host, &[], |text| text, true).await;
    check_output(&out, DONE, &["   Unchanged"]);
    assert_eq!(host.seen().len(), 1);
    assert_eq!(count_copies(&host), 0);
    let out = edit(&host, &[], to_south, false).await;
    check_output(&out, FAILED, &["copy is kept", "--base 6"]);
    assert_eq!(host.seen().len(), 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_or_invalid_edit_keeps_the_copy() {
    let host = Scripted::new(|n, seen| match seen.call.as_str() {
        "PUT /v1/inventory" => (409, refusal("not-run", "conflict", "revision 8 by `bob`")),
        _ => accept_changes(n, seen),
    })
    .await;
    let out = edit(&host, &[], to_south, true).await;
    check_output(&out, REFUSED, &["revision 8 by `bob`", "the copy is kept in", "inventory-6-"]);
    assert_eq!(count_copies(&host), 1);
    let out = edit(&host, &[], |text| text + "nome=1\n", true).await;
    check_output(&out, FAILED, &["nome", "--base 6"]);
    assert_eq!(count_copies(&host), 2);
}
