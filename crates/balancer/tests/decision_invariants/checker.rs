//! A checker of the invariants of the decision module, which uses only events and actions.

use balancer::{
    Action, BackendId, CellId, ClassIndex, Effect, Endpoint, IdempotencyGroup, Outcome, RequestId, Settings,
    Status, Time, ZoneId,
};
use std::collections::HashMap;

/// An attempt of a request, as seen from outside the decision module.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The cell of the backend.
    pub cell: CellId,
    /// The zone of the backend.
    pub zone: ZoneId,
    /// The time of the send, in seconds.
    pub sent_at: Time,
    /// The outcome; `None` while the attempt is in flight.
    pub outcome: Option<Outcome>,
    /// The time at which the attempt ended, in seconds; 0 while the attempt is in flight.
    pub ended_at: Time,
}

impl Attempt {
    fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    fn may_have_run(&self) -> bool {
        !matches!(self.outcome, Some(Outcome::Rejected | Outcome::NoConnection | Outcome::NotSent))
    }

    /// Returns whether the backend may still be processing the attempt after its end.
    fn may_still_run(&self) -> bool {
        matches!(self.outcome, Some(Outcome::Timeout | Outcome::Reset | Outcome::Cancelled))
    }
}

/// A request, as seen from outside the decision module.
pub struct ObservedRequest {
    /// The index of the class.
    pub class: ClassIndex,
    /// The ordering key.
    pub key: Option<u64>,
    /// The deadline, in seconds.
    pub deadline: Time,
    /// The attempts, in the order of the sends.
    pub attempts: Vec<Attempt>,
    /// Whether the request has its final response, or its client has disconnected.
    pub is_finished: bool,
}

impl ObservedRequest {
    /// Creates a request without attempts.
    pub fn new(class: ClassIndex, key: Option<u64>, deadline: Time) -> Self {
        Self { class, key, deadline, attempts: vec![], is_finished: false }
    }
}

/// Records a violation for each action that breaks an invariant.
pub struct Checker {
    settings: Settings,
    /// All requests by their ids, which rise in the order of arrival.
    pub requests: HashMap<u64, ObservedRequest>,
    /// The endpoint list, by backend id.
    pub list: HashMap<u32, Endpoint>,
    /// The time of the notification or last use of each draining backend with idle connections that must be
    /// closed, in seconds.
    pub unclosed_since: HashMap<u32, Time>,
    /// Descriptions of the violations so far.
    pub violations: Vec<String>,
}

impl Checker {
    /// Creates a checker that has seen neither requests nor endpoints.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            requests: HashMap::new(),
            list: HashMap::new(),
            unclosed_since: HashMap::new(),
            violations: vec![],
        }
    }

    /// Records a violation.
    pub fn record_violation(&mut self, violation: impl Into<String>) {
        self.violations.push(violation.into());
    }

    /// Returns the violation if a send of this request at `now` would break the order of its ordering key.
    pub fn order_violation(&self, now: Time, id: u64) -> Option<&'static str> {
        let is_ordered = |request: &&ObservedRequest| {
            self.settings.class(request.class).ordered_by_key && request.key.is_some()
        };
        let key = self.requests.get(&id).filter(is_ordered)?.key;
        let is_earlier = |(other, request): &(&u64, &ObservedRequest)| {
            **other < id && is_ordered(request) && request.key == key
        };
        for (_, earlier) in self.requests.iter().filter(is_earlier) {
            if !earlier.is_finished || earlier.attempts.iter().any(Attempt::is_in_flight) {
                return Some("order: an earlier request is not finished");
            }
            let blocks_key = |attempt: &Attempt| {
                attempt.may_still_run() && now < attempt.ended_at + self.settings.key_block_duration
            };
            if earlier.attempts.iter().any(blocks_key) {
                return Some("order: the key is still blocked");
            }
        }
        None
    }

    /// Records a notification or use of a backend. Afterwards, idle connections to a draining backend must be
    /// closed.
    pub fn record_notification_or_use(&mut self, now: Time, backend: u32) {
        if self.list.get(&backend).is_some_and(|endpoint| endpoint.status == Status::Draining) {
            self.unclosed_since.insert(backend, now);
        } else {
            self.unclosed_since.remove(&backend);
        }
    }

    /// Checks that idle connections to draining backends are closed in time.
    pub fn check_idle_connections(&mut self, now: Time) {
        let limit = self.settings.idle_close_limit.unwrap_or(f64::INFINITY);
        if self.unclosed_since.values().any(|since| now > since + limit) {
            self.unclosed_since.clear();
            self.record_violation("drain: connections left open");
        }
    }

    /// Checks an action of the balancer.
    pub fn check_action(&mut self, now: Time, action: &Action) {
        match action {
            Action::CloseIdleConnections(backend) => {
                self.unclosed_since.remove(&backend.0);
            }
            Action::Send { id, backend, timeout, write_within } => {
                self.check_send_times(*timeout, *write_within);
                self.check_send(now, *id, *backend, *write_within);
            }
            Action::Reject { id, .. } => {
                if !self.client_may_retry(id.0) {
                    self.record_violation(format!("rejected {id:?}, which may have run"));
                }
                self.check_final_response(now, id.0);
            }
            Action::Fail { id } => self.check_final_response(now, id.0),
            Action::Cancel { .. } if !self.settings.cancellation_allowed => {
                self.record_violation("cancellation is not allowed");
            }
            Action::SetTimer { at, .. } if !at.is_finite() => {
                self.record_violation("timer without a finite time");
            }
            _ => {}
        }
    }

    fn check_send_times(&mut self, timeout: Time, write_within: Time) {
        if !timeout.is_finite() || timeout <= 0.0 || write_within <= 0.0 || write_within > timeout {
            self.record_violation(format!(
                "send with a timeout of {timeout} s and a write limit of {write_within} s"
            ));
        }
    }

    fn check_send(&mut self, now: Time, id: RequestId, backend: BackendId, write_within: Time) {
        let Some(endpoint) = self.list.get(&backend.0).cloned() else {
            return self.record_violation(format!("sent an attempt to unknown {backend:?}"));
        };
        if endpoint.status != Status::InService {
            self.record_violation(format!("drain: sent to {backend:?}"));
        }
        if let Some(violation) = self.order_violation(now, id.0) {
            self.record_violation(violation);
        }
        let Some(request) = self.requests.get_mut(&id.0) else {
            return self.record_violation(format!("sent an attempt of unknown {id:?}"));
        };
        let violations = attempt_violations(&self.settings, request, &endpoint, now + write_within);
        request.attempts.push(Attempt {
            cell: endpoint.cell,
            zone: endpoint.zone,
            sent_at: now,
            outcome: None,
            ended_at: 0.0,
        });
        for violation in violations {
            self.record_violation(violation);
        }
    }

    /// Returns whether the client may send the request again without effects beyond those of a single
    /// request.
    fn client_may_retry(&self, id: u64) -> bool {
        self.requests.get(&id).is_some_and(|request| {
            let may_run_twice = matches!(
                self.settings.class(request.class).effect,
                Effect::Safe | Effect::Idempotent { group: IdempotencyGroup::All, .. }
            );
            may_run_twice || !request.attempts.iter().any(Attempt::may_have_run)
        })
    }

    fn check_final_response(&mut self, now: Time, id: u64) {
        match self.requests.get_mut(&id) {
            Some(request) if !request.is_finished => {
                request.is_finished = true;
                if now > request.deadline {
                    self.record_violation(format!("{id} has a late final response"));
                }
            }
            _ => self.record_violation(format!("{id} has a second final response, or is unknown")),
        }
    }

    /// Checks that each request has its final response.
    pub fn check_all_finished(&mut self) {
        let is_open = |(_, request): &(&u64, &ObservedRequest)| !request.is_finished;
        let open_ids: Vec<u64> = self.requests.iter().filter(is_open).map(|(id, _)| *id).collect();
        for id in open_ids {
            self.record_violation(format!("{id} has no final response"));
        }
    }
}

/// Returns the violations of a further attempt at this endpoint, whose write deadline is `written_by` in
/// seconds.
fn attempt_violations(
    settings: &Settings,
    request: &ObservedRequest,
    endpoint: &Endpoint,
    written_by: Time,
) -> Vec<&'static str> {
    let mut violations = Vec::new();
    if request.is_finished {
        violations.push("sent after the end of the request");
    }
    if request.attempts.len() >= settings.max_attempts {
        violations.push("too many attempts");
    }
    if !settings.hedging_allowed && request.attempts.iter().any(Attempt::is_in_flight) {
        violations.push("hedging is not allowed");
    }
    if let Some(first) = request.attempts.iter().find(|attempt| attempt.may_have_run()) {
        match settings.class(request.class).effect {
            Effect::Safe => {}
            Effect::Unsafe => violations.push("second attempt of an unsafe request"),
            Effect::Idempotent { group, window } => {
                let is_in_group = match group {
                    IdempotencyGroup::All => true,
                    IdempotencyGroup::Zone => first.zone == endpoint.zone,
                    IdempotencyGroup::Cell => first.cell == endpoint.cell,
                };
                // An attempt may wait for its connection, so the write deadline must lie within the window as
                // well.
                if !is_in_group || written_by > first.sent_at + window {
                    violations.push("retry outside the group or window of its key");
                }
            }
        }
    }
    violations
}
