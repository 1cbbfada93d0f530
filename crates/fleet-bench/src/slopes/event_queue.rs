//! The pending events of a simulation, in the order of their virtual times.

use balancer::{AttemptNumber, RequestId, Time, TimerToken};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// An event that becomes due at some virtual time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PendingEvent {
    /// A timer of the balancer fires.
    Timer {
        /// The request whose event led to the timer.
        id: RequestId,
        /// The token of the timer.
        token: TimerToken,
    },
    /// A backend responds to an attempt.
    Response {
        /// The request.
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

/// An event and its time in nanoseconds, which unlike [`Time`] has a total order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    at_nanoseconds: u64,
    event: PendingEvent,
}

/// The pending events.
#[derive(Debug, Default)]
pub struct EventQueue {
    pending: BinaryHeap<Reverse<ScheduledEvent>>,
}

impl EventQueue {
    /// Schedules an event.
    pub fn schedule(&mut self, at: Time, event: PendingEvent) {
        self.pending.push(Reverse(ScheduledEvent { at_nanoseconds: nanoseconds(at), event }));
    }

    /// Takes the next event that is due at this time or before; `None` if no event is.
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
