//! Processor time of the balancer's events by kind.

use crate::stats;
use crate::thread_clock::thread_time;

/// Number of clock readings from which the cost of a reading is estimated.
const CLOCK_READING_COUNT: usize = 2001;

/// The events whose costs are measured separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// A request arrives and is assigned to a backend.
    Request,
    /// A backend responds to an attempt.
    Response,
    /// A retry timer of an open request fires, and an attempt is sent.
    TimerWithRetry,
    /// A retry timer of an open request fires, and no attempt is sent.
    TimerWithoutRetry,
    /// A timer of a request that has ended fires.
    LateTimer,
    /// An attempt is cancelled, as another attempt of the request got a response.
    Cancellation,
}

impl EventKind {
    /// Number of event kinds.
    const VARIANT_COUNT: usize = 6;
}

/// Number and total processor time of the events of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct EventCost {
    seconds: f64,
    count: usize,
}

/// The cost of a batch of simulated requests.
#[derive(Clone, Debug, Default)]
pub struct EventTimes {
    costs: [EventCost; EventKind::VARIANT_COUNT],
    /// Number of requests that were rejected or failed.
    pub unserved: usize,
    /// Number of open requests at an arrival, summed over all arrivals.
    open_requests_at_arrivals: usize,
}

impl EventTimes {
    /// Adds the processor time of an event.
    pub fn add(&mut self, kind: EventKind, seconds: f64) {
        let cost = &mut self.costs[kind as usize];
        cost.seconds += seconds;
        cost.count += 1;
    }

    /// Adds the number of open requests at the arrival of a request.
    pub fn add_open_requests(&mut self, open: usize) {
        self.open_requests_at_arrivals += open;
    }

    /// Returns the mean processor time of the events of a kind, in microseconds; NaN if there was no such
    /// event.
    #[must_use]
    pub fn mean_microseconds(&self, kind: EventKind) -> f64 {
        let cost = self.costs[kind as usize];
        1e6 * cost.seconds / cost.count as f64
    }

    /// Returns the processor time of all events divided by the number of requests, in microseconds.
    #[must_use]
    pub fn microseconds_per_request(&self) -> f64 {
        1e6 * self.costs.iter().map(|cost| cost.seconds).sum::<f64>() / self.requests()
    }

    /// Returns the mean number of open requests over the arrivals.
    #[must_use]
    pub fn mean_open_requests(&self) -> f64 {
        self.open_requests_at_arrivals as f64 / self.requests()
    }

    fn requests(&self) -> f64 {
        self.costs[EventKind::Request as usize].count as f64
    }
}

/// Measures the processor time of a clock reading: the median of many readings, in seconds.
#[must_use]
pub fn measure_clock_cost() -> f64 {
    let mut costs: Vec<f64> = (0..CLOCK_READING_COUNT).map(|_| -thread_time() + thread_time()).collect();
    stats::median(&mut costs)
}
