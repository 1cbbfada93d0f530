//! A stub discovery server in this process. The server responds to list requests and long polls of the
//! operators' discovery protocol. Each proxy has its own server address, so that its polls are counted
//! separately.
//!
//! A change is *in force* at a proxy once the next poll of the proxy names the version of the change
//! (`since=`): the proxy sends that poll after it has applied the response. The measured time includes the
//! transfer of that poll.

mod list;
mod poll_log;
mod server;

pub use list::Change;
pub use poll_log::{PollCounts, PropagationLatency, TrafficEvent, Transfer};
pub use server::Availability;

use crate::address::{self, AddressRole};
use crate::background_runtime::{self, BackgroundRuntime};
use crate::error::Error;
use crate::instance::Instance;
use crate::shutdown::ShutdownSignal;
use list::VersionedList;
use poll_log::PollLog;
use server::{ServerState, SharedState, serve_proxy};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A discovery server that runs on its own thread until the value is dropped.
pub struct Discovery {
    shared: Arc<SharedState>,
    addresses: Vec<SocketAddr>,
    _runtime: BackgroundRuntime,
}

impl Discovery {
    /// Starts a server with this instance list and one address for each of `proxies` proxies.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] if an address cannot be bound or the thread cannot be started.
    pub fn start(instances: Vec<Instance>, proxies: usize) -> Result<Self, Error> {
        let addresses: Vec<_> = address::allocate(AddressRole::Discovery, proxies).collect();
        let mut listeners = Vec::new();
        for &address in &addresses {
            listeners.push((address, background_runtime::bind_nonblocking(address)?));
        }
        let state = ServerState { list: VersionedList::new(instances), log: PollLog::new(proxies)? };
        let shared = Arc::new(SharedState::new(state));
        let server_state = shared.clone();
        let runtime = BackgroundRuntime::start("discovery", move || {
            for (proxy, (address, listener)) in listeners.into_iter().enumerate() {
                tokio::spawn(serve_proxy(server_state.clone(), proxy, address, listener));
            }
        })?;
        Ok(Self { shared, addresses, _runtime: runtime })
    }

    /// Returns the addresses of the server, one for each proxy.
    #[must_use]
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Publishes a change as a new version of the list.
    pub fn publish(&self, change: Change) {
        let mut state = self.shared.state();
        state.list.apply(change);
        state.log.publish();
        let version = state.list.version();
        drop(state);
        self.shared.status.send_modify(|status| status.version = version);
    }

    /// Publishes a change at each of these times, which are relative to now.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Interrupted`] once a signal has arrived.
    pub fn publish_at(
        &self,
        times: &[Duration],
        shutdown: &ShutdownSignal,
        mut next_change: impl FnMut() -> Change,
    ) -> Result<(), Error> {
        let start = Instant::now();
        for time in times {
            shutdown.sleep_until(start + *time)?;
            self.publish(next_change());
        }
        Ok(())
    }

    /// Discards the history of changes. A proxy that does not have the present version gets the full list.
    pub fn discard_history(&self) {
        self.shared.state().list.discard_history();
    }

    /// Sets whether and how fast the server responds.
    pub fn set_availability(&self, availability: Availability) {
        self.shared.status.send_modify(|status| status.availability = availability);
    }

    /// Returns the indices of the serving instances.
    #[must_use]
    pub fn serving(&self) -> Vec<usize> {
        self.shared.state().list.serving()
    }

    /// Returns the number of entries in the full list.
    #[must_use]
    pub fn listed(&self) -> usize {
        self.shared.state().list.listed()
    }

    /// Returns the poll and byte counts of each proxy since the start.
    #[must_use]
    pub fn counts(&self) -> Vec<PollCounts> {
        self.shared.state().log.counts().to_vec()
    }

    /// Returns the number of missing acknowledgements, summed over all versions and proxies.
    #[must_use]
    pub fn pending_acknowledgements(&self) -> usize {
        self.shared.state().log.pending_acknowledgements()
    }

    /// Returns the time at which a proxy last acknowledged a new version.
    #[must_use]
    pub fn last_acknowledged_at(&self) -> Instant {
        self.shared.state().log.last_acknowledged_at()
    }

    /// Returns and removes the propagation latencies that were measured since the last call.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Histogram`] if a histogram cannot be created.
    pub fn take_propagation(&self) -> Result<PropagationLatency, Error> {
        self.shared.state().log.take_propagation()
    }

    /// Starts recording all transfers.
    pub fn start_recording(&self) {
        self.shared.state().log.start_recording();
    }

    /// Stops recording and returns the transfers in order of time.
    #[must_use]
    pub fn stop_recording(&self) -> Vec<TrafficEvent> {
        self.shared.state().log.stop_recording()
    }
}
