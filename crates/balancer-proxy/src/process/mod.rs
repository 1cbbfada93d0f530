//! One process of the proxy, from its start to the end of its graceful shutdown.
//!
//! [`run`] starts the parts in the order of their dependencies: signals, configuration,
//! management address, engine and discovery, client listener, reloads. The modules:
//!
//! - `error`: the errors that prevent a start
//! - `signals`: the signals that the process handles
//! - `management_resources`: the management address and the files that two processes share
//! - `proxy`: the engine, discovery and the server, and the connections between them
//! - `other_process`: the checks for a second process on the listen address
//!
//! A proxy with a management address may be replaced by a second process on the same listen address.
//! The two share the state files, and each uses half of the limits while both run.

mod error;
mod management_resources;
mod other_process;
mod proxy;
mod signals;

pub use self::error::StartError;

use self::management_resources::{ManagementResources, announce_listening};
use self::proxy::Proxy;
use self::signals::Signals;
use crate::control::config::{Config, FileStamp, LoadMode};
use crate::control::management::MAX_MANAGEMENT_CONNECTIONS;
use crate::control::reload::{ReloadTargets, Reloader};
use crate::downstream::client_listener::{AddressSharing, ClientListener};
use crate::limits::{Capacities, OtherProcess};
use crate::log;
use std::rc::Rc;

/// Number of descriptors reserved for the listener handover: a copy of the listener, a Unix socket and a
/// connection.
const HANDOVER_DESCRIPTORS: usize = 3;
/// Number of descriptors reserved in a proxy with a management address: for the management listener, its
/// connections and the listener handover.
const MANAGEMENT_DESCRIPTORS: usize = 1 + MAX_MANAGEMENT_CONNECTIONS + HANDOVER_DESCRIPTORS;

/// Runs the proxy with the configuration from the environment and the configuration file, until the
/// graceful shutdown after SIGTERM is complete.
///
/// # Errors
///
/// Returns a [`StartError`] if the configuration is invalid, or if an address or a signal cannot be used.
///
/// # Panics
///
/// Panics outside of a [`tokio::task::LocalSet`], on which the proxy spawns its tasks.
pub async fn run() -> Result<(), StartError> {
    // The handlers are installed first, as SIGHUP or SIGTERM without a handler ends the process.
    let signals = Signals::install()?;
    // The stamp is taken before the file is read, so that a change during the read is detected later.
    let file_stamp = FileStamp::of_config_file();
    let mut config = Config::load(LoadMode::Startup)?;
    let management = match config.management {
        Some(address) => {
            let resources = ManagementResources::open(address, config.listen).await;
            Some(resources.map_err(StartError::listening_on(address))?)
        }
        None => None,
    };
    let has_management = management.is_some();
    let instance_lock = management.as_ref().and_then(|management| management.instance_lock.clone());
    let other_process = instance_lock.as_ref().map_or(OtherProcess::Absent, |lock| lock.other_process());

    let reserved_descriptors = if has_management { MANAGEMENT_DESCRIPTORS } else { 0 };
    let limits = config.limits.for_this_process(other_process);
    let capacities = Capacities::new(limits, reserved_descriptors);
    let proxy = Proxy::start(&mut config, capacities, management);
    if other_process.is_running() {
        proxy.wait_for_endpoint_list().await;
    }
    let sharing = if has_management { AddressSharing::Shared } else { AddressSharing::Exclusive };
    let listener = ClientListener::open(config.listen, sharing, instance_lock.as_deref()).await;
    let mut listener = listener.map_err(StartError::listening_on(config.listen))?;
    if let Some(instance_lock) = &instance_lock {
        listener.offer_to_successor(instance_lock);
    }
    log!("balancer-proxy: listening on {}", listener.local_addr()?);

    let targets = ReloadTargets {
        server: proxy.server.clone(),
        engine: proxy.engine.clone(),
        discovery: proxy.discovery.clone(),
        instance_lock: instance_lock.clone(),
    };
    let reloader = Rc::new(Reloader::new(targets, &config, file_stamp, reserved_descriptors));
    if let Some(instance_lock) = instance_lock {
        announce_listening(&instance_lock, config.listen);
        tokio::task::spawn_local(other_process::check_periodically(reloader.clone()));
    }
    proxy.serve(listener, signals, reloader).await;
    log!("balancer-proxy: stopped");
    Ok(())
}
