use crate::support::{ANY, Authority, Host, until};
use serde_json::{Value, json};
use std::path::PathBuf;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wisteriahead::core::document::DOCUMENT_MAX_BYTES;
use wisteriahead::core::verdict::{Reason, Refusal, Verdict};
use wisteriahead::ops::client::{Client, Server};
use wisteriahead::ops::failure::Failure;
use wisteriahead::ops::inventory::{ApplyOptions, CheckOptions, GetOptions, apply, check, get};
use wisteriahead::ops::show::{ShowOptions, View, show};
use wisteriahead::services::Views;
use wisteriahead::util::tls::{ALPN_HTTP, Credentials, Kind, SERVER_NAME, TlsPaths};

const NORTH: &str = "[[zone]]\nname = \"north\"\n";
const SOUTH: &str = "[[zone]]\nname = \"south\"\n";

struct Bench {
    ca: Authority,
    host: Host,
    ann: TlsPaths,
}

impl Bench {
    async fn new() -> Self {
        let ca = Authority::new();
        let host = Host::start("a", ca.issue(Kind::Host, "a"), &[]).await;
        let ann = ca.issue(Kind::Operator, "ann");
        Self { ca, host, ann }
    }

    fn server(&self) -> Server {
        self.host.server(self.ann.clone())
    }

    fn file(&self, text: &str) -> PathBuf {
        let file = self.ca.folder().join("inventory.toml");
        std::fs::write(&file, text).unwrap();
        file
    }

    fn change(&self, text: &str, base: u64, id: &str) -> ApplyOptions {
        let (server, file) = (self.server(), self.file(text));
        ApplyOptions { server, file, base: Some(base), id: Some(id.to_owned()) }
    }

    async fn show(&self, view: View) -> Result<Value, Failure> {
        show(&ShowOptions { server: self.server(), view }).await
    }

    /// Sends a request by hand and returns all that comes back.
    async fn raw(&self, tls: &TlsPaths, request: &[u8]) -> std::io::Result<String> {
        let config = Credentials::load(tls).unwrap().client(ALPN_HTTP).unwrap();
        let stream = TcpStream::connect(self.host.operator).await?;
        let name = SERVER_NAME.try_into().unwrap();
        let connector = tokio_rustls::TlsConnector::from(Arc::new(config));
        let mut stream = connector.connect(name, stream).await?;
        stream.write_all(request).await?;
        let mut answer = Vec::new();
        // Some faults end the connection without a farewell; what came before counts.
        let _ = stream.read_to_end(&mut answer).await;
        Ok(String::from_utf8_lossy(&answer).into_owned())
    }
}

fn refusal(failure: Failure) -> Refusal {
    let Failure::Refused(refusal) = failure else { panic!("{failure:?}") };
    refusal
}

#[tokio::test]
async fn change_is_accepted_and_reaches_the_others() {
    let bench = Bench::new().await;
    let tls = bench.ca.issue(Kind::Host, "b");
    let b = Host::start("b", tls.clone(), &[bench.host.address]).await;
    until("b", || bench.host.peers.others() == ["b"]).await;
    assert_eq!(apply(&bench.change(NORTH, 0, "1")).await.unwrap().revision, 1);
    until("revision 1 at b", || b.control.watch().borrow().revision == 1).await;
    assert!(b.control.watch().borrow().document.zone("north").is_some());

    let opts = ShowOptions { server: b.server(bench.ann.clone()), view: View::Status };
    let mut status = show(&opts).await.unwrap();
    assert!(status["silent_ms"].take().is_u64(), "{status}");
    let want = json!({"host": "b", "zone": "north", "revision": 1, "others": ["a"],
        "silent_ms": null});
    assert_eq!(status, want);

    // A host that comes later asks for it.
    let c = Host::start("c", bench.ca.issue(Kind::Host, "c"), &[b.address]).await;
    until("revision 1 at c", || c.control.watch().borrow().revision == 1).await;
}

#[tokio::test]
async fn conflicting_change_names_the_winner() {
    let bench = Bench::new().await;
    apply(&bench.change(NORTH, 0, "1")).await.unwrap();
    let bob = bench.ca.issue(Kind::Operator, "bob");
    let late = ApplyOptions { server: bench.host.server(bob), ..bench.change(SOUTH, 0, "2") };
    let refusal = refusal(apply(&late).await.unwrap_err());
    assert_eq!((refusal.verdict, refusal.reason), (Verdict::NotRun, Reason::Conflict));
    assert!(refusal.detail.contains("revision 1"), "{refusal}");
    assert!(refusal.detail.contains("`ann`"), "{refusal}");

    let now = get(&GetOptions { server: bench.server() }).await.unwrap();
    assert_eq!(now.revision, 1);
    assert!(now.text.contains("north") && !now.text.contains("south"), "{}", now.text);
}

#[tokio::test]
async fn resent_change_is_recognised() {
    let bench = Bench::new().await;
    apply(&bench.change(NORTH, 0, "1")).await.unwrap();
    apply(&bench.change(SOUTH, 1, "2")).await.unwrap();
    assert_eq!(apply(&bench.change(NORTH, 0, "1")).await.unwrap().revision, 1);
    let now = get(&GetOptions { server: bench.server() }).await.unwrap();
    assert_eq!(now.revision, 2);
    assert!(now.text.contains("south"), "{}", now.text);
}

#[tokio::test]
async fn faulty_document_is_refused_with_its_fault() {
    let bench = Bench::new().await;
    let text = "[[host]]\nname = \"h1\"\nzone = \"nowhere\"\n";
    let refusal = refusal(apply(&bench.change(text, 0, "1")).await.unwrap_err());
    assert_eq!(refusal.reason, Reason::BadRequest);
    assert!(refusal.detail.contains("nowhere"), "{refusal}");
    assert_eq!(bench.host.control.watch().borrow().revision, 0);

    let file = bench.file(text);
    assert!(check(&CheckOptions { file }).unwrap_err().to_string().contains("nowhere"));
    let file = bench.file(NORTH);
    assert_eq!(check(&CheckOptions { file }).unwrap().zones.len(), 1);
}

#[tokio::test]
async fn host_is_not_let_in_as_an_operator() {
    let bench = Bench::new().await;
    let b = bench.ca.issue(Kind::Host, "b");
    let request = b"GET /v1/status HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    assert_eq!(bench.raw(&b, request).await.unwrap_or_default(), "");
    let answer = bench.raw(&bench.ann, request).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

#[tokio::test]
async fn operator_of_another_authority_is_not_let_in() {
    let bench = Bench::new().await;
    let mut tls = Authority::new().issue(Kind::Operator, "ann");
    assert!(Client::new(&bench.host.server(tls.clone())).is_err(), "its folder is gone");
    let other = Authority::new();
    tls = other.issue(Kind::Operator, "ann");
    tls.ca = bench.ann.ca.clone();
    let client = Client::new(&bench.host.server(tls)).unwrap();
    assert!(matches!(client.get("/v1/status").await, Err(Failure::Failed(_))));
}

#[tokio::test]
async fn operator_does_not_talk_to_an_operators_certificate() {
    let bench = Bench::new().await;
    let config = Credentials::load(&bench.ann).unwrap().server(ALPN_HTTP).unwrap();
    let socket = tokio::net::TcpListener::bind(ANY).await.unwrap();
    let address = socket.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, _) = socket.accept().await.unwrap();
        let _ = tokio_rustls::TlsAcceptor::from(Arc::new(config)).accept(stream).await;
    });
    let client = Client::new(&Server { address, tls: bench.ann.clone() }).unwrap();
    assert!(matches!(client.get("/v1/status").await, Err(Failure::Failed(_))));
}

struct Fixed;

impl Views for Fixed {
    fn view(&self, what: &str) -> Option<Value> {
        (what == "zones").then(|| json!([{"zone": "north"}]))
    }
}

#[tokio::test]
async fn views_are_served_once_published() {
    let bench = Bench::new().await;
    let refused = refusal(bench.show(View::Zones).await.unwrap_err());
    assert!(refused.detail.contains("views"), "{refused}");
    let views: Arc<dyn Views> = Arc::new(Fixed);
    bench.host.kernel.context().publish(<dyn Views>::NAME, views);
    assert_eq!(bench.show(View::Zones).await.unwrap(), json!([{"zone": "north"}]));
    let refused = refusal(bench.show(View::Endpoints).await.unwrap_err());
    assert!(refused.detail.contains("endpoints"), "{refused}");
}

#[tokio::test]
async fn bad_requests_get_json_errors() {
    let bench = Bench::new().await;
    let long = "x".repeat(3 * DOCUMENT_MAX_BYTES);
    let put = |body: &str| {
        let len = body.len();
        format!(
            "PUT /v1/inventory HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {len}\r\n\r\n{body}"
        )
    };
    let get = |method: &str, path: &str| {
        format!("{method} {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
    };
    let cases = [
        (get("GET", "/v2"), "404", "docs/API.md"),
        (get("DELETE", "/v1/inventory"), "405", "GET or PUT"),
        (put("{"), "400", "not a change"),
        (put(r#"{"id":"1","base":0,"text":"","more":1}"#), "400", "more"),
        (put(r#"{"id":"","base":0,"text":""}"#), "400", "`id` is empty"),
        (put(r#"{"id":"1","base":7,"text":""}"#), "409", "revision 0"),
        (put(&long), "413", "exceeds"),
        (get("GET", "/v1/endpoints"), "503", "views"),
    ];
    for (request, status, cause) in cases {
        let answer = bench.raw(&bench.ann, request.as_bytes()).await.unwrap_or_default();
        let head = &request[..request.len().min(60)];
        assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{head}: {answer}");
        let body = answer.split_once("\r\n\r\n").unwrap().1;
        let refusal: Refusal = serde_json::from_str(body).unwrap();
        assert!(refusal.detail.contains(cause), "{head}: {refusal}");
    }
}

#[tokio::test]
async fn stop_ends_idle_connections() {
    let bench = Bench::new().await;
    let config = Credentials::load(&bench.ann).unwrap().client(ALPN_HTTP).unwrap();
    let stream = TcpStream::connect(bench.host.operator).await.unwrap();
    let connector = tokio_rustls::TlsConnector::from(Arc::new(config));
    let mut stream = connector.connect(SERVER_NAME.try_into().unwrap(), stream).await.unwrap();
    stream.write_all(b"GET /v1/status HTTP/1.1\r\nhost: a\r\n\r\n").await.unwrap();
    let mut head = [0; 12];
    stream.read_exact(&mut head).await.unwrap();
    assert_eq!(&head, b"HTTP/1.1 200");
    bench.host.stop().await;
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest).await;
}
