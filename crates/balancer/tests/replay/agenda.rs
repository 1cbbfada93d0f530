//! The agenda of a simulation: planned occurrences, in the order of their times.

use balancer::{AttemptId, BackendId, RequestId, Time, TimerToken};
use std::collections::BTreeMap;

/// An occurrence in a simulation.
#[derive(Clone, Copy, Debug)]
pub enum Occurrence {
    /// The next request arrives.
    Arrival,
    /// A timer is due.
    TimerDue(TimerToken),
    /// A streamed response starts.
    ResponseStarts(AttemptId),
    /// An attempt ends, unless it has ended before.
    AttemptEnds(AttemptId),
    /// The body of a request has been received.
    BodyReceived(RequestId),
    /// So much of the body of a request has been forwarded that another attempt is impossible.
    BodyConsumed(RequestId),
    /// A client disconnects.
    ClientDisconnects(RequestId),
    /// A health check ends.
    HealthCheckEnds(BackendId),
    /// A poll of the endpoint list is answered or fails.
    PollEnds,
    /// The change of this index in the scenario.
    Change(usize),
}

/// An occurrence with its time.
#[derive(Clone, Copy, Debug)]
pub struct PlannedOccurrence {
    /// The time in seconds.
    pub at: Time,
    /// The occurrence.
    pub occurrence: Occurrence,
}

/// The place of an occurrence on the agenda: occurrences of one time keep the order in which they were added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    /// The bits of the time. The bits of times that are not negative sort as the times do.
    time_bits: u64,
    sequence: usize,
}

/// Occurrences in the order of their times.
#[derive(Debug, Default)]
pub struct Agenda {
    occurrences: BTreeMap<Place, Occurrence>,
    added: usize,
}

impl Agenda {
    /// Adds an occurrence. An occurrence at an infinite time never happens.
    pub fn add(&mut self, at: Time, occurrence: Occurrence) {
        if at.is_finite() {
            let place = Place { time_bits: at.max(0.0).to_bits(), sequence: self.added };
            self.occurrences.insert(place, occurrence);
            self.added += 1;
        }
    }

    /// Removes the next occurrence, and returns the occurrence with its time.
    pub fn next(&mut self) -> Option<PlannedOccurrence> {
        let (place, occurrence) = self.occurrences.pop_first()?;
        Some(PlannedOccurrence { at: Time::from_bits(place.time_bits), occurrence })
    }
}
