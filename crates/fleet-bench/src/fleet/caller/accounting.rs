//! Counts and records the calls, attempts and messages of one caller.

use super::endpoint_list::EndpointList;
use super::message::Message;
use crate::fleet::checker::OpenCall;
use crate::fleet::observations::{CallerObservations, SlowStartAttempt, StateSize, SubsetMember};
use crate::fleet::recording::{Record, RecordedEvent, Recording};
use crate::fleet::scenario::Scenario;
use balancer::{Balancer, EndpointUpdate, Event, Settings, Time};

/// The way in which a call ended without success.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// The balancer rejected the call: the call has not run, and a retry is harmless.
    Rejected,
    /// The call failed.
    Failed,
}

/// A call that ended without success.
#[derive(Clone, Copy, Debug)]
pub struct FailedCall {
    /// The call.
    pub call: OpenCall,
    /// The way in which the call ended.
    pub kind: FailureKind,
    /// Whether at least one backend in service was reachable when the call ended.
    pub backend_reachable: bool,
}

/// An attempt that was sent.
#[derive(Clone, Copy, Debug)]
pub struct SentAttempt {
    /// The index of the backend in the service.
    pub backend: usize,
    /// The virtual time of the send, in seconds.
    pub sent_at: Time,
    /// Whether the backend was down or partitioned when the attempt was sent.
    pub unavailable: bool,
}

/// Collects the observations of a caller during the simulation.
#[derive(Debug)]
pub struct Accounting<'a> {
    scenario: &'a Scenario<'a>,
    observations: CallerObservations,
}

impl<'a> Accounting<'a> {
    /// Creates the accounting of a caller, without observations yet.
    pub fn new(scenario: &'a Scenario<'a>) -> Self {
        let observations = CallerObservations {
            update_delays: vec![None; scenario.changes.len()],
            warm_up_attempts: vec![0; scenario.service().machines.len()],
            ..CallerObservations::default()
        };
        Self { scenario, observations }
    }

    /// Begins to record the events of a balancer with this seed and these settings.
    pub fn start_recording(&mut self, seed: u64, settings: Settings) {
        self.observations.recording = Some(Recording::new(seed, settings));
    }

    /// Returns the observations at the end of the simulation.
    pub fn into_observations(self) -> CallerObservations {
        self.observations
    }

    /// Returns whether the window has begun. Calls and attempts before the window are not counted.
    pub fn is_in_window(&self, now: Time) -> bool {
        now >= self.scenario.context.plan.warm_up
    }

    /// Records an event without endpoints.
    pub fn record_event(&mut self, now: Time, event: Event<'static>) {
        self.record(now, || RecordedEvent::WithoutEndpoints(event));
    }

    /// Records an endpoint update.
    pub fn record_update(&mut self, now: Time, update: EndpointUpdate<'_>) {
        self.record(now, || RecordedEvent::from_update(update));
    }

    /// Records the start of a new process with this seed.
    pub fn record_start(&mut self, now: Time, seed: u64) {
        self.record(now, || RecordedEvent::Start { seed });
    }

    fn record(&mut self, at: Time, event: impl FnOnce() -> RecordedEvent) {
        if let Some(recording) = &mut self.observations.recording {
            recording.records.push(Record { at, event: event() });
        }
    }

    /// Counts a call that is made in the window.
    pub fn count_call(&mut self) {
        self.observations.counts.calls.total += 1;
    }

    /// Counts a call that succeeded.
    pub fn count_success(&mut self, call: OpenCall) {
        self.observations.counts.calls.succeeded += u64::from(call.counted);
    }

    /// Counts a call that was rejected or failed.
    pub fn count_failure(&mut self, failed: FailedCall) {
        if !failed.call.counted {
            return;
        }
        let counts = &mut self.observations.counts.calls;
        match failed.kind {
            FailureKind::Rejected => counts.rejected += 1,
            FailureKind::Failed => counts.failed += 1,
        }
        counts.without_attempt += u64::from(failed.call.attempts == 0);
        counts.without_reachable_backend += u64::from(!failed.backend_reachable);
    }

    /// Counts calls that were open when the process of the caller stopped.
    pub fn count_lost_calls(&mut self, calls: u64) {
        self.observations.counts.calls.lost += calls;
    }

    /// Counts an attempt; `list` is the endpoint list of the caller when the attempt is sent.
    pub fn count_attempt(&mut self, attempt: SentAttempt, list: &EndpointList) {
        let SentAttempt { backend, sent_at: now, unavailable } = attempt;
        self.record_load(backend, now);
        if !self.is_in_window(now) {
            return;
        }
        let plan = self.scenario.context.plan;
        let notified = list.out_of_service_since(backend);
        let past_grace = notified.is_some_and(|since| now > since + plan.drain_grace);
        let past_deemed_grace = past_grace || self.is_past_deemed_grace(backend, now);
        let counts = &mut self.observations.counts.attempts;
        counts.total += 1;
        counts.to_unavailable += u64::from(unavailable);
        counts.past_grace += u64::from(past_grace);
        counts.past_deemed_grace += u64::from(past_deemed_grace);
    }

    /// Records the time of the attempt if the backend is in slow start, and counts the attempt if it is in
    /// the second half of the warm-up.
    fn record_load(&mut self, backend: usize, now: Time) {
        let context = &self.scenario.context;
        let plan = context.plan;
        let outage = context.faults.outages[self.scenario.service().machines.start + backend];
        if outage.is_some_and(|outage| (outage.up_at..outage.up_at + plan.slow_start_duration).contains(&now))
        {
            let attempt = SlowStartAttempt { backend: backend as u32, sent_at: now };
            self.observations.slow_start_attempts.push(attempt);
        }
        if (0.5 * plan.warm_up..plan.warm_up).contains(&now) {
            self.observations.warm_up_attempts[backend] += 1;
        }
    }

    /// Returns whether a backend is out of service and its grace period is over, if the caller counts as
    /// notified `deemed_notified` seconds after the publication.
    fn is_past_deemed_grace(&self, backend: usize, now: Time) -> bool {
        let context = &self.scenario.context;
        let outage = context.faults.outages[self.scenario.service().machines.start + backend];
        let restarted = outage.is_some_and(|outage| now >= outage.up_at);
        let plan = context.plan;
        self.scenario.out_of_service_since[backend]
            .is_some_and(|since| !restarted && now > since + plan.deemed_notified + plan.drain_grace)
    }

    /// Counts a message from discovery.
    pub fn count_message(&mut self, now: Time, message: &Message) {
        if !self.is_in_window(now) || now > self.scenario.context.plan.phase_end() {
            return;
        }
        let endpoints = message.endpoints();
        let counts = &mut self.observations.counts.updates;
        counts.messages += 1;
        counts.endpoints += endpoints.len() as u64;
        counts.bytes += message.bytes() as u64;
    }

    /// Records that the caller is notified of the endpoint change with this index.
    pub fn record_notification(&mut self, change: usize, now: Time) {
        let occurred_at = self.scenario.changes[change].occurred_at;
        self.observations.update_delays[change] = Some((now - occurred_at) as f32);
    }

    /// Samples the state of the balancer.
    pub fn sample_state(&mut self, sample: u32, balancer: &Balancer) {
        let first_backend = self.scenario.service().machines.start as u32;
        let members = &mut self.observations.subset_members;
        let before = members.len();
        members.extend(balancer.members().map(|id| SubsetMember { sample, backend: id.0 - first_backend }));
        let size = StateSize {
            backends: balancer.backends_known(),
            subset: members.len() - before,
            open_requests: balancer.open_requests(),
        };
        self.observations.peak_state = self.observations.peak_state.max(size);
    }
}
