//! An operator API with scripted answers, to test `wisteriactl` against states of a host that are
//! hard to cause.

use crate::support::{ANY, Authority};
use http_body_util::{BodyExt as _, Full};
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use serde_json::Value;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::process::{Command, Output};
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio_rustls::TlsAcceptor;
use wisteriahead::util::tls::{ALPN_HTTP, Credentials, Kind, TlsPaths};

/// A received request.
#[derive(Clone, Debug, PartialEq)]
pub struct SeenRequest {
    /// Method and path.
    pub call: String,
    pub body: Value,
}

type Script = dyn Fn(usize, &SeenRequest) -> (u16, Value) + Send + Sync;

/// A host that answers as scripted, and the certificates of its authority.
pub struct Scripted {
    pub ca: Authority,
    pub operator: TlsPaths,
    address: SocketAddr,
    seen: Arc<Mutex<Vec<SeenRequest>>>,
}

impl Scripted {
    /// Answers each request by its number and content; status 0 closes the connection
    /// without an answer.
    pub async fn new(
        script: impl Fn(usize, &SeenRequest) -> (u16, Value) + Send + Sync + 'static,
    ) -> Self {
        let ca = Authority::new();
        let tls = Credentials::load(&ca.issue(Kind::Host, "a")).unwrap().server(ALPN_HTTP).unwrap();
        let operator = ca.issue(Kind::Operator, "ann");
        let socket = TcpListener::bind(ANY).await.unwrap();
        let address = socket.local_addr().unwrap();
        let seen = Arc::new(Mutex::new(Vec::new()));
        tokio::spawn(listen(socket, Arc::new(tls).into(), Arc::new(script), seen.clone()));
        Self { ca, operator, address, seen }
    }

    /// All requests so far.
    pub fn seen(&self) -> Vec<SeenRequest> {
        self.seen.lock().clone()
    }

    /// Runs `wisteriactl` against the host.
    pub async fn ctl(&self, args: &[&str]) -> Output {
        let mut command = self.command(args);
        tokio::task::spawn_blocking(move || command.output().unwrap()).await.unwrap()
    }

    /// A `wisteriactl` command that is configured to call the host.
    pub fn command(&self, args: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_wisteriactl"));
        command
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("TMPDIR", self.ca.folder())
            .env("WISTERIACTL_SERVER", self.address.to_string())
            .env("WISTERIACTL_CERT", &self.operator.cert)
            .env("WISTERIACTL_KEY", &self.operator.key)
            .env("WISTERIACTL_CA", &self.operator.ca)
            .args(args);
        command
    }
}

async fn listen(
    socket: TcpListener,
    tls: TlsAcceptor,
    script: Arc<Script>,
    seen: Arc<Mutex<Vec<SeenRequest>>>,
) {
    while let Ok((stream, _)) = socket.accept().await {
        tokio::spawn(serve(stream, tls.clone(), script.clone(), seen.clone()));
    }
}

async fn serve(
    stream: TcpStream,
    tls: TlsAcceptor,
    script: Arc<Script>,
    seen: Arc<Mutex<Vec<SeenRequest>>>,
) {
    let Ok(stream) = tls.accept(stream).await else { return };
    let service = service_fn(move |req: Request<Incoming>| {
        let (script, seen) = (script.clone(), seen.clone());
        async move { Ok::<_, Infallible>(answer(req, &*script, &seen).await) }
    });
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer(
    req: Request<Incoming>,
    script: &Script,
    seen: &Mutex<Vec<SeenRequest>>,
) -> Response<Full<Bytes>> {
    let call = format!("{} {}", req.method(), req.uri());
    let body = req.into_body().collect().await.unwrap().to_bytes();
    let request = SeenRequest { call, body: serde_json::from_slice(&body).unwrap_or_default() };
    let n = seen.lock().len();
    seen.lock().push(request.clone());
    let (status, value) = script(n, &request);
    // A panic ends the connection's task, and with it the connection.
    assert!(status != 0, "closed by the script");
    let body = if value.is_null() { Bytes::new() } else { value.to_string().into() };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status.try_into().unwrap();
    response
}
