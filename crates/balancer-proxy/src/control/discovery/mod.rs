//! The watch on the endpoint list: calls to discovery that keep the list of a listener up to date.
//!
//! [`Discovery`] owns the watch, which is a sequence of long-polling calls, the generation of the list
//! and the ids of endpoint names. Its listener receives a [`WatchEvent`] for each list that arrives and,
//! if the decision module schedules the calls, for each call that fails.
//!
//! - `calls`: the tasks of the calls in progress
//! - `client`: the HTTP exchange of one call
//! - `fetch`: one call with its timeout, and the use of its list
//! - `list_order`: which of two lists is older
//! - `listener`: the trait of the receiver of watch events
//! - `timing`: timeouts and backoff, and the resulting bound on the age of the list
//! - `watch`: the sequence of calls

mod calls;
mod client;
mod fetch;
mod list_order;
mod listener;
mod timing;
mod watch;

pub use self::listener::WatchListener;

use self::calls::CallsInProgress;
use self::client::{CallError, MAX_LIST_BYTES};
use self::list_order::ListOrder;
use self::timing::{Jitter, LastCall};
use super::endpoint_list::{EndpointNames, RawEndpoint, RawEndpointList};
use super::maintenance_store::MaintenanceStore;
use crate::limits::Budget;
use crate::log;
use crate::settings::SettingsSnapshot;
use crate::watch_event::{ListedEndpoint, WatchEvent};
use balancer::{BackendId, ZoneId};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch as watch_channel;
use tokio::task::AbortHandle;

/// Keeps the endpoint list of its listener up to date.
pub struct Discovery {
    /// The receiver of watch events.
    listener: Rc<dyn WatchListener>,
    /// The address that calls go to.
    address: Cell<SocketAddr>,
    /// The calls in progress to this address.
    calls: CallsInProgress,
    /// The budget for the bytes of the responses to the calls in progress.
    list_budget: Rc<Budget>,
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
    has_responded: watch_channel::Sender<bool>,
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
            calls: CallsInProgress::default(),
            list_budget: Budget::new(MAX_LIST_BYTES),
            names: RefCell::new(EndpointNames::new(&settings.proxy.zones)),
            list_order: RefCell::new(ListOrder::without_list()),
            watch_task: RefCell::default(),
            last_call: Cell::new(LastCall::Succeeded),
            jitter: Jitter::new(seed),
            maintenance_store,
            has_responded: watch_channel::Sender::new(false),
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

    /// Switches to the discovery at `address`, be it new or not, and fetches the full list there. The current
    /// list stays in force until the new list arrives. Responses of an earlier address are dropped, as the
    /// generations of two discoveries cannot be compared. Calls to the same address go on, so that a slow
    /// discovery responds to one of them also if the address is set in quick succession.
    pub fn change_address(self: &Rc<Self>, address: SocketAddr) {
        log!("discovery: now at {address}");
        self.stop_watch();
        if self.address.replace(address) == address {
            self.list_order.borrow_mut().require_full_list();
        } else {
            self.calls.abort_all();
            self.list_order.replace(ListOrder::without_list());
        }
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

    /// Returns whether the decision module schedules the calls.
    fn must_poll(&self) -> bool {
        self.listener.settings().balancer.must_poll_endpoints
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
