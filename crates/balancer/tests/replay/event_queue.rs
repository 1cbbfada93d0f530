//! The event queue of a simulation: scheduled events, in the order of their times.

use balancer::{AttemptId, BackendId, RequestId, Time, TimerToken};
use std::collections::BTreeMap;

/// An event in a simulation, before it is converted to events of the balancer.
#[derive(Clone, Copy, Debug)]
pub enum SimulationEvent {
    /// The next request arrives.
    Arrival,
    /// A timer of the balancer is due.
    TimerDue(TimerToken),
    /// A streamed response starts.
    ResponseStarts(AttemptId),
    /// An attempt ends, unless it has ended before.
    AttemptEnds(AttemptId),
    /// The body of a request has been received.
    BodyReceived(RequestId),
    /// No backend has taken the rest of the body of a request for its whole timeout.
    BodyStalls(RequestId),
    /// So much of the body of a request has been forwarded that another attempt is impossible.
    BodyConsumed(RequestId),
    /// A client disconnects.
    ClientDisconnects(RequestId),
    /// A health check ends.
    HealthCheckEnds(BackendId),
    /// A poll of the endpoint list gets a response or fails.
    PollEnds,
    /// The change with this index in the scenario takes place.
    Change(usize),
}

/// An event with its time.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledEvent {
    /// The time in seconds.
    pub at: Time,
    /// The event.
    pub event: SimulationEvent,
}

/// The position of an event in the queue. Events with the same time keep the order in which they were added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    /// The bits of the time. The bits of times that are not negative have the same order as the times.
    time_bits: u64,
    /// The number of events added before.
    sequence: usize,
}

/// Scheduled events in the order of their times.
#[derive(Debug, Default)]
pub struct EventQueue {
    events: BTreeMap<QueuePosition, SimulationEvent>,
    added: usize,
}

impl EventQueue {
    /// Adds an event. An event at an infinite time never occurs, and is not added.
    pub fn add(&mut self, at: Time, event: SimulationEvent) {
        if at.is_finite() {
            let position = QueuePosition { time_bits: at.max(0.0).to_bits(), sequence: self.added };
            self.events.insert(position, event);
            self.added += 1;
        }
    }

    /// Removes the next event, and returns the event with its time.
    pub fn next(&mut self) -> Option<ScheduledEvent> {
        let (position, event) = self.events.pop_first()?;
        Some(ScheduledEvent { at: Time::from_bits(position.time_bits), event })
    }
}
