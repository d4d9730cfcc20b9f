//! HTTP client that opens one connection per request and reads JSON responses.

use anyhow::{Context as _, Result};
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// An HTTP response.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Parsed body, or null if it is not valid JSON.
    pub body: Value,
}

/// Sends one request on a new connection.
///
/// # Errors
///
/// Fails if the connection fails before the whole response is read.
pub async fn send(
    to: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Result<Answer> {
    let stream =
        TcpStream::connect(to).await.with_context(|| format!("could not connect to {to}"))?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(connection);
    let mut request = Request::builder().method(method).uri(path).header("host", "tier");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let response = sender.send_request(request.body(Full::new(body.into()))?).await?;
    let status = response.status();
    let bytes = response.into_body().collect().await?.to_bytes();
    driver.abort();
    Ok(Answer { status, body: serde_json::from_slice(&bytes).unwrap_or(Value::Null) })
}

/// Sends a POST request with a JSON body.
///
/// # Errors
///
/// Fails as [`send`] does.
pub async fn post(to: SocketAddr, path: &str, body: &Value) -> Result<Answer> {
    send(to, Method::POST, path, &[], body.to_string()).await
}

/// Sends a GET request.
///
/// # Errors
///
/// Fails as [`send`] does.
pub async fn get(to: SocketAddr, path: &str) -> Result<Answer> {
    send(to, Method::GET, path, &[], Bytes::new()).await
}
