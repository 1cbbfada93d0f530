//! A fleet of balancers and backends, its load, and the backends that start.

use crate::common::fixtures::request_class;
use balancer::{BackendId, Effect, Endpoint, RequestClass, Settings, Tier, Time};

/// The number of backends of each fleet.
pub const BACKEND_COUNT: usize = 20;
/// The difference between the ids of consecutive backends.
const BACKEND_ID_STEP: u32 = 7919;
/// The time at which [`Fleet::started_backends`] backends start, in seconds.
pub const BACKEND_START_TIME: Time = 30.0;
/// The timeout of each request, in seconds.
pub const REQUEST_TIMEOUT: Time = 4.0;
/// One balancer out of this number is busier than the others if the traffic is skewed.
const BUSY_BALANCER_INTERVAL: usize = 5;

/// A fleet, its load and the backends that start.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// The number of balancers.
    pub balancers: usize,
    /// The rate of arriving requests, as a fraction of the capacity of all backends.
    pub load: f64,
    /// The traffic of a busy balancer, as a multiple of the traffic of the others.
    pub skew: f64,
    /// The number of backends that start at the same time.
    pub started_backends: usize,
    /// Whether the balancers start at the same time as these backends.
    pub balancers_start_with_backends: bool,
    /// The tier of the balancers.
    pub tier: Tier,
    /// The capacity of a backend that is not warming up, in requests per second.
    pub capacity: f64,
    /// The capacity of a backend at its start, as a fraction of the full capacity.
    pub initial_capacity: f64,
    /// The overload window, in seconds.
    pub overload_window: Time,
    /// Whether responses report the request rate of their backend.
    pub has_load_reports: bool,
}

/// A fleet near full load, with an overload window of 1 s and an initial capacity of a tenth. Random arrivals
/// have the greatest effect under these conditions.
pub const NEAR_FULL_LOAD_FLEET: Fleet = Fleet {
    balancers: 20,
    load: 0.95,
    skew: 1.0,
    started_backends: 1,
    balancers_start_with_backends: false,
    tier: Tier(1),
    capacity: 10.0,
    initial_capacity: 0.1,
    overload_window: 1.0,
    has_load_reports: false,
};

impl Fleet {
    /// Returns the settings that all balancers have in common.
    pub fn settings(&self) -> Settings {
        Settings {
            classes: vec![RequestClass {
                latency_objective: 2.0,
                max_timeout: REQUEST_TIMEOUT,
                late_priority_weight: 0.5,
                ..request_class(Effect::Safe)
            }],
            slow_start_initial_capacity: self.initial_capacity,
            slow_start_duration: 8.8,
            slow_start_overload_multiple: 3.0,
            slow_start_overload_window: self.overload_window,
            max_attempts: 6,
            connections_have_cost: true,
            ..Settings::default()
        }
    }

    /// Returns the settings of one balancer.
    pub fn settings_of(&self, balancer: usize) -> Settings {
        Settings {
            instance_index: balancer,
            instance_count: self.balancers,
            tier: self.tier,
            ..self.settings()
        }
    }

    /// Returns the traffic of a balancer, relative to the traffic of the others.
    fn relative_traffic(&self, balancer: usize) -> f64 {
        if balancer.is_multiple_of(BUSY_BALANCER_INTERVAL) { self.skew } else { 1.0 }
    }

    /// Returns the rate at which requests arrive at a balancer, in requests per second.
    pub fn request_rate(&self, balancer: usize) -> f64 {
        let weights: f64 = (0..self.balancers).map(|other| self.relative_traffic(other)).sum();
        self.load * self.capacity * BACKEND_COUNT as f64 * self.relative_traffic(balancer) / weights
    }

    /// Returns the time at which the balancers start, in seconds.
    pub fn balancer_start_time(&self) -> Time {
        if self.balancers_start_with_backends { BACKEND_START_TIME } else { 0.0 }
    }

    /// Returns the endpoint list that the balancers have at their start.
    pub fn initial_endpoints(&self) -> Vec<Endpoint> {
        if self.balancers_start_with_backends {
            self.endpoints_with_started_backends()
        } else {
            endpoints_without_started_backends()
        }
    }

    /// Returns the endpoint list after the start of some backends.
    fn endpoints_with_started_backends(&self) -> Vec<Endpoint> {
        let mut endpoints = endpoints_without_started_backends();
        for endpoint in &mut endpoints[..self.started_backends] {
            endpoint.started_at = Some(BACKEND_START_TIME);
        }
        endpoints
    }

    /// Returns the endpoints of the backends that start.
    pub fn started_endpoints(&self) -> Vec<Endpoint> {
        let mut endpoints = self.endpoints_with_started_backends();
        endpoints.truncate(self.started_backends);
        endpoints
    }
}

/// Returns an endpoint list in which no backend has started recently.
fn endpoints_without_started_backends() -> Vec<Endpoint> {
    let endpoint = |index| Endpoint { id: BackendId(index * BACKEND_ID_STEP), ..Endpoint::default() };
    (0..BACKEND_COUNT as u32).map(endpoint).collect()
}

/// Returns the index of a backend, from 0.
pub fn backend_index(id: BackendId) -> usize {
    (id.0 / BACKEND_ID_STEP) as usize
}
