//! The program `balancer-proxy`: starts the proxy, reloads its configuration on SIGHUP and begins a
//! graceful shutdown on SIGTERM.
//!
//! A proxy with a management address may be replaced by a second process on the same listen address:
//! the two share the state files, and each uses half of the limits while both run.

use balancer_proxy::control::config::{Config, ConfigError, FileStamp, LoadMode};
use balancer_proxy::control::discovery::Discovery;
use balancer_proxy::control::instance_lock::InstanceLock;
use balancer_proxy::control::maintenance::Maintenance;
use balancer_proxy::control::maintenance_store::MaintenanceStore;
use balancer_proxy::control::management::{self, MAX_MANAGEMENT_CONNECTIONS, Management};
use balancer_proxy::control::reload::{ReloadTargets, Reloader};
use balancer_proxy::control::state_files;
use balancer_proxy::downstream::server::{self, AddressSharing, Server};
use balancer_proxy::engine::Engine;
use balancer_proxy::limits::Capacities;
use balancer_proxy::log;
use balancer_proxy::metrics::Metrics;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;

/// Descriptors reserved for the management address: its listener and its connections.
const MANAGEMENT_DESCRIPTORS: usize = 1 + MAX_MANAGEMENT_CONNECTIONS;
/// Bounds the wait for an endpoint list before a process that replaces another one accepts
/// connections. After that it serves from the cached list.
const ENDPOINT_LIST_TIMEOUT: Duration = Duration::from_millis(1500);
/// How often a process checks whether another one runs on its address, and with which settings.
const OTHER_PROCESS_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Why the proxy could not start.
#[derive(Debug, Error)]
enum StartError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The signals that the process handles.
struct Signals {
    hangup: Signal,
    terminate: Signal,
}

impl Signals {
    fn install() -> io::Result<Self> {
        let hangup = signal(SignalKind::hangup())?;
        let terminate = signal(SignalKind::terminate())?;
        Ok(Self { hangup, terminate })
    }
}

/// What only a proxy with a management address has.
struct Managed {
    /// The management address.
    listener: TcpListener,
    /// None if the lock files can't be used: the proxy then serves as if it were alone.
    lock: Option<Rc<InstanceLock>>,
    store: Rc<MaintenanceStore>,
}

impl Managed {
    async fn open(management: SocketAddr, listen: SocketAddr) -> io::Result<Self> {
        let listener = management::bind(management).await?;
        log!("balancer-proxy: management on {}", listener.local_addr()?);
        let base = state_files::base_path(listen);
        let lock = match InstanceLock::acquire(&base).await {
            Ok(lock) => Some(Rc::new(lock)),
            Err(error) => {
                log_file_error(&base, &error);
                None
            }
        };
        Ok(Self { listener, lock, store: MaintenanceStore::open(&base) })
    }
}

/// The parts of a running proxy.
struct Proxy {
    engine: Rc<Engine>,
    discovery: Rc<Discovery>,
    server: Rc<Server>,
}

impl Proxy {
    /// Starts the engine, discovery, and maintenance and management if there is a management address.
    /// Takes the settings and the cached endpoint list out of `config`.
    fn start(config: &mut Config, capacities: Capacities, managed: Option<Managed>) -> Self {
        let settings = Rc::new(std::mem::take(&mut config.snapshot));
        let metrics = Metrics::new(&settings.proxy);
        let engine = Engine::start(settings.clone(), config.seed, capacities.backend_connections, metrics);

        let store = managed.as_ref().map(|managed| managed.store.clone());
        let discovery = Discovery::new(config.discovery, config.seed, &settings, engine.clone(), store);
        engine.set_discovery(&discovery);
        discovery.start(std::mem::take(&mut config.cached_endpoints));

        let lock = managed.as_ref().and_then(|managed| managed.lock.clone());
        let server = Server::new(engine.clone(), capacities, lock);
        let proxy = Self { engine, discovery, server };
        if let Some(managed) = managed {
            proxy.start_management(managed);
        }
        proxy
    }

    fn start_management(&self, managed: Managed) {
        let maintenance = Maintenance::start(managed.store, self.discovery.clone(), self.engine.clone());
        let management = Management::new(self.server.clone(), maintenance);
        tokio::task::spawn_local(management.run(managed.listener));
    }

    /// Waits until discovery has answered, or for [`ENDPOINT_LIST_TIMEOUT`].
    async fn wait_for_endpoint_list(&self) {
        self.discovery.fetch_full_list();
        let _ = tokio::time::timeout(ENDPOINT_LIST_TIMEOUT, self.discovery.first_response()).await;
    }

    /// Serves clients until the graceful shutdown that SIGTERM begins is complete.
    async fn serve(self, listener: TcpListener, signals: Signals, reload: Rc<Reloader>) {
        let Signals { hangup, mut terminate } = signals;
        let shutdown = async move { terminate.recv().await.unwrap_or_default() };
        tokio::select! {
            () = self.server.run(listener, shutdown) => {}
            () = reload_on_hangup(hangup, reload) => {}
        }
    }
}

/// Reloads the configuration on each SIGHUP. Never returns.
async fn reload_on_hangup(mut hangup: Signal, reload: Rc<Reloader>) {
    while hangup.recv().await.is_some() {
        reload.on_signal();
    }
    std::future::pending::<()>().await;
}

/// Follows what another process on the same address does, for as long as this one runs.
async fn follow_other_process(reload: Rc<Reloader>) {
    loop {
        tokio::time::sleep(OTHER_PROCESS_CHECK_INTERVAL).await;
        reload.check_other_process();
    }
}

fn log_file_error(base: &Path, error: &io::Error) {
    log!("balancer-proxy: {}: {error}", base.display());
}

async fn run() -> Result<(), StartError> {
    // First of all, as an unhandled signal ends the process.
    let signals = Signals::install()?;
    // Before the file is read, so that a later change of the file is noticed.
    let file_stamp = FileStamp::of_config_file();
    let mut config = Config::load(LoadMode::Startup)?;
    let managed = match config.management {
        Some(address) => Some(Managed::open(address, config.listen).await?),
        None => None,
    };
    let is_managed = managed.is_some();
    let lock = managed.as_ref().and_then(|managed| managed.lock.clone());
    let replaces_another = lock.as_ref().is_some_and(|lock| lock.is_shared());

    let reserved_descriptors = if is_managed { MANAGEMENT_DESCRIPTORS } else { 0 };
    let capacities = Capacities::new(config.limits.share(replaces_another), reserved_descriptors);
    let proxy = Proxy::start(&mut config, capacities, managed);
    if replaces_another {
        proxy.wait_for_endpoint_list().await;
    }
    let sharing = if is_managed { AddressSharing::Shared } else { AddressSharing::Exclusive };
    let listener = server::bind(config.listen, sharing)?;
    log!("balancer-proxy: listening on {}", listener.local_addr()?);

    let targets = ReloadTargets {
        server: proxy.server.clone(),
        engine: proxy.engine.clone(),
        discovery: proxy.discovery.clone(),
        instance_lock: lock.clone(),
    };
    let reload = Rc::new(Reloader::new(targets, &config, file_stamp, reserved_descriptors));
    if let Some(lock) = lock {
        // Otherwise the other process would count this one as absent and keep accepting connections.
        if let Err(error) = lock.announce_listening() {
            log_file_error(&state_files::base_path(config.listen), &error);
        }
        tokio::task::spawn_local(follow_other_process(reload.clone()));
    }
    proxy.serve(listener, signals, reload).await;
    log!("balancer-proxy: stopped");
    Ok(())
}

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = runtime.map_err(StartError::from);
    match result.and_then(|runtime| LocalSet::new().block_on(&runtime, run())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log!("balancer-proxy: {error}");
            ExitCode::FAILURE
        }
    }
}
