//! The plan of a fleet run: the content of its experiment file, its defaults and its bounds.

use super::parameters::{EffectFractions, LognormalTime, RoundTrips, TimeRange};
use crate::error::Error;
use crate::plan::check_bounds;
use clap::ValueEnum;
use serde::{Deserialize, Serialize};

/// Maximum of each time in a plan, in seconds.
const MAX_TIME_SECONDS: f64 = 3_600.0;
/// Maximum number of calls that a run may simulate.
const MAX_SIMULATED_CALLS: f64 = 1e11;
/// Maximum number of calls that the recorded callers of one role may make in all phases together. Each
/// recorded call takes half a kilobyte of memory.
const MAX_RECORDED_CALLS: f64 = 2e6;

/// A phase: the faults that happen to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The graceful restarts and machine failures of a day, compressed into the window
    Ordinary,
    /// All machines of a rack fail at once; after the outage their backends are in slow start
    Rack,
    /// All machines of a zone fail at once; after the outage their backends are in slow start
    Zone,
    /// A region is partitioned from the other regions and from discovery for an hour, compressed into the
    /// partition duration
    Region,
    /// Half of the machines of the largest service and of the most called service restart at once
    Half,
}

impl Phase {
    /// Returns the name of the phase on the command line and in reports.
    #[must_use]
    pub fn name(self) -> String {
        self.to_possible_value().map_or_else(String::new, |value| value.get_name().to_string())
    }
}

/// The plan of a run. Times are in seconds. The struct is flat, as the experiment file is. The aliases
/// accept the parameter names of earlier experiment files and reports.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Plan {
    /// Seed of all random draws.
    pub seed: u64,
    /// Phases to simulate, each independently of the others.
    pub phases: Vec<Phase>,
    /// Number of backends, each with its proxy; at least two for each service.
    pub backends: usize,
    /// Number of services.
    pub services: usize,
    /// Exponent of the power law by which the size of a service falls with its rank, 0 to 5.
    #[serde(alias = "skew")]
    pub size_skew: f64,
    /// Number of layers of services: the depth of the call graph.
    pub depth: usize,
    /// Maximum number of services of lower layers that a service calls, in addition to the services
    /// that are assigned to it so that every service below the first layer has a caller. Each proxy of
    /// the service calls one of these services.
    #[serde(alias = "calls")]
    pub callees_per_service: usize,
    /// Number of regions, each with the same number of zones.
    pub regions: usize,
    /// Number of zones in all regions together.
    pub zones: usize,
    /// Number of racks in a zone.
    pub racks: usize,
    /// Round-trip times between machines.
    pub round_trips: RoundTrips,
    /// Calls per second of the complete fleet.
    pub rate: f64,
    /// Fraction of `rate` that is simulated; above 1 the simulated fleet makes more calls.
    pub rate_scale: f64,
    /// Fractions of the calls by the effect of a repetition.
    pub effects: EffectFractions,
    /// Timeout of a call, 0.01 to 60 s.
    #[serde(alias = "budget")]
    pub call_timeout: f64,
    /// Cost of a call across zones, as a fraction of the priority weight of a call, 0 to 100.
    #[serde(alias = "cross_zone")]
    pub cross_zone_cost: f64,
    /// Time that is simulated before the first fault.
    pub warm_up: f64,
    /// Time that is simulated after the warm-up; the report covers this time.
    pub window: f64,
    /// Number of graceful restarts in a day.
    pub restarts: usize,
    /// Number of machine failures in a day.
    pub failures: usize,
    /// Time from the announcement of a drain to the end of the process.
    pub drain: f64,
    /// Time from the end of the process until the backend serves again.
    pub restart: f64,
    /// Time for which a failed machine, rack or zone is down.
    pub outage: f64,
    /// Time from the failure of a machine until discovery detects the failure.
    #[serde(alias = "detection")]
    pub detection_time: TimeRange,
    /// Time for which the region is partitioned; represents an hour.
    #[serde(alias = "cut")]
    pub partition_duration: f64,
    /// Time that an endpoint update takes from discovery to a proxy, without the delay of the network.
    #[serde(alias = "news")]
    pub update_delay: LognormalTime,
    /// Time after the publication of an endpoint update at which a proxy counts as notified, even if the
    /// proxy has not received the update.
    #[serde(alias = "deemed_told")]
    pub deemed_notified: f64,
    /// Grace period after the notification that a backend is draining or removed. No new request may be
    /// sent to the backend after the grace period.
    pub drain_grace: f64,
    /// Timeout of a connection attempt.
    pub connect_timeout: f64,
    /// Time from the last response on an idle connection until the connection is closed.
    #[serde(alias = "idle_close")]
    pub idle_timeout: f64,
    /// Capacity of a backend that has just started, as a fraction of its full capacity, 0.001 to 1.
    #[serde(alias = "cold_share")]
    pub slow_start_initial_capacity: f64,
    /// Time from the start of a backend until the backend has its full capacity.
    #[serde(alias = "cold")]
    pub slow_start_duration: f64,
    /// Load at which a backend fails by overload, as a multiple of its current capacity.
    #[serde(alias = "fall_multiple")]
    pub overload_multiple: f64,
    /// Time for which an overload must last until the backend fails.
    #[serde(alias = "tip_after")]
    pub overload_window: f64,
    /// Number of callers of each role whose processor time is measured.
    #[serde(alias = "samples")]
    pub recorded_callers: usize,
    /// Real time after which the run is aborted.
    #[serde(alias = "limit")]
    pub real_time_limit: f64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seed: 1,
            phases: Phase::value_variants().to_vec(),
            backends: 5_500,
            services: 320,
            size_skew: 0.7,
            depth: 17,
            callees_per_service: 2,
            regions: 3,
            zones: 9,
            racks: 16,
            round_trips: RoundTrips { same_zone: 0.0005, same_region: 0.0015, cross_region: 0.030 },
            rate: 620_000.0,
            rate_scale: 1.0,
            effects: EffectFractions { safe: 0.7, idempotent: 0.2 },
            call_timeout: 1.0,
            cross_zone_cost: 0.05,
            warm_up: 15.0,
            window: 60.0,
            restarts: 680,
            failures: 9,
            drain: 8.0,
            restart: 3.0,
            outage: 25.0,
            detection_time: TimeRange { min: 1.0, max: 3.0 },
            partition_duration: 40.0,
            update_delay: LognormalTime { median: 0.3, sigma: 0.6 },
            deemed_notified: 6.0,
            drain_grace: 1.0,
            connect_timeout: 0.25,
            idle_timeout: 10.0,
            slow_start_initial_capacity: 0.1,
            slow_start_duration: 10.0,
            overload_multiple: 3.0,
            overload_window: 1.0,
            recorded_callers: 4,
            real_time_limit: 1_800.0,
        }
    }
}

impl Plan {
    /// Rejects a plan that cannot be simulated, or whose run would take too long.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Range`] or [`Error::Argument`] for the first parameter that is out of its bounds.
    /// The error has the name of the parameter in the experiment file.
    pub fn validate(&self) -> Result<(), Error> {
        self.validate_topology()?;
        self.validate_calls()?;
        self.validate_times()?;
        let duration = self.warm_up + self.window;
        let calls = self.rate * self.rate_scale * duration * self.phases.len() as f64;
        check_bounds("calls of all phases", &(0.0..=MAX_SIMULATED_CALLS), calls)?;
        let recorded = calls / self.backends as f64 * self.recorded_callers as f64;
        check_bounds("calls of recorded callers", &(0.0..=MAX_RECORDED_CALLS), recorded)
    }

    fn validate_topology(&self) -> Result<(), Error> {
        check_count("services", self.services, 10_000)?;
        check_count("backends", self.backends, 100_000)?;
        check_count("depth", self.depth, self.services)?;
        check_count("callees_per_service", self.callees_per_service, 100)?;
        check_count("zones", self.zones, 1_000)?;
        check_count("regions", self.regions, self.zones)?;
        check_count("racks", self.racks, 10_000)?;
        if self.backends < 2 * self.services {
            let expected = "at least two for each service";
            return Err(Error::Argument { name: "backends", expected, got: self.backends.to_string() });
        }
        if !self.zones.is_multiple_of(self.regions) {
            let expected = "a multiple of the regions";
            return Err(Error::Argument { name: "zones", expected, got: self.zones.to_string() });
        }
        let outages = (self.restarts + self.failures) as f64;
        check_bounds("restarts and failures", &(0.0..=self.backends as f64), outages)
    }

    fn validate_calls(&self) -> Result<(), Error> {
        check_bounds("effects", &(0.0..=1.0), self.effects.safe)?;
        check_bounds("effects", &(0.0..=1.0 - self.effects.safe), self.effects.idempotent)?;
        check_bounds("size_skew", &(0.0..=5.0), self.size_skew)?;
        check_bounds("rate", &(1.0..=1e9), self.rate)?;
        check_bounds("rate_scale", &(1e-6..=100.0), self.rate_scale)?;
        check_bounds("call_timeout", &(0.01..=60.0), self.call_timeout)?;
        check_bounds("cross_zone_cost", &(0.0..=100.0), self.cross_zone_cost)?;
        check_bounds("slow_start_initial_capacity", &(0.001..=1.0), self.slow_start_initial_capacity)?;
        check_bounds("overload_multiple", &(0.001..=1e6), self.overload_multiple)
    }

    fn validate_times(&self) -> Result<(), Error> {
        check_bounds("overload_window", &(0.001..=600.0), self.overload_window)?;
        check_bounds("warm_up", &(1.0..=MAX_TIME_SECONDS), self.warm_up)?;
        check_bounds("window", &(1.0..=MAX_TIME_SECONDS), self.window)?;
        check_bounds("real_time_limit", &(1.0..=86_400.0), self.real_time_limit)?;
        let times = [
            ("round_trips", self.round_trips.same_zone),
            ("round_trips", self.round_trips.same_region),
            ("round_trips", self.round_trips.cross_region),
            ("drain", self.drain),
            ("restart", self.restart),
            ("outage", self.outage),
            ("detection_time", self.detection_time.min),
            ("detection_time", self.detection_time.max - self.detection_time.min),
            ("partition_duration", self.partition_duration),
            ("update_delay", self.update_delay.median),
            ("update_delay", self.update_delay.sigma),
            ("deemed_notified", self.deemed_notified),
            ("drain_grace", self.drain_grace),
            ("connect_timeout", self.connect_timeout),
            ("idle_timeout", self.idle_timeout),
            ("slow_start_duration", self.slow_start_duration),
        ];
        times.into_iter().try_for_each(|(name, time)| check_bounds(name, &(0.0..=MAX_TIME_SECONDS), time))
    }

    /// Returns the capacity of a backend, `age` seconds after its start, as a fraction of its full
    /// capacity.
    #[must_use]
    pub fn capacity_fraction(&self, age: f64) -> f64 {
        let progress = if self.slow_start_duration > 0.0 {
            (age / self.slow_start_duration).clamp(0.0, 1.0)
        } else {
            1.0
        };
        self.slow_start_initial_capacity + (1.0 - self.slow_start_initial_capacity) * progress
    }

    /// Returns the virtual time at which a phase ends, in seconds.
    #[must_use]
    pub fn phase_end(&self) -> f64 {
        self.warm_up + self.window
    }
}

fn check_count(name: &'static str, got: usize, max: usize) -> Result<(), Error> {
    check_bounds(name, &(1.0..=max as f64), got as f64)
}
