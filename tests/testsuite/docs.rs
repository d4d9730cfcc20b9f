//! Checks the documentation against the programs: commands, settings, examples, metrics, links.

use serde_json::json;
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use tempfile::TempDir;
use wisteria_testkit::client;
use wisteria_testkit::process::program_folder;
use wisteria_testkit::tier::Tier;
use wisteriahead::core::document::{Document, HostState};
use yare::parameterized;

/// Address that nothing listens on, so that commands fail at once.
const CLOSED_ADDRESS: &str = "127.0.0.1:9";
/// Exit status for invalid arguments.
const USAGE_ERROR: Option<i32> = Some(2);

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn read(file: &str) -> String {
    fs::read_to_string(root().join(file)).unwrap_or_else(|e| panic!("{file}: {e}"))
}

/// The README and all pages of the documentation.
fn pages() -> Vec<PathBuf> {
    let mut pages = vec![root().join("README.md")];
    let mut folders = vec![root().join("docs")];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|e| e == "md") {
                pages.push(path);
            }
        }
    }
    pages
}

/// Lines of the code blocks of a page, both fenced and indented.
fn code_lines(text: &str) -> Vec<String> {
    let mut fenced = false;
    let mut lines = Vec::new();
    for line in text.lines() {
        if line.starts_with("```") {
            fenced = !fenced;
        } else if fenced {
            lines.push(line.to_owned());
        } else if let Some(line) = line.strip_prefix("    ") {
            lines.push(line.trim().to_owned());
        }
    }
    lines
}

/// Words of a command, with single quotes as in a shell.
fn split_words(line: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut quoted = false;
    for c in line.chars() {
        match c {
            '\'' => quoted = !quoted,
            ' ' if !quoted => words.push(String::new()),
            c => words.last_mut().unwrap().push(c),
        }
    }
    words.retain(|w| !w.is_empty());
    words
}

/// A command without the environment variables before it.
fn skip_variables(words: &[String]) -> &[String] {
    let is_variable = |w: &String| w.contains('=') && !w.starts_with('-');
    &words[words.iter().take_while(|w| is_variable(w)).count()..]
}

/// A directory in which the commands of the operators' page can run.
fn work_dir() -> TempDir {
    let dir = TempDir::new().unwrap();
    fs::create_dir_all(dir.path().join("docs")).unwrap();
    std::os::unix::fs::symlink(root().join("docs/examples"), dir.path().join("docs/examples"))
        .unwrap();
    dir
}

fn run(dir: &Path, program: &str, args: &[String]) -> std::process::Output {
    Command::new(program)
        .args(args)
        .current_dir(dir)
        .env_clear()
        .env("TMPDIR", dir)
        .env("WISTERIACTL_SERVER", CLOSED_ADDRESS)
        .env("WISTERIACTL_CA", "keys/ca.pem")
        .env("WISTERIACTL_CERT", "keys/ann.pem")
        .env("WISTERIACTL_KEY", "keys/ann.key")
        .stdin(Stdio::null())
        .output()
        .unwrap()
}

#[test]
fn commands_of_the_operators_page_are_valid() {
    let dir = work_dir();
    let mut count = 0;
    for line in code_lines(&read("docs/OPERATORS.md")) {
        let words = split_words(&line);
        let Some((program, args)) = words.split_first() else { continue };
        let path = match program.as_str() {
            "wisteriactl" => env!("CARGO_BIN_EXE_wisteriactl"),
            "wisteriahead" => env!("CARGO_BIN_EXE_wisteriahead"),
            "export" => {
                let (name, _) = args[0].split_once('=').unwrap();
                assert!(read("src/bin/wisteriactl/cli/mod.rs").contains(name), "{line}");
                continue;
            }
            other => panic!("`{other}` cannot be run by this test: {line}"),
        };
        let out = run(dir.path(), path, args);
        assert_ne!(out.status.code(), USAGE_ERROR, "{line}\n{out:?}");
        let local = args[0] == "keys" || args.contains(&"check".to_owned());
        if local || program == "wisteriahead" {
            assert!(out.status.success(), "{line}\n{out:?}");
        }
        count += 1;
    }
    assert!(count > 20, "only {count} commands were found");
}

fn help_text(command: &[String]) -> String {
    let args: Vec<_> = command.iter().cloned().chain(["--help".to_owned()]).collect();
    let out = run(root(), env!("CARGO_BIN_EXE_wisteriactl"), &args);
    assert!(out.status.success(), "{out:?}");
    String::from_utf8(out.stdout).unwrap()
}

/// Covers commands in the running text, such as `wisteriactl zone out`.
#[test]
fn inline_commands_and_flags_exist() {
    for page in pages() {
        let text = fs::read_to_string(&page).unwrap();
        for (i, part) in text.split('`').enumerate() {
            let words = split_words(part);
            if i % 2 == 0 || words.first().is_none_or(|w| w != "wisteriactl") {
                continue;
            }
            let mut args = Vec::new();
            let mut help = help_text(&args);
            for word in words[1..].iter().take_while(|w| w.chars().all(char::is_lowercase)) {
                if !help.contains(" COMMAND ...") {
                    break;
                }
                let listed = help
                    .lines()
                    .any(|l| l.starts_with("    ") && l.split_whitespace().next() == Some(word));
                assert!(listed, "`{part}` in {}: no `{word}`", page.display());
                args.push(word.clone());
                help = help_text(&args);
            }
            for flag in words.iter().filter(|w| w.starts_with("--") && !w.contains("bpaf")) {
                let flag = flag.split('=').next().unwrap();
                assert!(help.contains(flag), "`{part}` in {}: no {flag}", page.display());
            }
        }
    }
}

#[test]
fn cargo_commands_name_existing_targets() {
    let mut count = 0;
    for page in pages() {
        let text = fs::read_to_string(&page).unwrap();
        let within = text.split('`').skip(1).step_by(2).map(str::to_owned);
        for line in code_lines(&text).into_iter().chain(within) {
            let words = split_words(&line);
            let words = skip_variables(&words);
            if words.first().is_none_or(|w| w != "cargo") {
                continue;
            }
            for option in words.windows(2) {
                let at = match option[0].as_str() {
                    "-p" => format!("crates/{}/Cargo.toml", option[1]),
                    "--example" => format!("examples/{}.rs", option[1]),
                    "--test" => format!("tests/{}/main.rs", option[1]),
                    _ => continue,
                };
                let own = words.iter().any(|w| w == "-p") && option[0] != "-p";
                assert!(own || root().join(&at).exists(), "{line}: there is no {at}");
            }
            count += 1;
        }
    }
    assert!(count > 3, "only {count} commands were found");
}

#[test]
fn table_of_settings_matches_the_help() {
    let out = run(root(), env!("CARGO_BIN_EXE_wisteriahead"), &["--help".to_owned()]);
    let help = String::from_utf8(out.stdout).unwrap();
    let (mut flags, mut last) = (BTreeSet::new(), None);
    // In the usage above the options a line break may stand within a flag.
    let options = help.split_once("Available options:").unwrap().1;
    for line in options.lines() {
        let line = line.trim();
        if line.starts_with("--") {
            let flag = line.split(['=', ' ']).next().unwrap();
            last = Some(flag.to_owned());
            flags.insert(format!("{flag} none none"));
        } else if let (Some(flag), Some(env)) = (&last, bracketed(line, "[env:")) {
            flags.remove(&format!("{flag} none none"));
            flags.insert(format!("{flag} {} none", env.split(':').next().unwrap()));
        } else if let (Some(flag), Some(default)) = (&last, bracketed(line, "[default: ")) {
            let with = flags.iter().find(|f| f.starts_with(&format!("{flag} "))).cloned().unwrap();
            flags.remove(&with);
            flags.insert(with.replace(" none", &format!(" {default}")));
        }
    }
    let mut documented = BTreeSet::new();
    for line in read("docs/OPERATORS.md").lines().filter(|l| l.starts_with("| `--")) {
        let cells: Vec<_> = line.split('|').map(|c| c.trim().replace('`', "")).collect();
        let default = if ["needed", "off"].contains(&&*cells[3]) { "none" } else { &cells[3] };
        documented.insert(format!("{} {} {default}", cells[1], cells[2]));
    }
    assert_eq!(documented, flags);
}

/// The text between `start` and the closing bracket.
fn bracketed<'a>(line: &'a str, start: &str) -> Option<&'a str> {
    line.strip_prefix(start)?.strip_suffix(']')
}

#[parameterized(
    shirakaba = {"shirakaba", 4, 5, 3},
    agency = {"agency", 3, 3, 4},
)]
fn example_has_the_stated_contents(name: &str, zones: usize, hosts: usize, classes: usize) {
    let doc = Document::parse(&read(&format!("docs/examples/{name}.toml"))).unwrap();
    let counts = (doc.zones.len(), doc.hosts.len(), doc.rules.classes.len());
    assert_eq!(counts, (zones, hosts, classes));
    if name == "shirakaba" {
        for state in
            [HostState::Serving, HostState::Starting, HostState::Leaving, HostState::Retired]
        {
            assert!(doc.hosts.iter().any(|h| h.state == state), "{state:?}");
        }
    }
}

#[test]
fn every_example_parses_and_is_mentioned() {
    let operators = read("docs/OPERATORS.md");
    for entry in fs::read_dir(root().join("docs/examples")).unwrap() {
        let name = entry.unwrap().file_name().into_string().unwrap();
        Document::parse(&read(&format!("docs/examples/{name}"))).unwrap();
        assert!(operators.contains(&format!("examples/{name}")), "{name} is not named");
    }
}

#[test]
fn every_page_for_operators_is_linked() {
    let operators = read("docs/OPERATORS.md");
    for entry in fs::read_dir(root().join("docs/operators")).unwrap() {
        let name = entry.unwrap().file_name().into_string().unwrap();
        assert!(operators.contains(&format!("](operators/{name})")), "{name} is not linked");
    }
}

#[test]
fn table_of_metrics_matches_the_code() {
    let mut recorded = BTreeSet::new();
    let mut folders = vec![root().join("src")];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path);
                continue;
            }
            let text = fs::read_to_string(&path).unwrap();
            // The whole statement of a call, since it may choose between several names.
            for call in text.split("metrics.").skip(1) {
                let statement = call.split(';').next().unwrap();
                if ["incr(", "count(", "gauge(", "time("].iter().any(|c| call.starts_with(c)) {
                    let quoted = statement.split('"').skip(1).step_by(2);
                    recorded.extend(quoted.map(str::to_owned));
                }
            }
        }
    }
    let page = read("docs/OPERATORS.md");
    let table = page.split("## Metrics").nth(1).unwrap().split("## ").next().unwrap();
    // A row may name several metrics.
    let rows = table.lines().filter(|l| l.starts_with("| `")).filter_map(|l| l.split('|').nth(1));
    let names = rows.flat_map(|cell| cell.split('`').skip(1).step_by(2));
    let documented: BTreeSet<String> = names.map(str::to_owned).collect();
    assert_eq!(documented, recorded);
}

#[test]
fn links_between_pages_resolve() {
    let mut count = 0;
    for page in pages() {
        let text = fs::read_to_string(&page).unwrap();
        for target in text.split("](").skip(1).map(|t| t.split(')').next().unwrap()) {
            let file = target.split('#').next().unwrap();
            if file.is_empty() || file.contains("://") {
                continue;
            }
            let at = page.parent().unwrap().join(file);
            assert!(at.exists(), "{} links to {target}", page.display());
            count += 1;
        }
    }
    assert!(count > 10, "only {count} links were found");
}

/// Whether a module of this test program or of a crate's has the test.
fn test_exists(module: &str, test: &str) -> bool {
    let tests = fs::read_dir(root().join("crates")).unwrap().map(|c| c.unwrap().path());
    let folders = tests.flat_map(|c| [c.join("tests"), c.join("tests/testsuite")]);
    let folders = folders.chain([root().join("tests/testsuite")]);
    folders.filter_map(|f| fs::read_to_string(f.join(format!("{module}.rs"))).ok()).any(|text| {
        let lines: Vec<_> = text.lines().map(str::trim).collect();
        let head = |l: &&str| {
            let name = l.strip_prefix("async ").unwrap_or(l).strip_prefix("fn ");
            name.is_some_and(|n| n.split('(').next() == Some(test))
        };
        let at = lines.iter().position(head);
        // The test attribute stands above the function, and many lines above if it lists cases.
        at.is_some_and(|at| {
            let above = lines[..at].iter().rev().take_while(|l| !l.starts_with('}'));
            above.into_iter().any(|l| {
                ["#[test", "#[tokio::test", "#[parameterized"].iter().any(|a| l.starts_with(a))
            })
        })
    })
}

/// Tests and files that a page names in backticks; a test is a module and a name.
fn references(text: &str) -> (Vec<(String, String)>, Vec<String>) {
    let parts = text.split('`').skip(1).step_by(2);
    let (mut tests, mut files) = (Vec::new(), Vec::new());
    for part in parts {
        if let Some((module, test)) = part.split_once("::")
            && !part.contains(' ')
            && part.chars().all(|c| c.is_ascii_alphanumeric() || "_:".contains(c))
        {
            tests.push((module.to_owned(), test.to_owned()));
        } else if part.contains('/') && !part.contains(' ') {
            files.push(part.to_owned());
        }
    }
    (tests, files)
}

#[test]
fn proof_names_existing_tests_and_files() {
    let page = read("docs/PROOF.md");
    let (tests, files) = references(&page);
    for (module, test) in &tests {
        // Paths of items of the test kit look like those of tests.
        if module != "wisteria_testkit" {
            assert!(test_exists(module, test), "there is no test {module}::{test}");
        }
    }
    for file in &files {
        assert!(root().join(file).exists(), "there is no {file}");
    }
    assert!(tests.len() > 20 && files.len() > 8, "{tests:?}\n{files:?}");
    for point in 1..=10 {
        let row = page.lines().find(|l| l.starts_with(&format!("| {point}. ")));
        let cells: Vec<_> = row.unwrap_or_else(|| panic!("no point {point}")).split('|').collect();
        assert_eq!(cells.len(), 8, "point {point}");
        assert!(cells[6].contains("passes") || cells[6].contains("not proved"), "point {point}");
        let shown = !cells[3].contains("none") || !cells[5].contains("none");
        assert!(shown || cells[6].contains("not proved"), "point {point} is called proved");
    }
}

#[test]
fn every_fault_matrix_is_listed() {
    let page = read("docs/PROOF.md");
    for entry in fs::read_dir(root().join("docs/proof")).unwrap() {
        let name = entry.unwrap().file_name().into_string().unwrap();
        assert!(name == "README.md" || page.contains(&format!("proof/{name}")), "{name}");
    }
}

/// A curl command of the pages and the status that it states.
struct Example {
    port: String,
    path: String,
    headers: Vec<(String, String)>,
    body: Option<String>,
    status: u16,
}

fn parse_curl(line: &str) -> Option<Example> {
    let (command, status) = line.strip_prefix("curl ")?.rsplit_once(" # ")?;
    let words = split_words(command);
    let (port, path) = words[0].strip_prefix("http://127.0.0.1:")?.split_once('/')?;
    let (mut headers, mut body) = (Vec::new(), None);
    for option in words[1..].chunks(2) {
        match option[0].as_str() {
            "-H" => {
                let (name, value) = option[1].split_once(": ").unwrap();
                headers.push((name.to_owned(), value.to_owned()));
            }
            "-d" => body = Some(option[1].clone()),
            other => panic!("unsupported curl option {other}: {line}"),
        }
    }
    let (port, path, status) = (port.to_owned(), format!("/{path}"), status.parse().unwrap());
    Some(Example { port, path, headers, body, status })
}

#[tokio::test]
async fn curl_examples_return_the_stated_status() {
    let mut tier = Tier::new(&program_folder().unwrap()).unwrap();
    tier.start_daemon("entry-1", "north", &["--log-level", "warn"]).await.unwrap();
    let leaves = ["--shards", "2", "--snapshot", "s1", "--zone", "north"];
    tier.start_leaves(2, &[0], &leaves).await.unwrap();
    let inventory = "[[zone]]\nname = \"north\"\n[rules]\nadmit = \"any\"\n";
    tier.apply_inventory(0, inventory).await.unwrap();
    tier.wait_for_shards(0, "kits", 2).await.unwrap();
    let daemon = &tier.daemons[0];
    let mut count = 0;
    for page in ["docs/CALLERS.md", "docs/ENDPOINTS.md"] {
        for line in code_lines(&read(page)).iter().filter(|l| l.starts_with("curl")) {
            let e = parse_curl(line).unwrap_or_else(|| panic!("not understood: {line}"));
            let to = if e.port == "7100" { daemon.callers } else { daemon.endpoints };
            let method = if e.body.is_some() { hyper::Method::POST } else { hyper::Method::GET };
            let headers: Vec<_> = e.headers.iter().map(|(n, v)| (&**n, &**v)).collect();
            let body = e.body.unwrap_or_default();
            let answer = client::send(to, method, &e.path, &headers, body).await.unwrap();
            assert_eq!(answer.status, e.status, "{line}\n{}", answer.body);
            count += 1;
        }
    }
    assert_eq!(count, 6);
    let listed = json!(["wisteria-timeout-ms", "wisteria-class", "wisteria-caller"]);
    for header in listed.as_array().unwrap() {
        assert!(read("docs/CALLERS.md").contains(header.as_str().unwrap()));
    }
}
