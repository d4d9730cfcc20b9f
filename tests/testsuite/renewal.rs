//! Certificate files that are renewed, corrupted or replaced while a process uses them.

use crate::support::{Authority, HANG_TIMEOUT};
use rustls_pki_types::CertificateDer;
use std::fs;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio_rustls::{TlsAcceptor, TlsConnector};
use wisteria_testkit::process::program_folder;
use wisteria_testkit::tier::Tier;
use wisteria_testkit::wait::wait_until;
use wisteriahead::ops::keys::{HOLDER_DAYS, IssueOptions, issue};
use wisteriahead::util::renewal::Renewal;
use wisteriahead::util::tls::{ALPN_HTTP, Credentials, Kind, SERVER_NAME, TlsPaths};
use yare::parameterized;

fn renew(ca: &Authority, name: &str) {
    let (folder, name) = (ca.folder().to_owned(), name.to_owned());
    let zone = Some("north".to_owned());
    let opts =
        IssueOptions { folder, kind: Kind::Host, name, zone, days: HOLDER_DAYS, renew: true };
    issue(&opts).unwrap();
}

fn current_cert(renewal: &Renewal) -> CertificateDer<'static> {
    renewal.current().cert[0].clone()
}

/// Certificates that a server and a client present in one handshake.
async fn handshake(
    server: &TlsAcceptor,
    client: &TlsConnector,
) -> (CertificateDer<'static>, CertificateDer<'static>) {
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(socket.local_addr().unwrap()).await.unwrap();
    let (accepted, _) = socket.accept().await.unwrap();
    let name = SERVER_NAME.try_into().unwrap();
    let (a, b) = tokio::join!(server.accept(accepted), client.connect(name, stream));
    let (a, b) = (a.unwrap(), b.unwrap());
    let first = |certs: Option<&[CertificateDer<'static>]>| certs.unwrap()[0].clone();
    (first(b.get_ref().1.peer_certificates()), first(a.get_ref().1.peer_certificates()))
}

#[tokio::test]
async fn renewed_certificates_are_used_by_server_and_client() {
    let ca = Authority::new();
    let load = |name| Credentials::load(&ca.issue(Kind::Host, name)).unwrap();
    let (a, b) = (load("a"), load("b"));
    let server = TlsAcceptor::from(Arc::new(a.server(ALPN_HTTP).unwrap()));
    let client = TlsConnector::from(Arc::new(b.client(ALPN_HTTP).unwrap()));
    let before = handshake(&server, &client).await;
    assert_eq!(handshake(&server, &client).await, before);
    renew(&ca, "a");
    renew(&ca, "b");
    // Files are checked at intervals; only a hang reaches the timeout.
    let wait = async {
        loop {
            let now = handshake(&server, &client).await;
            if now.0 != before.0 && now.1 != before.1 {
                return;
            }
        }
    };
    tokio::time::timeout(HANG_TIMEOUT, wait).await.unwrap();
}

/// Guards against a missed renewal whose files have the size and modification time of the old ones,
/// as within one tick of the file system's clock.
#[test]
fn renewal_is_detected_with_unchanged_file_time_and_size() {
    let ca = Authority::new();
    let own = ca.issue(Kind::Host, "a");
    let renewal = Renewal::load(&own).unwrap();
    let before = current_cert(&renewal);
    let files = [&own.cert, &own.key];
    let times = files.map(|f| fs::metadata(f).unwrap().modified().unwrap());
    let sizes = || files.map(|f| fs::metadata(f).unwrap().len());
    let old = sizes();
    renew(&ca, "a");
    while sizes() != old {
        renew(&ca, "a");
    }
    for (file, time) in files.into_iter().zip(times) {
        fs::File::options().write(true).open(file).unwrap().set_modified(time).unwrap();
    }
    // Ends when the renewal is detected.
    while current_cert(&renewal) == before {
        std::thread::yield_now();
    }
}

#[parameterized(
    not_pem = {|own, _| fs::write(&own.cert, "rubbish"), "holds no certificate"},
    empty = {|own, _| fs::write(&own.cert, ""), "holds no certificate"},
    missing_cert = {|own, _| fs::remove_file(&own.cert), "could not read certificate"},
    missing_key = {|own, _| fs::remove_file(&own.key), "could not read private key"},
    key_of_another_host = {|own, other| fs::copy(&other.key, &own.key).map(drop), "do not fit"},
    cert_of_another_host = {|own, other| {
        fs::copy(&other.key, &own.key)?;
        fs::copy(&other.cert, &own.cert).map(drop)
    }, "is issued to host `b`, not `a`"},
)]
fn unusable_files_keep_the_old_certificate_in_use(
    fault: fn(&TlsPaths, &TlsPaths) -> std::io::Result<()>,
    cause: &str,
) {
    let ca = Authority::new();
    let (own, other) = (ca.issue(Kind::Host, "a"), ca.issue(Kind::Host, "b"));
    let renewal = Renewal::load(&own).unwrap();
    let saved = (fs::read(&own.cert).unwrap(), fs::read(&own.key).unwrap());
    let before = current_cert(&renewal);
    fault(&own, &other).unwrap();
    let e = format!("{:#}", renewal.reload().unwrap_err());
    assert!(e.contains(cause), "{e}");
    assert_eq!(current_cert(&renewal), before);
    fs::write(&own.cert, saved.0).unwrap();
    fs::write(&own.key, saved.1).unwrap();
    renew(&ca, "a");
    renewal.reload().unwrap();
    assert_ne!(current_cert(&renewal), before);
}

#[tokio::test]
async fn daemon_uses_a_renewed_certificate_and_logs_an_unusable_one() {
    let mut tier = Tier::new(&program_folder().unwrap()).unwrap();
    tier.start_daemon("entry-1", "north", &[]).await.unwrap();
    let cert = tier.folder().join("keys/entry-1.pem");
    let before = fs::read(&cert).unwrap();
    fs::write(&cert, "rubbish").unwrap();
    // Each call makes a handshake, at which the files are checked.
    call_until_logged(&tier, "the old one stays").await;
    fs::write(&cert, before).unwrap();
    call_until_logged(&tier, "was renewed and is in use").await;
}

/// Makes calls until the daemon's log contains the text.
async fn call_until_logged(tier: &Tier, text: &str) {
    wait_until(text, async || {
        let (status, output) = tier.ctl(0, &["status"]).await.unwrap();
        assert_eq!(status, Some(0), "{output}");
        tier.log(0).unwrap().contains(text)
    })
    .await;
}
