//! Attempts: whether a call may be sent or sent again, according to the effect of its class.

use super::calls::Call;
use super::scope::Scope;
use crate::interface::{CellId, Effect, IdempotencyGroup, Outcome, Time, ZoneId};
use crate::support::BackendIndex;

/// One attempt of a call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    /// The backend to which the attempt was sent.
    pub backend: BackendIndex,
    /// The cell of the backend at the time of the send.
    pub cell: CellId,
    /// The zone of the backend at the time of the send.
    pub zone: ZoneId,
    /// The time of the send, in seconds.
    pub sent_at: Time,
    /// The outcome, or `None` while the attempt is in flight.
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// Returns whether the attempt has no outcome yet.
    pub fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Returns whether the backend may have processed the request.
    pub fn may_have_run(&self) -> bool {
        !matches!(self.outcome, Some(Outcome::Rejected | Outcome::NoConnection | Outcome::NotSent))
    }
}

/// The limits of an attempt that may be made.
#[derive(Clone, Copy, Debug)]
pub(super) struct PermittedAttempt {
    /// The backends to which the attempt may be sent.
    pub scope: Scope,
    /// The deadline for writing the complete request, in seconds.
    pub write_deadline: Time,
}

/// Returns the limits of the next attempt of a call, or `None` if the call must not be sent at `now`.
/// `clock_resolution` is in seconds. This check precedes every send.
pub(super) fn next_attempt(call: &Call, now: Time, clock_resolution: Time) -> Option<PermittedAttempt> {
    if !has_attempt_left(call, now) || !may_send_body(call) {
        return None;
    }
    let unrestricted = PermittedAttempt { scope: Scope::Anywhere, write_deadline: call.deadline() };
    let Some(first_run) = call.attempts().iter().find(|attempt| attempt.may_have_run()) else {
        return Some(unrestricted);
    };
    match call.request_class().effect {
        Effect::Safe => Some(unrestricted),
        Effect::Unsafe => None,
        Effect::Idempotent { group, window } => {
            // Times are rounded to the clock resolution, so the window is shortened by the resolution.
            let write_deadline = call.deadline().min(first_run.sent_at + window - clock_resolution);
            let scope = idempotency_scope(group, first_run);
            (now < write_deadline).then_some(PermittedAttempt { scope, write_deadline })
        }
    }
}

fn has_attempt_left(call: &Call, now: Time) -> bool {
    call.attempts().len() < call.settings().max_attempts && now < call.deadline()
}

/// Returns whether the body can be sent in a new attempt: it must still be complete at this balancer, and
/// must not be streamed to two backends at once.
fn may_send_body(call: &Call) -> bool {
    let body = call.body();
    let may_hedge = call.settings().hedging_allowed && !body.is_streamed;
    !body.is_consumed && (may_hedge || !call.has_attempt_in_flight())
}

/// Returns the backends that detect a repeat of a request, given its first attempt that may have run.
fn idempotency_scope(group: IdempotencyGroup, first_run: &Attempt) -> Scope {
    match group {
        IdempotencyGroup::All => Scope::Anywhere,
        IdempotencyGroup::Zone => Scope::Zone(first_run.zone),
        IdempotencyGroup::Cell => Scope::Cell(first_run.cell),
    }
}

/// Returns whether the client may send the request again without effects beyond those of a single request.
pub(super) fn is_safe_to_retry(call: &Call) -> bool {
    match call.request_class().effect {
        Effect::Safe | Effect::Idempotent { group: IdempotencyGroup::All, .. } => true,
        Effect::Idempotent { .. } | Effect::Unsafe => !call.attempts().iter().any(Attempt::may_have_run),
    }
}
