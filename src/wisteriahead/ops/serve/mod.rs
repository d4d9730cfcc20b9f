//! Runs the daemon: starts its services, waits for a signal, and stops them in order.

mod expiry;
pub mod settings;

use self::settings::Settings;
use crate::kernel::Kernel;
use crate::prelude::*;
use crate::services::allowance::AllowanceService;
use crate::services::claims::ClaimsService;
use crate::services::control::{ControlService, ControlSettings};
use crate::services::entry::EntryService;
use crate::services::homes::HomesService;
use crate::services::member::{MemberService, MemberSettings};
use crate::services::operator::{OperatorService, OperatorSettings};
use crate::services::peers::{PeerSettings, PeersService};
use crate::services::quarantine::QuarantineService;
use crate::services::registry::RegistryService;
use crate::services::transport::TransportService;
use crate::util::logging;
use crate::util::metrics::Metrics;
use crate::util::tls::{HostKeys, TlsPaths};
use crate::util::work;
use std::io::Write as _;
use std::net::SocketAddr;
use std::time::SystemTime;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Runs the daemon until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when a service cannot start; the error names the service.
pub fn run(settings: &Settings) -> Result<()> {
    logging::init(&settings.log_level, settings.log_format, &settings.host)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context("could not start the async runtime")?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: &Settings) -> Result<()> {
    let signals = Signals::listen()?;
    let mut kernel = Kernel::default();
    let started = start(&mut kernel, settings).await;
    if let Ok(addresses) = &started {
        announce_ready(settings, addresses);
    }
    let times = ShutdownTimes { lame_duck: settings.lame_duck, drain: settings.drain_timeout };
    run_until_signal(&mut kernel, signals, started.map(drop), times).await
}

/// Durations of the phases of a shutdown.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownTimes {
    /// Time for which the daemon still serves, so that load balancers see that it leaves and stop
    /// sending to it.
    pub lame_duck: Span,
    /// Longest wait for requests in flight after that.
    pub drain: Span,
}

/// Handlers of SIGTERM and SIGINT, which stop the daemon. They are installed before the services
/// start, so that a signal during the start is not lost.
pub struct Signals {
    term: Signal,
    int: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// Fails when a handler cannot be installed.
    pub fn listen() -> Result<Self> {
        let term =
            signal(SignalKind::terminate()).context("could not install the SIGTERM handler")?;
        let int =
            signal(SignalKind::interrupt()).context("could not install the SIGINT handler")?;
        Ok(Self { term, int })
    }

    async fn wait(&mut self) {
        tokio::select! {
            _ = self.term.recv() => log::info!(state = "stopping", signal = "SIGTERM"; "stopping"),
            _ = self.int.recv() => log::info!(state = "stopping", signal = "SIGINT"; "stopping"),
        }
    }
}

/// Waits for a signal if all services have started, and stops those that run.
///
/// # Errors
///
/// Returns the error of `started`.
pub async fn run_until_signal(
    kernel: &mut Kernel,
    mut signals: Signals,
    started: Result<()>,
    times: ShutdownTimes,
) -> Result<()> {
    if started.is_ok() {
        signals.wait().await;
        kernel.enter_lame_duck(Span(times.lame_duck.0 + times.drain.0));
        tokio::time::sleep(times.lame_duck.to_std()).await;
    }
    kernel.stop(times.drain).await;
    log::info!(state = "stopped"; "stopped");
    started
}

/// The addresses that the daemon listens on.
struct Addresses {
    callers: Option<SocketAddr>,
    endpoints: Option<SocketAddr>,
    operators: Option<SocketAddr>,
    peers: Option<SocketAddr>,
}

/// Reports on standard output that the host is ready, with its addresses.
fn announce_ready(settings: &Settings, a: &Addresses) {
    log::info!(state = "ready", zone = settings.zone; "host {} is ready", settings.host);
    let show = |x: Option<SocketAddr>| x.map(|x| x.to_string()).unwrap_or_default();
    // A closed standard output does not stop the daemon.
    let _ = writeln!(
        std::io::stdout(),
        "ready host={} callers={} endpoints={} operators={} peers={}",
        settings.host,
        show(a.callers),
        show(a.endpoints),
        show(a.operators),
        show(a.peers)
    );
}

async fn start(kernel: &mut Kernel, s: &Settings) -> Result<Addresses> {
    let metrics = Metrics::new(s.metrics)?;
    tokio::spawn(work::report(kernel.context().clone(), metrics.clone()));
    tokio::spawn(expiry::watch(s.cert.clone(), metrics.clone()));
    let tls = TlsPaths { ca: s.ca.clone(), cert: s.cert.clone(), key: s.key.clone() };
    let peers = PeerSettings {
        host: s.host.clone(),
        zone: s.zone.clone(),
        listen: s.peer_listen,
        seeds: s.peers.clone(),
        keys: HostKeys::Files(tls.clone()),
    };
    let peers = Arc::new(PeersService::new(peers).with_metrics(metrics.clone()));
    let control = ControlSettings {
        data: s.data.clone(),
        voters: s.voters.clone(),
        joins: !s.peers.is_empty(),
        voter_repair: None,
    };
    let registry = Arc::new(RegistryService::new(s.endpoint_listen, metrics.clone()));
    let operators =
        Arc::new(OperatorService::new(OperatorSettings { listen: s.operator_listen, tls }));
    let entry = EntryService::new(s.caller_listen, s.host.clone(), boot_id(), metrics.clone());
    let entry = Arc::new(entry.with_caller_max(s.caller_limit));
    let member = MemberSettings { incarnation: boot_id(), durable: s.data.is_some() };
    kernel.start(peers.clone()).await?;
    kernel.start(Arc::new(MemberService::new(member, metrics.clone()))).await?;
    kernel.start(Arc::new(ControlService::new(control))).await?;
    kernel.start(Arc::new(HomesService::default())).await?;
    kernel.start(Arc::new(ClaimsService)).await?;
    kernel.start(registry.clone()).await?;
    kernel.start(Arc::new(AllowanceService::new(boot_id()))).await?;
    kernel.start(Arc::new(TransportService)).await?;
    kernel.start(Arc::new(QuarantineService)).await?;
    kernel.start(operators.clone()).await?;
    kernel.start(entry.clone()).await?;
    Ok(Addresses {
        callers: entry.address(),
        endpoints: registry.address(),
        operators: operators.address(),
        peers: peers.address(),
    })
}

/// Number that differs at each start of a host's process: the microseconds since the Unix epoch.
pub fn boot_id() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or_default()
}
