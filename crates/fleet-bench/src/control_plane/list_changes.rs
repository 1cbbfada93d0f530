//! Generates changes of an endpoint list in the proportions of the operators' fleet.

use crate::discovery::{Change, Discovery};
use crate::random_values::poisson_arrivals;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Minimum number of changes in a window with a rate above 0. A window without changes would measure no
/// latency.
pub const MIN_CHANGES_PER_WINDOW: usize = 3;

/// Number of backends in the operators' fleet.
const FLEET_BACKEND_COUNT: f64 = 5_500.0;
/// Restarts per day in the fleet that the operators expect.
const FLEET_RESTARTS_PER_DAY: f64 = 680.0;
/// Configuration changes per day in the fleet that the operators expect.
const FLEET_CONFIGURATION_CHANGES_PER_DAY: f64 = 13_000.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// List changes per restart: the backend begins to drain, and then returns or is replaced.
const CHANGES_PER_RESTART: f64 = 2.0;

/// Change rates of one list: the fraction of the fleet's changes that corresponds to the size of the list.
pub struct ListChangeRates {
    /// Restarts per day.
    pub restarts_per_day: f64,
    /// Configuration changes per day.
    pub configuration_changes_per_day: f64,
}

impl ListChangeRates {
    /// Returns the rates of a list with this many entries.
    #[must_use]
    pub fn of(listed: usize) -> Self {
        let fraction = listed as f64 / FLEET_BACKEND_COUNT;
        Self {
            restarts_per_day: fraction * FLEET_RESTARTS_PER_DAY,
            configuration_changes_per_day: fraction * FLEET_CONFIGURATION_CHANGES_PER_DAY,
        }
    }

    /// Returns the number of list changes per second.
    #[must_use]
    pub fn changes_per_second(&self) -> f64 {
        (CHANGES_PER_RESTART * self.restarts_per_day + self.configuration_changes_per_day) / SECONDS_PER_DAY
    }
}

/// Generates random changes in the proportions of the fleet: restarts cause 1,360 of every 14,360 changes.
/// The others are configuration changes, which appear in the list as a new weight.
pub struct ChangeGenerator {
    rng: SmallRng,
    draining: Option<usize>,
}

impl ChangeGenerator {
    /// Creates a generator whose changes depend on the seed and the list only.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self { rng: SmallRng::seed_from_u64(seed), draining: None }
    }

    /// Draws the times of the changes in a window of `window` seconds from a Poisson process of `rate`
    /// changes per second. If the rate is above 0, there are at least [`MIN_CHANGES_PER_WINDOW`] changes.
    pub fn change_times(&mut self, rate: f64, window: f64) -> Vec<Duration> {
        let mut times = poisson_arrivals(&mut self.rng, rate, window);
        while rate > 0.0 && times.len() < MIN_CHANGES_PER_WINDOW {
            times.push(Duration::from_secs_f64(self.rng.random::<f64>() * window));
        }
        times.sort();
        times
    }

    /// Generates the next change of the present list.
    pub fn next_change(&mut self, discovery: &Discovery) -> Change {
        let serving = discovery.serving();
        let index = serving[self.rng.random_range(0..serving.len())];
        let restart_changes = CHANGES_PER_RESTART * FLEET_RESTARTS_PER_DAY;
        let restart_probability = restart_changes / (restart_changes + FLEET_CONFIGURATION_CHANGES_PER_DAY);
        if !self.rng.random_bool(restart_probability) {
            return Change::Weight { index, weight: self.rng.random_range(0.5..2.0) };
        }
        match self.draining.take() {
            Some(drained) if self.rng.random() => Change::Restart(drained),
            Some(drained) => Change::Replace(drained),
            None => {
                self.draining = Some(index);
                Change::Drain(index)
            }
        }
    }
}
