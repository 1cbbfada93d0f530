//! A hollow fleet on virtual time: the real module, thousands of times, in one process.
//!
//! Each proxy is a [`balancer_proxy::Balancer`] beside one machine of a service, and calls one lower
//! service, as the program's proxies have one list each. Backends, network and discovery are
//! modelled: plain service times without queues, drawn delays of news. As nothing that a proxy
//! sends changes how a backend answers, the proxies are played one by one, in parallel, and what
//! they send to the same backend is put together afterwards; the same seed gives the same figures
//! whatever the number of threads, processor times and memory aside.
//!
//! Always checked: each request gets exactly one final answer and gets it in time, and what is
//! unsafe to repeat is never sent again once it may have run.

mod caller;
mod changes;
pub mod checker;
mod cost;
mod tables;
mod together;
mod world;

use crate::error::Error;
use crate::plan;
use crate::report::Report;
use clap::ValueEnum;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};
use world::World;

/// What happens to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// A day's restarts, drained, and machine failures, compressed into the window
    Ordinary,
    /// A rack of a zone is gone at once, and back cold after the outage
    Rack,
    /// The same of a whole zone
    Zone,
    /// A region is cut off from the others and from discovery: an hour, compressed
    Region,
    /// Half of the largest and of the most called service restart at once
    Half,
}

/// Arguments of `fleet-bench fleet`.
#[derive(clap::Args, Clone, Debug, Default)]
pub struct Args {
    /// Where the plan comes from
    #[command(flatten)]
    pub source: plan::Source,
    /// What happens; may be given several times [default: each in turn]
    #[arg(long = "phase", value_name = "PHASE")]
    pub phases: Vec<Phase>,
    /// Backends, each with its proxy
    #[arg(long)]
    pub backends: Option<usize>,
    /// Services
    #[arg(long)]
    pub services: Option<usize>,
    /// Part of the full rate of calls that is played
    #[arg(long)]
    pub rate_scale: Option<f64>,
    /// What a call across zones costs, in parts of the worth of a call (the module's setting)
    #[arg(long)]
    pub cross_zone: Option<f64>,
    /// Restarts in a day
    #[arg(long)]
    pub restarts: Option<usize>,
    /// Seconds played before anything happens
    #[arg(long)]
    pub warm_up: Option<f64>,
    /// Seconds played from then on
    #[arg(long)]
    pub window: Option<f64>,
    /// Seconds of real time after which the run is given up
    #[arg(long)]
    pub limit: Option<f64>,
}

/// What is run. Times are in seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Plan {
    /// Seed of all random draws.
    pub seed: u64,
    /// What happens, each in a run of its own.
    pub phases: Vec<Phase>,
    /// Backends, each with its proxy; two for each service at the least.
    pub backends: usize,
    /// Services.
    pub services: usize,
    /// Power of its rank with which the size of a service falls.
    pub skew: f64,
    /// Layers of services: how deep calls go.
    pub depth: usize,
    /// Lower services that a service calls, at the most, beside those that have no other caller;
    /// each of its proxies calls one of them.
    pub calls: usize,
    /// Regions, equal in zones.
    pub regions: usize,
    /// Zones in all.
    pub zones: usize,
    /// Racks in a zone.
    pub racks: usize,
    /// Way there and back within a zone, a region, and between regions.
    pub round_trips: [f64; 3],
    /// Calls a second in all.
    pub rate: f64,
    /// Part of them that is played.
    pub rate_scale: f64,
    /// Parts of the calls that are safe to repeat, and that are dropped when repeated within a
    /// window; the rest may not be repeated.
    pub effects: [f64; 2],
    /// Time that a caller gives a call.
    pub budget: f64,
    /// What a call across zones costs, in parts of the worth of a call.
    pub cross_zone: f64,
    /// Played before anything happens.
    pub warm_up: f64,
    /// Played from then on.
    pub window: f64,
    /// Restarts in a day.
    pub restarts: usize,
    /// Machines that fail in a day.
    pub failures: usize,
    /// From the news of a drain to the end of the process.
    pub drain: f64,
    /// From there until the backend serves again.
    pub restart: f64,
    /// How long a lost machine, rack or zone is gone.
    pub outage: f64,
    /// Bounds of the time until discovery notices that a machine is gone.
    pub detection: [f64; 2],
    /// How long the region is cut off: stands for an hour.
    pub cut: f64,
    /// Median of the time that news take from discovery to a proxy, and their spread (sigma of a
    /// lognormal); the way there comes on top.
    pub news: [f64; 2],
    /// News count as told after this, heard or not.
    pub deemed_told: f64,
    /// Nothing new may be sent to a backend this long after the news that it drains or is gone.
    pub drain_grace: f64,
    /// A connection not up by then never comes up.
    pub connect_timeout: f64,
    /// A connection is kept so long after its last answer.
    pub idle_close: f64,
    /// A started backend has this part of its capacity,
    pub cold_share: f64,
    /// and all of it after this time.
    pub cold: f64,
    /// Sent more than this multiple of its capacity of the moment
    pub fall_multiple: f64,
    /// for this long, it falls over.
    pub tip_after: f64,
    /// Proxies of each role whose processor time is taken.
    pub samples: usize,
    /// Real time after which the run is given up.
    pub limit: f64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seed: 1,
            phases: Phase::value_variants().to_vec(),
            backends: 5_500,
            services: 320,
            skew: 0.7,
            depth: 17,
            calls: 2,
            regions: 3,
            zones: 9,
            racks: 16,
            round_trips: [0.0005, 0.0015, 0.030],
            rate: 620_000.0,
            rate_scale: 1.0,
            effects: [0.7, 0.2],
            budget: 1.0,
            cross_zone: 0.05,
            warm_up: 15.0,
            window: 60.0,
            restarts: 680,
            failures: 9,
            drain: 8.0,
            restart: 3.0,
            outage: 25.0,
            detection: [1.0, 3.0],
            cut: 40.0,
            news: [0.3, 0.6],
            deemed_told: 6.0,
            drain_grace: 1.0,
            connect_timeout: 0.25,
            idle_close: 10.0,
            cold_share: 0.1,
            cold: 10.0,
            fall_multiple: 3.0,
            tip_after: 1.0,
            samples: 4,
            limit: 1_800.0,
        }
    }
}

/// Longest time that a plan may name, in seconds.
const LONGEST: f64 = 3_600.0;
/// Most calls that a run may play.
const MOST_CALLS: f64 = 1e11;
/// Most calls, over all phases, of the proxies that stand for one role: each takes half a kilobyte.
const MOST_RECORDED: f64 = 2e6;

impl Plan {
    fn read(args: &Args) -> Result<Self, Error> {
        let mut plan: Self = args.source.read()?;
        if !args.phases.is_empty() {
            plan.phases.clone_from(&args.phases);
        }
        plan.seed = args.source.seed.unwrap_or(plan.seed);
        plan.backends = args.backends.unwrap_or(plan.backends);
        plan.services = args.services.unwrap_or(plan.services);
        plan.rate_scale = args.rate_scale.unwrap_or(plan.rate_scale);
        plan.cross_zone = args.cross_zone.unwrap_or(plan.cross_zone);
        plan.restarts = args.restarts.unwrap_or(plan.restarts);
        plan.warm_up = args.warm_up.unwrap_or(plan.warm_up);
        plan.window = args.window.unwrap_or(plan.window);
        plan.limit = args.limit.unwrap_or(plan.limit);
        plan.check()?;
        Ok(plan)
    }

    /// Refuses what can't be played, or would not end.
    fn check(&self) -> Result<(), Error> {
        let bad = |name, expected, got: usize| Err(Error::Argument { name, expected, got: got.to_string() });
        let within = |name, got: f64, least: f64, most: f64| match (least..=most).contains(&got) {
            true => Ok(()),
            false => Err(Error::Range { name, least, most, got }),
        };
        let count = |name, got: usize, most: usize| within(name, got as f64, 1.0, most as f64);
        count("services", self.services, 10_000)?;
        count("backends", self.backends, 100_000)?;
        count("depth", self.depth, self.services)?;
        count("calls", self.calls, 100)?;
        count("zones", self.zones, 1_000)?;
        count("regions", self.regions, self.zones)?;
        count("racks", self.racks, 10_000)?;
        if self.backends < 2 * self.services {
            return bad("backends", "two for each service at the least", self.backends);
        }
        if !self.zones.is_multiple_of(self.regions) {
            return bad("zones", "a multiple of the regions", self.zones);
        }
        within("restarts and failures", (self.restarts + self.failures) as f64, 0.0, self.backends as f64)?;
        within("effects", self.effects[0], 0.0, 1.0)?;
        within("effects", self.effects[1], 0.0, 1.0 - self.effects[0])?;
        within("skew", self.skew, 0.0, 5.0)?;
        within("rate", self.rate, 1.0, 1e9)?;
        within("rate_scale", self.rate_scale, 1e-6, 100.0)?;
        within("budget", self.budget, 0.01, 60.0)?;
        within("cross_zone", self.cross_zone, 0.0, 100.0)?;
        within("cold_share", self.cold_share, 0.001, 1.0)?;
        within("fall_multiple", self.fall_multiple, 0.001, 1e6)?;
        within("tip_after", self.tip_after, 0.001, 600.0)?;
        within("warm_up", self.warm_up, 1.0, LONGEST)?;
        within("window", self.window, 1.0, LONGEST)?;
        within("limit", self.limit, 1.0, 86_400.0)?;
        let times = [
            ("round_trips", self.round_trips[0]),
            ("round_trips", self.round_trips[1]),
            ("round_trips", self.round_trips[2]),
            ("drain", self.drain),
            ("restart", self.restart),
            ("outage", self.outage),
            ("detection", self.detection[0]),
            ("detection", self.detection[1] - self.detection[0]),
            ("cut", self.cut),
            ("news", self.news[0]),
            ("news", self.news[1]),
            ("deemed_told", self.deemed_told),
            ("drain_grace", self.drain_grace),
            ("connect_timeout", self.connect_timeout),
            ("idle_close", self.idle_close),
            ("cold", self.cold),
        ];
        times.into_iter().try_for_each(|(name, time)| within(name, time, 0.0, LONGEST))?;
        let calls = self.rate * self.rate_scale * (self.warm_up + self.window) * self.phases.len() as f64;
        within("calls in all", calls, 0.0, MOST_CALLS)?;
        within("calls of samples", calls / self.backends as f64 * self.samples as f64, 0.0, MOST_RECORDED)
    }

    /// The part of its capacity that a backend has so long after its start.
    fn ramp(&self, age: f64) -> f64 {
        let warm = if self.cold > 0.0 { (age / self.cold).clamp(0.0, 1.0) } else { 1.0 };
        self.cold_share + (1.0 - self.cold_share) * warm
    }

    /// When a phase ends.
    fn end(&self) -> f64 {
        self.warm_up + self.window
    }
}

/// Runs it.
pub fn run(args: &Args) -> Result<Report, Error> {
    let plan = Plan::read(args)?;
    let begun = Instant::now();
    let give_up = begun + Duration::from_secs_f64(plan.limit);
    let mut report = Report::new("fleet", plan.seed, &plan)?;
    let world = World::new(&plan);
    let roles = tables::Roles::new(&world);
    report.tables.push(tables::fleet(&world));
    report.tables.push(cost::state(&plan, &world, &roles)?);
    let mut played = Vec::new();
    for &phase in &plan.phases {
        let at = Instant::now();
        played.push((phase, together::play(phase, &plan, &world, &roles, give_up)?));
        tracing::info!("{phase:?}: {:.1} s", at.elapsed().as_secs_f64());
    }
    tables::tell(&mut report, &plan, &world, &roles, &played);
    // Last and one after another, so that no other thread of ours takes part of the caches.
    report.tables.push(cost::time(&plan, &world, &roles, &played)?);
    report.notes.extend(tables::notes(&plan));
    report.notes.push(format!(
        "took {:.1} s of real time on {} threads; load average {}",
        begun.elapsed().as_secs_f64(),
        rayon::current_num_threads(),
        std::fs::read_to_string("/proc/loadavg")?.trim(),
    ));
    Ok(report)
}
