//! The timers of the engine, in the order in which they are due.
//!
//! Owns the queue and the wait for the first of them. Timers are never cancelled: the request or
//! attempt of one that expires may have ended before.

use super::attempts::AttemptId;
use crate::clock::Clock;
use balancer::{RequestId, Time, TimerToken};
use std::cell::RefCell;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use tokio::sync::Notify;

/// What expires.
#[derive(Clone, Copy, Debug)]
pub(super) enum Timer {
    /// A timer of the decision module, with its token.
    Decision(TimerToken),
    /// The time by which an attempt's request must be written completely; afterwards it never may be.
    WriteDeadline(AttemptId),
    /// The time by which an attempt must have its response.
    AttemptDeadline(AttemptId),
    /// The time by which a request must have its final response.
    RequestDeadline(RequestId),
}

/// A timer and when it is due. Timers due at the same time are in the order in which they were set.
#[derive(Debug)]
pub(super) struct ScheduledTimer {
    pub(super) due: Time,
    sequence: u64,
    pub(super) timer: Timer,
}

impl Ord for ScheduledTimer {
    fn cmp(&self, other: &Self) -> Ordering {
        self.due.total_cmp(&other.due).then(self.sequence.cmp(&other.sequence))
    }
}

impl PartialOrd for ScheduledTimer {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for ScheduledTimer {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for ScheduledTimer {}

#[derive(Default)]
struct TimerQueue {
    timers: BinaryHeap<Reverse<ScheduledTimer>>,
    last_sequence: u64,
}

impl TimerQueue {
    fn first_due(&self) -> Option<Time> {
        self.timers.peek().map(|Reverse(first)| first.due)
    }
}

/// All timers that are set.
#[derive(Default)]
pub(super) struct Timers {
    queue: RefCell<TimerQueue>,
    /// Wakes the wait when a timer is set that is due before all others.
    first_changed: Notify,
}

impl Timers {
    /// Sets a timer.
    pub(super) fn set(&self, due: Time, timer: Timer) {
        let mut queue = self.queue.borrow_mut();
        let is_first = queue.first_due().is_none_or(|first| due < first);
        queue.last_sequence += 1;
        let sequence = queue.last_sequence;
        queue.timers.push(Reverse(ScheduledTimer { due, sequence, timer }));
        if is_first {
            self.first_changed.notify_one();
        }
    }

    /// Removes and returns the first timer, if it is due.
    pub(super) fn pop_due(&self, now: Time) -> Option<ScheduledTimer> {
        let mut queue = self.queue.borrow_mut();
        queue.first_due().filter(|due| *due <= now)?;
        queue.timers.pop().map(|Reverse(first)| first)
    }

    /// Returns once the first timer is due.
    pub(super) async fn wait_until_due(&self, clock: &Clock) {
        loop {
            let first_due = self.queue.borrow().first_due();
            match first_due {
                None => self.first_changed.notified().await,
                Some(due) => tokio::select! {
                    () = tokio::time::sleep_until(clock.instant_at(due)) => return,
                    () = self.first_changed.notified() => {}
                },
            }
        }
    }
}
