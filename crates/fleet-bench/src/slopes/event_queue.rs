//! The pending events of a simulation, ordered by virtual time.

use balancer::{AttemptNumber, RequestId, Time, TimerToken};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// An event that is scheduled for a virtual time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PendingEvent {
    /// A timer of the balancer fires.
    Timer {
        /// The request whose event set the timer.
        id: RequestId,
        /// The balancer's token of the timer.
        token: TimerToken,
    },
    /// A backend responds to an attempt.
    Response {
        /// The request of the attempt.
        id: RequestId,
        /// The number of the attempt.
        attempt: AttemptNumber,
    },
}

/// An event that is due.
#[derive(Clone, Copy, Debug)]
pub struct DueEvent {
    /// The virtual time of the event, in seconds.
    pub at: Time,
    /// The event.
    pub event: PendingEvent,
}

/// An event and its time in nanoseconds. Nanoseconds have a total order, which [`Time`] does not have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    at_nanoseconds: u64,
    event: PendingEvent,
}

/// The pending events, ordered by virtual time.
#[derive(Debug, Default)]
pub struct EventQueue {
    pending: BinaryHeap<Reverse<ScheduledEvent>>,
}

impl EventQueue {
    /// Schedules an event for a virtual time in seconds.
    pub fn schedule(&mut self, at: Time, event: PendingEvent) {
        self.pending.push(Reverse(ScheduledEvent { at_nanoseconds: nanoseconds(at), event }));
    }

    /// Removes and returns the next event that is due at `until` or before; `None` if no event is due.
    pub fn take_due(&mut self, until: Time) -> Option<DueEvent> {
        let Reverse(next) = self.pending.peek().copied()?;
        if next.at_nanoseconds > nanoseconds(until) {
            return None;
        }
        self.pending.pop();
        Some(DueEvent { at: next.at_nanoseconds as f64 * 1e-9, event: next.event })
    }
}

fn nanoseconds(at: Time) -> u64 {
    (at * 1e9) as u64
}
