//! Starts a real proxy in front of stub backends, and runs loads through the proxy.

use super::load::{CALLER_COUNT, CallSample, CallSchedule, Caller, WARM_UP_SECONDS, poisson_calls};
use super::plan::LoadPlan;
use crate::address::{self, AddressRole};
use crate::backend::Backends;
use crate::discovery::{Change, Discovery};
use crate::error::Error;
use crate::instance::{InstanceList, create_instances};
use crate::proxy::{ProxyConfig, ProxyOptions, ProxyProcess, RegistryMode};
use crate::random_values::{derive_component_seed, poisson_arrivals};
use crate::resource_usage::{MachineLoad, ProcessUsage};
use crate::shutdown::ShutdownSignal;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::path::Path;
use std::time::Duration;

/// Maximum number of stub backends. A longer list repeats the addresses of the stub backends: a proxy sends
/// requests to few entries of its list, whatever the size of the list.
const MAX_STUB_BACKENDS: usize = 8;

/// A real proxy with an endpoint list, in front of stub backends that respond at once.
pub struct ProxyTestBed<'a> {
    shutdown: &'a ShutdownSignal,
    listed: usize,
    rng: SmallRng,
    // Fields are dropped in this order: the proxy must end before the servers.
    proxy: ProxyProcess,
    discovery: Discovery,
    backends: Backends,
}

/// Call samples and resource usage of one load.
pub struct LoadResult {
    /// Samples of all calls, including the calls of the warm-up.
    pub samples: Vec<CallSample>,
    /// Resource usage of the proxy before the load.
    pub usage_before: ProcessUsage,
    /// Resource usage of the proxy after the load.
    pub usage_after: ProcessUsage,
    /// Fraction of the time in which a task of the machine waited for a processor.
    pub machine_stall_fraction: f64,
}

impl<'a> ProxyTestBed<'a> {
    /// Starts the servers and the proxy, and waits until the proxy is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a server or the proxy does not start, and [`Error::Interrupted`] once a signal has
    /// arrived.
    pub fn start(
        seed: u64,
        shutdown: &'a ShutdownSignal,
        program: &Path,
        listed: usize,
    ) -> Result<Self, Error> {
        let backends = Backends::start(MAX_STUB_BACKENDS.min(listed))?;
        let instances = create_instances(backends.addresses().iter().copied().cycle().take(listed));
        let discovery = Discovery::start(instances.clone(), 1)?;
        let mut proxy = ProxyProcess::spawn(&ProxyOptions {
            program,
            listen: address::allocate_one(AddressRole::Listen),
            management: address::allocate_one(AddressRole::Management),
            discovery: discovery.addresses()[0],
            config: ProxyConfig {
                index: 0,
                tier_size: listed, // the fleet has one proxy for each backend
                seed,
                registry_mode: RegistryMode::Automatic,
                instances: &InstanceList::initial(&instances),
            },
        })?;
        proxy.wait_until_ready(shutdown)?;
        let rng = SmallRng::seed_from_u64(derive_component_seed(seed, listed as u64));
        Ok(Self { shutdown, listed, rng, proxy, discovery, backends })
    }

    /// Checks that requests have reached the stub backends.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NoBackendRequests`] if no backend has responded to a request.
    pub fn check_backends(&self) -> Result<(), Error> {
        if self.backends.responses() == 0 { Err(Error::NoBackendRequests) } else { Ok(()) }
    }

    /// Makes the calls of one load, and measures the resource usage of the proxy during the load.
    ///
    /// # Errors
    ///
    /// Returns an error if a caller cannot connect, and [`Error::Interrupted`] once a signal has
    /// arrived.
    pub fn measure(&mut self, load: LoadPlan) -> Result<LoadResult, Error> {
        let usage_before = self.proxy.usage()?;
        let machine = MachineLoad::now()?;
        let samples = self.run_load(load)?;
        let usage_after = self.proxy.usage()?;
        let machine_stall_fraction = MachineLoad::now()?.stall_fraction_since(&machine);
        Ok(LoadResult { samples, usage_before, usage_after, machine_stall_fraction })
    }

    fn run_load(&mut self, load: LoadPlan) -> Result<Vec<CallSample>, Error> {
        let seconds = WARM_UP_SECONDS + load.seconds;
        let calls = poisson_calls(&mut self.rng, load.rate, seconds);
        let changes = poisson_arrivals(&mut self.rng, load.changes, seconds);
        let shutdown = self.shutdown;
        let proxy = self.proxy.listen();
        let backends = self.backends.addresses().to_vec();
        let schedule = CallSchedule::start_soon(calls);
        std::thread::scope(|scope| {
            let mut callers = Vec::new();
            for number in 0..CALLER_COUNT {
                let backend = backends[number % backends.len()];
                let schedule = &schedule;
                callers.push(scope.spawn(move || Caller::connect(backend, proxy)?.run(schedule, shutdown)));
            }
            let published = self.publish_at(&changes);
            let mut samples = Vec::new();
            for caller in callers {
                samples.extend(caller.join().map_err(|_| Error::Panicked("a caller thread"))??);
            }
            published.map(|()| samples)
        })
    }

    /// Publishes a random weight change at each of these times, which are relative to now.
    fn publish_at(&mut self, times: &[Duration]) -> Result<(), Error> {
        self.discovery.publish_at(times, self.shutdown, || {
            let weight = self.rng.random_range(0.5..2.0);
            let index = self.rng.random_range(0..self.listed);
            Change::Weight { index, weight }
        })
    }
}
