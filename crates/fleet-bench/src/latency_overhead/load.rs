//! An open-loop load: calls with scheduled start times, made directly or through the proxy.

use super::connection::Connection;
use crate::error::Error;
use crate::random_values::poisson_arrivals;
use crate::shutdown::ShutdownSignal;
use rand::Rng;
use rand::rngs::SmallRng;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Duration of the load before the measurement, in seconds. During this time connections are opened.
pub const WARM_UP_SECONDS: f64 = 1.5;
/// Number of callers, and thus the maximum number of calls in flight. A further call waits for a free
/// caller, and the wait is part of the latency of the call.
pub const CALLER_COUNT: usize = 128;
/// Time before the first call in which the callers connect.
const CALLER_CONNECT_TIME: Duration = Duration::from_millis(200);
/// Duration of the spin loop at the end of a wait: a sleep ends some tens of microseconds late.
const SPIN_WAIT_TIME: Duration = Duration::from_micros(150);

/// Route of a call to the backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// The client calls the backend directly.
    Direct,
    /// The client calls the backend through the proxy.
    Proxied,
}

impl Route {
    /// All routes, in the order of reports.
    pub const ALL: [Self; 2] = [Self::Direct, Self::Proxied];

    /// Returns the name of the route in reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Direct => "direct",
            Self::Proxied => "proxied",
        }
    }
}

/// A call with its scheduled start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledCall {
    /// Scheduled start of the call, since the start of the load.
    pub at: Duration,
    /// Route of the call.
    pub route: Route,
}

/// Draws the start times of calls from a Poisson process with a mean of `rate` calls per second on each
/// route.
pub fn poisson_calls(rng: &mut SmallRng, rate: f64, seconds: f64) -> Vec<ScheduledCall> {
    let times = poisson_arrivals(rng, Route::ALL.len() as f64 * rate, seconds);
    let mut calls = Vec::with_capacity(times.len());
    for at in times {
        let route = if rng.random() { Route::Proxied } else { Route::Direct };
        calls.push(ScheduledCall { at, route });
    }
    calls
}

/// A call of the schedule with its number.
#[derive(Clone, Copy, Debug)]
struct NumberedCall {
    /// Number of the call in the schedule, from 0.
    number: usize,
    /// The call.
    call: ScheduledCall,
}

/// Result of one call.
#[derive(Clone, Copy, Debug)]
pub struct CallSample {
    /// The call.
    pub call: ScheduledCall,
    /// Delay from the scheduled to the actual start of the call; `None` if the call waited for a free caller.
    pub generator_delay: Option<Duration>,
    /// Time from the scheduled start to the response; `None` if the call failed.
    pub latency: Option<Duration>,
}

/// The calls of one load. Each free caller takes the next call.
pub struct CallSchedule {
    start: Instant,
    calls: Vec<ScheduledCall>,
    next: AtomicUsize,
}

impl CallSchedule {
    /// Creates a schedule that starts after [`CALLER_CONNECT_TIME`].
    #[must_use]
    pub fn start_soon(calls: Vec<ScheduledCall>) -> Self {
        Self { start: Instant::now() + CALLER_CONNECT_TIME, calls, next: AtomicUsize::new(0) }
    }

    /// Takes the next call.
    fn take_next(&self) -> Option<NumberedCall> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        self.calls.get(number).map(|call| NumberedCall { number, call: *call })
    }
}

/// A client that makes one call at a time, with a connection for each route.
pub struct Caller {
    direct: Connection,
    proxied: Connection,
}

impl Caller {
    /// Connects to a backend and to the proxy.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] if the backend or the proxy does not accept the connection.
    pub fn connect(backend: SocketAddr, proxy: SocketAddr) -> Result<Self, Error> {
        Ok(Self { direct: Connection::open(backend)?, proxied: Connection::open(proxy)? })
    }

    /// Makes calls of the schedule until no call is left.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Interrupted`] once a signal has arrived.
    pub fn run(
        mut self,
        schedule: &CallSchedule,
        shutdown: &ShutdownSignal,
    ) -> Result<Vec<CallSample>, Error> {
        let mut samples = Vec::new();
        while let Some(NumberedCall { number, call }) = schedule.take_next() {
            let due = schedule.start + call.at;
            let was_free = Instant::now() < due;
            wait_precisely(due, call.at, shutdown)?;
            let generator_delay = was_free.then(|| due.elapsed());
            let connection = match call.route {
                Route::Direct => &mut self.direct,
                Route::Proxied => &mut self.proxied,
            };
            let succeeded = connection.call(number as u64 + 1);
            let latency = succeeded.then(|| due.elapsed());
            samples.push(CallSample { call, generator_delay, latency });
        }
        Ok(samples)
    }
}

/// Sleeps for most of the time until `due`, and spins for the rest. `since_start` is the time from the
/// start of the load to `due`.
fn wait_precisely(due: Instant, since_start: Duration, shutdown: &ShutdownSignal) -> Result<(), Error> {
    shutdown.sleep_until(due - SPIN_WAIT_TIME.min(since_start))?;
    while Instant::now() < due {
        std::hint::spin_loop();
    }
    Ok(())
}
