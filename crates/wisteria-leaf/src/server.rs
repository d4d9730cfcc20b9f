//! The listener of one leaf and its connections.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use crate::leaf::{ConnectionGuard, Leaf};
use crate::message::{Body, RunRequest, empty, malformed};
use crate::run::{Reset, run};

const MAX_BODY_BYTES: usize = 1 << 20;
/// Pause after a failed accept or bind.
const RETRY: Duration = Duration::from_millis(50);

/// Serves the leaf through its deaths and revivals.
pub(crate) async fn serve(leaf: Arc<Leaf>, first: TcpListener) {
    let mut life = leaf.life();
    let mut listener = Some(first);
    loop {
        if life.borrow_and_update().alive {
            let bound = match listener.take() {
                Some(bound) => Ok(bound),
                None => TcpListener::bind(leaf.address()).await,
            };
            match bound {
                Ok(bound) => accept_until_death(&leaf, bound).await,
                Err(error) => {
                    log::warn!("{}: binding again: {error}", leaf.name());
                    tokio::time::sleep(RETRY).await;
                }
            }
        } else if life.changed().await.is_err() {
            return;
        }
    }
}

async fn accept_until_death(leaf: &Arc<Leaf>, listener: TcpListener) {
    let incarnation = leaf.incarnation();
    loop {
        tokio::select! {
            biased;
            () = leaf.ended(incarnation) => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => take(leaf, stream),
                Err(error) => {
                    log::warn!("{}: accept: {error}", leaf.name());
                    tokio::time::sleep(RETRY).await;
                }
            },
        }
    }
}

fn take(leaf: &Arc<Leaf>, stream: TcpStream) {
    if let Some(guard) = leaf.connect() {
        tokio::spawn(connection(Arc::clone(leaf), stream, guard));
    }
}

async fn connection(leaf: Arc<Leaf>, stream: TcpStream, _guard: ConnectionGuard) {
    let incarnation = leaf.incarnation();
    tokio::select! {
        biased;
        () = leaf.ended(incarnation) => {}
        result = converse(&leaf, stream) => {
            if let Err(error) = result {
                log::debug!("{}: connection: {error}", leaf.name());
            }
        }
    }
}

async fn converse(leaf: &Arc<Leaf>, stream: TcpStream) -> Result<()> {
    stream.set_nodelay(true)?;
    tokio::time::sleep(leaf.profile().setup).await;
    let service = service_fn(|request| handle(Arc::clone(leaf), request));
    http1::Builder::new().serve_connection(TokioIo::new(stream), service).await?;
    Ok(())
}

async fn handle(leaf: Arc<Leaf>, request: Request<Incoming>) -> Result<Response<Body>, Reset> {
    if leaf.thaw().await {
        return Err(Reset);
    }
    match (request.method(), request.uri().path()) {
        (&Method::POST, "/v1/run") => run_request(&leaf, request).await,
        (&Method::POST, "/v1/cancel") => Ok(cancel(&leaf, &request)),
        _ => Ok(empty(StatusCode::NOT_FOUND)),
    }
}

async fn run_request(
    leaf: &Arc<Leaf>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Reset> {
    let (head, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return Ok(malformed("the body is too long or broken"));
    };
    travel(leaf).await;
    let response = match RunRequest::parse(&head.headers, body.to_bytes()) {
        Ok(request) => run(leaf, request).await,
        Err(header) => Ok(malformed(header)),
    };
    travel(leaf).await;
    response
}

/// Waits for one way of the network.
async fn travel(leaf: &Leaf) {
    let delay = leaf.profile().delay;
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
}

fn cancel(leaf: &Leaf, request: &Request<Incoming>) -> Response<Body> {
    let attempt = request.headers().get("wisteria-attempt").and_then(|v| v.to_str().ok());
    let Some(attempt) = attempt else { return malformed("wisteria-attempt") };
    leaf.cancel(attempt);
    empty(StatusCode::NO_CONTENT)
}
