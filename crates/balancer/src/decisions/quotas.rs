//! Quotas: whether a request is within the quota of its tenant.

use crate::interface::{Settings, Tenant, TenantIndex, Time};
use crate::support::TokenBucket;

/// The duration over which unused quota accumulates, in seconds. Quotas are given per second.
const BURST_SECONDS: Time = 1.0;

/// Whether a request is within the quota of its tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QuotaStatus {
    /// The tenant has quota left, or the request has no tenant.
    Within,
    /// The tenant has less than one request left in its quota.
    Exceeded,
}

/// The share of this balancer in the quota of a tenant.
#[derive(Clone, Copy, Debug)]
struct Quota {
    /// The refill rate, in requests per second.
    requests_per_second: f64,
    /// The limit of unused quota, in requests.
    burst: f64,
    /// The remaining quota, in requests.
    available: TokenBucket,
}

impl Quota {
    /// Returns the full quota of a tenant, which is divided evenly among `instances` balancers.
    fn new(tenant: &Tenant, instances: f64, now: Time) -> Self {
        let requests_per_second = tenant.quota_per_second / instances;
        let burst = (requests_per_second * BURST_SECONDS).max(1.0);
        Self { requests_per_second, burst, available: TokenBucket::new(burst, now) }
    }
}

/// The quotas of all tenants.
#[derive(Debug, Default)]
pub(super) struct Quotas {
    quotas: Vec<Quota>,
}

impl Quotas {
    /// Applies the tenants of new settings. `previous_indices` has, for each new tenant, its index in the
    /// previous settings, or `None` if the tenant is new. A tenant that existed before keeps its remaining
    /// quota.
    pub fn apply_settings(
        &mut self,
        settings: &Settings,
        previous_indices: &[Option<TenantIndex>],
        now: Time,
    ) {
        let instances = settings.instance_count.max(1) as f64;
        let mut quotas = Vec::with_capacity(settings.tenants.len());
        for (tenant, previous_index) in settings.tenants.iter().zip(previous_indices) {
            let mut quota = Quota::new(tenant, instances, now);
            if let Some(previous_index) = *previous_index {
                quota.available = self.quotas[previous_index.0].available;
            }
            quotas.push(quota);
        }
        self.quotas = quotas;
    }

    /// Returns the quota status at `now` of a request of a tenant. A request without a tenant is within
    /// quota.
    pub fn status(&mut self, tenant: Option<TenantIndex>, now: Time) -> QuotaStatus {
        let Some(quota) = tenant.and_then(|tenant| self.quotas.get_mut(tenant.0)) else {
            return QuotaStatus::Within;
        };
        let available = quota.available.refill(now, quota.requests_per_second, quota.burst);
        if available < 1.0 { QuotaStatus::Exceeded } else { QuotaStatus::Within }
    }

    /// Takes one request from the quota of a tenant, if there is a tenant. Callers consume quota for
    /// admitted requests only: clients retry rejected requests, and these retries would put every tenant
    /// over its quota under overload.
    pub fn consume(&mut self, tenant: Option<TenantIndex>) {
        if let Some(quota) = tenant.and_then(|tenant| self.quotas.get_mut(tenant.0)) {
            quota.available.take_available();
        }
    }
}
