//! A balancer with a virtual clock, for tests of the decision module without sockets.

use super::actions::{SentAttempt, TimedAction, sent_attempts};
use balancer::{
    Action, AttemptNumber, BackendId, Balancer, EndedAttempt, Endpoint, EndpointUpdate, Event, Outcome,
    Request, RequestId, Settings, Time, TimerToken,
};
use std::collections::BTreeMap;

/// The timeout of requests whose timeout does not matter to the test, in seconds.
const DEFAULT_REQUEST_TIMEOUT: Time = 2.0;

/// A timer that a balancer has set.
#[derive(Clone, Copy, Debug)]
pub struct PendingTimer {
    /// The time at which the timer is due, in seconds.
    pub due: Time,
    /// The token to return to the balancer.
    pub token: TimerToken,
}

/// A balancer whose events and virtual clock are controlled by a test.
pub struct BalancerHarness {
    /// The balancer under test.
    pub balancer: Balancer,
    /// The virtual time in seconds.
    pub now: Time,
    /// The timers that are set, in the order in which the balancer set them.
    pub timers: Vec<PendingTimer>,
    /// The backends of the attempts of each request, in the order of the sends.
    attempts: BTreeMap<RequestId, Vec<BackendId>>,
}

impl BalancerHarness {
    /// Creates a balancer with seed 1 that has these endpoints in its cached list.
    pub fn new(settings: Settings, cached_endpoints: &[Endpoint]) -> Self {
        Self::with_seed(1, settings, cached_endpoints)
    }

    /// Creates a balancer with this seed that has these endpoints in its cached list.
    pub fn with_seed(seed: u64, settings: Settings, cached_endpoints: &[Endpoint]) -> Self {
        let balancer = Balancer::new(0.0, seed, settings);
        let mut harness = Self { balancer, now: 0.0, timers: vec![], attempts: BTreeMap::new() };
        harness.handle(Event::Endpoints(EndpointUpdate::Cached(cached_endpoints)));
        harness
    }

    /// Passes an event to the balancer at the current virtual time. Records the timers, and returns all other
    /// actions.
    pub fn handle(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions.retain(|action| match *action {
            Action::SetTimer { at, token } => {
                self.timers.push(PendingTimer { due: at, token });
                false
            }
            Action::Send { id, backend, .. } => {
                self.attempts.entry(id).or_default().push(backend);
                true
            }
            _ => true,
        });
        actions
    }

    /// Returns the number of attempts of a request so far.
    pub fn attempts_of(&self, request: RequestId) -> usize {
        self.attempts.get(&request).map_or(0, Vec::len)
    }

    /// Handles the arrival of a request of the first class.
    pub fn handle_request(&mut self, id: u64) -> Vec<Action> {
        self.handle_request_with_timeout(id, DEFAULT_REQUEST_TIMEOUT)
    }

    /// Handles the arrival of a request of the first class with this timeout in seconds.
    pub fn handle_request_with_timeout(&mut self, id: u64, timeout: Time) -> Vec<Action> {
        self.handle(Event::Request(Request { id: RequestId(id), timeout, ..Request::default() }))
    }

    /// Handles the arrival of a request of the first class, and returns the first attempt.
    ///
    /// # Panics
    /// If the request is not sent at once.
    pub fn send_request(&mut self, id: u64) -> SentAttempt {
        sent_attempts(&self.handle_request(id))[0]
    }

    /// Handles the end of an attempt after `duration` seconds. Success finishes the request.
    ///
    /// # Panics
    /// If the attempt was never sent.
    pub fn end_attempt(&mut self, sent: SentAttempt, outcome: Outcome, duration: Time) -> Vec<Action> {
        let SentAttempt { request, backend } = sent;
        let backends = &self.attempts[&request];
        let number = backends.iter().position(|tried| *tried == backend).expect("the attempt was sent");
        self.handle(Event::AttemptEnded(EndedAttempt {
            id: request,
            backend,
            attempt: AttemptNumber(number),
            outcome,
            duration,
            request_finished: outcome == Outcome::Success,
            report: None,
        }))
    }

    /// Ends the attempts that these actions cancel, as the caller of a balancer does. Returns the actions
    /// that follow.
    pub fn end_cancelled_attempts(&mut self, actions: &[Action]) -> Vec<Action> {
        let mut following = Vec::new();
        for action in actions {
            if let Action::Cancel { id, attempt } = *action {
                let ended = EndedAttempt {
                    id,
                    backend: self.attempts[&id][attempt.0],
                    attempt,
                    outcome: Outcome::Cancelled,
                    duration: 0.0,
                    request_finished: true,
                    report: None,
                };
                following.extend(self.handle(Event::AttemptEnded(ended)));
            }
        }
        following
    }

    /// Handles the arrival of a request and the success of the first attempt after `duration` seconds.
    /// Returns the backend of the attempt.
    ///
    /// # Panics
    /// If the request is not sent at once.
    pub fn serve_request(&mut self, id: u64, duration: Time) -> BackendId {
        let sent = self.send_request(id);
        self.advance_to(self.now + duration);
        let actions = self.end_attempt(sent, Outcome::Success, duration);
        self.end_cancelled_attempts(&actions);
        sent.backend
    }

    /// Advances the clock and fires the timers that fall due, in order. Returns the actions that follow.
    pub fn advance_to(&mut self, end: Time) -> Vec<TimedAction> {
        let mut timed_actions = Vec::new();
        while let Some(timer) = self.take_next_timer(end) {
            let at = self.now.max(timer.due);
            self.now = at;
            let actions = self.handle(Event::Timer(timer.token));
            timed_actions.extend(actions.into_iter().map(|action| TimedAction { at, action }));
        }
        self.now = end;
        timed_actions
    }

    /// Advances the clock like [`BalancerHarness::advance_to`], and returns the actions without times.
    pub fn actions_until(&mut self, end: Time) -> Vec<Action> {
        self.advance_to(end).into_iter().map(|timed| timed.action).collect()
    }

    /// Advances the clock like [`BalancerHarness::advance_to`], and returns the attempts that are sent.
    pub fn sends_until(&mut self, end: Time) -> Vec<SentAttempt> {
        sent_attempts(&self.actions_until(end))
    }

    /// Removes and returns the earliest timer, if a timer is due by `end`.
    fn take_next_timer(&mut self, end: Time) -> Option<PendingTimer> {
        let due_timers = self.timers.iter().enumerate().filter(|(_, timer)| timer.due <= end);
        let (index, _) = due_timers.min_by(|(_, left), (_, right)| left.due.total_cmp(&right.due))?;
        Some(self.timers.remove(index))
    }
}
