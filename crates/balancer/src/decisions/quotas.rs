//! Quotas: whether a request lies within the quota of its tenant.

use crate::interface::{Settings, Tenant, TenantIndex, Time};
use crate::support::TokenBucket;

/// The time for which the unused quota of a tenant is kept, in seconds. Quotas are given per second.
const BURST_SECONDS: Time = 1.0;

/// Whether a request lies within the quota of its tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QuotaStatus {
    /// The tenant has quota left, or the request has no tenant.
    Within,
    /// Less than one request is left of the quota.
    Exceeded,
}

/// The share of one balancer in the quota of a tenant.
#[derive(Clone, Copy, Debug)]
struct Quota {
    /// The rate at which quota becomes available, in requests per second.
    requests_per_second: f64,
    /// The greatest number of requests for which unused quota is kept.
    burst: f64,
    /// The quota that is left, in requests.
    available: TokenBucket,
}

impl Quota {
    /// Returns the quota of a tenant, which is divided evenly among `instances` balancers.
    fn new(tenant: &Tenant, instances: f64, now: Time) -> Self {
        let requests_per_second = tenant.quota_per_second / instances;
        let burst = (requests_per_second * BURST_SECONDS).max(1.0);
        Self { requests_per_second, burst, available: TokenBucket::new(burst, now) }
    }
}

/// The quotas by tenant.
#[derive(Debug, Default)]
pub(super) struct Quotas {
    quotas: Vec<Quota>,
}

impl Quotas {
    /// Applies new settings. `previous` has the index of each tenant in the settings before, if it was
    /// there; such a tenant keeps the quota that it has left.
    pub fn apply_settings(&mut self, settings: &Settings, previous: &[Option<TenantIndex>], now: Time) {
        let instances = settings.instance_count.max(1) as f64;
        let mut quotas = Vec::with_capacity(settings.tenants.len());
        for (tenant, previous) in settings.tenants.iter().zip(previous) {
            let mut quota = Quota::new(tenant, instances, now);
            if let Some(previous) = *previous {
                quota.available = self.quotas[previous.0].available;
            }
            quotas.push(quota);
        }
        self.quotas = quotas;
    }

    /// Returns whether a request of a tenant, if it has one, lies within the quota at `now`.
    pub fn status(&mut self, tenant: Option<TenantIndex>, now: Time) -> QuotaStatus {
        let Some(quota) = tenant.and_then(|tenant| self.quotas.get_mut(tenant.0)) else {
            return QuotaStatus::Within;
        };
        let available = quota.available.refill(now, quota.requests_per_second, quota.burst);
        if available < 1.0 { QuotaStatus::Exceeded } else { QuotaStatus::Within }
    }

    /// Takes one request from the quota of a tenant, if the request has one. Called for admitted requests
    /// only: clients retry rejected requests, and under overload these retries would put every tenant
    /// over its quota.
    pub fn consume(&mut self, tenant: Option<TenantIndex>) {
        if let Some(quota) = tenant.and_then(|tenant| self.quotas.get_mut(tenant.0)) {
            quota.available.take_available();
        }
    }
}
