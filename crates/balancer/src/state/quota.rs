//! The quota of a tenant.

use super::token_bucket::TokenBucket;
use crate::Time;

/// One balancer's part of a tenant's quota.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Quota {
    /// The rate at which quota becomes available.
    pub requests_per_second: f64,
    /// The most requests that unused quota is kept for.
    pub burst: f64,
    /// What is left, in requests.
    pub available: TokenBucket,
}

impl Quota {
    /// Less than a request is left at `now`.
    pub fn is_exhausted(&mut self, now: Time) -> bool {
        self.available.refill(now, self.requests_per_second, self.burst) < 1.0
    }

    /// Counts a request.
    pub fn consume(&mut self) {
        self.available.tokens = (self.available.tokens - 1.0).max(0.0);
    }
}
