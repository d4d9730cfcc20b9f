//! Messages between hosts over QUIC with mutual TLS.
//!
//! A host dials the seeds in its settings at once and any other when it has something to send
//! to it; a connection that nobody uses closes after a few seconds. It sends over the
//! connections that it opened itself; those that others opened are for receiving, so that
//! neither waits for the other's dial. Hosts learn of a few others from the hello that opens
//! each connection, and of all from the membership. One-way messages may be lost and may
//! overtake each other.

mod accept;
mod dial;
mod hub;
pub mod queue;
mod traffic;
pub mod wire;

use crate::kernel::{Context, Service};
use crate::prelude::*;
use crate::services::Peers;
use crate::util::metrics::Metrics;
use crate::util::tls::{ALPN_HOST, Credentials, HostKeys, Identity, Kind};
use anyhow::bail;
use futures::future::BoxFuture;
use hub::Hub;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, Connection, Endpoint, ServerConfig, TransportConfig, VarInt};
use rustls_pki_types::CertificateDer;
use std::net::SocketAddr;
use tokio::time::timeout;

/// Time allowed for a handshake, and again for the hello.
const HANDSHAKE_TIMEOUT: Span = Span::secs(3);
/// Silence after which a connection is closed, unused or lost, in milliseconds.
const IDLE_MAX_MILLIS: u32 = 4_000;
/// Longest wait for the others to learn that this host stops. A connection still in its
/// handshake would take seconds to drain, to no one's use.
const GOODBYE_MAX: Span = Span::millis(250);
/// Streams of each direction open at once on a connection.
const STREAMS_MAX: u32 = 256;
/// Bytes received and not yet read on a connection.
const WINDOW_BYTES: u32 = 16 << 20;

/// Settings of the service.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Name of this host; its certificate must carry the same.
    pub host: String,
    /// Availability zone of this host.
    pub zone: String,
    /// UDP address to listen on.
    pub listen: SocketAddr,
    /// Addresses of other hosts to join by.
    pub seeds: Vec<SocketAddr>,
    /// Certificates and private key.
    pub keys: HostKeys,
}

/// The service: publishes [`Peers`].
pub struct PeersService {
    hub: Arc<Hub>,
}

impl PeersService {
    /// A service that is not started yet.
    pub fn new(settings: PeerSettings) -> Self {
        Self { hub: Hub::new(settings) }
    }

    /// The same with what goes over the port reported.
    pub fn with_metrics(self, metrics: Metrics) -> Self {
        self.hub.traffic.set_metrics(metrics);
        self
    }

    /// Address that the socket is bound to, once started.
    pub fn address(&self) -> Option<SocketAddr> {
        self.hub.address()
    }

    /// Number of one-way messages lost so far.
    pub fn dropped(&self) -> u64 {
        self.hub.dropped()
    }

    async fn run(&self, ctx: &Context) -> Result<()> {
        let settings = &self.hub.settings;
        let credentials = settings.keys.load(&settings.host, &settings.zone)?;
        check(settings, &credentials.identity(Kind::Host)?)?;
        let endpoint = bind(settings.listen, &credentials)?;
        if self.hub.endpoint.set(endpoint.clone()).is_err() {
            bail!("the service was started before; make a new one");
        }
        self.hub.spawn(accept::listen(self.hub.clone(), endpoint));
        let hub = self.hub.clone();
        self.hub.spawn(async move { hub.traffic.report().await });
        for &seed in &settings.seeds {
            self.hub.dial(None, seed);
        }
        let peers: Arc<dyn Peers> = self.hub.clone();
        ctx.publish(<dyn Peers>::NAME, peers);
        Ok(())
    }
}

impl Service for PeersService {
    fn name(&self) -> &'static str {
        <dyn Peers>::NAME
    }

    fn start<'a>(&'a self, ctx: &'a Context) -> BoxFuture<'a, Result<()>> {
        Box::pin(self.run(ctx))
    }

    fn stop(&self, bound: Span) -> BoxFuture<'_, ()> {
        Box::pin(async move {
            self.hub.stop();
            if let Some(endpoint) = self.hub.endpoint.get() {
                endpoint.close(0u32.into(), b"stopping");
                // Past the bound, the others notice by the idle timeout.
                let _ = timeout(bound.min(GOODBYE_MAX).to_std(), endpoint.wait_idle()).await;
            }
        })
    }
}

fn check(settings: &PeerSettings, id: &Identity) -> Result<()> {
    if id.name != settings.host {
        bail!(
            "this host is `{}` but its certificate is issued to `{}`; set one to the other",
            settings.host,
            id.name
        );
    }
    match &id.zone {
        Some(zone) if *zone != settings.zone => bail!(
            "this host stands in zone `{}` but its certificate says `{zone}`; issue it anew",
            settings.zone
        ),
        _ => Ok(()),
    }
}

fn bind(listen: SocketAddr, credentials: &Credentials) -> Result<Endpoint> {
    let transport = Arc::new(transport());
    let server = QuicServerConfig::try_from(credentials.server(ALPN_HOST)?)?;
    let mut server = ServerConfig::with_crypto(Arc::new(server));
    server.transport_config(transport.clone());
    let client = QuicClientConfig::try_from(credentials.client(ALPN_HOST)?)?;
    let mut client = ClientConfig::new(Arc::new(client));
    client.transport_config(transport);
    let mut endpoint = Endpoint::server(server, listen)
        .with_context(|| format!("could not listen on {listen}; choose a free UDP address"))?;
    endpoint.set_default_client_config(client);
    Ok(endpoint)
}

fn transport() -> TransportConfig {
    let mut config = TransportConfig::default();
    config
        // A search for longer packets costs several of them on each connection, more than most
        // connections carry.
        .mtu_discovery_config(None)
        .max_idle_timeout(Some(VarInt::from_u32(IDLE_MAX_MILLIS).into()))
        .max_concurrent_uni_streams(STREAMS_MAX.into())
        .max_concurrent_bidi_streams(STREAMS_MAX.into())
        .receive_window(WINDOW_BYTES.into());
    config
}

/// The host at the other end of a connection.
fn holder(link: &Connection) -> Result<Identity> {
    let chain = link.peer_identity().and_then(|any| any.downcast::<Vec<CertificateDer>>().ok());
    Identity::expect(chain.as_deref().map(Vec::as_slice), Kind::Host)
}
