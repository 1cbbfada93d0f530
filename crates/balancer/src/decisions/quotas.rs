//! Quotas: whether a request lies within the quota of its tenant.

use crate::interface::*;
use crate::state::{Balancer, Quota, TokenBucket};

/// Unused quota of a tenant is kept for this many seconds, as quotas are given by the second.
const BURST_SECONDS: Time = 1.0;

impl Balancer {
    /// Applies new quotas. A tenant that had an index in the `previous` settings keeps what it has used.
    pub(super) fn apply_quotas(&mut self, settings: &Settings, previous: &[Option<usize>]) {
        let instances = settings.instance_count.max(1) as f64;
        let quota = |(tenant, previous): (&Tenant, &Option<usize>)| {
            let requests_per_second = tenant.quota_per_second / instances;
            let burst = (requests_per_second * BURST_SECONDS).max(1.0);
            let full = TokenBucket { tokens: burst, at: self.now };
            let available = previous.map_or(full, |previous| self.quotas[previous].available);
            Quota { requests_per_second, burst, available }
        };
        self.quotas = settings.tenants.iter().zip(previous).map(quota).collect();
    }

    /// Counts a request, and returns whether it exceeds its tenant's quota. Only admitted requests use up
    /// quota: clients retry rejected ones, and under overload these retries would put every tenant over.
    pub(super) fn count_arrival(&mut self, class: usize, tenant: Option<usize>) -> bool {
        let quota = tenant.and_then(|tenant| self.quotas.get_mut(tenant));
        let over_quota = quota.is_some_and(|quota| quota.is_exhausted(self.now));
        let arrivals = &mut self.arrivals[class];
        let rate = if over_quota { &mut arrivals.over_quota } else { &mut arrivals.within_quota };
        rate.record(self.now, self.traffic.memory);
        over_quota
    }
}
