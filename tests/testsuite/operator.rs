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

struct Fixture {
    ca: Authority,
    host: Host,
    ann: TlsPaths,
}

impl Fixture {
    async fn new() -> Self {
        let ca = Authority::new();
        let host = Host::start("a", ca.issue(Kind::Host, "a"), &[]).await;
        let ann = ca.issue(Kind::Operator, "ann");
        Self { ca, host, ann }
    }

    fn server(&self) -> Server {
        self.host.server(self.ann.clone())
    }

    fn write_inventory(&self, text: &str) -> PathBuf {
        let file = self.ca.folder().join("inventory.toml");
        std::fs::write(&file, text).unwrap();
        file
    }

    fn change(&self, text: &str, base: u64, id: &str) -> ApplyOptions {
        let (server, file) = (self.server(), self.write_inventory(text));
        ApplyOptions { server, file, base: Some(base), id: Some(id.to_owned()) }
    }

    async fn show(&self, view: View) -> Result<Value, Failure> {
        show(&ShowOptions { server: self.server(), view }).await
    }

    /// Sends raw bytes over TLS and returns everything that the server writes.
    async fn send_raw(&self, tls: &TlsPaths, request: &[u8]) -> std::io::Result<String> {
        let config = Credentials::load(tls).unwrap().client(ALPN_HTTP).unwrap();
        let stream = TcpStream::connect(self.host.operator).await?;
        let name = SERVER_NAME.try_into().unwrap();
        let connector = tokio_rustls::TlsConnector::from(Arc::new(config));
        let mut stream = connector.connect(name, stream).await?;
        stream.write_all(request).await?;
        let mut answer = Vec::new();
        // Some refusals close the connection without a TLS close_notify; the bytes before it count.
        let _ = stream.read_to_end(&mut answer).await;
        Ok(String::from_utf8_lossy(&answer).into_owned())
    }
}

fn refusal(failure: Failure) -> Refusal {
    let Failure::Refused(refusal) = failure else { panic!("{failure:?}") };
    refusal
}

#[tokio::test]
async fn accepted_change_reaches_other_hosts() {
    let fixture = Fixture::new().await;
    let tls = fixture.ca.issue(Kind::Host, "b");
    let b = Host::start("b", tls.clone(), &[fixture.host.address]).await;
    until("b", || fixture.host.peers.others() == ["b"]).await;
    assert_eq!(apply(&fixture.change(NORTH, 0, "1")).await.unwrap().revision, 1);
    until("revision 1 at b", || b.control.watch().borrow().revision == 1).await;
    assert!(b.control.watch().borrow().document.zone("north").is_some());

    let opts = ShowOptions { server: b.server(fixture.ann.clone()), view: View::Status };
    let mut status = show(&opts).await.unwrap();
    assert!(status["silent_ms"].take().is_u64(), "{status}");
    let want = json!({"host": "b", "zone": "north", "revision": 1, "others": ["a"],
        "silent_ms": null});
    assert_eq!(status, want);

    // A host that starts later fetches the revision.
    let c = Host::start("c", fixture.ca.issue(Kind::Host, "c"), &[b.address]).await;
    until("revision 1 at c", || c.control.watch().borrow().revision == 1).await;
}

#[tokio::test]
async fn conflict_names_current_revision_and_its_operator() {
    let fixture = Fixture::new().await;
    apply(&fixture.change(NORTH, 0, "1")).await.unwrap();
    let bob = fixture.ca.issue(Kind::Operator, "bob");
    let conflicting =
        ApplyOptions { server: fixture.host.server(bob), ..fixture.change(SOUTH, 0, "2") };
    let refusal = refusal(apply(&conflicting).await.unwrap_err());
    assert_eq!((refusal.verdict, refusal.reason), (Verdict::NotRun, Reason::Conflict));
    assert!(refusal.detail.contains("revision 1"), "{refusal}");
    assert!(refusal.detail.contains("`ann`"), "{refusal}");

    let now = get(&GetOptions { server: fixture.server() }).await.unwrap();
    assert_eq!(now.revision, 1);
    assert!(now.text.contains("north") && !now.text.contains("south"), "{}", now.text);
}

#[tokio::test]
async fn resent_change_returns_its_first_revision() {
    let fixture = Fixture::new().await;
    apply(&fixture.change(NORTH, 0, "1")).await.unwrap();
    apply(&fixture.change(SOUTH, 1, "2")).await.unwrap();
    assert_eq!(apply(&fixture.change(NORTH, 0, "1")).await.unwrap().revision, 1);
    let now = get(&GetOptions { server: fixture.server() }).await.unwrap();
    assert_eq!(now.revision, 2);
    assert!(now.text.contains("south"), "{}", now.text);
}

#[tokio::test]
async fn invalid_document_is_refused_with_the_error() {
    let fixture = Fixture::new().await;
    let text = "[[host]]\nname = \"h1\"\nzone = \"nowhere\"\n";
    let refusal = refusal(apply(&fixture.change(text, 0, "1")).await.unwrap_err());
    assert_eq!(refusal.reason, Reason::BadRequest);
    assert!(refusal.detail.contains("nowhere"), "{refusal}");
    assert_eq!(fixture.host.control.watch().borrow().revision, 0);

    let file = fixture.write_inventory(text);
    assert!(check(&CheckOptions { file }).unwrap_err().to_string().contains("nowhere"));
    let file = fixture.write_inventory(NORTH);
    assert_eq!(check(&CheckOptions { file }).unwrap().zones.len(), 1);
}

#[tokio::test]
async fn host_certificate_is_rejected_on_operator_port() {
    let fixture = Fixture::new().await;
    let b = fixture.ca.issue(Kind::Host, "b");
    let request = b"GET /v1/status HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    assert_eq!(fixture.send_raw(&b, request).await.unwrap_or_default(), "");
    let answer = fixture.send_raw(&fixture.ann, request).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

#[tokio::test]
async fn operator_of_another_authority_is_rejected() {
    let fixture = Fixture::new().await;
    let mut tls = Authority::new().issue(Kind::Operator, "ann");
    assert!(Client::new(&fixture.host.server(tls.clone())).is_err(), "its folder is gone");
    let other = Authority::new();
    tls = other.issue(Kind::Operator, "ann");
    tls.ca = fixture.ann.ca.clone();
    let client = Client::new(&fixture.host.server(tls)).unwrap();
    assert!(matches!(client.get("/v1/status").await, Err(Failure::Failed(_))));
}

#[tokio::test]
async fn client_rejects_a_server_with_an_operator_certificate() {
    let fixture = Fixture::new().await;
    let config = Credentials::load(&fixture.ann).unwrap().server(ALPN_HTTP).unwrap();
    let socket = tokio::net::TcpListener::bind(ANY).await.unwrap();
    let address = socket.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, _) = socket.accept().await.unwrap();
        let _ = tokio_rustls::TlsAcceptor::from(Arc::new(config)).accept(stream).await;
    });
    let client = Client::new(&Server { address, tls: fixture.ann.clone() }).unwrap();
    assert!(matches!(client.get("/v1/status").await, Err(Failure::Failed(_))));
}

struct StaticViews;

impl Views for StaticViews {
    fn view(&self, what: &str) -> Option<Value> {
        (what == "zones").then(|| json!([{"zone": "north"}]))
    }
}

#[tokio::test]
async fn views_are_served_once_published() {
    let fixture = Fixture::new().await;
    let refused = refusal(fixture.show(View::Zones).await.unwrap_err());
    assert!(refused.detail.contains("views"), "{refused}");
    let views: Arc<dyn Views> = Arc::new(StaticViews);
    fixture.host.kernel.context().publish(<dyn Views>::NAME, views);
    assert_eq!(fixture.show(View::Zones).await.unwrap(), json!([{"zone": "north"}]));
    let refused = refusal(fixture.show(View::Endpoints).await.unwrap_err());
    assert!(refused.detail.contains("endpoints"), "{refused}");
}

#[tokio::test]
async fn bad_requests_get_json_errors() {
    let fixture = Fixture::new().await;
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
        let answer = fixture.send_raw(&fixture.ann, request.as_bytes()).await.unwrap_or_default();
        let head = &request[..request.len().min(60)];
        assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{head}: {answer}");
        let body = answer.split_once("\r\n\r\n").unwrap().1;
        let refusal: Refusal = serde_json::from_str(body).unwrap();
        assert!(refusal.detail.contains(cause), "{head}: {refusal}");
    }
}

#[tokio::test]
async fn stop_closes_idle_connections() {
    let fixture = Fixture::new().await;
    let config = Credentials::load(&fixture.ann).unwrap().client(ALPN_HTTP).unwrap();
    let stream = TcpStream::connect(fixture.host.operator).await.unwrap();
    let connector = tokio_rustls::TlsConnector::from(Arc::new(config));
    let mut stream = connector.connect(SERVER_NAME.try_into().unwrap(), stream).await.unwrap();
    stream.write_all(b"GET /v1/status HTTP/1.1\r\nhost: a\r\n\r\n").await.unwrap();
    let mut head = [0; 12];
    stream.read_exact(&mut head).await.unwrap();
    assert_eq!(&head, b"HTTP/1.1 200");
    fixture.host.stop().await;
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest).await;
}
