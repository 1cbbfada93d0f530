//! A group of real proxies that have the same endpoint list.

use super::list_changes::ChangeGenerator;
use super::plan::GroupSize;
use crate::address::{self, AddressRole};
use crate::discovery::{Discovery, PollCounts};
use crate::error::Error;
use crate::instance::{Instance, InstanceList, create_instances};
use crate::proxy::{ProxyConfig, ProxyOptions, ProxyProcess};
use crate::random_values::derive_component_seed;
use crate::report::Value;
use crate::resource_usage::{MachineLoad, ProcessUsage};
use crate::shutdown::ShutdownSignal;
use std::path::Path;
use std::time::{Duration, Instant};

/// Timeout for the first poll of all proxies. In the registry mode `subscribe` the proxies spread their
/// first polls over 5 s.
const FIRST_POLL_TIMEOUT: Duration = Duration::from_secs(20);
const FIRST_POLL_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Idle time between the first polls of the proxies and the first measured window.
const IDLE_SETTLE_TIME: Duration = Duration::from_secs(1);
const ACKNOWLEDGEMENT_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Multiplier of the list size in the number from which the seed of a group is derived. A group has fewer
/// proxies than this, so that each group has its own seed.
const GROUP_SEED_STRIDE: usize = 1_000;

/// The names of the columns of [`ProxyGroup::group_cells`].
pub const GROUP_COLUMNS: [&str; 3] = ["listed", "proxies", "mode"];

/// A group of real proxies that have the same endpoint list, and their discovery server.
pub struct ProxyGroup<'a> {
    /// Size of the list and of the group.
    pub size: GroupSize,
    /// The signal that interrupts all waits.
    pub shutdown: &'a ShutdownSignal,
    // Fields are dropped in this order: the proxies must end before the discovery server.
    /// The proxies of the group.
    pub proxies: Vec<ProxyProcess>,
    /// The discovery server that the proxies poll.
    pub discovery: Discovery,
    /// The generator of the list changes.
    pub changes: ChangeGenerator,
}

/// Resource usage of the proxies, of their discovery server and of the machine at one time.
pub struct UsageSnapshot {
    /// Time at which the usage was read.
    pub at: Instant,
    /// Resource usage of each proxy.
    pub usages: Vec<ProcessUsage>,
    /// Poll counts of each proxy.
    pub counts: Vec<PollCounts>,
    /// Resource usage of this process, which runs the discovery server.
    pub server_usage: ProcessUsage,
    /// The load of the machine.
    pub machine: MachineLoad,
}

impl<'a> ProxyGroup<'a> {
    /// Starts the discovery server and the proxies, and waits until all proxies have polled and are idle.
    ///
    /// # Errors
    ///
    /// Returns an error if a proxy does not start or does not poll, and [`Error::Interrupted`] once a
    /// signal has arrived.
    pub fn start(
        size: GroupSize,
        plan_seed: u64,
        program: &Path,
        shutdown: &'a ShutdownSignal,
    ) -> Result<Self, Error> {
        // Nothing listens on these addresses: without requests no proxy connects to a backend.
        let instances = create_instances(address::allocate(AddressRole::Backend, size.listed));
        let group_number = (size.listed * GROUP_SEED_STRIDE + size.proxies) as u64;
        let seed = derive_component_seed(plan_seed, group_number);
        let discovery = Discovery::start(instances.clone(), size.proxies)?;
        let changes = ChangeGenerator::new(seed);
        let mut group = Self { size, shutdown, proxies: Vec::new(), discovery, changes };
        group.spawn_proxies(program, seed, &instances)?;
        for proxy in &mut group.proxies {
            proxy.wait_until_ready(shutdown)?;
        }
        group.wait_for_first_polls()?;
        shutdown.sleep(IDLE_SETTLE_TIME)?;
        Ok(group)
    }

    fn spawn_proxies(&mut self, program: &Path, seed: u64, instances: &[Instance]) -> Result<(), Error> {
        let instances = InstanceList::initial(instances);
        let count = self.size.proxies;
        let listen = address::allocate(AddressRole::Listen, count);
        let management = address::allocate(AddressRole::Management, count);
        for (index, (listen, management)) in listen.zip(management).enumerate() {
            self.shutdown.check()?;
            let config = ProxyConfig {
                index,
                // The fleet has one proxy for each backend.
                tier_size: self.size.listed.max(count),
                seed: seed.wrapping_add(index as u64),
                registry_mode: self.size.registry_mode,
                instances: &instances,
            };
            let discovery = self.discovery.addresses()[index];
            let options = ProxyOptions { program, listen, management, discovery, config };
            self.proxies.push(ProxyProcess::spawn(&options)?);
        }
        Ok(())
    }

    fn wait_for_first_polls(&self) -> Result<(), Error> {
        let deadline = Instant::now() + FIRST_POLL_TIMEOUT;
        while self.discovery.counts().iter().any(|counts| counts.polls == 0) {
            if Instant::now() > deadline {
                return Err(Error::NoDiscoveryPoll);
            }
            self.shutdown.sleep(FIRST_POLL_CHECK_INTERVAL)?;
        }
        Ok(())
    }

    /// Reads the resource usage of the proxies, of their discovery server and of the machine.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Procfs`] if a proxy has ended.
    pub fn snapshot(&self) -> Result<UsageSnapshot, Error> {
        let usages = self.proxies.iter().map(ProxyProcess::usage).collect::<Result<_, _>>()?;
        let counts = self.discovery.counts();
        let server_usage = ProcessUsage::of_self()?;
        Ok(UsageSnapshot { at: Instant::now(), usages, counts, server_usage, machine: MachineLoad::now()? })
    }

    /// Publishes a random change at each of these times, which are relative to now.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Interrupted`] once a signal has arrived.
    pub fn publish_at(&mut self, times: &[Duration]) -> Result<(), Error> {
        let Self { discovery, changes, shutdown, .. } = self;
        discovery.publish_at(times, shutdown, || changes.next_change(discovery))
    }

    /// Waits until every proxy has acknowledged every version of the list, or until the timeout.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Interrupted`] once a signal has arrived.
    pub fn wait_for_acknowledgements(&self, timeout: Duration) -> Result<(), Error> {
        let deadline = Instant::now() + timeout;
        while self.discovery.pending_acknowledgements() > 0 && Instant::now() < deadline {
            self.shutdown.sleep(ACKNOWLEDGEMENT_CHECK_INTERVAL)?;
        }
        Ok(())
    }

    /// Compares the number of backends that each proxy lists with the number at discovery. Returns a note if
    /// the numbers differ.
    ///
    /// # Errors
    ///
    /// Returns an error if a proxy does not respond to `stats`.
    pub fn check_listed(&self) -> Result<Option<String>, Error> {
        let listed = self.discovery.listed();
        let mut differing = 0;
        for proxy in &self.proxies {
            differing += usize::from(proxy.stats()?["discovered"] != listed);
        }
        let proxies = self.proxies.len();
        Ok((differing > 0).then(|| {
            format!("{listed} listed at the end: {differing} of {proxies} proxies list another number")
        }))
    }

    /// Returns the first cells of a row about this group, in the order of [`GROUP_COLUMNS`].
    #[must_use]
    pub fn group_cells(&self) -> [Value; GROUP_COLUMNS.len()] {
        [self.size.listed.into(), self.proxies.len().into(), self.size.registry_mode.name().into()]
    }
}
