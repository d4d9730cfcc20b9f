//! Changes asked for by `wisteriactl`: zones, voters, inventory, and the wait for a revision.

use crate::scripted::{Scripted, SeenRequest};
use serde_json::{Value, json};
use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::process::{Output, Stdio};

const DONE: i32 = 0;
const FAILED: i32 = 1;
const USAGE: i32 = 2;
const REFUSED: i32 = 3;
const LATE: i32 = 4;
const UNKNOWN: i32 = 5;

fn check(out: &Output, status: i32, wanted: &[&str]) {
    assert_eq!(out.status.code(), Some(status), "{out:?}");
    let said = String::from_utf8_lossy(&out.stderr);
    for text in wanted {
        assert!(said.contains(text), "`{text}` is not in:\n{said}");
    }
}

fn refusal(verdict: &str, reason: &str, detail: &str) -> Value {
    json!({"verdict": verdict, "reason": reason, "detail": detail})
}

/// Revision 7 is accepted, and comes into force at `b` at the third look.
fn accepting(n: usize, seen: &SeenRequest) -> (u16, Value) {
    let behind = json!([{"host": "a", "zone": "n", "revision": 7, "age_ms": 0},
        {"host": "b", "zone": "s", "revision": if n < 3 { 6 } else { 7 }, "age_ms": 900}]);
    match seen.call.as_str() {
        "GET /v1/revisions" => (200, behind),
        "GET /v1/inventory" => {
            (200, json!({"revision": 6, "text": "[[zone]]\nname = \"north\"\n"}))
        }
        _ => (200, json!({"revision": 7})),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn zone_is_taken_out_and_brought_back() {
    let host = Scripted::new(accepting).await;
    let out = host.ctl(&["zone", "out", "--id", "c1", "north"]).await;
    check(&out, DONE, &["    Accepted availability zone north out by revision 7 (change c1)"]);
    check(&host.ctl(&["zone", "in", "--id", "c2", "north"]).await, DONE, &["north in"]);
    let calls = [("POST /v1/zones/north/out", "c1"), ("POST /v1/zones/north/in", "c2")];
    let calls = calls.map(|(c, id)| SeenRequest { call: c.to_owned(), body: json!({"id": id}) });
    assert_eq!(host.seen(), calls);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn zone_marked_without_a_quorum_is_said_so() {
    let host = Scripted::new(|_, _| (200, json!({"local": true}))).await;
    let out = host.ctl(&["zone", "out", "north", "--json"]).await;
    check(&out, DONE, &["      Marked availability zone north out", "warning: no quorum"]);
    let value: Value = serde_json::from_slice(&out.stdout).unwrap();
    assert_eq!((&value["local"], &value["revision"]), (&json!(true), &Value::Null));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn faulty_zone_name_is_not_sent() {
    let host = Scripted::new(accepting).await;
    check(&host.ctl(&["zone", "out", "north/../x"]).await, USAGE, &["`zone` is"]);
    assert_eq!(host.seen(), []);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn wait_lists_the_hosts_that_are_behind() {
    let host = Scripted::new(accepting).await;
    let out = host.ctl(&["zone", "out", "--wait", "north"]).await;
    check(
        &out,
        DONE,
        &["     Waiting for revision 7 at b\n", "    In force revision 7 at 2 hosts"],
    );
    let said = String::from_utf8_lossy(&out.stderr);
    assert_eq!(said.matches("Waiting").count(), 1, "{said}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn wait_ends_in_time_with_the_hosts_that_are_behind() {
    let host = Scripted::new(accepting).await;
    let out = host.ctl(&["revision", "wait", "8", "--timeout", "50ms"]).await;
    check(&out, LATE, &["revision 8 is not in force after 50ms at a (7), b (6)"]);
    let out = host.ctl(&["revisions"]).await;
    let shown = String::from_utf8(out.stdout).unwrap();
    assert!(
        shown.starts_with("HOST  ZONE  REVISION  AGE_MS\na     n     7         0\n"),
        "{shown}"
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
    check(&out, DONE, &[]);
    let shown = String::from_utf8(out.stdout).unwrap();
    assert_eq!(shown, "leader    a\nterm      3\nvoters    a,b\nlearners  -\n");
    check(&host.ctl(&["voters", "add", "--id", "c1", "c"]).await, DONE, &["voter c by revision 9"]);
    check(&host.ctl(&["voters", "remove", "--id", "c2", "a"]).await, DONE, &["removal of voter a"]);
    let bodies: Vec<_> = host.seen().into_iter().skip(1).map(|s| s.body).collect();
    assert_eq!(bodies, [json!({"id": "c1", "add": "c"}), json!({"id": "c2", "remove": "a"})]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answer_names_the_identifier_to_send_again() {
    let host =
        Scripted::new(|n, _| if n == 0 { (0, Value::Null) } else { (200, json!({"revision": 2})) })
            .await;
    let first = host.ctl(&["zone", "out", "north"]).await;
    let id = host.seen()[0].body["id"].as_str().unwrap().to_owned();
    check(&first, UNKNOWN, &["may be in force or not", &format!("--id {id}")]);
    check(&host.ctl(&["zone", "out", "north", "--id", &id]).await, DONE, &[&id]);
    assert_eq!(host.seen()[0], host.seen()[1]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_that_may_have_run_is_unknown_and_one_that_has_not_is_refused() {
    let host = Scripted::new(|n, _| match n {
        0 => (503, refusal("may-have-run", "no-quorum", "the leader is gone")),
        1 => (503, refusal("not-run", "no-quorum", "no leader")),
        _ => (500, Value::Null),
    })
    .await;
    check(&host.ctl(&["zone", "in", "north"]).await, UNKNOWN, &["the leader is gone", "--id"]);
    check(&host.ctl(&["zone", "in", "north"]).await, REFUSED, &["error: refused: no leader"]);
    check(&host.ctl(&["zone", "in", "north"]).await, UNKNOWN, &["500", "--id"]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn host_without_the_call_is_named_as_older() {
    let host = Scripted::new(|n, _| {
        (404, if n == 0 { Value::Null } else { refusal("not-run", "bad-request", "nothing there") })
    })
    .await;
    for args in [&["voters", "list"][..], &["revisions"], &["audit"], &["zone", "out", "north"]] {
        check(&host.ctl(args).await, REFUSED, &["version may be older"]);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn apply_without_a_base_warns_and_with_one_does_not() {
    let host = Scripted::new(accepting).await;
    let file = host.ca.folder().join("new.toml");
    std::fs::write(&file, "[[zone]]\nname = \"south\"\n").unwrap();
    let file = file.to_str().unwrap();
    let out = host.ctl(&["inventory", "apply", "--file", file]).await;
    check(&out, DONE, &["warning: no --base is given", "Accepted revision 7"]);
    assert_eq!(host.seen()[1].body["base"], 6);
    let out = host.ctl(&["inventory", "apply", "--file", file, "--base", "3"]).await;
    check(&out, DONE, &[]);
    assert!(!String::from_utf8_lossy(&out.stderr).contains("warning"), "{out:?}");
    assert_eq!(host.seen()[2].body["base"], 3);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn diff_shows_what_would_change_and_ignores_comments() {
    let host = Scripted::new(accepting).await;
    let file = host.ca.folder().join("new.toml");
    let diff = ["inventory", "diff", "--file", file.to_str().unwrap()];
    std::fs::write(&file, "# ours\n[[zone]]\nname = \"north\"\n").unwrap();
    let out = host.ctl(&diff).await;
    check(&out, DONE, &["0 lines added, 0 removed"]);
    assert_eq!(out.stdout, b"");
    std::fs::write(&file, "[[zone]]\nname = \"south\"\n").unwrap();
    let out = host.ctl(&diff).await;
    let shown = String::from_utf8(out.stdout).unwrap();
    assert!(shown.contains("-name = \"north\"\n+name = \"south\"\n"), "{shown}");
    std::fs::write(&file, "[[zone]]\n").unwrap();
    check(&host.ctl(&diff).await, FAILED, &["name"]);
}

/// Runs `inventory edit`, has `change` edit the copy, and then presses Enter if `enter`.
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

fn copies(host: &Scripted) -> usize {
    let names = std::fs::read_dir(host.ca.folder()).unwrap().map(|e| e.unwrap().file_name());
    names.filter(|n| n.to_string_lossy().starts_with("inventory-")).count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn edit_keeps_the_base_and_leaves_no_copy() {
    let host = Scripted::new(accepting).await;
    let out = edit(&host, &["--id", "c1"], to_south, true).await;
    check(&out, DONE, &["Accepted revision 7 (change c1)"]);
    let sent = json!({"id": "c1", "base": 6, "text": "[[zone]]\nname = \"south\"\n"});
    assert_eq!(host.seen()[1], SeenRequest { call: "PUT /v1/inventory".to_owned(), body: sent });
    assert_eq!(copies(&host), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn edit_that_changes_nothing_sends_nothing() {
    let host = Scripted::new(accepting).await;
    let out = edit(&host, &[], |text| text, true).await;
    check(&out, DONE, &["   Unchanged"]);
    assert_eq!(host.seen().len(), 1);
    assert_eq!(copies(&host), 0);
    let out = edit(&host, &[], to_south, false).await;
    check(&out, FAILED, &["copy is kept", "--base 6"]);
    assert_eq!(host.seen().len(), 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn edit_that_is_refused_keeps_the_copy() {
    let host = Scripted::new(|n, seen| match seen.call.as_str() {
        "PUT /v1/inventory" => (409, refusal("not-run", "conflict", "revision 8 by `bob`")),
        _ => accepting(n, seen),
    })
    .await;
    let out = edit(&host, &[], to_south, true).await;
    check(&out, REFUSED, &["revision 8 by `bob`", "the copy is kept in", "inventory-6-"]);
    assert_eq!(copies(&host), 1);
    let out = edit(&host, &[], |text| text + "nome=1\n", true).await;
    check(&out, FAILED, &["nome", "--base 6"]);
    assert_eq!(copies(&host), 2);
}
