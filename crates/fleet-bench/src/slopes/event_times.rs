//! Processor time of the balancer's events by their kind.

use crate::stats;
use crate::thread_clock::thread_time;

/// Number of readings of the clock from which the cost of a reading is estimated.
const CLOCK_READING_COUNT: usize = 2001;

/// The events whose costs are measured separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// A request arrives and is assigned to a backend.
    Request,
    /// A backend responds.
    Response,
    /// A retry timer of an open request fires, and an attempt is sent.
    TimerWithRetry,
    /// A retry timer of an open request fires, and no attempt is sent.
    TimerWithoutRetry,
    /// A timer of a request that has ended fires.
    LateTimer,
    /// An attempt is cancelled as the other got a response.
    Cancellation,
}

impl EventKind {
    /// The number of kinds.
    const COUNT: usize = 6;
}

/// Number and processor time of the events of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct EventCost {
    seconds: f64,
    count: usize,
}

/// The cost of a stretch of simulated requests.
#[derive(Clone, Debug, Default)]
pub struct EventTimes {
    costs: [EventCost; EventKind::COUNT],
    /// Requests that were rejected or failed.
    pub unserved: usize,
    /// Open requests, summed over the arrivals.
    open_requests_at_arrivals: usize,
}

impl EventTimes {
    /// Adds an event.
    pub fn add(&mut self, kind: EventKind, seconds: f64) {
        let cost = &mut self.costs[kind as usize];
        cost.seconds += seconds;
        cost.count += 1;
    }

    /// Adds the number of open requests when a request has arrived.
    pub fn add_open_requests(&mut self, open: usize) {
        self.open_requests_at_arrivals += open;
    }

    /// Returns the mean processor time of an event of this kind, in microseconds; NaN without such an
    /// event.
    #[must_use]
    pub fn mean_microseconds(&self, kind: EventKind) -> f64 {
        let cost = self.costs[kind as usize];
        1e6 * cost.seconds / cost.count as f64
    }

    /// Returns the processor time of all events per request, in microseconds.
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

/// Measures the processor time of one reading of the clock, in seconds: the median of many.
#[must_use]
pub fn measure_clock_cost() -> f64 {
    let mut costs: Vec<f64> = (0..CLOCK_READING_COUNT).map(|_| -thread_time() + thread_time()).collect();
    stats::median(&mut costs)
}
