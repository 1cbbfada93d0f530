//! The default values of absent settings. Settings without a constant here are `false`, 0 or empty if absent.

use balancer::Time;

/// Priority weight of a request beyond the quota of its tenant, as a fraction of the weight of its class.
pub const OVER_QUOTA_WEIGHT: f64 = 1.0;
/// Number of balancers in the tier.
pub const INSTANCE_COUNT: usize = 1;
/// Maximum number of attempts of a request.
pub const MAX_ATTEMPTS: usize = 4;
/// Longest time between two polls of the endpoint list, in seconds.
pub const ENDPOINT_POLL_LIMIT: Time = 10.0;
/// Capacity of a backend at its start, as a fraction of its full capacity.
pub const SLOW_START_INITIAL_CAPACITY: f64 = 0.1;
/// Duration of the slow start of a backend, in seconds.
pub const SLOW_START_DURATION: Time = 10.0;
/// Multiple of its present capacity above which a backend in slow start is overloaded.
pub const SLOW_START_OVERLOAD_MULTIPLE: f64 = 3.0;
/// Time for which a backend in slow start must be sent more than the overload multiple before it is
/// overloaded, in seconds.
pub const SLOW_START_OVERLOAD_WINDOW: Time = 1.0;
/// Time for which no request of an ordering key is dispatched after an attempt of the key that may still be
/// running, in seconds.
pub const KEY_BLOCK_DURATION: Time = 0.0;
/// Resolution of timers and clocks, in seconds.
pub const CLOCK_RESOLUTION: Time = 0.001;

/// Deadline of a class that has neither a deadline nor a latency objective, in seconds.
pub const MAX_TIMEOUT: Time = 1.0;
/// Priority weight of a response between latency objective and deadline, as a fraction of the full priority
/// weight.
pub const LATE_PRIORITY_WEIGHT: f64 = 0.0;
/// Priority weight of a class relative to other classes.
pub const PRIORITY_WEIGHT: f64 = 1.0;
/// Time for which backends store an idempotency key, in seconds.
pub const IDEMPOTENCY_WINDOW: Time = 0.0;

/// Quota of a tenant, in requests per second: no limit.
pub const QUOTA_PER_SECOND: f64 = f64::MAX;
