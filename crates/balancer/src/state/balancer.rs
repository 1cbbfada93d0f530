//! All that one balancer knows, as one small structure for each concern.

use super::backend::{BackendIndex, BackendTable};
use super::call::CallTable;
use super::decaying_rate::ArrivalRates;
use super::key_queues::KeyQueues;
use super::maintenance_table::MaintenanceTable;
use super::quota::Quota;
use super::smoothed_mean::DecayingMean;
use super::traffic::Traffic;
use super::waiting_queue::WaitingQueue;
use crate::{BackendId, Endpoint, Settings, Status, Time};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::sync::Arc;

/// The backends in service, and which of them are members of this balancer's subset.
#[derive(Debug, Default)]
pub(crate) struct SubsetAssignment {
    /// Backends in service, in ascending order.
    pub in_service: Vec<BackendIndex>,
    /// Those to which this balancer sends first.
    pub members: Vec<BackendIndex>,
    /// Members that the calls in flight have called for so far.
    pub grown_to: usize,
}

/// Means of what all backends report; 0 where nothing has been reported.
#[derive(Debug, Default)]
pub(crate) struct FleetLoad {
    /// Service time, in seconds.
    pub service_time: Time,
    /// Requests a second that each backend serves that is not warming up.
    pub requests_per_second: f64,
}

/// When the endpoint list is polled.
#[derive(Debug)]
pub(crate) struct EndpointPolls {
    /// The first poll has been scheduled.
    pub is_scheduled: bool,
    /// When the last poll that follows a failure begins, in seconds.
    pub last_retry_at: Time,
}

/// One balancer: a state machine without I/O, clock or global state. [`Balancer::handle`] takes an event with
/// its time, and returns actions.
#[derive(Debug)]
pub struct Balancer {
    /// The settings in force.
    pub(crate) settings: Arc<Settings>,
    /// The time of the latest event, in seconds.
    pub(crate) now: Time,
    /// Where all random draws come from, in the order of the decisions.
    pub(crate) random: SmallRng,
    /// Requests without a final response.
    pub(crate) calls: CallTable,
    /// What is known of each backend.
    pub(crate) backends: BackendTable,
    /// The backends to which this balancer sends first.
    pub(crate) subset: SubsetAssignment,
    /// Rates and usual latencies.
    pub(crate) traffic: Traffic,
    /// Rates of arriving requests, by class.
    pub(crate) arrivals: Vec<ArrivalRates>,
    /// What is left of the quotas, by tenant.
    pub(crate) quotas: Vec<Quota>,
    /// Calls that wait for admission.
    pub(crate) waiting_queue: WaitingQueue,
    /// Mean excess of calls in flight, in deviations from the usual number.
    pub(crate) mean_excess: DecayingMean,
    /// Calls that run singly, by ordering key.
    pub(crate) key_queues: KeyQueues,
    /// Backends in maintenance or recently returned.
    pub(crate) maintenance: MaintenanceTable,
    /// Means of the load reports.
    pub(crate) fleet_load: FleetLoad,
    /// Attempts sent so far.
    pub(crate) sends: usize,
    /// When the endpoint list is polled.
    pub(crate) endpoint_polls: EndpointPolls,
    /// A second process serves the same clients, and there are twice as many balancers for the time.
    pub(crate) second_process: bool,
}

impl Balancer {
    /// A balancer that knows nothing, at `now` in seconds.
    pub(crate) fn empty(now: Time, seed: u64) -> Self {
        Self {
            settings: Arc::default(),
            now,
            random: SmallRng::seed_from_u64(seed),
            calls: CallTable::default(),
            backends: BackendTable::default(),
            subset: SubsetAssignment::default(),
            traffic: Traffic::starting_at(now),
            arrivals: Vec::new(),
            quotas: Vec::new(),
            waiting_queue: WaitingQueue::default(),
            mean_excess: DecayingMean::zero_at(now),
            key_queues: KeyQueues::default(),
            maintenance: MaintenanceTable::default(),
            fleet_load: FleetLoad::default(),
            sends: 0,
            endpoint_polls: EndpointPolls { is_scheduled: false, last_retry_at: f64::NEG_INFINITY },
            second_process: false,
        }
    }

    /// Requests without a final response.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.calls.len()
    }

    /// Backends that the balancer keeps state of.
    #[must_use]
    pub fn backends_known(&self) -> usize {
        self.backends.known()
    }

    /// Backends in the endpoint list.
    #[must_use]
    pub fn backends_listed(&self) -> usize {
        self.listed_endpoints().count()
    }

    /// The members of this balancer's subset, to which it sends first.
    pub fn members(&self) -> impl Iterator<Item = BackendId> {
        self.subset.members.iter().map(|member| self.backends[*member].endpoint.id)
    }

    /// What the endpoint list says of each backend.
    pub(crate) fn listed_endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        let endpoints = self.backends.iter().map(|backend| &backend.endpoint);
        endpoints.filter(|endpoint| endpoint.status != Status::Removed)
    }
}
