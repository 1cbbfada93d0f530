//! The size of one deployment, and the configuration of its balancer.

use balancer::{BackendId, CellId, Endpoint, RequestClass, Settings, Tenant, Tier, Time, ZoneId};

/// Latency objective of all classes, in seconds. The balancer estimates over a multiple of the objective,
/// and takes no response time above a quarter of the objective as usual.
const LATENCY_OBJECTIVE_SECONDS: Time = 0.4;
/// Time-out of a request, in seconds.
pub const REQUEST_TIMEOUT_SECONDS: Time = 2.0 * LATENCY_OBJECTIVE_SECONDS;
/// Response time of most requests, in seconds.
pub const RESPONSE_TIME_SECONDS: Time = 0.05;
/// Response time of the slow requests, in seconds. As slow requests are few, the first retry timer fires
/// half-way to the response.
pub const SLOW_RESPONSE_TIME_SECONDS: Time = 0.1;
/// One request of this many is slow.
pub const REQUESTS_PER_SLOW_REQUEST: u64 = 16;
/// Zones of the backends.
const ZONE_COUNT: u32 = 3;
/// Backends in a cell.
const BACKENDS_PER_CELL: u32 = 20;
/// Quota of a tenant over the rate of all requests: quotas are counted, and none is exhausted.
const QUOTA_TO_RATE_RATIO: f64 = 10.0;

/// The size of one deployment, from the view of one balancer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DeploymentCase {
    /// Backends listed.
    pub backends: usize,
    /// Balancers of the deployment.
    pub instances: usize,
    /// Request classes.
    pub classes: usize,
    /// Tenants, each within its quota; 0 for none.
    pub tenants: usize,
    /// Mean number of open requests.
    pub open_requests: usize,
    /// The tier of this balancer.
    pub tier: Tier,
}

impl DeploymentCase {
    /// Returns the request rate per second that keeps the mean number of requests open, by Little's law.
    #[must_use]
    pub fn request_rate(&self) -> f64 {
        let slow = 1.0 / REQUESTS_PER_SLOW_REQUEST as f64;
        self.open_requests as f64 / (SLOW_RESPONSE_TIME_SECONDS * slow + RESPONSE_TIME_SECONDS * (1.0 - slow))
    }

    /// Returns the settings of the balancer. All settings of this command are made here.
    #[must_use]
    pub fn settings(&self) -> Settings {
        let class = |i: usize| RequestClass {
            name: i.to_string(),
            latency_objective: LATENCY_OBJECTIVE_SECONDS,
            max_timeout: REQUEST_TIMEOUT_SECONDS,
            ..RequestClass::default()
        };
        let quota_per_second = QUOTA_TO_RATE_RATIO * self.request_rate() * self.instances as f64;
        let tenant = |i: usize| Tenant { name: i.to_string(), quota_per_second };
        Settings {
            classes: (0..self.classes).map(class).collect(),
            tenants: (0..self.tenants).map(tenant).collect(),
            instance_count: self.instances,
            instance_index: self.instances / 2,
            tier: self.tier,
            ..Settings::default()
        }
    }

    /// Returns the complete endpoint list.
    #[must_use]
    pub fn endpoints(&self) -> Vec<Endpoint> {
        let endpoint = |i: u32| Endpoint {
            id: BackendId(i),
            cell: CellId(i / BACKENDS_PER_CELL),
            zone: ZoneId(i % ZONE_COUNT),
            ..Endpoint::default()
        };
        (0..self.backends as u32).map(endpoint).collect()
    }
}
