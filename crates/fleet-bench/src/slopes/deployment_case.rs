//! The sizes of one deployment, and the settings of its balancer.

use balancer::{BackendId, CellId, Endpoint, RequestClass, Settings, Tenant, Tier, Time, ZoneId};

/// Latency objective of all classes. The balancer averages its estimates over a multiple of the objective,
/// and does not accept a usual response time above a quarter of the objective.
const LATENCY_OBJECTIVE_SECONDS: Time = 0.4;
/// Timeout of a request.
pub const REQUEST_TIMEOUT_SECONDS: Time = 2.0 * LATENCY_OBJECTIVE_SECONDS;
/// Response time of most requests.
pub const RESPONSE_TIME_SECONDS: Time = 0.05;
/// Response time of slow requests. Slow requests are rare, so that the first retry timer fires after half
/// of this time.
pub const SLOW_RESPONSE_TIME_SECONDS: Time = 0.1;
/// One in this many requests is slow.
pub const REQUESTS_PER_SLOW_REQUEST: u64 = 16;
/// Number of zones of the backends.
const ZONE_COUNT: u32 = 3;
/// Number of backends in a cell.
const BACKENDS_PER_CELL: u32 = 20;
/// Quota of a tenant divided by the request rate of the whole deployment. The balancer counts the quotas,
/// and no quota is exhausted.
const QUOTA_TO_RATE_RATIO: f64 = 10.0;

/// The sizes of one deployment, and the tier of the simulated balancer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DeploymentCase {
    /// Number of listed backends.
    pub backends: usize,
    /// Number of balancers in the deployment.
    pub instances: usize,
    /// Number of request classes.
    pub classes: usize,
    /// Number of tenants, each within its quota.
    pub tenants: usize,
    /// Mean number of open requests.
    pub open_requests: usize,
    /// Tier of the simulated balancer.
    pub tier: Tier,
}

impl DeploymentCase {
    /// Returns the request rate per second at which the mean number of open requests is
    /// [`Self::open_requests`], by Little's law.
    #[must_use]
    pub fn request_rate(&self) -> f64 {
        let slow_fraction = 1.0 / REQUESTS_PER_SLOW_REQUEST as f64;
        self.open_requests as f64
            / (SLOW_RESPONSE_TIME_SECONDS * slow_fraction + RESPONSE_TIME_SECONDS * (1.0 - slow_fraction))
    }

    /// Returns the settings of the balancer.
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

    /// Returns the full endpoint list.
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
