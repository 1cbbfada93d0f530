//! Attempts: whether a call may be sent (again), by the effect of its class, and what a send entails.

use crate::interface::*;
use crate::state::{Attempt, Balancer, Call, CallKey, Scope};

/// Where an attempt may go, and until when it may be written.
#[derive(Clone, Copy, Debug)]
pub(super) struct Permission {
    scope: Scope,
    write_deadline: Time,
}

impl Balancer {
    /// Whether a call may be sent (again), where, and until when. Asked before every send.
    pub(super) fn permitted_attempt(&self, key: CallKey) -> Option<Permission> {
        let call = &self.calls[key];
        if call.attempts.len() >= call.settings.max_attempts || self.now >= call.deadline {
            return None;
        }
        let may_hedge = call.settings.hedging_allowed && !call.body.is_streamed;
        if call.body.is_consumed || !may_hedge && call.has_attempt_in_flight() {
            return None;
        }
        let unrestricted = Permission { scope: Scope::Anywhere, write_deadline: call.deadline };
        let Some(first) = call.attempts.iter().find(|attempt| attempt.may_have_run()) else {
            return Some(unrestricted);
        };
        let (group, window) = match call.request_class().effect {
            Effect::Safe => return Some(unrestricted),
            Effect::Unsafe => return None,
            Effect::Idempotent { group, window } => (group, window),
        };
        let scope = match group {
            IdempotencyGroup::All => Scope::Anywhere,
            IdempotencyGroup::Zone => Scope::Zone(first.zone),
            IdempotencyGroup::Cell => Scope::Cell(first.cell),
        };
        // A quantum less, as clocks are rounded.
        let write_deadline = call.deadline.min(first.sent_at + window - self.settings.quantum);
        (self.now < write_deadline).then_some(Permission { scope, write_deadline })
    }

    /// Sends a call, the first time or again, if it may be and a backend can be found. Returns whether
    /// it was sent.
    pub(super) fn send(&mut self, key: CallKey, actions: &mut Vec<Action>) -> bool {
        let Some(Permission { scope, write_deadline }) = self.permitted_attempt(key) else { return false };
        let Some(index) = self.place(key, scope) else { return false };
        let Call { id, deadline, body, .. } = self.calls[key];
        let backend = &mut self.backends[index];
        if !body.is_receiving {
            backend.begin_call(self.now);
        }
        backend.references += 1;
        backend.slow_start_budget.tokens -= 1.0;
        let Endpoint { cell, zone, id: backend_id, .. } = backend.endpoint;
        let attempt = Attempt { backend: index, cell, zone, sent_at: self.now, outcome: None };
        self.calls[key].attempts.push(attempt);
        self.calls.set_lacks_capacity(key, false);
        actions.push(Action::Send {
            id,
            backend: backend_id,
            timeout: deadline - self.now,
            write_within: write_deadline - self.now,
        });
        self.check_health_after_send(actions);
        true
    }
}
