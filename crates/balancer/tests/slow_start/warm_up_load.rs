//! The load of backends while they are warming up, and the load at which the settings regard a backend as
//! overloaded.

use crate::fleet::{BACKEND_START_TIME, Fleet};
use balancer::{Settings, Time};

/// The number of steps over which the capacity in an overload window is averaged.
const OVERLOAD_WINDOW_STEPS: i32 = 50;
/// The excess over the overload limit that random arrivals can cause, in standard deviations.
const ARRIVAL_TOLERANCE_DEVIATIONS: f64 = 2.0;
/// The excess over the overload limit that random arrivals can cause if the limit is near zero, in requests.
const ARRIVAL_TOLERANCE_REQUESTS: f64 = 2.0;

/// The load of backends while they were warming up.
#[derive(Clone, Copy, Debug, Default)]
pub struct WarmUpLoad {
    /// The number of requests in the worst overload window of any backend, as a fraction of the number that
    /// overloads the backend.
    pub worst_window: f64,
    /// The mean number of requests sent to a backend, as a fraction of the capacity while warming up.
    pub used_capacity: f64,
}

impl WarmUpLoad {
    /// Measures the load from the times at which requests were sent to each of the started backends.
    pub fn measure(fleet: &Fleet, sends_to_started: &[Vec<Time>]) -> Self {
        let settings = fleet.settings();
        let mean_capacity = fleet.capacity * (1.0 + settings.slow_start_initial_capacity) / 2.0;
        let capacity_while_warming_up = mean_capacity * settings.slow_start_duration;
        let mut load = Self::default();
        for sends in sends_to_started {
            load.worst_window = load.worst_window.max(worst_window_load(fleet, sends));
            let used = sends.len() as f64 / capacity_while_warming_up;
            load.used_capacity += used / fleet.started_backends as f64;
        }
        load
    }
}

/// Returns the number of requests in the worst overload window of a backend, as a fraction of the number that
/// overloads the backend.
fn worst_window_load(fleet: &Fleet, sends: &[Time]) -> f64 {
    let settings = fleet.settings();
    let mut worst = 0.0_f64;
    for (index, start) in sends.iter().enumerate() {
        let end = start + settings.slow_start_overload_window;
        let count = sends[index..].iter().take_while(|sent_at| **sent_at < end).count();
        let limit = overload_limit(fleet, &settings, start - BACKEND_START_TIME);
        let limit_with_tolerance =
            limit + ARRIVAL_TOLERANCE_DEVIATIONS * limit.sqrt() + ARRIVAL_TOLERANCE_REQUESTS;
        worst = worst.max(count as f64 / limit_with_tolerance);
    }
    worst
}

/// Returns the number of requests that overload a backend, in the overload window that starts at this age of
/// the backend in seconds.
fn overload_limit(fleet: &Fleet, settings: &Settings, window_start: Time) -> f64 {
    let window = settings.slow_start_overload_window;
    let age_at = |step: i32| window_start + window * f64::from(step) / f64::from(OVERLOAD_WINDOW_STEPS);
    let capacities = (0..OVERLOAD_WINDOW_STEPS).map(|step| capacity_fraction_at(settings, age_at(step)));
    let mean_capacity = capacities.sum::<f64>() / f64::from(OVERLOAD_WINDOW_STEPS);
    settings.slow_start_overload_multiple * fleet.capacity * mean_capacity * window
}

/// Returns the capacity of a backend of this age in seconds, as a fraction of the full capacity.
fn capacity_fraction_at(settings: &Settings, age: Time) -> f64 {
    let initial = settings.slow_start_initial_capacity;
    let progress = (age / settings.slow_start_duration).clamp(0.0, 1.0);
    initial + (1.0 - initial) * progress
}
