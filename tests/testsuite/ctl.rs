//! `wisteriactl` against a host in this process: exit statuses, keys and the inventory.

use crate::support::{Authority, Host};
use std::process::{Command, Output};
use wisteriahead::util::tls::Kind;
use yare::parameterized;

const DONE: i32 = 0;
const FAILED: i32 = 1;
const USAGE: i32 = 2;
const REFUSED: i32 = 3;

fn ctl() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wisteriactl"));
    command.env_clear();
    command
}

/// Runs a command without blocking the host in this process.
async fn run(mut command: Command) -> Output {
    tokio::task::spawn_blocking(move || command.output().unwrap()).await.unwrap()
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).unwrap()
}

#[parameterized(
    no_arguments = {&[], USAGE},
    unknown_command = {&["dance"], USAGE},
    help = {&["--help"], DONE},
    invalid_kind = {&["keys", "issue", "--folder", "x", "--kind", "cat", "--name", "a"], USAGE},
    invalid_address = {&["status", "--server", "x", "--cert", "c", "--key", "k", "--ca", "a"], USAGE},
    missing_file = {&["status", "--server", "127.0.0.1:9", "--cert", "c", "--key", "k", "--ca", "a"], USAGE},
)]
fn exit_status_shows_usage_errors(args: &[&str], status: i32) {
    let out = ctl().args(args).output().unwrap();
    assert_eq!(out.status.code(), Some(status), "{out:?}");
}

#[test]
fn keys_are_issued_only_by_an_authority_that_exists() {
    let dir = tempfile::TempDir::new().unwrap();
    let keys = |args: &[&str]| {
        let mut command = ctl();
        command.env("WISTERIACTL_FOLDER", dir.path()).arg("keys").args(args);
        command.output().unwrap().status.code()
    };
    assert_eq!(keys(&["issue", "--kind", "host", "--name", "a"]), Some(FAILED));
    assert_eq!(keys(&["init"]), Some(DONE));
    assert_eq!(keys(&["issue", "--kind", "host", "--name", "a", "--zone", "n"]), Some(DONE));
    assert!(dir.path().join("a.pem").exists());
    assert_eq!(keys(&["init"]), Some(FAILED));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn inventory_is_checked_applied_and_shown() {
    let ca = Authority::new();
    let host = Host::start("a", ca.issue(Kind::Host, "a"), &[]).await;
    let tls = ca.issue(Kind::Operator, "ann");
    let file = ca.folder().join("inventory.toml");
    std::fs::write(&file, "[[zone]]\nname = \"north\"\n").unwrap();
    let command = |args: &[&str]| {
        let mut command = ctl();
        command
            .env("WISTERIACTL_SERVER", host.operator.to_string())
            .env("WISTERIACTL_CERT", &tls.cert)
            .env("WISTERIACTL_KEY", &tls.key)
            .env("WISTERIACTL_CA", &tls.ca)
            .env("WISTERIACTL_FILE", &file)
            .args(args);
        run(command)
    };
    let out = command(&["inventory", "check"]).await;
    assert_eq!(out.status.code(), Some(DONE), "{out:?}");
    let out = command(&["inventory", "apply"]).await;
    assert_eq!(out.status.code(), Some(DONE), "{out:?}");
    let out = command(&["inventory", "apply", "--base", "0"]).await;
    assert_eq!(out.status.code(), Some(REFUSED), "{out:?}");
    assert!(text(&out.stderr).contains("by operator `ann`"), "{out:?}");
    let out = command(&["inventory", "get", "--json"]).await;
    let value: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap();
    assert_eq!(value["revision"], 1);
    let out = command(&["status"]).await;
    assert!(text(&out.stdout).contains("revision  1\n"), "{out:?}");
    let out = command(&["zones"]).await;
    assert_eq!(out.status.code(), Some(REFUSED), "{out:?}");

    std::fs::write(&file, "[[zone]]\nnome = \"north\"\n").unwrap();
    let out = command(&["inventory", "check"]).await;
    assert_eq!(out.status.code(), Some(FAILED), "{out:?}");
    assert!(text(&out.stderr).contains("nome"), "{out:?}");
}
