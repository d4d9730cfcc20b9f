//! Operator API: HTTP/1.1 over TLS, authenticated by operators' client certificates.

mod api;
mod calls;

pub use api::Edit;

use crate::kernel::{Context, Service};
use crate::prelude::*;
use crate::util::tls::{ALPN_HTTP, Credentials, Identity, Kind, TlsPaths};
use crate::util::write_timeout::WriteTimeout;
use anyhow::bail;
use api::Api;
use futures::future::BoxFuture;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::net::SocketAddr;
use std::sync::OnceLock;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::{sleep, timeout};
use tokio_rustls::TlsAcceptor;

/// Maximum number of open connections.
const CONNECTIONS_MAX: u32 = 64;
/// Time allowed for the TLS handshake.
const HANDSHAKE_TIMEOUT: Span = Span::secs(3);
/// Time allowed for a client to send the head of a request, including the idle time since the
/// previous response.
const HEAD_TIMEOUT: Span = Span::secs(30);
/// Time in which a client must read some part of the response.
const READ_TIMEOUT: Span = Span::secs(30);
/// Maximum bytes in the head of a request.
const HEAD_MAX_BYTES: usize = 64 << 10;
/// Delay after a failed accept, such as when out of file descriptors.
const ACCEPT_RETRY_DELAY: Span = Span::millis(100);

/// Settings of the service.
#[derive(Clone, Debug)]
pub struct OperatorSettings {
    /// TCP address to listen on.
    pub listen: SocketAddr,
    /// Certificates and private key of this host.
    pub tls: TlsPaths,
}

/// Service that serves the operator API.
pub struct OperatorService {
    settings: OperatorSettings,
    address: OnceLock<SocketAddr>,
    /// One permit for each connection that may be open.
    permits: Arc<Semaphore>,
    stop: watch::Sender<bool>,
}

impl OperatorService {
    /// A service that is not started yet.
    pub fn new(settings: OperatorSettings) -> Self {
        Self {
            settings,
            address: OnceLock::new(),
            permits: Arc::new(Semaphore::new(CONNECTIONS_MAX as usize)),
            stop: watch::channel(false).0,
        }
    }

    /// Address that the service listens on, once started.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address.get().copied()
    }

    async fn run(&self, ctx: &Context) -> Result<()> {
        let credentials = Credentials::load(&self.settings.tls)?;
        credentials.identity(Kind::Host)?;
        let tls = TlsAcceptor::from(Arc::new(credentials.server(ALPN_HTTP)?));
        let listen = self.settings.listen;
        let socket = TcpListener::bind(listen).await.with_context(|| {
            format!("could not listen on TCP address {listen}; choose a free one")
        })?;
        if self.address.set(socket.local_addr()?).is_err() {
            bail!("the service was already started; create a new one");
        }
        let server = Server {
            api: Arc::new(Api::new(ctx.clone())),
            tls,
            permits: self.permits.clone(),
            stop: self.stop.subscribe(),
        };
        tokio::spawn(server.listen(socket));
        Ok(())
    }
}

impl Service for OperatorService {
    fn name(&self) -> &'static str {
        "operator"
    }

    fn start<'a>(&'a self, ctx: &'a Context) -> BoxFuture<'a, Result<()>> {
        Box::pin(self.run(ctx))
    }

    fn stop(&self, bound: Span) -> BoxFuture<'_, ()> {
        Box::pin(async move {
            self.stop.send_replace(true);
            // All permits are available only when every connection has ended.
            let drained = self.permits.acquire_many(CONNECTIONS_MAX);
            if timeout(bound.to_std(), drained).await.is_err() {
                log::warn!("operators' connections were still open after {bound}");
            }
        })
    }
}

#[derive(Clone)]
struct Server {
    api: Arc<Api>,
    tls: TlsAcceptor,
    permits: Arc<Semaphore>,
    stop: watch::Receiver<bool>,
}

impl Server {
    async fn listen(self, socket: TcpListener) {
        loop {
            let Ok(permit) = self.permits.clone().acquire_owned().await else { return };
            let mut stop = self.stop.clone();
            let accepted = tokio::select! {
                _ = stop.wait_for(|stop| *stop) => return,
                accepted = socket.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => {
                    tokio::spawn(self.clone().handle(stream, permit));
                }
                Err(e) => {
                    log::warn!("could not accept an operator connection: {e}");
                    sleep(ACCEPT_RETRY_DELAY.to_std()).await;
                }
            }
        }
    }

    async fn handle(self, stream: TcpStream, permit: OwnedSemaphorePermit) {
        if let Err(e) = self.serve(stream).await {
            log::debug!("operator connection failed: {e:#}");
        }
        drop(permit);
    }

    async fn serve(mut self, stream: TcpStream) -> Result<()> {
        // With Nagle's algorithm, small responses would wait for the client's delayed ACK.
        let _ = stream.set_nodelay(true);
        let stream = timeout(HANDSHAKE_TIMEOUT.to_std(), self.tls.accept(stream))
            .await
            .context("TLS handshake timed out")??;
        let id = Identity::expect(stream.get_ref().1.peer_certificates(), Kind::Operator)?;
        let (api, name) = (self.api, Arc::<str>::from(id.name));
        let service = service_fn(move |req| api.clone().serve(name.clone(), req));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT.to_std())
            .max_buf_size(HEAD_MAX_BYTES)
            .serve_connection(TokioIo::new(WriteTimeout::new(stream, READ_TIMEOUT)), service);
        let mut connection = std::pin::pin!(connection);
        tokio::select! {
            done = connection.as_mut() => return Ok(done?),
            _ = self.stop.wait_for(|stop| *stop) => connection.as_mut().graceful_shutdown(),
        }
        Ok(connection.await?)
    }
}
