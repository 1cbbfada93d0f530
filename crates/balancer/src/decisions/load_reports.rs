//! Load reports: how long requests take each backend, how many it serves, and the health checks that bring
//! the reports where nothing else does.

use super::traffic::LATENCY_WEIGHT;
use crate::interface::*;
use crate::state::{Balancer, move_towards};

/// Weight of a new report in the service time of a backend.
const SERVICE_TIME_WEIGHT: f64 = 0.3;
/// Where only health checks bring load reports, one member is checked per this many sends.
const SENDS_PER_HEALTH_CHECK: usize = 3;

impl Balancer {
    pub(super) fn on_load_report(&mut self, backend: BackendId, report: Option<LoadReport>) {
        let Some((index, report)) = self.backends.index_of(backend).zip(report) else { return };
        let rate = report.requests_per_second.filter(|rate| *rate > 0.0);
        if let Some(rate) = rate.filter(|_| self.warming_up_since(index).is_none()) {
            move_towards(&mut self.fleet_load.requests_per_second, rate, LATENCY_WEIGHT);
        }
        if let Some(reported) = report.service_time.filter(|time| *time > 0.0) {
            let known = self.backends[index].service_time.get_or_insert(reported);
            *known += SERVICE_TIME_WEIGHT * (reported - *known);
            move_towards(&mut self.fleet_load.service_time, reported, LATENCY_WEIGHT);
        }
    }

    /// Counts a send, and requests the health check of the next member in turn if one is due.
    pub(super) fn check_health_after_send(&mut self, actions: &mut Vec<Action>) {
        self.sends += 1;
        let members = &self.subset.members;
        let is_due = self.sends.is_multiple_of(SENDS_PER_HEALTH_CHECK) && !members.is_empty();
        if is_due && self.settings.health_checks_for_load_reports {
            let member = members[self.sends / SENDS_PER_HEALTH_CHECK % members.len()];
            actions.push(Action::HealthCheck(self.backends[member].endpoint.id));
        }
    }
}
