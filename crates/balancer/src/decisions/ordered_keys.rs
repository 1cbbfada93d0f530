//! Ordering keys: the requests of one key run singly, in the order in which they arrived.

use crate::interface::*;
use crate::state::{Balancer, CallKey, Timer};

impl Balancer {
    pub(super) fn enqueue_by_key(&mut self, ordering_key: u64, key: CallKey, actions: &mut Vec<Action>) {
        self.key_queues.push(ordering_key, key, self.now);
        self.advance(ordering_key, actions);
    }

    /// Begins the next call of an ordering key, if it may run. Guards the order of keys: a call waits while
    /// an earlier one is unfinished or has an attempt without its outcome, and while the
    /// key rests after an attempt that may still be running.
    pub(super) fn advance(&mut self, ordering_key: u64, actions: &mut Vec<Action>) {
        let next = self.key_queues.next(ordering_key);
        let Some(next) = next.filter(|next| self.calls[next.key].is_waiting) else { return };
        if self.now < next.rests_until {
            let token = Timer::Turn(next.key).into();
            return actions.push(Action::SetTimer { at: next.rests_until, token });
        }
        self.take_turn(next.key, actions);
    }

    /// Lets the key of an ended attempt rest, if that may still be running at its backend.
    pub(super) fn rest_ordering_key(&mut self, ordering_key: u64, outcome: Outcome) {
        if matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) {
            // A quantum more, as clocks are rounded.
            let until = self.now + self.settings.key_rest_duration + self.settings.quantum;
            self.key_queues.rest(ordering_key, until);
        }
    }
}
