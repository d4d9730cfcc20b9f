//! Messages between hosts over QUIC with mutual TLS.
//!
//! A host connects to the seeds in its settings at start and to any other host once it has
//! something to send to it. An unused connection closes after a few seconds. A host sends only over
//! connections that it opened itself and receives over those that others opened, so that it never
//! depends on being dialed. It learns of a few hosts from the hello that opens each connection, and
//! of all hosts from the membership. One-way messages may be lost or reordered.

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

/// Time limit for the handshake of a connection, and again for the exchange of hellos.
const HANDSHAKE_TIMEOUT: Span = Span::secs(3);
/// Time without traffic after which a connection, unused or broken, is closed, in milliseconds.
const IDLE_TIMEOUT_MILLIS: u32 = 4_000;
/// Maximum time to wait at shutdown until all connections are closed. One that is still in its
/// handshake would take seconds to drain, without any benefit.
const CLOSE_TIMEOUT: Span = Span::millis(250);
/// Maximum number of open streams on a connection, unidirectional and bidirectional each.
const STREAMS_MAX: u32 = 256;
/// Maximum number of bytes received and not yet read on a connection.
const WINDOW_BYTES: u32 = 16 << 20;

/// Settings of the service.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Name of this host, which its certificate must be issued to.
    pub host: String,
    /// Availability zone of this host.
    pub zone: String,
    /// UDP address to listen on.
    pub listen: SocketAddr,
    /// Addresses of other hosts to connect to at start.
    pub seeds: Vec<SocketAddr>,
    /// Certificates and private key.
    pub keys: HostKeys,
}

/// Service that publishes [`Peers`].
pub struct PeersService {
    hub: Arc<Hub>,
}

impl PeersService {
    /// Creates the service without starting it.
    pub fn new(settings: PeerSettings) -> Self {
        Self { hub: Hub::new(settings) }
    }

    /// Has the traffic between hosts reported to `metrics`.
    pub fn with_metrics(self, metrics: Metrics) -> Self {
        self.hub.traffic.set_metrics(metrics);
        self
    }

    /// Address that the socket is bound to, once started.
    pub fn address(&self) -> Option<SocketAddr> {
        self.hub.address()
    }

    /// Number of one-way messages that were dropped so far.
    pub fn dropped(&self) -> u64 {
        self.hub.dropped()
    }

    async fn run(&self, ctx: &Context) -> Result<()> {
        let settings = &self.hub.settings;
        let credentials = settings.keys.load(&settings.host, &settings.zone)?;
        check_certificate(settings, &credentials.identity(Kind::Host)?)?;
        let endpoint = bind(settings.listen, &credentials)?;
        if self.hub.endpoint.set(endpoint.clone()).is_err() {
            bail!("the service was already started; create a new one");
        }
        self.hub.spawn(accept::run(self.hub.clone(), endpoint));
        let hub = self.hub.clone();
        self.hub.spawn(async move { hub.traffic.report().await });
        for &seed in &settings.seeds {
            self.hub.start_dialer(None, seed);
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

    fn stop(&self, stop_timeout: Span) -> BoxFuture<'_, ()> {
        Box::pin(async move {
            self.hub.stop();
            if let Some(endpoint) = self.hub.endpoint.get() {
                endpoint.close(0u32.into(), b"stopping");
                // Hosts that miss the close notice it by the idle timeout.
                let _ =
                    timeout(stop_timeout.min(CLOSE_TIMEOUT).to_std(), endpoint.wait_idle()).await;
            }
        })
    }
}

fn check_certificate(settings: &PeerSettings, id: &Identity) -> Result<()> {
    if id.name != settings.host {
        bail!(
            "this host is named `{}` but its certificate is issued to `{}`; change the setting \
             or issue another certificate",
            settings.host,
            id.name
        );
    }
    match &id.zone {
        Some(zone) if *zone != settings.zone => bail!(
            "this host is in zone `{}` but its certificate is for zone `{zone}`; change the \
             setting or issue another certificate",
            settings.zone
        ),
        _ => Ok(()),
    }
}

fn bind(listen: SocketAddr, credentials: &Credentials) -> Result<Endpoint> {
    let transport_config = Arc::new(transport_config());
    let server = QuicServerConfig::try_from(credentials.server(ALPN_HOST)?)?;
    let mut server = ServerConfig::with_crypto(Arc::new(server));
    server.transport_config(transport_config.clone());
    let client = QuicClientConfig::try_from(credentials.client(ALPN_HOST)?)?;
    let mut client = ClientConfig::new(Arc::new(client));
    client.transport_config(transport_config);
    let mut endpoint = Endpoint::server(server, listen)
        .with_context(|| format!("could not listen on {listen}; choose a free UDP address"))?;
    endpoint.set_default_client_config(client);
    Ok(endpoint)
}

fn transport_config() -> TransportConfig {
    let mut config = TransportConfig::default();
    config
        // MTU discovery sends several packets per connection, more than most connections carry.
        .mtu_discovery_config(None)
        .max_idle_timeout(Some(VarInt::from_u32(IDLE_TIMEOUT_MILLIS).into()))
        .max_concurrent_uni_streams(STREAMS_MAX.into())
        .max_concurrent_bidi_streams(STREAMS_MAX.into())
        .receive_window(WINDOW_BYTES.into());
    config
}

/// Identity of the host at the other end of a connection, from its certificate.
fn peer_identity(link: &Connection) -> Result<Identity> {
    let chain = link.peer_identity().and_then(|any| any.downcast::<Vec<CertificateDer>>().ok());
    Identity::expect(chain.as_deref().map(Vec::as_slice), Kind::Host)
}
