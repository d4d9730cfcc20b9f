//! Clients that are slow, send too much or have no valid certificate, against a real daemon.

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

/// Time within which the daemon must close a connection, far above its own timeouts.
const CLOSE_MAX: Duration = Duration::from_secs(60);
/// Number of idle connections, more than the operators' port accepts at once.
const IDLE_CONNECTIONS: usize = 100;
/// Maximum peak of a daemon's resident memory under any bad client, in KiB.
const MEMORY_MAX_KIB: u64 = 128 << 10;

async fn tier() -> Tier {
    let mut tier = Tier::new(&program_folder().unwrap()).unwrap();
    tier.start_daemon("entry-1", "north", &["--log-level", "warn"]).await.unwrap();
    tier
}

/// Checks that every port still serves and that peak memory is within its limit.
async fn check_serving(tier: &Tier) {
    let daemon = &tier.daemons[0];
    let health = client::get(daemon.callers, "/v1/health").await.unwrap();
    assert_eq!(health.status, 200);
    let refused = client::post(daemon.endpoints, "/v1/announce", &Value::Null).await.unwrap();
    assert_eq!(refused.status, 400);
    // Idle connections count against the port's limit until their handshake times out, which may
    // be longer than the tool waits to connect.
    wait_until("the operators' port serves", async || {
        tier.ctl(0, &["status"]).await.unwrap().0 == Some(0)
    })
    .await;
    let peak = peak_memory(daemon);
    assert!(peak < MEMORY_MAX_KIB, "peak resident memory is {peak} KiB");
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

/// Waits until the daemon closes the connection; returns what it sent before that.
async fn read_to_close(stream: &mut TcpStream) -> String {
    let mut all = Vec::new();
    // A reset connection counts as closed.
    let end = timeout(CLOSE_MAX, stream.read_to_end(&mut all)).await;
    assert!(end.is_ok(), "the connection was never closed");
    String::from_utf8_lossy(&all).into_owned()
}

#[tokio::test]
async fn idle_connections_are_closed_and_do_not_block_other_clients() {
    let tier = tier().await;
    let mut open = Vec::new();
    for port in ports(&tier.daemons[0]) {
        for _ in 0..IDLE_CONNECTIONS {
            open.push(TcpStream::connect(port).await.unwrap());
        }
    }
    check_serving(&tier).await;
    for stream in &mut open {
        read_to_close(stream).await;
    }
}

#[tokio::test]
async fn request_head_sent_byte_by_byte_times_out() {
    let tier = tier().await;
    let daemon = &tier.daemons[0];
    for port in [daemon.callers, daemon.endpoints] {
        let mut stream = TcpStream::connect(port).await.unwrap();
        let (mut rx, mut tx) = stream.split();
        let mut all = Vec::new();
        let send_slowly = async {
            tx.write_all(b"GET /v1/health HTTP/1.1\r\n").await?;
            loop {
                tx.write_all(b"a").await?;
                sleep(Duration::from_millis(100)).await;
            }
            #[allow(unreachable_code)]
            Ok::<_, std::io::Error>(())
        };
        tokio::select! {
            end = timeout(CLOSE_MAX, rx.read_to_end(&mut all)) => assert!(end.is_ok(), "never closed"),
            _ = send_slowly => {}
        }
    }
    check_serving(&tier).await;
}

#[tokio::test]
async fn body_that_does_not_arrive_is_refused_with_not_run() {
    let tier = tier().await;
    let daemon = &tier.daemons[0];
    for (port, path) in [(daemon.callers, "/v1/search"), (daemon.endpoints, "/v1/announce")] {
        let mut stream = TcpStream::connect(port).await.unwrap();
        let head = format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\n{{");
        stream.write_all(head.as_bytes()).await.unwrap();
        let answer = read_to_close(&mut stream).await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
        assert!(answer.contains("not-run") && answer.contains("in time"), "{answer}");
    }
    check_serving(&tier).await;
}

/// Sends a head and pieces until the daemon closes the connection; returns what it answered.
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
    timeout(CLOSE_MAX, async { tokio::join!(send, receive) }).await.expect("never closed").0.ok();
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
            // The connection may be reset before the answer arrives; any answer is a refusal.
            assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 4"), "{answer}");
        }
    }
    check_serving(&tier).await;
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
        // If the head was not read to its end, a reset may arrive before the answer.
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
    check_serving(&tier).await;
}

#[tokio::test]
async fn client_that_never_reads_is_disconnected() {
    let tier = tier().await;
    let daemon = &tier.daemons[0];
    let requests = b"GET /none HTTP/1.1\r\nhost: a\r\n\r\n".repeat(1_000);
    for port in [daemon.callers, daemon.endpoints] {
        let mut stream = TcpStream::connect(port).await.unwrap();
        let send = async { while stream.write_all(&requests).await.is_ok() {} };
        timeout(CLOSE_MAX, send).await.expect("the connection was never closed");
    }
    check_serving(&tier).await;
}

#[test]
fn every_request_body_gets_an_answer() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let tier = runtime.block_on(tier());
    let daemon = &tier.daemons[0];
    let valid = r#"{"collection":"kits","query":{"text":"rope"},"limit":3,"min_coverage":0.5}"#;
    let body = prop_oneof![
        proptest::collection::vec(any::<u8>(), 0..200),
        (0..valid.len(), any::<u8>()).prop_map(move |(at, b)| {
            let mut bytes = valid.as_bytes().to_vec();
            bytes[at] = b;
            bytes
        }),
        (0..valid.len()).prop_map(move |at| valid.as_bytes()[..at].to_vec()),
    ];
    let calls = [
        (daemon.callers, "/v1/search"),
        (daemon.callers, "/v1/orders"),
        (daemon.callers, "/v1/tickets"),
        (daemon.endpoints, "/v1/announce"),
    ];
    let call = proptest::sample::select(calls.to_vec());
    let result = TestRunner::new(config(300)).run(&(call, body), |((port, path), body)| {
        let post = client::send(port, hyper::Method::POST, path, &[], body);
        let answer = runtime.block_on(post).unwrap();
        let status = answer.status.as_u16();
        prop_assert!(status == 200 || (400..500).contains(&status) || status == 503, "{}", status);
        prop_assert!(status == 200 || answer.body["verdict"] == "not-run", "{}", answer.body);
        Ok(())
    });
    result.unwrap();
    runtime.block_on(check_serving(&tier));
}

/// Sends a request over TLS with the given settings; returns the whole response.
async fn get_over_tls(to: SocketAddr, config: rustls::ClientConfig) -> String {
    let stream = TcpStream::connect(to).await.unwrap();
    let connector = tokio_rustls::TlsConnector::from(Arc::new(config));
    let name = SERVER_NAME.try_into().unwrap();
    let Ok(mut stream) = connector.connect(name, stream).await else { return String::new() };
    let _ =
        stream.write_all(b"GET /v1/status HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").await;
    let mut all = Vec::new();
    let _ = timeout(CLOSE_MAX, stream.read_to_end(&mut all)).await.unwrap();
    String::from_utf8_lossy(&all).into_owned()
}

/// TLS settings that trust the tier's authority but present no client certificate.
fn without_client_cert(tls: &TlsPaths) -> rustls::ClientConfig {
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
async fn operators_port_requires_a_certificate() {
    let tier = tier().await;
    let daemon = &tier.daemons[0];
    let config = || without_client_cert(&tier.operator());
    assert_eq!(get_over_tls(daemon.operators, config()).await, "");
    let plain = client::get(daemon.operators, "/v1/status").await;
    assert!(plain.is_err(), "{plain:?}");
    // The callers' and endpoints' ports do not serve the operators' API.
    for port in [daemon.callers, daemon.endpoints] {
        for path in ["/v1/status", "/v1/inventory", "/v1/zones", "/v1/audit"] {
            assert_eq!(client::get(port, path).await.unwrap().status, 404, "{path}");
        }
    }
    let untrusted = Authority::new().issue(wisteriahead::util::tls::Kind::Operator, "operator");
    assert!(Client::new(&Server { address: daemon.operators, tls: untrusted }).is_err());
    check_serving(&tier).await;
}

#[tokio::test]
async fn hosts_port_requires_a_certificate() {
    let tier = tier().await;
    let mut config = without_client_cert(&tier.operator());
    config.alpn_protocols = vec![wisteriahead::util::tls::ALPN_HOST.to_vec()];
    let connector = tokio_rustls::TlsConnector::from(Arc::new(config));
    let stream = TcpStream::connect(tier.daemons[0].peers).await.unwrap();
    let name = rustls_pki_types::ServerName::try_from(SERVER_NAME).unwrap();
    // The handshake completes at the client before the host sees that the certificate is missing.
    if let Ok(mut stream) = timeout(CLOSE_MAX, connector.connect(name, stream)).await.unwrap() {
        let cause = timeout(CLOSE_MAX, stream.read_u8()).await.unwrap().unwrap_err();
        assert!(format!("{cause}").contains("CertificateRequired"), "{cause}");
    }
    check_serving(&tier).await;
}

#[tokio::test]
async fn expired_certificate_is_rejected() {
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
