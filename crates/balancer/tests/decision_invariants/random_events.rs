//! Random legal sequences of events for a balancer whose actions are checked.

use balancer::{
    Action, AttemptNumber, BackendId, Balancer, CellId, ClassIndex, Effect, EndedAttempt, Endpoint,
    EndpointUpdate, Event, IdempotencyGroup, Outcome, Request, RequestClass, RequestId, Settings, Status,
    TenantIndex, Tier, Time, ZoneId,
};
use proptest::prelude::*;

use crate::checker::{Checker, ObservedRequest};
use crate::common::balancer_harness::PendingTimer;
use crate::common::fixtures::{endpoint, request_class, tenant};

/// The number of backends, whose ids start at 1.
const BACKEND_COUNT: u32 = 7;
/// The time after the last step within which every request must end, in seconds.
const FINAL_WAIT: Time = 5.0;

/// The outcomes from which the outcome of an attempt is drawn.
const DRAWN_OUTCOMES: [Outcome; 8] = [
    Outcome::Success,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::Timeout,
    Outcome::NoConnection,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

/// The statuses from which the status of a changed endpoint is drawn.
const DRAWN_STATUSES: [Status; 3] = [Status::InService, Status::Draining, Status::Removed];

/// A step of a random sequence. The indices of attempts and requests are taken modulo the number of attempts
/// in flight and of requests so far.
#[derive(Clone, Debug)]
pub enum Step {
    /// A request arrives.
    Request { class: ClassIndex, tenant: TenantIndex, key: Option<u64>, timeout: Time },
    /// An attempt in flight ends.
    EndAttempt { attempt: usize, outcome: Outcome },
    /// A client disconnects, possibly after the end of its request.
    Disconnect { request: usize },
    /// Time passes, and timers fire.
    Wait(Time),
    /// An endpoint changes.
    ChangeEndpoint { backend: u32, status: Status, is_restarted: bool },
    /// A full list without one backend arrives.
    FullList { absent_backend: u32 },
    /// A poll of the endpoint list fails.
    PollFailed,
    /// Discovery rejects a poll of the endpoint list.
    PollRejected,
}

/// Generates one step.
pub fn step() -> impl Strategy<Value = Step> {
    let request = (0..5usize, 0..2usize, 0..3u64, -0.1..2.0f64).prop_map(|(class, tenant, key, timeout)| {
        let key = (key > 0).then_some(key);
        Step::Request { class: ClassIndex(class), tenant: TenantIndex(tenant), key, timeout }
    });
    let end_attempt = (0..50usize, 0..8usize)
        .prop_map(|(attempt, outcome)| Step::EndAttempt { attempt, outcome: DRAWN_OUTCOMES[outcome] });
    let change_endpoint =
        (1..=BACKEND_COUNT, 0..3usize, any::<bool>()).prop_map(|(backend, status, is_restarted)| {
            Step::ChangeEndpoint { backend, status: DRAWN_STATUSES[status], is_restarted }
        });
    prop_oneof![
        6 => request,
        6 => end_attempt,
        1 => (0..50usize).prop_map(|request| Step::Disconnect { request }),
        8 => (0.0..0.3f64).prop_map(Step::Wait),
        2 => change_endpoint,
        1 => (1..=BACKEND_COUNT).prop_map(|absent_backend| Step::FullList { absent_backend }),
        1 => Just(Step::PollFailed),
        1 => Just(Step::PollRejected),
    ]
}

/// The settings that differ from one random sequence to the next.
#[derive(Clone, Copy, Debug, Default)]
pub struct SettingsVariant {
    /// Whether a request may have two attempts in flight.
    pub hedging_allowed: bool,
    /// Whether attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// The tier of the balancer.
    pub tier: Tier,
}

/// Returns settings with classes of every effect. Two classes are ordered by key.
pub fn settings(variant: SettingsVariant) -> Settings {
    let SettingsVariant { hedging_allowed, cancellation_allowed, tier } = variant;
    let class = |effect| RequestClass { latency_objective: 0.8, ..request_class(effect) };
    let idempotent = |group, window| Effect::Idempotent { group, window };
    Settings {
        classes: vec![
            class(Effect::Safe),
            RequestClass { late_priority_weight: 0.3, ordered_by_key: true, ..class(Effect::Unsafe) },
            class(idempotent(IdempotencyGroup::All, 0.6)),
            class(idempotent(IdempotencyGroup::Zone, 0.5)),
            RequestClass { ordered_by_key: true, ..class(idempotent(IdempotencyGroup::Cell, 0.4)) },
        ],
        tenants: vec![tenant("a", 2.0), tenant("b", 100.0)],
        over_quota_weight: 0.1,
        hedging_allowed,
        cancellation_allowed,
        tier,
        max_attempts: 3,
        max_retry_after: 1.0,
        must_poll_endpoints: true,
        key_block_duration: 0.2,
        idle_close_limit: Some(0.1),
        ..Settings::default()
    }
}

/// An attempt in flight.
struct AttemptInFlight {
    id: u64,
    attempt: AttemptNumber,
    backend: u32,
}

/// A balancer on virtual time, with the checker of its actions.
struct Simulation {
    balancer: Balancer,
    checker: Checker,
    now: Time,
    /// The timers that are set, in the order in which the balancer set them.
    timers: Vec<PendingTimer>,
    in_flight: Vec<AttemptInFlight>,
    list: Vec<Endpoint>,
    last_request: u64,
}

/// Runs the steps, waits until every request must have ended, and returns the violations.
pub fn violations_of(steps: &[Step], settings: Settings, seed: u64) -> Vec<String> {
    let mut simulation = Simulation {
        checker: Checker::new(settings.clone()),
        balancer: Balancer::new(0.0, seed, settings),
        now: 0.0,
        timers: Vec::new(),
        in_flight: Vec::new(),
        list: (1..=BACKEND_COUNT)
            .map(|id| Endpoint { cell: CellId(id % 3), zone: ZoneId(id % 2), ..endpoint(id) })
            .collect(),
        last_request: 0,
    };
    simulation.send_full_list();
    for step in steps {
        simulation.run_step(step);
    }
    simulation.advance_by(FINAL_WAIT);
    simulation.checker.check_all_finished();
    if simulation.balancer.open_requests() > 0 {
        simulation.checker.record_violation("finished requests are still open in the balancer");
    }
    simulation.checker.violations
}

impl Simulation {
    fn run_step(&mut self, step: &Step) {
        match *step {
            Step::Request { class, tenant, key, timeout } => self.handle_request(class, tenant, key, timeout),
            Step::EndAttempt { attempt, outcome } => self.end_attempt(attempt, outcome),
            Step::Disconnect { request } => self.disconnect_client(request),
            Step::Wait(duration) => self.advance_by(duration),
            Step::ChangeEndpoint { backend, status, is_restarted } => {
                let started_at = is_restarted.then_some(self.now);
                self.change_endpoint(backend, status, started_at);
            }
            Step::FullList { absent_backend } => self.send_full_list_without(absent_backend),
            Step::PollFailed => self.handle(Event::Endpoints(EndpointUpdate::Failed)),
            Step::PollRejected => self.handle(Event::Endpoints(EndpointUpdate::Rejected)),
        }
    }

    /// Passes an event to the balancer, and checks its actions.
    fn handle(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        self.checker.check_idle_connections(self.now);
        for action in &actions {
            self.checker.check_action(self.now, action);
            match action {
                Action::SetTimer { at, token } => {
                    self.timers.push(PendingTimer { due: *at, token: *token });
                }
                Action::Send { id, backend, .. } => {
                    let request = self.checker.requests.get(&id.0);
                    let attempt = AttemptNumber(request.map_or(0, |request| request.attempts.len() - 1));
                    self.in_flight.push(AttemptInFlight { id: id.0, attempt, backend: backend.0 });
                }
                _ => {}
            }
        }
    }

    fn handle_request(&mut self, class: ClassIndex, tenant: TenantIndex, key: Option<u64>, timeout: Time) {
        self.last_request += 1;
        let deadline = self.now + timeout.max(0.0);
        self.checker.requests.insert(self.last_request, ObservedRequest::new(class, key, deadline));
        self.handle(Event::Request(Request {
            id: RequestId(self.last_request),
            class,
            tenant: Some(tenant),
            key,
            timeout,
            streaming_body: false,
        }));
    }

    fn end_attempt(&mut self, index: usize, outcome: Outcome) {
        if self.in_flight.is_empty() {
            return;
        }
        let AttemptInFlight { id, attempt, backend } = self.in_flight.remove(index % self.in_flight.len());
        self.checker.record_notification_or_use(self.now, backend);
        let request = self.checker.requests.get_mut(&id).unwrap();
        request.is_finished |= outcome == Outcome::Success;
        let request_finished = request.is_finished;
        let observed = &mut request.attempts[attempt.0];
        observed.outcome = Some(outcome);
        observed.ended_at = self.now;
        let duration = self.now - observed.sent_at;
        self.handle(Event::AttemptEnded(EndedAttempt {
            id: RequestId(id),
            backend: BackendId(backend),
            attempt,
            outcome,
            duration,
            request_finished,
            report: None,
        }));
    }

    fn disconnect_client(&mut self, index: usize) {
        if self.last_request == 0 {
            return;
        }
        let id = 1 + index as u64 % self.last_request;
        self.checker.requests.get_mut(&id).unwrap().is_finished = true;
        self.handle(Event::ClientDisconnected(RequestId(id)));
    }

    fn advance_by(&mut self, duration: Time) {
        let end = self.now + duration;
        while let Some(index) = self.next_timer_until(end) {
            let PendingTimer { due, token } = self.timers.remove(index);
            self.now = due.max(self.now);
            self.handle(Event::Timer(token));
        }
        self.now = end;
    }

    /// Returns the index of the earliest timer, if a timer is due by `end`.
    fn next_timer_until(&self, end: Time) -> Option<usize> {
        (0..self.timers.len())
            .filter(|index| self.timers[*index].due <= end)
            .min_by(|left, right| self.timers[*left].due.total_cmp(&self.timers[*right].due))
    }

    fn change_endpoint(&mut self, backend: u32, status: Status, started_at: Option<Time>) {
        let endpoint = &mut self.list[backend as usize - 1];
        endpoint.status = status;
        endpoint.started_at = started_at;
        let changed = endpoint.clone();
        self.checker.list.insert(backend, changed.clone());
        self.checker.record_notification_or_use(self.now, backend);
        self.handle(Event::Endpoints(EndpointUpdate::Changes(&[changed])));
    }

    fn send_full_list(&mut self) {
        self.send_as_full_list(&self.list.clone());
    }

    fn send_full_list_without(&mut self, backend: u32) {
        let is_kept = |endpoint: &&Endpoint| endpoint.id != BackendId(backend);
        let list: Vec<_> = self.list.iter().filter(is_kept).cloned().collect();
        self.send_as_full_list(&list);
    }

    /// Sends a full list to the balancer. The checker then regards absent backends as removed.
    fn send_as_full_list(&mut self, list: &[Endpoint]) {
        for endpoint in self.checker.list.values_mut() {
            endpoint.status = Status::Removed;
        }
        self.checker.unclosed_since.clear();
        for endpoint in list {
            self.checker.list.insert(endpoint.id.0, endpoint.clone());
            self.checker.record_notification_or_use(self.now, endpoint.id.0);
        }
        self.handle(Event::Endpoints(EndpointUpdate::Full(list)));
    }
}
