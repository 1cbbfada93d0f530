//! The calls that a caller makes, from the start of a call to its final response.

use super::accounting::{FailedCall, FailureKind, SentAttempt};
use super::endpoint_list::EndpointList;
use super::event_queue::CallerEvent;
use super::network::{AttemptTimes, Network};
use super::requests::{AttemptInFlight, Requests};
use super::run_state::RunState;
use super::workload::Workload;
use crate::fleet::checker::{NewCall, Rule, Violation};
use crate::fleet::plan::Plan;
use crate::fleet::scenario::Scenario;
use crate::fleet::settings::CLASS_EFFECTS;
use balancer::{AttemptId, BackendId, EndedAttempt, Outcome, Request, RequestId, Time};

/// An attempt that the balancer sends.
#[derive(Clone, Copy, Debug)]
pub struct NewAttempt {
    /// The call.
    pub request: RequestId,
    /// The backend to which the attempt is sent.
    pub backend: BackendId,
    /// The time from the send until the attempt times out, in seconds.
    pub timeout: Time,
}

/// The calls of one caller, with the network on which the attempts are sent.
pub struct Calls<'a> {
    plan: &'a Plan,
    /// The index of the service's first machine, which is subtracted from a machine's index to get the
    /// index of its backend in the service.
    first_machine: usize,
    workload: Workload<'a>,
    requests: Requests,
    network: Network<'a>,
}

impl<'a> Calls<'a> {
    /// Creates the state of a machine's proxy before its first call.
    pub fn new(scenario: &'a Scenario<'a>, machine: usize) -> Self {
        let context = &scenario.context;
        Self {
            plan: context.plan,
            first_machine: scenario.service().machines.start,
            workload: Workload::new(scenario, machine),
            requests: Requests::default(),
            network: Network::new(scenario, context.topology.machines[machine].zone),
        }
    }

    /// Returns the network as seen from the machine of the caller.
    pub fn network(&self) -> &Network<'a> {
        &self.network
    }

    /// Schedules the next call, unless the process stops making calls or the phase ends first.
    pub fn schedule_next(&self, run: &mut RunState<'_>) {
        if let Some(at) = self.workload.draw_next_call_time(run.queue.now(), &mut run.rng) {
            run.queue.schedule(at, CallerEvent::Call);
        }
    }

    /// Opens the call that is due; returns `None` if the proxy skips the call because its backend is
    /// warming up.
    pub fn open_due_call(&mut self, run: &mut RunState<'_>) -> Option<Request> {
        let now = run.queue.now();
        if !self.workload.draw_call_is_made(now, &mut run.rng) {
            return None;
        }
        let class = self.workload.draw_class(&mut run.rng);
        let timeout = self.plan.call_timeout;
        let counted = run.accounting.is_in_window(now);
        let call = NewCall { effect: CLASS_EFFECTS[class.0], deadline: now + timeout, counted };
        let id = self.requests.open(call);
        if counted {
            run.accounting.count_call();
        }
        Some(Request { id, class, timeout, ..Request::default() })
    }

    /// Sends an attempt to a backend of the caller's endpoint list, and schedules the end of the attempt.
    ///
    /// # Errors
    ///
    /// Returns the violation of a rule.
    pub fn send(
        &mut self,
        new_attempt: NewAttempt,
        list: &EndpointList,
        run: &mut RunState<'_>,
    ) -> Result<(), Violation> {
        let backend = (new_attempt.backend.0 as usize).wrapping_sub(self.first_machine);
        if backend >= list.len() {
            return Err(Violation { rule: Rule::Unlisted, call: new_attempt.request });
        }
        let sent_at = run.queue.now();
        let attempt = self.requests.send(new_attempt.request, AttemptInFlight { backend, sent_at })?;
        let times = AttemptTimes { sent_at, timeout_at: sent_at + new_attempt.timeout };
        let end = self.network.draw_attempt_end(backend, times, &mut run.rng);
        run.queue.schedule(end.at, CallerEvent::AttemptEnded(attempt, end.outcome));
        let sent_attempt = SentAttempt { backend, sent_at, unavailable: end.unavailable };
        run.accounting.count_attempt(sent_attempt, list);
        Ok(())
    }

    /// Ends an attempt, and also its call if the attempt succeeded. Returns `None` if the attempt had
    /// already ended.
    ///
    /// # Errors
    ///
    /// Returns the violation of a rule.
    pub fn end_attempt(
        &mut self,
        attempt: AttemptId,
        outcome: Outcome,
        run: &mut RunState<'_>,
    ) -> Result<Option<EndedAttempt>, Violation> {
        let Some(AttemptInFlight { backend, sent_at }) = self.requests.end_attempt(attempt) else {
            return Ok(None);
        };
        let now = run.queue.now();
        let request = attempt.request;
        match outcome {
            Outcome::Success => {
                self.network.record_response(backend, now);
                if self.requests.is_open(request) {
                    let call = self.requests.close(request, now)?;
                    run.accounting.count_success(call);
                }
            }
            Outcome::NoConnection => self.requests.attempt_never_ran(request),
            _ => {}
        }
        Ok(Some(EndedAttempt {
            id: request,
            backend: BackendId((self.first_machine + backend) as u32),
            attempt: attempt.number,
            outcome,
            duration: now - sent_at,
            request_finished: !self.requests.is_open(request),
            report: None,
        }))
    }

    /// Ends a call that the balancer rejected or failed.
    ///
    /// # Errors
    ///
    /// Returns the violation of a rule.
    pub fn end_without_success(
        &mut self,
        request: RequestId,
        kind: FailureKind,
        run: &mut RunState<'_>,
    ) -> Result<(), Violation> {
        let now = run.queue.now();
        let call = self.requests.close(request, now)?;
        let backend_reachable = self.network.any_backend_reachable(now);
        run.accounting.count_failure(FailedCall { call, kind, backend_reachable });
        Ok(())
    }

    /// Drops all open calls, attempts and connections because their process has stopped.
    pub fn drop_all(&mut self, run: &mut RunState<'_>) {
        run.accounting.count_lost_calls(self.requests.drop_all());
        self.network.close_connections();
    }

    /// Checks at the end of the run that no call is open.
    ///
    /// # Errors
    ///
    /// Returns the violation of the lowest-numbered call that got no final response.
    pub fn verify_none_open(&self) -> Result<(), Violation> {
        self.requests.verify_none_open()
    }
}
