//! The concerns that have state by backend, and the questions that need several of them.

mod health;

use crate::decisions::attempt_counts::AttemptCounts;
use crate::decisions::decision_context::DecisionContext;
use crate::decisions::endpoint_table::{EndpointChange, EndpointTable};
use crate::decisions::load_reports::{LoadReports, WarmUpState};
use crate::decisions::maintenance::{Maintenance, PriorUse};
use crate::decisions::outlier_detection::OutlierDetection;
use crate::decisions::slow_start::{SlowStart, WarmRate};
use crate::decisions::subset::{self, AssignmentInputs, Subset};
use crate::decisions::traffic::Traffic;
use crate::interface::{BackendId, Endpoint, LoadReport, ServingProcesses, Settings, Status, Time};
use crate::support::BackendIndex;

/// All that a balancer knows of backends, one field for each concern.
#[derive(Debug, Default)]
pub(super) struct Backends {
    endpoints: EndpointTable,
    attempt_counts: AttemptCounts,
    outliers: OutlierDetection,
    load_reports: LoadReports,
    slow_start: SlowStart,
    maintenance: Maintenance,
    subset: Subset,
    processes: ServingProcesses,
}

impl Backends {
    /// Adopts new settings, in place of the settings `old`, and what the traffic says under the new ones.
    pub fn apply_settings(&mut self, old: &Settings, new: &Settings, traffic: &Traffic, now: Time) {
        self.outliers.set_rate_time_constant(traffic.time_constant());
        self.slow_start.apply_settings(new);
        if !subset::is_assignment_unchanged(old, new) {
            self.assign_subset(new, traffic.observed_calls_in_flight(), now);
        }
    }

    /// Sets the processes that serve the clients of each balancer.
    pub fn set_processes(&mut self, processes: ServingProcesses) {
        self.processes = processes;
    }

    /// Returns the index of a backend, if the backend is known.
    pub fn index_of(&self, id: BackendId) -> Option<BackendIndex> {
        self.endpoints.index_of(id)
    }

    /// Returns the entry of a backend in the endpoint list.
    pub fn endpoint(&self, index: BackendIndex) -> &Endpoint {
        self.endpoints.get(index)
    }

    /// Returns the number of known backends.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns the endpoints that the list names.
    pub fn listed(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.listed()
    }

    /// Returns the members of the subset.
    pub fn subset(&self) -> &Subset {
        &self.subset
    }

    /// Returns the latencies and responses of the backends.
    pub fn outliers(&self) -> &OutlierDetection {
        &self.outliers
    }

    /// Returns the latencies and responses of the backends.
    pub fn outliers_mut(&mut self) -> &mut OutlierDetection {
        &mut self.outliers
    }

    /// Marks all endpoints as removed, before a complete list is applied.
    pub fn mark_all_removed(&mut self) {
        self.endpoints.mark_all_removed();
    }

    /// Applies one entry of the endpoint list, and returns the index of its backend.
    pub fn apply_endpoint(&mut self, endpoint: &Endpoint, now: Time) -> BackendIndex {
        let upserted = self.endpoints.upsert(endpoint);
        match upserted.change {
            EndpointChange::Added => self.add(upserted.index, now),
            EndpointChange::Restarted => self.reset_after_restart(upserted.index, now),
            EndpointChange::Updated => {}
        }
        upserted.index
    }

    fn add(&mut self, index: BackendIndex, now: Time) {
        self.attempt_counts.add_backend(index);
        self.outliers.add_backend(index, now);
        self.load_reports.add_backend(index);
        self.slow_start.reset(index, now);
    }

    /// Forgets the latency of a backend that has been restarted, and the budget of its previous slow start.
    fn reset_after_restart(&mut self, index: BackendIndex, now: Time) {
        self.outliers.reset_latency(index, now);
        self.slow_start.reset(index, now);
    }

    /// Forgets the removed backends to which no attempt refers.
    pub fn forget_removed(&mut self) {
        let attempt_counts = &self.attempt_counts;
        self.endpoints.prune_removed(|index| attempt_counts.is_referenced(index));
    }

    /// Returns whether a backend is listed as in service, and not in maintenance.
    fn is_in_service(&self, index: BackendIndex) -> bool {
        let endpoint = self.endpoint(index);
        endpoint.status == Status::InService && !self.maintenance.contains(endpoint.id)
    }

    /// Assigns the subset again, after a change of the backends in service or of the size.
    pub fn assign_subset(&mut self, settings: &Settings, calls_in_flight: Option<f64>, now: Time) {
        let in_service = self.endpoints.indices().filter(|index| self.is_in_service(*index)).collect();
        let inputs = AssignmentInputs {
            settings,
            endpoints: &self.endpoints,
            maintenance: &self.maintenance,
            calls_in_flight,
            now,
        };
        self.subset.assign(in_service, inputs);
    }

    /// Assigns a larger subset, if the calls in flight call for more members than ever before.
    pub fn grow_subset(&mut self, settings: &Settings, calls_in_flight: Option<f64>, now: Time) {
        if self.subset.raise_high_watermark(calls_in_flight, settings) {
            self.assign_subset(settings, calls_in_flight, now);
        }
    }

    /// Removes a backend from service. Returns whether it was in service as far as operators are concerned.
    pub fn begin_maintenance(&mut self, id: BackendId, now: Time) -> bool {
        self.maintenance.prune_returned(now, self.slow_start.duration());
        if self.maintenance.contains(id) {
            return false;
        }
        let is_used = self.is_used(id, now);
        let prior_use = if is_used { PriorUse::Used } else { PriorUse::Unused };
        self.maintenance.begin(id, now, prior_use);
        true
    }

    /// Puts a backend back into service. Returns whether it was in maintenance.
    pub fn end_maintenance(&mut self, id: BackendId, now: Time) -> bool {
        self.maintenance.prune_returned(now, self.slow_start.duration());
        if !self.maintenance.contains(id) {
            return false;
        }
        let index = self.index_of(id);
        let listed_start = index.and_then(|index| self.endpoint(index).started_at);
        self.maintenance.end(id, now, listed_start);
        if let Some(index) = index {
            self.reset_after_restart(index, now);
        }
        true
    }

    /// Returns whether a backend is a member, or was used recently in place of one.
    fn is_used(&self, id: BackendId, now: Time) -> bool {
        self.index_of(id)
            .is_some_and(|index| self.subset.contains(index) || self.outliers.was_recently_active(index, now))
    }

    /// Returns the time at which a backend started or returned from maintenance, if it is in slow start.
    fn warming_up_since(&self, index: BackendIndex, now: Time) -> Option<Time> {
        let endpoint = self.endpoint(index);
        let assumed_start = self.maintenance.assumed_start(endpoint.id);
        let started_at = endpoint.started_at.into_iter().chain(assumed_start).reduce(Time::max)?;
        self.slow_start.is_warming_up(started_at, now).then_some(started_at)
    }

    /// Returns whether a request may be sent to a backend: it is in service and, while in slow start, has a
    /// budget left. Only members have such a budget.
    pub fn is_usable(&mut self, index: BackendIndex, context: &mut DecisionContext<'_>) -> bool {
        let Some(started_at) = self.warming_up_since(index, context.now) else {
            return self.is_in_service(index);
        };
        if !self.is_in_service(index) || !self.subset.contains(index) {
            return false;
        }
        let warm_rate = self.warm_rate(index, context);
        self.slow_start.has_budget(index, started_at, warm_rate, context.now, context.random)
    }

    /// Returns the rate of requests that this balancer would send to a member, if the member were not in slow
    /// start and were in as many subsets as the others. The plans of all balancers then add up alike.
    fn warm_rate(&self, member: BackendIndex, context: &mut DecisionContext<'_>) -> WarmRate {
        let memberships = self.subset.membership_ratio_to_mean(member);
        let successes = context.traffic.successes_per_second(context.now);
        if let Some(reported) = self.load_reports.requests_per_second_per_backend() {
            let balancers = self.balancers_per_backend(context.settings);
            return WarmRate::Reported(reported / balancers / memberships);
        }
        let members = self.subset.members().len().max(1) as f64;
        WarmRate::Own(successes / members / memberships)
    }

    /// Returns the number of balancers that have a backend as a member, if all have as many members as
    /// this one.
    fn balancers_per_backend(&self, settings: &Settings) -> f64 {
        let processes = match self.processes {
            ServingProcesses::One => 1,
            ServingProcesses::Two => 2,
        };
        self.subset.balancers_per_backend(settings.instance_count * processes)
    }

    /// Records that an attempt has been sent to a backend.
    pub fn record_send(&mut self, index: BackendIndex) {
        self.attempt_counts.add_reference(index);
        self.slow_start.record_send(index);
    }

    /// Records that a backend has received a request completely, and has to process it.
    pub fn record_request_received(&mut self, index: BackendIndex, now: Time) {
        if self.attempt_counts.in_flight(index) == 0 {
            self.outliers.record_activity(index, now);
        }
        self.attempt_counts.increment_in_flight(index);
    }

    /// Records that an attempt whose request had been received completely has ended.
    pub fn record_attempt_end(&mut self, index: BackendIndex) {
        self.attempt_counts.decrement_in_flight(index);
    }

    /// Records that the call of an attempt has finished.
    pub fn record_call_end(&mut self, index: BackendIndex) {
        self.attempt_counts.remove_reference(index);
    }

    /// Records the load report of a backend, if the backend is known.
    pub fn record_load_report(&mut self, id: BackendId, report: Option<LoadReport>, now: Time) {
        let Some((index, report)) = self.index_of(id).zip(report) else { return };
        let state = match self.warming_up_since(index, now) {
            Some(_) => WarmUpState::WarmingUp,
            None => WarmUpState::Warm,
        };
        self.load_reports.record(index, state, report);
    }

    /// Counts a send for the schedule of health checks. Returns the member to check, if a check is due.
    pub fn next_health_check(&mut self) -> Option<BackendId> {
        let member = self.load_reports.count_send(self.subset.members())?;
        Some(self.endpoint(member).id)
    }

    /// Returns this balancer's attempts in flight at a backend whose request has been received completely.
    pub fn in_flight(&self, index: BackendIndex) -> usize {
        self.attempt_counts.in_flight(index)
    }

    /// Returns the service time of a backend over that of the fleet, or 1 if nothing has been reported.
    pub fn relative_service_time(&self, index: BackendIndex) -> f64 {
        self.load_reports.relative_service_time(index)
    }
}
