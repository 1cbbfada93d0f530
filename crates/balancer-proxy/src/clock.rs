//! The clock of the decision module: seconds since the proxy started.
//!
//! The decision module has no clock of its own. Every time in its events and actions is a time of this
//! clock, which is monotonic. Only this module converts such times from and to other clocks.

use balancer::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that counts seconds since the proxy started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// The instant at which the clock started, which is its time 0.
    start: Instant,
    /// The Unix time of `start`, in seconds; 0 if the system time is before 1970.
    unix_start: Time,
}

impl Clock {
    /// Creates a clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        let unix_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        Self { start: Instant::now(), unix_start }
    }

    /// Returns the instant at which the clock started.
    #[must_use]
    pub fn start_instant(&self) -> Instant {
        self.start
    }

    /// Returns the current time, in seconds since the start.
    #[must_use]
    pub fn now(&self) -> Time {
        self.start.elapsed().as_secs_f64()
    }

    /// Converts a Unix time in seconds to a time of this clock, which is negative for a Unix time before
    /// the start. The same Unix time always gives the same result, as adjustments of the system time
    /// after the start have no effect.
    #[must_use]
    pub fn from_unix_time(&self, unix_time: Time) -> Time {
        unix_time - self.unix_start
    }

    /// Converts a time of this clock to an instant of the runtime. A time that a [`Duration`] cannot
    /// represent, such as a negative time, is converted to the instant at which the clock started.
    #[must_use]
    pub fn instant_at(&self, time: Time) -> tokio::time::Instant {
        (self.start + Duration::try_from_secs_f64(time).unwrap_or_default()).into()
    }
}
