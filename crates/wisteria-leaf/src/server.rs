//! HTTP server of one leaf.

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
use crate::message::{Body, RunRequest, bad_request, empty_response};
use crate::run::{ConnectionReset, run};

const MAX_BODY_BYTES: usize = 1 << 20;
/// Delay after a failed accept or bind.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves the leaf, and binds its address again after each revival.
pub(crate) async fn serve(leaf: Arc<Leaf>, first: TcpListener) {
    let mut lifecycle = leaf.subscribe_lifecycle();
    let mut listener = Some(first);
    loop {
        if lifecycle.borrow_and_update().alive {
            let bound = match listener.take() {
                Some(bound) => Ok(bound),
                None => TcpListener::bind(leaf.address()).await,
            };
            match bound {
                Ok(bound) => accept_until_death(&leaf, bound).await,
                Err(error) => {
                    log::warn!("{}: could not bind the address again: {error}", leaf.name());
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        } else if lifecycle.changed().await.is_err() {
            return;
        }
    }
}

async fn accept_until_death(leaf: &Arc<Leaf>, listener: TcpListener) {
    let incarnation = leaf.incarnation();
    loop {
        tokio::select! {
            biased;
            () = leaf.wait_for_end(incarnation) => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => start_connection(leaf, stream),
                Err(error) => {
                    log::warn!("{}: accept failed: {error}", leaf.name());
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            },
        }
    }
}

fn start_connection(leaf: &Arc<Leaf>, stream: TcpStream) {
    if let Some(guard) = leaf.admit_connection() {
        tokio::spawn(serve_connection(Arc::clone(leaf), stream, guard));
    }
}

async fn serve_connection(leaf: Arc<Leaf>, stream: TcpStream, _guard: ConnectionGuard) {
    let incarnation = leaf.incarnation();
    tokio::select! {
        biased;
        () = leaf.wait_for_end(incarnation) => {}
        result = serve_http(&leaf, stream) => {
            if let Err(error) = result {
                log::debug!("{}: connection failed: {error}", leaf.name());
            }
        }
    }
}

async fn serve_http(leaf: &Arc<Leaf>, stream: TcpStream) -> Result<()> {
    stream.set_nodelay(true)?;
    tokio::time::sleep(leaf.profile().setup).await;
    let service = service_fn(|request| handle(Arc::clone(leaf), request));
    http1::Builder::new().serve_connection(TokioIo::new(stream), service).await?;
    Ok(())
}

async fn handle(
    leaf: Arc<Leaf>,
    request: Request<Incoming>,
) -> Result<Response<Body>, ConnectionReset> {
    if leaf.wait_while_frozen().await {
        return Err(ConnectionReset);
    }
    match (request.method(), request.uri().path()) {
        (&Method::POST, "/v1/run") => run_request(&leaf, request).await,
        (&Method::POST, "/v1/cancel") => Ok(cancel(&leaf, &request)),
        _ => Ok(empty_response(StatusCode::NOT_FOUND)),
    }
}

async fn run_request(
    leaf: &Arc<Leaf>,
    request: Request<Incoming>,
) -> Result<Response<Body>, ConnectionReset> {
    let (head, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return Ok(bad_request("the body is too long or broken"));
    };
    delay_one_way(leaf).await;
    let response = match RunRequest::parse(&head.headers, body.to_bytes()) {
        Ok(request) => run(leaf, request).await,
        Err(header) => Ok(bad_request(header)),
    };
    delay_one_way(leaf).await;
    response
}

/// Simulates the one-way network delay.
async fn delay_one_way(leaf: &Leaf) {
    let delay = leaf.profile().delay;
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
}

fn cancel(leaf: &Leaf, request: &Request<Incoming>) -> Response<Body> {
    let attempt = request.headers().get("wisteria-attempt").and_then(|v| v.to_str().ok());
    let Some(attempt) = attempt else { return bad_request("wisteria-attempt") };
    leaf.cancel(attempt);
    empty_response(StatusCode::NO_CONTENT)
}
