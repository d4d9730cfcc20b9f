//! Messages between hosts over lasting connections: TCP with mutual TLS.
//!
//! A host connects to the seeds in its settings at start and to any other host once it has
//! something to send to it. An unused connection closes after a while. A host sends only over
//! connections that it opened itself and receives over those that others opened, so that it never
//! depends on being dialed. It learns of a few hosts from the hello that opens each connection, and
//! of all hosts from the membership. One-way messages may be lost, and large ones overtaken.

mod accept;
mod dial;
mod hub;
mod lane;
mod socket;
mod traffic;
pub mod wire;

use crate::kernel::{Context, Service};
use crate::prelude::*;
use crate::services::Peers;
use crate::util::http;
use crate::util::metrics::Metrics;
use crate::util::tls::{ALPN_HOST, HostKeys, Identity, Kind};
use anyhow::bail;
use futures::future::BoxFuture;
use hub::Hub;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep, timeout};
use tokio_rustls::{TlsAcceptor, TlsConnector};

/// Time limit for the handshake of a connection, and again for the exchange of hellos.
const HANDSHAKE_TIMEOUT: Span = Span::secs(3);
/// Time without a message after which a host closes a connection that it opened.
const IDLE_TIMEOUT: Span = Span::secs(30);
/// The same for the host that accepted it; longer, so that the connecting host closes it first.
const INBOUND_IDLE_TIMEOUT: Span = Span::secs(60);
/// Maximum time to write what still waits at shutdown, or the cause with which a connection ends.
const CLOSE_TIMEOUT: Span = Span::millis(250);
/// Interval at which a shutdown checks whether messages are still being written.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Settings of the service.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Name of this host, which its certificate must be issued to.
    pub host: String,
    /// Availability zone of this host.
    pub zone: String,
    /// TCP address to listen on.
    pub listen: SocketAddr,
    /// Addresses of other hosts to connect to at start.
    pub seeds: Vec<SocketAddr>,
    /// Certificates and private key.
    pub keys: HostKeys,
}

/// Configurations of TLS for both directions.
struct TlsConfigs {
    acceptor: TlsAcceptor,
    connector: TlsConnector,
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
        let tls = TlsConfigs {
            acceptor: Arc::new(credentials.server(ALPN_HOST)?).into(),
            connector: Arc::new(credentials.client(ALPN_HOST)?).into(),
        };
        let listener = http::bind(settings.listen).await?;
        let bound = listener.local_addr().context("could not read the listener's address")?;
        if self.hub.bound.set(bound).is_err() || self.hub.tls.set(tls).is_err() {
            bail!("the service was already started; create a new one");
        }
        self.hub.spawn(accept::run(self.hub.clone(), listener));
        let hub = self.hub.clone();
        self.hub.spawn(async move { hub.traffic.report().await });
        for &seed in &settings.seeds {
            self.hub.start_dialers(None, seed);
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
            let written = async {
                while self.hub.is_writing() {
                    sleep(CLOSE_POLL_INTERVAL).await;
                }
            };
            // Hosts that read nothing miss the last messages.
            let _ = timeout(stop_timeout.min(CLOSE_TIMEOUT).to_std(), written).await;
            self.hub.stop();
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
