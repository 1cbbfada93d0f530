//! The concerns with state for each backend, and the functions that combine several of these concerns.

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

/// The state of a balancer for its backends, with one field for each concern.
#[derive(Debug, Default)]
pub(super) struct Backends {
    endpoints: EndpointTable,
    attempt_counts: AttemptCounts,
    outliers: OutlierDetection,
    load_reports: LoadReports,
    slow_start: SlowStart,
    maintenance: Maintenance,
    subset: Subset,
    serving_processes: ServingProcesses,
}

impl Backends {
    /// Applies new settings in place of `old`. `traffic` has been updated to the new settings before.
    pub fn apply_settings(&mut self, old: &Settings, new: &Settings, traffic: &Traffic, now: Time) {
        self.outliers.set_rate_time_constant(traffic.time_constant());
        self.slow_start.apply_settings(new);
        if !subset::is_assignment_unchanged(old, new) {
            self.assign_subset(new, traffic.observed_calls_in_flight(), now);
        }
    }

    /// Sets the processes that serve the clients of each balancer.
    pub fn set_serving_processes(&mut self, serving_processes: ServingProcesses) {
        self.serving_processes = serving_processes;
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

    /// Returns the entries of the endpoint list.
    pub fn listed(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.listed()
    }

    /// Returns the subset of this balancer.
    pub fn subset(&self) -> &Subset {
        &self.subset
    }

    /// Returns the outlier detection, with the observed latencies and responses of the backends.
    pub fn outliers(&self) -> &OutlierDetection {
        &self.outliers
    }

    /// Returns the outlier detection, to record latencies and responses.
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

    /// Resets the relative latency and the slow start budget of a backend that has been restarted.
    fn reset_after_restart(&mut self, index: BackendIndex, now: Time) {
        self.outliers.reset_latency(index, now);
        self.slow_start.reset(index, now);
    }

    /// Deletes the state of backends that have been removed from the endpoint list and to which no attempt
    /// refers.
    pub fn remove_unreferenced(&mut self) {
        let attempt_counts = &self.attempt_counts;
        self.endpoints.remove_unreferenced(|index| attempt_counts.is_referenced(index));
    }

    /// Returns whether a backend is in service according to the endpoint list, and not in maintenance.
    fn is_in_service(&self, index: BackendIndex) -> bool {
        let endpoint = self.endpoint(index);
        endpoint.status == Status::InService && !self.maintenance.contains(endpoint.id)
    }

    /// Reassigns the subset after a change of the backends in service or of the size of the subset.
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

    /// Reassigns the subset if the calls in flight require more members than at any time before.
    pub fn grow_subset(&mut self, settings: &Settings, calls_in_flight: Option<f64>, now: Time) {
        if self.subset.raise_high_watermark(calls_in_flight, settings) {
            self.assign_subset(settings, calls_in_flight, now);
        }
    }

    /// Begins the maintenance of a backend. Returns whether the maintenance has begun, which is false if the
    /// backend was in maintenance already.
    pub fn begin_maintenance(&mut self, id: BackendId, now: Time) -> bool {
        self.maintenance.remove_returned(now, self.slow_start.duration());
        if self.maintenance.contains(id) {
            return false;
        }
        let is_used = self.is_used(id, now);
        let prior_use = if is_used { PriorUse::Used } else { PriorUse::Unused };
        self.maintenance.begin(id, now, prior_use);
        true
    }

    /// Ends the maintenance of a backend. Returns whether the backend was in maintenance.
    pub fn end_maintenance(&mut self, id: BackendId, now: Time) -> bool {
        self.maintenance.remove_returned(now, self.slow_start.duration());
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

    /// Returns whether a backend is a member of the subset, or was used recently in place of a member.
    fn is_used(&self, id: BackendId, now: Time) -> bool {
        self.index_of(id)
            .is_some_and(|index| self.subset.contains(index) || self.outliers.was_recently_active(index, now))
    }

    /// Returns the later of a backend's start and its return from maintenance, in seconds, if the backend
    /// is in slow start.
    fn warming_up_since(&self, index: BackendIndex, now: Time) -> Option<Time> {
        let endpoint = self.endpoint(index);
        let assumed_start = self.maintenance.assumed_start(endpoint.id);
        let started_at = endpoint.started_at.into_iter().chain(assumed_start).reduce(Time::max)?;
        self.slow_start.is_warming_up(started_at, now).then_some(started_at)
    }

    /// Returns whether a request may be sent to a backend. The backend must be in service. A backend in slow
    /// start must also be a member and have budget left.
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

    /// Returns the rate of requests that this balancer would send to a member that is not in slow start. The
    /// rate is divided by the ratio of the number of subsets that contain the member to the mean number, so
    /// that the rates of all balancers add up to the same total for each backend.
    fn warm_rate(&self, member: BackendIndex, context: &mut DecisionContext<'_>) -> WarmRate {
        let membership_ratio = self.subset.membership_ratio_to_mean(member);
        let successes = context.traffic.successes_per_second(context.now);
        if let Some(reported) = self.load_reports.requests_per_second_per_backend() {
            let balancers = self.balancers_per_backend(context.settings);
            return WarmRate::Reported(reported / balancers / membership_ratio);
        }
        let members = self.subset.members().len().max(1) as f64;
        WarmRate::Own(successes / members / membership_ratio)
    }

    /// Returns the number of balancers that have a given backend as a member, on the assumption that each
    /// balancer has as many members as this one. A second serving process counts as a balancer.
    fn balancers_per_backend(&self, settings: &Settings) -> f64 {
        let processes = match self.serving_processes {
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

    /// Records that a backend has received the request of an attempt completely.
    pub fn record_request_received(&mut self, index: BackendIndex, now: Time) {
        if self.attempt_counts.in_flight(index) == 0 {
            self.outliers.record_activity(index, now);
        }
        self.attempt_counts.increment_in_flight(index);
    }

    /// Records the end of an attempt whose request the backend had received completely.
    pub fn record_attempt_end(&mut self, index: BackendIndex) {
        self.attempt_counts.decrement_in_flight(index);
    }

    /// Records that the call of an attempt at a backend has finished.
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

    /// Counts a send, and returns the member whose health is to be checked if a health check is due.
    pub fn next_health_check(&mut self) -> Option<BackendId> {
        let member = self.load_reports.count_send(self.subset.members())?;
        Some(self.endpoint(member).id)
    }

    /// Returns the number of this balancer's attempts in flight at a backend. An attempt counts once the
    /// backend has received its request completely.
    pub fn in_flight(&self, index: BackendIndex) -> usize {
        self.attempt_counts.in_flight(index)
    }

    /// Returns the service time of a backend divided by the mean of the fleet, or 1 if nothing has been
    /// reported.
    pub fn relative_service_time(&self, index: BackendIndex) -> f64 {
        self.load_reports.relative_service_time(index)
    }
}
