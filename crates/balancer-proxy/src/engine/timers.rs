//! The timers of the engine, ordered by due time.
//!
//! [`Timers`] owns the queue of timers and waits for the first one. Timers are never cancelled: when a timer
//! expires, its request or attempt may already have ended.

use crate::clock::Clock;
use balancer::{AttemptId, RequestId, Time, TimerToken};
use std::cell::RefCell;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use tokio::sync::Notify;

/// The kind of a timer, with the token, attempt or request that the timer belongs to.
#[derive(Clone, Copy, Debug)]
pub(super) enum Timer {
    /// A timer of the decision module, with its token.
    Decision(TimerToken),
    /// The time by which the request of an attempt must be written completely. The last byte of the
    /// request is never written later.
    WriteDeadline(AttemptId),
    /// The time by which an attempt must have its response.
    AttemptDeadline(AttemptId),
    /// The earliest time at which the last byte of a streamed body may have waited to be received for the
    /// whole timeout of the request.
    BodyStall(RequestId),
    /// The time by which a request must have its final response.
    RequestDeadline(RequestId),
}

/// A timer with its due time. Timers with the same due time expire in the order in which they were set.
#[derive(Debug)]
pub(super) struct ScheduledTimer {
    /// The time at which the timer is due, in seconds of the proxy's clock.
    pub(super) due: Time,
    /// The sequence number of the timer, counted from 1 in the order in which timers were set.
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
    /// Returns the due time of the first timer, or `None` if no timer is set.
    fn first_due(&self) -> Option<Time> {
        self.timers.peek().map(|Reverse(first)| first.due)
    }
}

/// All timers that are set.
#[derive(Default)]
pub(super) struct Timers {
    queue: RefCell<TimerQueue>,
    /// Wakes [`Timers::wait_until_due`] when a timer is set that is due before all others.
    first_changed: Notify,
}

impl Timers {
    /// Sets a timer that expires at `due`, in seconds of the proxy's clock.
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

    /// Removes and returns the first timer if it is due by `now`.
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

#[cfg(test)]
mod tests;
