//! Changes of the list as they occur in the operators' fleet.

use crate::discovery::{Change, Discovery};
use crate::draw::arrivals;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// A window has at least this many changes, unless its rate is 0: without any there is no latency to
/// measure.
pub const MIN_CHANGES_PER_WINDOW: usize = 3;

/// Backends of the operators' fleet.
const FLEET_BACKENDS: f64 = 5_500.0;
/// Restarts that the operators expect in their fleet, per day.
const FLEET_RESTARTS_PER_DAY: f64 = 680.0;
/// Changes of configuration that the operators expect in their fleet, per day.
const FLEET_CONFIGURATIONS_PER_DAY: f64 = 13_000.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// A restart is two changes of the list: draining, then the return or the replacement.
const CHANGES_PER_RESTART: f64 = 2.0;

/// The changes that one list sees: a part of the fleet's in proportion to its size.
pub struct ListShare {
    /// Restarts per day.
    pub restarts_per_day: f64,
    /// Changes of configuration per day.
    pub configurations_per_day: f64,
}

impl ListShare {
    /// The share of a list with this many entries.
    #[must_use]
    pub fn of(listed: usize) -> Self {
        let fraction = listed as f64 / FLEET_BACKENDS;
        Self {
            restarts_per_day: fraction * FLEET_RESTARTS_PER_DAY,
            configurations_per_day: fraction * FLEET_CONFIGURATIONS_PER_DAY,
        }
    }

    /// Changes of the list per second.
    #[must_use]
    pub fn changes_per_second(&self) -> f64 {
        (CHANGES_PER_RESTART * self.restarts_per_day + self.configurations_per_day) / SECONDS_PER_DAY
    }
}

/// Draws changes in the proportions of the fleet: of every 14,360, 1,360 are caused by restarts. The
/// others are changes of configuration, which a list shows as another weight.
pub struct ChangeGenerator {
    rng: SmallRng,
    draining: Option<usize>,
}

impl ChangeGenerator {
    /// A generator whose draws depend on the seed alone.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self { rng: SmallRng::seed_from_u64(seed), draining: None }
    }

    /// The times of a window's changes: a Poisson process of `rate` changes per second during
    /// `window` seconds, with at least [`MIN_CHANGES_PER_WINDOW`].
    pub fn times(&mut self, rate: f64, window: f64) -> Vec<Duration> {
        let mut times = arrivals(&mut self.rng, rate, window);
        while rate > 0.0 && times.len() < MIN_CHANGES_PER_WINDOW {
            times.push(Duration::from_secs_f64(self.rng.random::<f64>() * window));
        }
        times.sort();
        times
    }

    /// Draws the next change.
    pub fn next(&mut self, discovery: &Discovery) -> Change {
        let serving = discovery.serving();
        let index = serving[self.rng.random_range(0..serving.len())];
        let restart_changes = CHANGES_PER_RESTART * FLEET_RESTARTS_PER_DAY;
        let restart_probability = restart_changes / (restart_changes + FLEET_CONFIGURATIONS_PER_DAY);
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
