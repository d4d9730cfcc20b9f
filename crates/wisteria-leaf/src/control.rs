//! HTTP control port, which injects faults and returns the execution log.

use std::convert::Infallible;
use std::sync::Arc;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use crate::faults::Fault;
use crate::group::Shared;
use crate::message::{Body, bad_request, empty_response, json_response};

const MAX_BODY_BYTES: usize = 1 << 16;

pub(crate) async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(serve_connection(stream, Arc::clone(&shared)))),
            Err(error) => log::warn!("control port: accept failed: {error}"),
        }
    }
}

async fn serve_connection(stream: TcpStream, shared: Arc<Shared>) {
    let service = service_fn(|request| handle(Arc::clone(&shared), request));
    let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    if let Err(error) = served {
        log::debug!("control port: connection failed: {error}");
    }
}

async fn handle(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let response = match (request.method(), request.uri().path()) {
        (&Method::POST, "/fault") => inject_fault(&shared, request).await,
        (&Method::GET, "/executions") => json_response(StatusCode::OK, &shared.log.snapshot()),
        (&Method::GET, "/executions/counters") => {
            json_response(StatusCode::OK, &shared.log.counters())
        }
        (&Method::POST, "/executions/reset") => {
            shared.log.reset();
            empty_response(StatusCode::NO_CONTENT)
        }
        _ => empty_response(StatusCode::NOT_FOUND),
    };
    Ok(response)
}

async fn inject_fault(shared: &Shared, request: Request<Incoming>) -> Response<Body> {
    let Ok(body) = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await else {
        return bad_request("the body is too long or broken");
    };
    match serde_json::from_slice::<Fault>(&body.to_bytes()) {
        Ok(fault) if shared.inject(&fault) => empty_response(StatusCode::NO_CONTENT),
        Ok(_) => empty_response(StatusCode::NOT_FOUND),
        Err(error) => bad_request(&error.to_string()),
    }
}
