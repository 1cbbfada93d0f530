//! The watch on the endpoint list: calls to discovery that keep the list of a listener up to date.
//!
//! [`Discovery`] owns the watch, which is a sequence of long-polling calls, the generation of the list
//! and the ids of endpoint names. Its listener receives a [`WatchEvent`] for each list that arrives and,
//! if the decision module schedules the calls, for each call that fails.
//!
//! - `client`: one HTTP call
//! - `list_order`: which of two lists is older
//! - `listener`: the trait of the receiver of watch events
//! - `timing`: timeouts and backoff, and the resulting bound on the age of the list

mod client;
mod list_order;
mod listener;
mod timing;

pub use self::listener::WatchListener;

use self::client::{CallError, DiscoveryClient, ListRequest};
use self::list_order::{CallStart, ListAge, ListExtent, ListOrder};
use self::timing::{Backoff, Jitter, LastCall, REPEATED_POLL_RESPONSE_TIMEOUT, SINGLE_CALL_TIMEOUT};
use super::endpoint_list::{EndpointNames, RawEndpoint, RawEndpointList};
use super::maintenance_store::MaintenanceStore;
use crate::log;
use crate::settings::SettingsSnapshot;
use crate::watch_event::{ListedEndpoint, WatchEvent};
use balancer::{BackendId, ZoneId};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Keeps the endpoint list of its listener up to date.
pub struct Discovery {
    /// The receiver of watch events.
    listener: Rc<dyn WatchListener>,
    /// The address that calls go to.
    address: Cell<SocketAddr>,
    /// Number of changes of the address. A response to a call that began before the last change is
    /// dropped.
    address_epoch: Cell<u64>,
    /// The ids of backends and zones.
    names: RefCell<EndpointNames>,
    /// The generation of the current list, and which other lists are older.
    list_order: RefCell<ListOrder>,
    /// The task of the watch, if it is running.
    watch_task: RefCell<Option<AbortHandle>>,
    /// The outcome of the last call, which decides the timing of the next.
    last_call: Cell<LastCall>,
    /// The jitter of timeouts and backoff.
    jitter: Jitter,
    /// The store of the backends ever listed; `None` in a proxy without a management address.
    maintenance_store: Option<Rc<MaintenanceStore>>,
    /// Whether discovery has responded since the start.
    has_responded: watch::Sender<bool>,
}

impl Discovery {
    /// Creates a watch on the discovery at `address`, which makes no call before [`Discovery::start`]. The
    /// id of a zone is its position in `settings`. Different seeds keep proxies from calling at the same
    /// times.
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
            names: RefCell::new(EndpointNames::new(&settings.proxy.zones)),
            list_order: RefCell::new(ListOrder::without_list()),
            watch_task: RefCell::default(),
            last_call: Cell::new(LastCall::Succeeded),
            jitter: Jitter::new(seed),
            maintenance_store,
            has_responded: watch::Sender::new(false),
        })
    }

    /// Passes the cached list to the listener, and starts the watch unless the decision module schedules
    /// the calls.
    pub fn start(self: &Rc<Self>, cached: RawEndpointList) {
        self.list_order.replace(ListOrder::after_full_list(cached.generation));
        let endpoints = self.translate(cached.instances);
        self.listener.on_watch_event(WatchEvent::Cached(endpoints));
        if !self.must_poll() {
            self.start_watch();
        }
    }

    /// Starts the watch, if none is running, after a change of the settings. With new settings the
    /// decision module may no longer schedule the calls, or may schedule them for an earlier time.
    pub fn handle_settings_change(self: &Rc<Self>) {
        self.start_watch();
    }

    /// Returns the address of discovery.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Returns the id of a zone, or `None` if neither settings nor a backend in use has named the zone.
    #[must_use]
    pub fn find_zone(&self, name: &str) -> Option<ZoneId> {
        self.names.borrow().find_zone(name)
    }

    /// Returns the id of a zone in the settings in force. A new zone gets the next id. The zone keeps its id
    /// for as long as the process runs.
    pub fn assign_settings_zone(&self, name: &str) -> ZoneId {
        self.names.borrow_mut().assign_settings_zone(name)
    }

    /// Returns the id of the backend with this name.
    pub fn backend_id(&self, name: &str) -> BackendId {
        self.names.borrow_mut().backend_id(name)
    }

    /// Waits until discovery has responded for the first time.
    pub async fn wait_for_first_response(&self) {
        // Cannot fail: the sender lives as long as `self`.
        let _ = self.has_responded.subscribe().wait_for(|responded| *responded).await;
    }

    /// Switches to the discovery at `address` and fetches the full list there, as generations of two
    /// discoveries cannot be compared. The current list stays in force until the new list arrives.
    pub fn change_address(self: &Rc<Self>, address: SocketAddr) {
        log!("discovery: now at {address}");
        self.stop_watch();
        self.address.set(address);
        self.address_epoch.set(self.address_epoch.get() + 1);
        self.list_order.replace(ListOrder::without_list());
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

    /// Starts a task that fetches the full list once, independently of the watch.
    pub fn fetch_full_list(self: &Rc<Self>) {
        let this = self.clone();
        tokio::task::spawn_local(async move {
            let epoch = this.address_epoch.get();
            let mut client = DiscoveryClient::new(this.address.get());
            let response_timeout = this.jitter.apply(SINGLE_CALL_TIMEOUT);
            let call_start = this.list_order.borrow().begin_call();
            let response = client.fetch(ListRequest::Full, response_timeout).await;
            if this.address_epoch.get() != epoch {
                return;
            }
            match response {
                Ok(list) => this.apply_list(list, call_start),
                Err(error) => this.report_failure(&error),
            }
        });
    }

    /// Calls discovery without a pause while calls succeed, as discovery would end the watch during a pause.
    /// After a failed call, the next call follows after a backoff. If the decision module schedules the
    /// calls, a failed call ends the watch instead, and the module starts the next watch.
    async fn watch(self: Rc<Self>) {
        let mut client = DiscoveryClient::new(self.address.get());
        let mut backoff = Backoff::new();
        loop {
            let call_start = Instant::now();
            match self.watch_call(&mut client).await {
                Ok(()) => {
                    if !self.list_order.borrow().needs_full_list() {
                        backoff.reset();
                        continue;
                    }
                }
                Err(error) if self.must_poll() => {
                    // The task is cleared before the decision module is notified, as the module may start
                    // the next watch immediately, and `start_watch` does nothing while a task is set.
                    *self.watch_task.borrow_mut() = None;
                    self.report_failure(&error);
                    return;
                }
                Err(error) => self.report_failure(&error),
            }
            tokio::time::sleep_until(backoff.next_call_at(call_start, &self.jitter)).await;
        }
    }

    /// Makes one call of the watch, for changes or for the full list, and applies the list in the response.
    /// The outcome decides the timing of the next call.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if no valid list arrives before the timeout.
    async fn watch_call(&self, client: &mut DiscoveryClient) -> Result<(), CallError> {
        let call_start = self.list_order.borrow().begin_call();
        let request = match self.list_order.borrow().changes_since() {
            Some(generation) => {
                let max_change_wait = self.last_call.get().next_timing().max_change_wait;
                ListRequest::ChangesSince {
                    generation,
                    max_wait: max_change_wait.min(self.max_poll_interval()),
                }
            }
            None => ListRequest::Full,
        };
        let response_timeout = self.response_timeout(request);
        let response = client.fetch(request, response_timeout).await;
        let last_call = if response.is_ok() { LastCall::Succeeded } else { LastCall::Failed };
        self.last_call.set(last_call);
        self.apply_list(response?, call_start);
        Ok(())
    }

    /// Returns the response timeout of the next call of the watch. The full list has to arrive sooner than a
    /// repeated poll, as a new address has to be in effect within 4 s.
    fn response_timeout(&self, request: ListRequest) -> Duration {
        let last_call = self.last_call.get();
        let with_jitter = self.jitter.apply(last_call.next_timing().response_timeout);
        let is_repeated_poll = self.must_poll() && last_call == LastCall::Failed;
        match request {
            ListRequest::ChangesSince { .. } if is_repeated_poll => REPEATED_POLL_RESPONSE_TIMEOUT,
            _ => with_jitter,
        }
    }

    /// Returns whether the decision module schedules the calls.
    fn must_poll(&self) -> bool {
        self.listener.settings().balancer.must_poll_endpoints
    }

    /// Returns the longest interval between two polls that the settings allow, which bounds the wait for
    /// a change. After a longer interval the proxy counts as not notified.
    fn max_poll_interval(&self) -> Duration {
        let limit_seconds = self.listener.settings().balancer.endpoint_poll_limit;
        Duration::try_from_secs_f64(limit_seconds).unwrap_or(Duration::MAX)
    }

    /// Passes the list in the response to the call with this start on to the listener, unless the list is
    /// older than the current one.
    fn apply_list(&self, list: RawEndpointList, call_start: CallStart) {
        self.has_responded.send_replace(true);
        let extent = if list.reset { ListExtent::Full } else { ListExtent::Changes };
        let age = self.list_order.borrow_mut().accept(list.generation, extent, call_start);
        if age == ListAge::Outdated {
            log!(
                "discovery: dropped a list of generation {}, which is older than the current list",
                list.generation
            );
            return;
        }

        let endpoints = self.translate(list.instances);
        let event = match extent {
            ListExtent::Full => WatchEvent::Full(endpoints),
            ListExtent::Changes => WatchEvent::Changes(endpoints),
        };
        self.listener.on_watch_event(event);
        self.names.borrow_mut().retain_backends(|id| self.listener.is_backend_in_use(id));
    }

    /// Logs a failed call, and notifies the listener if the decision module schedules the next call. The
    /// current list stays in force.
    fn report_failure(&self, error: &CallError) {
        let address = self.address.get();
        log!("discovery: call to {address} failed: {error}; the current list stays in force");
        if self.must_poll() {
            let event = if error.is_rejection() { WatchEvent::Rejected } else { WatchEvent::Failed };
            self.listener.on_watch_event(event);
        }
    }

    /// Translates endpoints for the listener, and records their names in the maintenance store.
    fn translate(&self, raw: Vec<RawEndpoint>) -> Vec<ListedEndpoint> {
        if let Some(store) = &self.maintenance_store {
            store.record_listed(raw.iter().map(|endpoint| endpoint.instance_id.as_str()));
        }
        self.names.borrow_mut().translate(raw, self.listener.clock())
    }
}
