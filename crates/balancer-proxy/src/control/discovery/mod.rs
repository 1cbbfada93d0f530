//! Keeps the endpoint list of its listener up to date, by calls to discovery.
//!
//! Owns the watch, which is a chain of long-polling calls, the generation of the list and the ids that
//! endpoint names have. It sends its listener a [`WatchEvent`] for each list that arrives and, if the
//! decision module schedules the calls, one for each call that fails.
//!
//! - `client`: one HTTP call
//! - `timing`: timeouts, backoff, and the bound on the age of the list that they keep

mod client;
mod timing;

use self::client::{CallError, DiscoveryClient, ListRequest};
use self::timing::{Backoff, Jitter, LastCall, SINGLE_CALL_TIMEOUT};
use super::endpoint_list::{EndpointNames, RawEndpoint, RawEndpointList};
use super::maintenance_store::MaintenanceStore;
use crate::clock::Clock;
use crate::log;
use crate::settings::SettingsSnapshot;
use crate::watch_event::{ListedEndpoint, WatchEvent};
use balancer::BackendId;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Receives watch events, and answers what discovery has to know for its calls.
pub trait WatchListener {
    /// A list has arrived, or a call has failed.
    fn on_watch_event(&self, event: WatchEvent);
    /// The settings in force.
    fn settings(&self) -> Rc<SettingsSnapshot>;
    /// The clock that the times in watch events refer to.
    fn clock(&self) -> &Clock;
    /// Whether the backend is still in use, so that its id must not be released.
    fn is_backend_known(&self, backend: BackendId) -> bool;
}

/// Keeps the endpoint list of its listener up to date.
pub struct Discovery {
    listener: Rc<dyn WatchListener>,
    address: Cell<SocketAddr>,
    /// Number of changes of the address. A response from before the last change is dropped.
    address_epoch: Cell<u64>,
    names: RefCell<EndpointNames>,
    /// Generation that the next changes are requested from; `None` if the full list is needed.
    list_generation: Cell<Option<u64>>,
    watch_task: RefCell<Option<AbortHandle>>,
    last_call: Cell<LastCall>,
    jitter: Jitter,
    /// Records the names of all endpoints ever listed, if they are to be stored.
    maintenance_store: Option<Rc<MaintenanceStore>>,
    has_responded: watch::Sender<bool>,
}

impl Discovery {
    /// Prepares calls to `address`; [`Discovery::start`] makes the first. Zones are numbered as in
    /// these settings. The `seed` separates the times of its calls from those of other proxies.
    #[must_use]
    pub fn new(
        address: SocketAddr,
        seed: u64,
        settings: &SettingsSnapshot,
        listener: Rc<dyn WatchListener>,
        maintenance_store: Option<Rc<MaintenanceStore>>,
    ) -> Rc<Self> {
        Rc::new(Self {
            listener,
            address: Cell::new(address),
            address_epoch: Cell::new(0),
            names: RefCell::new(EndpointNames::new(settings.proxy.zones.clone())),
            list_generation: Cell::new(None),
            watch_task: RefCell::default(),
            last_call: Cell::new(LastCall::Succeeded),
            jitter: Jitter::new(seed),
            maintenance_store,
            has_responded: watch::Sender::new(false),
        })
    }

    /// Passes the cached list to the listener, and starts the watch unless the decision module is to
    /// start it.
    pub fn start(self: &Rc<Self>, cached: RawEndpointList) {
        self.list_generation.set(Some(cached.generation));
        let endpoints = self.translate(cached.instances);
        self.listener.on_watch_event(WatchEvent::Cached(endpoints));
        if !self.must_poll() {
            self.start_watch();
        }
    }

    /// Applies new settings: starts the watch if none is running, as the decision module may no longer
    /// be the one to start it, or may have to do so earlier than it has planned.
    pub fn settings_changed(self: &Rc<Self>) {
        self.start_watch();
    }

    /// The address of discovery.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Index of a zone, which it keeps from then on.
    pub fn zone_index(&self, name: &str) -> u32 {
        self.names.borrow_mut().zone_index(name)
    }

    /// Id of a backend, by its name.
    pub fn backend_id(&self, name: &str) -> BackendId {
        self.names.borrow_mut().id(name)
    }

    /// Completes once discovery has responded for the first time.
    pub async fn first_response(&self) {
        // Cannot fail: the sender lives as long as `self`.
        let _ = self.has_responded.subscribe().wait_for(|responded| *responded).await;
    }

    /// Switches to the discovery at `address` and fetches the full list there, as generations of two
    /// discoveries cannot be compared. The last list stays in force until then.
    pub fn change_address(self: &Rc<Self>, address: SocketAddr) {
        log!("discovery: now at {address}");
        self.stop_watch();
        self.address.set(address);
        self.address_epoch.set(self.address_epoch.get() + 1);
        self.list_generation.set(None);
        self.last_call.set(LastCall::Succeeded);
        self.start_watch();
    }

    /// Starts the watch, if none is running.
    pub fn start_watch(self: &Rc<Self>) {
        let mut watch_task = self.watch_task.borrow_mut();
        if watch_task.is_none() {
            *watch_task = Some(tokio::task::spawn_local(self.clone().watch()).abort_handle());
        }
    }

    fn stop_watch(&self) {
        if let Some(watch_task) = self.watch_task.borrow_mut().take() {
            watch_task.abort();
        }
    }

    /// Fetches the full list once, independently of the watch.
    pub fn fetch_full_list(self: &Rc<Self>) {
        let this = self.clone();
        tokio::task::spawn_local(async move {
            let epoch = this.address_epoch.get();
            let mut client = DiscoveryClient::new(this.address.get());
            let response_timeout = this.jitter.apply(SINGLE_CALL_TIMEOUT);
            let response = client.fetch(ListRequest::Full, response_timeout).await;
            if this.address_epoch.get() != epoch {
                return;
            }
            match response {
                Ok(list) => this.apply_list(list),
                Err(error) => this.report_failure(&error),
            }
        });
    }

    /// Calls discovery again and again, without a gap while calls succeed, as a gap would end the watch
    /// on the side of discovery. A failed call is repeated after a backoff; or, if the decision module
    /// schedules the calls, it ends the watch and the module starts the next.
    async fn watch(self: Rc<Self>) {
        let mut client = DiscoveryClient::new(self.address.get());
        let mut backoff = Backoff::new();
        loop {
            let call_start = Instant::now();
            match self.watch_call(&mut client).await {
                Ok(list) => {
                    self.apply_list(list);
                    if !self.needs_full_list() {
                        backoff.reset();
                        continue;
                    }
                }
                Err(error) if self.must_poll() => {
                    // Over before the module is notified, as that may start the next watch at once.
                    *self.watch_task.borrow_mut() = None;
                    self.report_failure(&error);
                    return;
                }
                Err(error) => self.report_failure(&error),
            }
            tokio::time::sleep_until(backoff.next_call_at(call_start, &self.jitter)).await;
        }
    }

    /// Makes one call of the watch, for changes, or for the full list if that is needed. Its result
    /// decides the timing of the next call.
    async fn watch_call(&self, client: &mut DiscoveryClient) -> Result<RawEndpointList, CallError> {
        let timing = self.last_call.get().next_timing();
        let response_timeout = self.jitter.apply(timing.response_timeout);
        let request = match self.list_generation.get() {
            Some(generation) => ListRequest::ChangesSince {
                generation,
                max_wait: timing.max_change_wait.min(self.poll_limit()),
            },
            None => ListRequest::Full,
        };
        let response = client.fetch(request, response_timeout).await;
        let last_call = if response.is_ok() { LastCall::Succeeded } else { LastCall::Failed };
        self.last_call.set(last_call);
        response
    }

    /// Whether the decision module schedules the calls after a failure.
    fn must_poll(&self) -> bool {
        self.listener.settings().balancer.must_poll_endpoints
    }

    /// Longest time that a call may wait for a change: without a poll for so long, the proxy is deemed
    /// not to have been notified.
    fn poll_limit(&self) -> Duration {
        let limit_seconds = self.listener.settings().balancer.endpoint_poll_limit;
        Duration::try_from_secs_f64(limit_seconds).unwrap_or(Duration::MAX)
    }

    /// Whether the full list must be fetched, as there is none that changes would apply to.
    fn needs_full_list(&self) -> bool {
        self.list_generation.get().is_none()
    }

    /// Passes a list on to the listener.
    ///
    /// Changes of a generation before that of the current list, or without a current list, show that
    /// discovery has restarted its generation numbers. They are passed on all the same, and the full
    /// list is requested next.
    fn apply_list(&self, list: RawEndpointList) {
        let current = self.list_generation.get();
        let is_consistent = list.reset || current.is_some_and(|current| list.generation >= current);
        self.list_generation.set(is_consistent.then_some(list.generation));

        let endpoints = self.translate(list.instances);
        let event = if list.reset { WatchEvent::Full(endpoints) } else { WatchEvent::Changes(endpoints) };
        self.listener.on_watch_event(event);
        self.has_responded.send_replace(true);
        self.names.borrow_mut().release_unless(|id| self.listener.is_backend_known(id));
    }

    /// The last list stays in force; the decision module is notified if it is to schedule the next call.
    fn report_failure(&self, error: &CallError) {
        log!("discovery: {error}");
        if self.must_poll() {
            self.listener.on_watch_event(WatchEvent::Failed);
        }
    }

    fn translate(&self, raw: Vec<RawEndpoint>) -> Vec<ListedEndpoint> {
        if let Some(store) = &self.maintenance_store {
            store.record_listed(raw.iter().map(|endpoint| endpoint.instance_id.as_str()));
        }
        self.names.borrow_mut().translate(raw, self.listener.clock())
    }
}
