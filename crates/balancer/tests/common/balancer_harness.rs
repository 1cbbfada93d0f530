//! A balancer with a virtual clock, for tests of the decision module without sockets.

use std::collections::BTreeMap;

use balancer::*;

/// A class with a latency objective of 1 s and a deadline of 2 s.
pub fn request_class(effect: Effect) -> RequestClass {
    RequestClass { latency_objective: 1.0, max_timeout: 2.0, effect, ..RequestClass::default() }
}

/// A tenant with a quota in requests per second.
pub fn tenant(name: &str, quota_per_second: f64) -> Tenant {
    Tenant { name: name.to_string(), quota_per_second }
}

/// Settings of an inner balancer with one class of this effect.
pub fn settings_with_effect(effect: Effect) -> Settings {
    Settings { classes: vec![request_class(effect)], tier: 1, ..Settings::default() }
}

/// Settings of an inner balancer with one class of safe requests.
pub fn safe_settings() -> Settings {
    settings_with_effect(Effect::Safe)
}

/// An endpoint in service.
pub fn endpoint(id: u32) -> Endpoint {
    Endpoint { id: BackendId(id), ..Endpoint::default() }
}

/// The endpoints 1 to `count`, all in service.
pub fn endpoints(count: u32) -> Vec<Endpoint> {
    (1..=count).map(endpoint).collect()
}

/// A balancer that is driven event by event, on a virtual clock.
pub struct BalancerHarness {
    /// The balancer under test.
    pub balancer: Balancer,
    /// The virtual time in seconds.
    pub now: Time,
    /// The timers that are set: when each is due, and its token.
    pub timers: Vec<(Time, TimerToken)>,
    /// The backends that each request's attempts were sent to, by request id.
    pub attempts: BTreeMap<u64, Vec<u32>>,
}

impl BalancerHarness {
    /// A balancer with seed 1 that has these endpoints in its cached list.
    pub fn new(settings: Settings, cached_endpoints: &[Endpoint]) -> Self {
        Self::with_seed(1, settings, cached_endpoints)
    }

    /// A balancer with this seed that has these endpoints in its cached list.
    pub fn with_seed(seed: u64, settings: Settings, cached_endpoints: &[Endpoint]) -> Self {
        let balancer = Balancer::new(0.0, seed, settings);
        let mut harness = Self { balancer, now: 0.0, timers: vec![], attempts: BTreeMap::new() };
        harness.handle(Event::Endpoints(EndpointUpdate::Cached(cached_endpoints)));
        harness
    }

    /// Handles an event now. Timers are recorded; all other actions are returned.
    pub fn handle(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions.retain(|action| match action {
            Action::SetTimer { at, token } => {
                self.timers.push((*at, *token));
                false
            }
            Action::Send { id, backend, .. } => {
                self.attempts.entry(id.0).or_default().push(backend.0);
                true
            }
            _ => true,
        });
        actions
    }

    /// Ends the attempts that these actions cancel, as the engine does; returns what follows.
    pub fn end_cancelled_attempts(&mut self, actions: &[Action]) -> Vec<Action> {
        let mut following = Vec::new();
        for action in actions {
            if let Action::Cancel { id, attempt } = action {
                let ended = EndedAttempt {
                    id: *id,
                    backend: BackendId(self.attempts[&id.0][*attempt]),
                    attempt: *attempt,
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

    /// A request of the first class arrives, with a timeout of 2 s.
    pub fn request(&mut self, id: u64) -> Vec<Action> {
        self.request_with_timeout(id, 2.0)
    }

    /// A request of the first class arrives, with this timeout in seconds.
    pub fn request_with_timeout(&mut self, id: u64, timeout: Time) -> Vec<Action> {
        self.handle(Event::Request(Request { id: RequestId(id), timeout, ..Request::default() }))
    }

    /// Advances the clock and fires the timers that fall due, in order; returns the actions with
    /// their times.
    pub fn advance_to(&mut self, end: Time) -> Vec<(Time, Action)> {
        let mut timed_actions = Vec::new();
        while let Some(next) = self.next_timer_until(end) {
            let (due, token) = self.timers.remove(next);
            self.now = self.now.max(due);
            let now = self.now;
            let actions = self.handle(Event::Timer(token));
            timed_actions.extend(actions.into_iter().map(|action| (now, action)));
        }
        self.now = end;
        timed_actions
    }

    /// Advances the clock like [`BalancerHarness::advance_to`]; returns the attempts that are sent.
    pub fn sends_until(&mut self, end: Time) -> Vec<(u64, u32)> {
        sends(&without_times(self.advance_to(end)))
    }

    /// A request of the first class arrives, with a timeout of 2 s; returns the backend of its first
    /// attempt.
    ///
    /// # Panics
    /// If the request is not sent at once.
    pub fn send(&mut self, id: u64) -> u32 {
        sends(&self.request(id))[0].1
    }

    /// The index of the earliest timer, if that is due by `end`.
    fn next_timer_until(&self, end: Time) -> Option<usize> {
        (0..self.timers.len())
            .filter(|index| self.timers[*index].0 <= end)
            .min_by(|left, right| self.timers[*left].0.total_cmp(&self.timers[*right].0))
    }

    /// An attempt ends with this outcome after `duration` seconds; success finishes its request.
    pub fn end_attempt(
        &mut self,
        id: u64,
        attempt: usize,
        backend: u32,
        outcome: Outcome,
        duration: Time,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded(EndedAttempt {
            id: RequestId(id),
            backend: BackendId(backend),
            attempt,
            outcome,
            duration,
            request_finished: outcome == Outcome::Success,
            report: None,
        }))
    }

    /// A request arrives and its first attempt succeeds after `duration` seconds; returns the
    /// backend of that attempt.
    ///
    /// # Panics
    /// If the request is not sent at once.
    pub fn serve(&mut self, id: u64, duration: Time) -> u32 {
        let actions = self.request(id);
        let (_, backend) = sends(&actions)[0];
        self.advance_to(self.now + duration);
        let actions = self.end_attempt(id, 0, backend, Outcome::Success, duration);
        self.end_cancelled_attempts(&actions);
        backend
    }
}

/// The attempts that these actions send: the request and the backend of each.
pub fn sends(actions: &[Action]) -> Vec<(u64, u32)> {
    let send = |action: &Action| match action {
        Action::Send { id, backend, .. } => Some((id.0, backend.0)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// Whether these actions reject the request.
pub fn is_rejected(actions: &[Action], request: u64) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { id, .. } if id.0 == request))
}

/// Whether these actions fail the request.
pub fn is_failed(actions: &[Action], request: u64) -> bool {
    actions.contains(&Action::Fail { id: RequestId(request) })
}

/// The actions without their times.
pub fn without_times(timed_actions: Vec<(Time, Action)>) -> Vec<Action> {
    timed_actions.into_iter().map(|(_, action)| action).collect()
}
