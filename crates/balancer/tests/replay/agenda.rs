//! What is going to happen in a simulation, in the order of its times.

use balancer::{BackendId, RequestId, Time, TimerToken};
use std::collections::BTreeMap;

/// Names an attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Its number, from 0, in the order of the sends.
    pub number: usize,
}

/// Something that happens.
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
    /// Too much of the body of a request has been forwarded for another attempt.
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

/// Occurrences by their times; of those at one time the first that was added comes first.
#[derive(Debug, Default)]
pub struct Agenda {
    occurrences: BTreeMap<(u64, usize), Occurrence>,
    added: usize,
}

impl Agenda {
    /// Adds an occurrence. One at an infinite time never happens.
    pub fn add(&mut self, at: Time, occurrence: Occurrence) {
        if at.is_finite() {
            // The bits of times that are not negative sort as the times do.
            self.occurrences.insert((at.max(0.0).to_bits(), self.added), occurrence);
            self.added += 1;
        }
    }

    /// Removes the next occurrence, with its time in seconds.
    pub fn next(&mut self) -> Option<(Time, Occurrence)> {
        let ((bits, _), occurrence) = self.occurrences.pop_first()?;
        Some((Time::from_bits(bits), occurrence))
    }
}
