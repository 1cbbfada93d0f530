//! The health of the backends, and the calls in flight at healthy backends.

use super::Backends;
use crate::interface::{Settings, Time};

impl Backends {
    /// Returns the relative latency above which a backend is an outlier.
    pub fn outlier_threshold(&self, now: Time) -> f64 {
        let members = self.subset.members().iter().copied();
        let warm = members.clone().filter(|member| self.warming_up_since(*member, now).is_none());
        self.outliers.threshold(warm, members, now)
    }

    /// Returns the number of members that are no outliers.
    pub fn healthy_members(&self, now: Time) -> usize {
        let threshold = self.outlier_threshold(now);
        let members = self.subset.members().iter();
        members.filter(|member| self.outliers.relative_latency(**member, now) <= threshold).count()
    }

    /// Returns the number of this balancer's attempts in flight at backends in service that are no outliers.
    /// Outliers are excluded because calls accumulate there due to a fault of the backend, not due to an
    /// overload of the fleet.
    pub fn in_flight_at_healthy_backends(&self, now: Time) -> usize {
        let threshold = self.outlier_threshold(now);
        let in_service = self.subset.in_service().iter().copied();
        let healthy = in_service.filter(|index| self.outliers.relative_latency(*index, now) <= threshold);
        healthy.map(|index| self.attempt_counts.in_flight(index)).sum()
    }

    /// Returns the number of calls in flight from all balancers at each healthy member, on the assumption
    /// that each balancer has as many calls in flight as this one.
    pub fn calls_per_backend(&self, calls_in_flight: f64, settings: &Settings, now: Time) -> f64 {
        let healthy = self.healthy_members(now) as f64;
        calls_in_flight * self.balancers_per_backend(settings) / healthy.max(1.0)
    }

    /// Returns the number of listed backends that are sent few requests or none: backends in maintenance and
    /// outliers.
    pub fn avoided(&self, now: Time) -> usize {
        let in_maintenance = self.listed().filter(|endpoint| self.maintenance.contains(endpoint.id));
        let outliers = self.subset.members().len() - self.healthy_members(now);
        in_maintenance.count() + outliers
    }
}
