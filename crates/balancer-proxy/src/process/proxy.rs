//! The parts of a running proxy, and the connections between them.

use super::management_resources::ManagementResources;
use super::signals::Signals;
use crate::control::config::Config;
use crate::control::discovery::Discovery;
use crate::control::maintenance::Maintenance;
use crate::control::management::Management;
use crate::control::reload::Reloader;
use crate::control::used_request_ids::UsedRequestIds;
use crate::downstream::client_listener::ClientListener;
use crate::downstream::server::Server;
use crate::engine::Engine;
use crate::limits::Capacities;
use crate::metrics::Metrics;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::Signal;

/// Longest time that a process that replaces another one waits for an endpoint list before it accepts
/// connections. After this time the process serves from the cached list.
const ENDPOINT_LIST_TIMEOUT: Duration = Duration::from_millis(1500);

/// The parts of a running proxy.
pub(super) struct Proxy {
    /// The engine, which owns the decision module.
    pub(super) engine: Rc<Engine>,
    /// Discovery, which notifies the engine of the endpoint list.
    pub(super) discovery: Rc<Discovery>,
    /// The server for clients.
    pub(super) server: Rc<Server>,
}

impl Proxy {
    /// Starts the engine and discovery. If `management` is given, also starts maintenance and the
    /// management service. Takes the settings and the cached endpoint list out of `config`.
    pub(super) fn start(
        config: &mut Config,
        capacities: Capacities,
        management: Option<ManagementResources>,
    ) -> Self {
        let settings = Rc::new(std::mem::take(&mut config.snapshot));
        let metrics = Metrics::new(&settings.proxy);
        let engine = Engine::start(settings.clone(), config.seed, capacities.backend_connections, metrics);

        let store = management.as_ref().map(|management| management.maintenance_store.clone());
        let discovery = Discovery::new(config.discovery, config.seed, &settings, engine.clone(), store);
        engine.set_discovery(&discovery);
        discovery.start(std::mem::take(&mut config.cached_endpoints));

        let instance_lock = management.as_ref().and_then(|management| management.instance_lock.clone());
        if let Some(instance_lock) = &instance_lock {
            engine.set_used_request_ids(UsedRequestIds::shared(instance_lock));
        }
        let server = Server::new(engine.clone(), capacities, instance_lock);
        let proxy = Self { engine, discovery, server };
        if let Some(management) = management {
            proxy.start_management(management);
        }
        proxy
    }

    fn start_management(&self, resources: ManagementResources) {
        let ManagementResources { listener, maintenance_store, .. } = resources;
        let maintenance = Maintenance::start(maintenance_store, self.discovery.clone(), self.engine.clone());
        let management = Management::new(self.server.clone(), maintenance);
        tokio::task::spawn_local(management.run(listener));
    }

    /// Fetches the endpoint list, and waits until discovery has responded, for at most
    /// [`ENDPOINT_LIST_TIMEOUT`].
    pub(super) async fn wait_for_endpoint_list(&self) {
        self.discovery.fetch_full_list();
        let first_response = self.discovery.wait_for_first_response();
        let _ = tokio::time::timeout(ENDPOINT_LIST_TIMEOUT, first_response).await;
    }

    /// Serves clients until the graceful shutdown after SIGTERM is complete.
    pub(super) async fn serve(self, listener: ClientListener, signals: Signals, reloader: Rc<Reloader>) {
        let Signals { hangup, mut terminate } = signals;
        let shutdown = async move { terminate.recv().await.unwrap_or_default() };
        tokio::select! {
            () = self.server.run(listener, shutdown) => {}
            () = reload_on_hangup(hangup, reloader) => {}
        }
    }
}

/// Reloads the configuration on each SIGHUP. Never returns.
async fn reload_on_hangup(mut hangup: Signal, reloader: Rc<Reloader>) {
    while hangup.recv().await.is_some() {
        reloader.reload_on_signal();
    }
    std::future::pending::<()>().await;
}
