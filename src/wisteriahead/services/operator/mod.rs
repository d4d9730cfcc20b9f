//! The operator API: HTTP/1.1 over TLS, for holders of an operator's certificate.

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

/// Most connections open at once.
const CONNECTIONS_MAX: u32 = 64;
/// Time allowed for the TLS handshake.
const HANDSHAKE_TIMEOUT: Span = Span::secs(3);
/// Time allowed to send the head of a request, idle time between two included.
const HEAD_TIMEOUT: Span = Span::secs(30);
/// Time in which an operator must read some of the answer.
const READ_TIMEOUT: Span = Span::secs(30);
/// Most bytes in the head of a request.
const HEAD_MAX_BYTES: usize = 64 << 10;
/// Wait after a failed accept, such as for want of file descriptors.
const ACCEPT_PAUSE: Span = Span::millis(100);

/// Settings of the service.
#[derive(Clone, Debug)]
pub struct OperatorSettings {
    /// TCP address to listen on.
    pub listen: SocketAddr,
    /// Certificates and private key of this host.
    pub tls: TlsPaths,
}

/// The service.
pub struct OperatorService {
    settings: OperatorSettings,
    address: OnceLock<SocketAddr>,
    room: Arc<Semaphore>,
    stop: watch::Sender<bool>,
}

impl OperatorService {
    /// A service that is not started yet.
    pub fn new(settings: OperatorSettings) -> Self {
        Self {
            settings,
            address: OnceLock::new(),
            room: Arc::new(Semaphore::new(CONNECTIONS_MAX as usize)),
            stop: watch::channel(false).0,
        }
    }

    /// Address that the socket is bound to, once started.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address.get().copied()
    }

    async fn run(&self, ctx: &Context) -> Result<()> {
        let credentials = Credentials::load(&self.settings.tls)?;
        credentials.identity(Kind::Host)?;
        let tls = TlsAcceptor::from(Arc::new(credentials.server(ALPN_HTTP)?));
        let listen = self.settings.listen;
        let socket = TcpListener::bind(listen)
            .await
            .with_context(|| format!("could not listen on {listen}; choose a free TCP address"))?;
        if self.address.set(socket.local_addr()?).is_err() {
            bail!("the service was started before; make a new one");
        }
        let server = Server {
            api: Arc::new(Api::new(ctx.clone())),
            tls,
            room: self.room.clone(),
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
            // Holding every permit means that every connection has ended.
            let drained = self.room.acquire_many(CONNECTIONS_MAX);
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
    room: Arc<Semaphore>,
    stop: watch::Receiver<bool>,
}

impl Server {
    async fn listen(self, socket: TcpListener) {
        loop {
            let Ok(permit) = self.room.clone().acquire_owned().await else { return };
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
                    log::warn!("could not accept an operator's connection: {e}");
                    sleep(ACCEPT_PAUSE.to_std()).await;
                }
            }
        }
    }

    async fn handle(self, stream: TcpStream, permit: OwnedSemaphorePermit) {
        if let Err(e) = self.serve(stream).await {
            log::debug!("an operator's connection was refused or lost: {e:#}");
        }
        drop(permit);
    }

    async fn serve(mut self, stream: TcpStream) -> Result<()> {
        // Without this, small answers wait for the client's delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        let stream = timeout(HANDSHAKE_TIMEOUT.to_std(), self.tls.accept(stream))
            .await
            .context("the handshake took too long")??;
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
