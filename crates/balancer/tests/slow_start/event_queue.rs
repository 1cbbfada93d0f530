//! The events of a simulation in the order of their times.

use balancer::{EndedAttempt, Time, TimerToken};
use std::collections::BTreeMap;

const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// An event at a balancer.
#[derive(Clone, Copy, Debug)]
pub enum SimulatedEvent {
    /// The next request arrives.
    Arrival,
    /// A timer is due.
    Timer(TimerToken),
    /// An attempt has ended; the load report is added when the event is handled.
    AttemptEnded(EndedAttempt),
}

/// An event with its time and its balancer.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledEvent {
    /// The time in seconds.
    pub at: Time,
    /// The index of the balancer.
    pub balancer: usize,
    /// The event.
    pub event: SimulatedEvent,
}

/// The position of an event in the queue. Events of the same nanosecond keep the order in which they were
/// scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    nanoseconds: u64,
    sequence: usize,
}

/// The scheduled events, ordered by time.
#[derive(Debug, Default)]
pub struct EventQueue {
    events: BTreeMap<QueuePosition, ScheduledEvent>,
    scheduled: usize,
}

impl EventQueue {
    /// Schedules an event. The time is rounded down to whole nanoseconds.
    pub fn schedule(&mut self, event: ScheduledEvent) {
        let nanoseconds = (event.at * NANOSECONDS_PER_SECOND) as u64;
        let at = nanoseconds as f64 / NANOSECONDS_PER_SECOND;
        let position = QueuePosition { nanoseconds, sequence: self.scheduled };
        self.scheduled += 1;
        self.events.insert(position, ScheduledEvent { at, ..event });
    }

    /// Removes and returns the earliest event.
    pub fn pop(&mut self) -> Option<ScheduledEvent> {
        self.events.pop_first().map(|(_, event)| event)
    }
}
