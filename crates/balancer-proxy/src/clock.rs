//! The clock of the decision module: seconds since the proxy started.
//!
//! The decision module has no clock of its own. Every time that it is given or gives back is a time
//! of this clock, which is monotonic; only here are such times converted from and to other clocks.

use balancer::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that counts seconds since the proxy started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// The Unix time of the start, in seconds.
    unix_start: Time,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        let unix_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        Self { start: Instant::now(), unix_start }
    }

    /// The instant at which the clock started.
    #[must_use]
    pub fn start_instant(&self) -> Instant {
        self.start
    }

    /// The current time, in seconds since the start.
    #[must_use]
    pub fn now(&self) -> Time {
        self.start.elapsed().as_secs_f64()
    }

    /// Converts a Unix time in seconds. The result for one input stays the same as long as the proxy
    /// runs, even if the system time is adjusted; a time before the start is negative.
    #[must_use]
    pub fn from_unix_time(&self, unix_time: Time) -> Time {
        unix_time - self.unix_start
    }

    /// Converts a time of this clock to an instant of the runtime. A time that no duration can
    /// represent, such as a negative one, is taken as the start.
    #[must_use]
    pub fn instant_at(&self, time: Time) -> tokio::time::Instant {
        (self.start + Duration::try_from_secs_f64(time).unwrap_or_default()).into()
    }
}
