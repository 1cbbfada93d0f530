//! The real proxy: starts it, has it read its configuration again on SIGHUP, stops it on SIGTERM.

#![forbid(unsafe_code)]

use balancer_proxy::log;
use balancer_proxy::proxy::control::config::{Config, ConfigError, FileStamp, LoadMode};
use balancer_proxy::proxy::control::discovery::Discovery;
use balancer_proxy::proxy::control::instance_lock::InstanceLock;
use balancer_proxy::proxy::control::maintenance::Maintenance;
use balancer_proxy::proxy::control::maintenance_store::MaintenanceStore;
use balancer_proxy::proxy::control::management::{self, MAX_MANAGEMENT_CONNECTIONS, Management};
use balancer_proxy::proxy::control::reload::{ReloadTargets, Reloader};
use balancer_proxy::proxy::downstream::server::{self, Server};
use balancer_proxy::proxy::engine::Engine;
use balancer_proxy::proxy::limits::Capacities;
use balancer_proxy::proxy::metrics::Metrics;
use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

#[derive(Debug, Error)]
enum StartError {
    #[error("{0}")]
    Config(#[from] ConfigError),
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

/// A process that takes over from another one waits so long for a list before it takes connections.
const LIST_WITHIN: Duration = Duration::from_millis(1500);
/// How often it is looked whether another process is there.
const LOOK: Duration = Duration::from_millis(100);

/// This process's place beside another one. Without it the proxy serves as if it were alone.
async fn take_seat(place: &Path) -> Option<Rc<InstanceLock>> {
    let seat = InstanceLock::acquire(place).await;
    seat.inspect_err(|error| log!("balancer-proxy: {}: {error}", place.display())).ok().map(Rc::new)
}

async fn run() -> Result<(), StartError> {
    // The handlers come first: a signal that finds none ends the program.
    let mut hangup = signal(SignalKind::hangup())?;
    let mut stop = signal(SignalKind::terminate())?;
    let stamp = FileStamp::of_config_file();
    let mut config = Config::load(LoadMode::Startup)?;
    let management = match config.management {
        Some(address) => Some(management::bind(address).await?),
        None => None,
    };
    if let Some(listener) = &management {
        log!("balancer-proxy: management on {}", listener.local_addr()?);
    }
    // What two processes share, where one may be replaced by another.
    let place = std::env::temp_dir().join(format!("dewpier-{}", config.listen));
    let (seat, book) = match management {
        Some(_) => (take_seat(&place).await, Some(MaintenanceStore::open(&place))),
        None => (None, None),
    };
    let successor = seat.as_ref().is_some_and(|seat| seat.is_shared());
    let managed = management.is_some();
    let kept = if managed { MAX_MANAGEMENT_CONNECTIONS + 1 } else { 0 };
    let caps = Capacities::new(config.limits.share(successor), kept);
    let terms = Rc::new(std::mem::take(&mut config.snapshot));
    let figures = Metrics::new(&terms.proxy);
    let engine = Engine::start(terms.clone(), config.seed, caps.backends, figures);
    let (at, known) = (config.discovery, std::mem::take(&mut config.cached_endpoints));
    let discovery = Discovery::new(at, config.seed, &terms, engine.clone(), book.clone());
    engine.set_discovery(&discovery);
    discovery.start(known);
    let maintenance = book.map(|book| Maintenance::start(book, discovery.clone(), engine.clone()));
    let server = Server::new(engine.clone(), caps, seat.clone());
    if let Some((listener, maintenance)) = management.zip(maintenance) {
        tokio::task::spawn_local(Management::new(server.clone(), maintenance).run(listener));
    }
    if successor {
        discovery.fetch_full_list();
        let _ = tokio::time::timeout(LIST_WITHIN, discovery.first_response()).await; // else the known list holds
    }
    let listener = server::bind(config.listen, managed)?;
    log!("balancer-proxy: listening on {}", listener.local_addr()?);
    let targets = ReloadTargets { server: server.clone(), engine, discovery, instance_lock: seat.clone() };
    let reload = Rc::new(Reloader::new(targets, &config, stamp, kept));
    let signals = reload.clone();
    let reloading = async move {
        while hangup.recv().await.is_some() {
            signals.on_signal();
        }
        std::future::pending().await
    };
    if let Some(seat) = seat {
        // Without it the other process takes this one for absent, and goes on taking connections.
        let told = seat.announce_listening();
        told.unwrap_or_else(|error| log!("balancer-proxy: {}: {error}", place.display()));
        tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(LOOK).await;
                reload.check_other_process();
            }
        });
    }
    tokio::select! {
        () = server.run(listener, async move { stop.recv().await.unwrap_or_default() }) => {}
        () = reloading => {}
    }
    log!("balancer-proxy: stopped");
    Ok(())
}

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ran = runtime.map_err(StartError::from);
    match ran.and_then(|runtime| LocalSet::new().block_on(&runtime, run())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log!("balancer-proxy: {error}");
            ExitCode::FAILURE
        }
    }
}
