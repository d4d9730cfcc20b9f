//! Clients that are slow, send too much, or hold no key, against a daemon of its own process.

use crate::support::Authority;
use proptest::prelude::*;
use proptest::test_runner::TestRunner;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use wisteria_testkit::client;
use wisteria_testkit::process::program_folder;
use wisteria_testkit::prop::config;
use wisteria_testkit::tier::{Daemon, Tier};
use wisteria_testkit::wait::wait_until;
use wisteriahead::ops::client::{Client, Server};
use wisteriahead::util::tls::{ALPN_HTTP, SERVER_NAME, TlsPaths};

/// Generous: only a connection that is never closed runs into it.
const PATIENCE: Duration = Duration::from_secs(60);
/// More than the connections that the operators' port lets in at once.
const MANY: usize = 100;
/// Peak of resident memory that no bad client may drive a daemon over, in KiB.
const MEMORY_MAX_KIB: u64 = 128 << 10;

async fn tier() -> Tier {
    let mut tier = Tier::new(&program_folder().unwrap()).unwrap();
    tier.start_daemon("entry-1", "north", &["--log-level", "warn"]).await.unwrap();
    tier
}

/// Checks that every port still serves, and within which memory.
async fn serves(tier: &Tier) {
    let daemon = &tier.daemons[0];
    let health = client::get(daemon.callers, "/v1/health").await.unwrap();
    assert_eq!(health.status, 200);
    let refused = client::post(daemon.endpoints, "/v1/announce", &Value::Null).await.unwrap();
    assert_eq!(refused.status, 400);
    // Connections that say nothing hold the port's places until their handshake times out, which
    // may be longer than the tool waits for a place.
    wait_until("the operators' port serves", async || {
        tier.ctl(0, &["status"]).await.unwrap().0 == Some(0)
    })
    .await;
    let peak = peak_memory(daemon);
    assert!(peak < MEMORY_MAX_KIB, "the peak of memory is {peak} KiB");
}

fn peak_memory(daemon: &Daemon) -> u64 {
    let id = daemon.process.id().unwrap();
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let line = status.lines().find(|l| l.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

fn ports(daemon: &Daemon) -> [SocketAddr; 3] {
    [daemon.callers, daemon.endpoints, daemon.operators]
}

/// Waits until the daemon closes the connection, and returns what it sent before.
async fn closed(stream: &mut TcpStream) -> String {
    let mut all = Vec::new();
    // A reset is an end too.
    let end = timeout(PATIENCE, stream.read_to_end(&mut all)).await;
    assert!(end.is_ok(), "the connection was never closed");
    String::from_utf8_lossy(&all).into_owned()
}

#[tokio::test]
async fn half_open_connections_are_closed_and_keep_no_one_out() {
    let tier = tier().await;
    let mut open = Vec::new();
    for port in ports(&tier.daemons[0]) {
        for _ in 0..MANY {
            open.push(TcpStream::connect(port).await.unwrap());
        }
    }
    serves(&tier).await;
    for stream in &mut open {
        closed(stream).await;
    }
}

#[tokio::test]
async fn head_sent_byte_by_byte_is_cut_off() {
    let tier = tier().await;
    let daemon = &tier.daemons[0];
    for port in [daemon.callers, daemon.endpoints] {
        let mut stream = TcpStream::connect(port).await.unwrap();
        let (mut rx, mut tx) = stream.split();
        let mut all = Vec::new();
        let drip = async {
            tx.write_all(b"GET /v1/health HTTP/1.1\r\n").await?;
            loop {
                tx.write_all(b"a").await?;
                sleep(Duration::from_millis(100)).await;
            }
            #[allow(unreachable_code)]
            Ok::<_, std::io::Error>(())
        };
        tokio::select! {
            end = timeout(PATIENCE, rx.read_to_end(&mut all)) => assert!(end.is_ok(), "never closed"),
            _ = drip => {}
        }
    }
    serves(&tier).await;
}

#[tokio::test]
async fn body_that_does_not_arrive_is_refused_with_not_run() {
    let tier = tier().await;
    let daemon = &tier.daemons[0];
    for (port, path) in [(daemon.callers, "/v1/search"), (daemon.endpoints, "/v1/announce")] {
        let mut stream = TcpStream::connect(port).await.unwrap();
        let head = format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\n{{");
        stream.write_all(head.as_bytes()).await.unwrap();
        let answer = closed(&mut stream).await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
        assert!(answer.contains("not-run") && answer.contains("in time"), "{answer}");
    }
    serves(&tier).await;
}

/// Sends until the daemon answers or closes, and returns what it sent.
async fn flood(port: SocketAddr, head: &str, piece: &[u8], pieces: usize) -> String {
    let mut stream = TcpStream::connect(port).await.unwrap();
    let (mut rx, mut tx) = stream.split();
    let send = async {
        tx.write_all(head.as_bytes()).await?;
        for _ in 0..pieces {
            tx.write_all(piece).await?;
        }
        Ok::<_, std::io::Error>(())
    };
    let mut all = Vec::new();
    let receive = async {
        let mut some = [0; 4_096];
        while let Ok(n @ 1..) = rx.read(&mut some).await {
            all.extend_from_slice(&some[..n]);
        }
    };
    timeout(PATIENCE, async { tokio::join!(send, receive) }).await.expect("never closed").0.ok();
    String::from_utf8_lossy(&all).into_owned()
}

#[tokio::test]
async fn floods_of_headers_are_refused() {
    let tier = tier().await;
    let daemon = &tier.daemons[0];
    for port in [daemon.callers, daemon.endpoints] {
        let head = "GET /v1/health HTTP/1.1\r\nhost: a\r\n";
        for piece in [&b"a: b\r\n"[..], &[b'x'; 64 << 10]] {
            let answer = flood(port, head, piece, 1_000).await;
            // A reset may outrun the answer; any answer is a refusal.
            assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 4"), "{answer}");
        }
    }
    serves(&tier).await;
}

#[tokio::test]
async fn heads_over_the_limits_are_refused() {
    let tier = tier().await;
    let daemon = &tier.daemons[0];
    let many = "a: b\r\n".repeat(100);
    let long = format!("a: {}\r\n", "b".repeat(100 << 10));
    for (port, headers) in
        [(daemon.callers, &many), (daemon.callers, &long), (daemon.endpoints, &many)]
    {
        let head =
            format!("GET /v1/health HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{headers}\r\n");
        let answer = flood(port, &head, b"", 0).await;
        // A reset may outrun the answer to a head that was not read to its end.
        assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 431"), "{answer}");
    }
    let fits = "a: b\r\n".repeat(60);
    let head = format!("GET /v1/health HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{fits}\r\n");
    assert!(flood(daemon.callers, &head, b"", 0).await.starts_with("HTTP/1.1 200"));
}

#[tokio::test]
async fn bodies_over_the_limit_are_refused() {
    let tier = tier().await;
    let daemon = &tier.daemons[0];
    for (port, path) in [(daemon.callers, "/v1/search"), (daemon.endpoints, "/v1/announce")] {
        let post = format!("POST {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n");
        let size = 64 << 20;
        let head = format!("{post}content-length: {size}\r\n\r\n");
        let piece = [b' '; 64 << 10];
        let answer = flood(port, &head, &piece, size / piece.len()).await;
        assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 400"), "{answer}");
        let head = format!("{post}transfer-encoding: chunked\r\n\r\n");
        let chunk = [b"10000\r\n", &[b' '; 64 << 10][..], b"\r\n"].concat();
        let answer = flood(port, &head, &chunk, 1_000).await;
        assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 400"), "{answer}");
    }
    serves(&tier).await;
}

#[tokio::test]
async fn client_that_never_reads_is_cut_off() {
    let tier = tier().await;
    let daemon = &tier.daemons[0];
    let ask = b"GET /none HTTP/1.1\r\nhost: a\r\n\r\n".repeat(1_000);
    for port in [daemon.callers, daemon.endpoints] {
        let mut stream = TcpStream::connect(port).await.unwrap();
        let send = async { while stream.write_all(&ask).await.is_ok() {} };
        timeout(PATIENCE, send).await.expect("the connection was never closed");
    }
    serves(&tier).await;
}

#[test]
fn any_body_gets_an_answer() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let tier = runtime.block_on(tier());
    let daemon = &tier.daemons[0];
    let good = r#"{"collection":"kits","query":{"text":"rope"},"limit":3,"min_coverage":0.5}"#;
    let text = prop_oneof![
        proptest::collection::vec(any::<u8>(), 0..200),
        (0..good.len(), any::<u8>()).prop_map(move |(at, b)| {
            let mut bytes = good.as_bytes().to_vec();
            bytes[at] = b;
            bytes
        }),
        (0..good.len()).prop_map(move |at| good.as_bytes()[..at].to_vec()),
    ];
    let calls = [
        (daemon.callers, "/v1/search"),
        (daemon.callers, "/v1/orders"),
        (daemon.callers, "/v1/tickets"),
        (daemon.endpoints, "/v1/announce"),
    ];
    let call = proptest::sample::select(calls.to_vec());
    let checked = TestRunner::new(config(300)).run(&(call, text), |((port, path), body)| {
        let post = client::send(port, hyper::Method::POST, path, &[], body);
        let answer = runtime.block_on(post).unwrap();
        let status = answer.status.as_u16();
        prop_assert!(status == 200 || (400..500).contains(&status) || status == 503, "{}", status);
        prop_assert!(status == 200 || answer.body["verdict"] == "not-run", "{}", answer.body);
        Ok(())
    });
    checked.unwrap();
    runtime.block_on(serves(&tier));
}

/// Sends a request over TLS with the given certificates and returns all that comes back.
async fn over_tls(to: SocketAddr, config: rustls::ClientConfig) -> String {
    let stream = TcpStream::connect(to).await.unwrap();
    let connector = tokio_rustls::TlsConnector::from(Arc::new(config));
    let name = SERVER_NAME.try_into().unwrap();
    let Ok(mut stream) = connector.connect(name, stream).await else { return String::new() };
    let _ =
        stream.write_all(b"GET /v1/status HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").await;
    let mut all = Vec::new();
    let _ = timeout(PATIENCE, stream.read_to_end(&mut all)).await.unwrap();
    String::from_utf8_lossy(&all).into_owned()
}

fn without_key(tls: &TlsPaths) -> rustls::ClientConfig {
    use rustls_pki_types::pem::PemObject as _;
    let ca = rustls_pki_types::CertificateDer::from_pem_file(&tls.ca).unwrap();
    let mut roots = rustls::RootCertStore::empty();
    roots.add(ca).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    config.alpn_protocols = vec![ALPN_HTTP.to_vec()];
    config
}

#[tokio::test]
async fn no_one_gets_in_at_the_operators_port_without_a_key() {
    let tier = tier().await;
    let daemon = &tier.daemons[0];
    let config = || without_key(&tier.operator());
    assert_eq!(over_tls(daemon.operators, config()).await, "");
    let plain = client::get(daemon.operators, "/v1/status").await;
    assert!(plain.is_err(), "{plain:?}");
    // The callers' and endpoints' ports serve none of the operators' calls.
    for port in [daemon.callers, daemon.endpoints] {
        for path in ["/v1/status", "/v1/inventory", "/v1/zones", "/v1/audit"] {
            assert_eq!(client::get(port, path).await.unwrap().status, 404, "{path}");
        }
    }
    let stranger = Authority::new().issue(wisteriahead::util::tls::Kind::Operator, "operator");
    assert!(Client::new(&Server { address: daemon.operators, tls: stranger }).is_err());
    serves(&tier).await;
}

#[tokio::test]
async fn no_one_gets_in_at_the_hosts_port_without_a_key() {
    use quinn::crypto::rustls::QuicClientConfig;
    let tier = tier().await;
    let mut config = without_key(&tier.operator());
    config.alpn_protocols = vec![wisteriahead::util::tls::ALPN_HOST.to_vec()];
    let config = quinn::ClientConfig::new(Arc::new(QuicClientConfig::try_from(config).unwrap()));
    let mut endpoint = quinn::Endpoint::client(crate::support::ANY).unwrap();
    endpoint.set_default_client_config(config);
    let link = endpoint.connect(tier.daemons[0].peers, SERVER_NAME).unwrap();
    // The handshake ends for the client before the host has seen that a key is missing.
    if let Ok(link) = timeout(PATIENCE, link).await.unwrap() {
        let cause = timeout(PATIENCE, link.closed()).await.unwrap();
        assert!(matches!(cause, quinn::ConnectionError::ConnectionClosed(_)), "{cause}");
    }
    serves(&tier).await;
}

#[tokio::test]
async fn expired_certificate_is_not_let_in() {
    use rcgen::{CertificateParams, Issuer, KeyPair, SanType, date_time_ymd};
    let tier = tier().await;
    let good = tier.operator();
    let folder = good.ca.parent().unwrap().to_owned();
    let read = |file: &str| std::fs::read_to_string(folder.join(file)).unwrap();
    let ca = KeyPair::from_pem(&read("ca.key")).unwrap();
    let issuer = Issuer::from_ca_cert_pem(&read("ca.pem"), ca).unwrap();
    let server = |until: i32| {
        let key = KeyPair::generate().unwrap();
        let mut params = CertificateParams::default();
        let name = "wisteriahead:operator:ann".try_into().unwrap();
        params.subject_alt_names.push(SanType::URI(name));
        params.not_before = date_time_ymd(2020, 1, 1);
        params.not_after = date_time_ymd(until, 1, 1);
        let cert = params.signed_by(&key, &issuer).unwrap();
        let (pem, own) = (folder.join("ann.pem"), folder.join("ann.key"));
        std::fs::write(&pem, cert.pem()).unwrap();
        std::fs::write(&own, key.serialize_pem()).unwrap();
        let tls = TlsPaths { ca: good.ca.clone(), cert: pem, key: own };
        Server { address: tier.daemons[0].operators, tls }
    };
    let expired = Client::new(&server(2021)).unwrap().get("/v1/status").await;
    assert!(expired.is_err(), "{expired:?}");
    let valid = Client::new(&server(2120)).unwrap().get("/v1/status").await;
    assert!(valid.is_ok(), "{valid:?}");
}
