//! The fleet as it stands: services of uneven size, the machines of their backends, who calls whom.

use super::Plan;
use balancer_proxy::{BackendId, Endpoint, Status, Time};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::ops::Range;

/// Spread (sigma of a lognormal) of the rates at which proxies of different services call.
const RATE_SPREAD: f64 = 0.5;
/// Spread (sigma of a lognormal) of how much services are called beside their size.
const POPULARITY_SPREAD: f64 = 0.7;
/// Mean and spread (sigma of a lognormal) of the services' mean service times, in seconds.
const SERVICE_TIME: [f64; 2] = [0.010, 0.7];
/// Bounds of a service's mean service time, in seconds.
const SERVICE_TIMES: [f64; 2] = [0.001, 0.060];

/// A backend's machine, and the proxy beside it.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    /// Its service.
    pub service: usize,
    /// Its zone, from 0.
    pub zone: usize,
    /// Its rack within the zone, from 0.
    pub rack: usize,
    /// The one service that its proxy calls; none in the lowest layer.
    pub calls: Option<usize>,
    /// Calls a second of its proxy.
    pub rate: f64,
}

/// A service.
#[derive(Clone, Debug)]
pub struct Service {
    /// How far below the clients, from 1.
    pub layer: usize,
    /// Its machines: a range of [`World::machines`].
    pub machines: Range<usize>,
    /// The machines whose proxies call it; a proxy's place here is its number among the balancers.
    pub callers: Vec<usize>,
    /// Mean service time, in seconds.
    pub service_time: Time,
    /// Calls a second of all its callers.
    pub rate: f64,
}

/// All of it.
#[derive(Clone, Debug)]
pub struct World {
    /// The machines, service by service.
    pub machines: Vec<Machine>,
    /// The services.
    pub services: Vec<Service>,
    /// Zones in a region; zones are numbered region by region.
    zones_a_region: usize,
}

/// Seeds of independent streams of random numbers, by what they are for (SplitMix64).
pub fn seed(of: &[u64]) -> u64 {
    of.iter().fold(0, |state, part| {
        let mut z = (state ^ part).wrapping_add(0x9e37_79b9_7f4a_7c15);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    })
}

/// A draw from the standard normal distribution (Box and Muller).
pub fn normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

/// A draw from the exponential distribution of mean 1.
pub fn exponential(rng: &mut SmallRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

impl World {
    /// Draws the fleet of a plan.
    pub fn new(plan: &Plan) -> Self {
        let rng = &mut SmallRng::seed_from_u64(seed(&[plan.seed, 0]));
        let sizes = sizes(plan.backends, plan.services, plan.skew);
        let layers = layers(plan.services, plan.depth, rng);
        let mut world = World {
            machines: Vec::with_capacity(plan.backends),
            services: Vec::with_capacity(plan.services),
            zones_a_region: plan.zones / plan.regions,
        };
        // Sizes and layers have nothing to do with each other.
        let mut order: Vec<usize> = (0..plan.services).collect();
        order.shuffle(rng);
        for (service, &layer) in layers.iter().enumerate() {
            let first = world.machines.len();
            // A service is spread evenly over the zones, from a drawn one on.
            let zone = rng.random_range(0..plan.zones);
            world.machines.extend((0..sizes[order[service]]).map(|i| Machine {
                service,
                zone: (zone + i) % plan.zones,
                rack: rng.random_range(0..plan.racks),
                calls: None,
                rate: 0.0,
            }));
            let drawn = SERVICE_TIME[0] * (SERVICE_TIME[1] * normal(rng)).exp();
            world.services.push(Service {
                layer,
                machines: first..world.machines.len(),
                callers: Vec::new(),
                service_time: drawn.clamp(SERVICE_TIMES[0], SERVICE_TIMES[1]),
                rate: 0.0,
            });
        }
        world.connect(plan, rng);
        world.set_rates(plan.rate * plan.rate_scale, rng);
        world
    }

    /// Draws who calls whom: each service calls a few of lower layers, the popular ones more often,
    /// and its machines are dealt out among these.
    fn connect(&mut self, plan: &Plan, rng: &mut SmallRng) {
        let count = self.services.len();
        // What is called more is bigger, though not evenly so.
        let size = |s: &Service| s.machines.len() as f64;
        let popularity: Vec<f64> =
            self.services.iter().map(|s| size(s) * (POPULARITY_SPREAD * normal(rng)).exp()).collect();
        let mut called: Vec<Vec<usize>> = vec![Vec::new(); count];
        // Each has a caller in the layer above, so that the layers are as deep as they are many.
        for service in 0..count {
            let above: Vec<usize> =
                (0..count).filter(|s| self.services[*s].layer + 1 == self.services[service].layer).collect();
            if !above.is_empty() {
                called[above[rng.random_range(0..above.len())]].push(service);
            }
        }
        for (service, mine) in called.iter_mut().enumerate() {
            let below: Vec<usize> =
                (0..count).filter(|s| self.services[*s].layer > self.services[service].layer).collect();
            for _ in 0..plan.calls {
                let sum: f64 = below.iter().map(|s| popularity[*s]).sum();
                let mut left = rng.random::<f64>() * sum;
                let drawn = below.iter().copied().find(|s| {
                    left -= popularity[*s];
                    left < 0.0
                });
                mine.extend(drawn.filter(|s| !mine.contains(s)));
            }
            // The first round gives each its caller; then as popularity has it.
            let machines = self.services[service].machines.clone();
            let sum: f64 = mine.iter().map(|s| popularity[*s]).sum();
            for (i, machine) in machines.enumerate() {
                let mut left = rng.random::<f64>() * sum;
                let drawn = mine.iter().copied().find(|s| {
                    left -= popularity[*s];
                    left < 0.0
                });
                let callee = mine.get(i).copied().or(drawn);
                self.machines[machine].calls = callee;
                callee.into_iter().for_each(|s| self.services[s].callers.push(machine));
            }
        }
    }

    /// Draws the rates, so that all together make `total` calls a second.
    fn set_rates(&mut self, total: f64, rng: &mut SmallRng) {
        let busy: Vec<f64> = self.services.iter().map(|_| (RATE_SPREAD * normal(rng)).exp()).collect();
        let calling = |m: &&Machine| m.calls.is_some();
        let sum: f64 = self.machines.iter().filter(calling).map(|m| busy[m.service]).sum();
        for machine in &mut self.machines {
            if let Some(callee) = machine.calls {
                machine.rate = total * busy[machine.service] / sum;
                self.services[callee].rate += machine.rate;
            }
        }
    }

    /// The region of a zone.
    pub fn region(&self, zone: usize) -> usize {
        zone / self.zones_a_region
    }

    /// The services that some proxy calls.
    pub fn called(&self) -> Vec<usize> {
        (0..self.services.len()).filter(|s| !self.services[*s].callers.is_empty()).collect()
    }

    /// The line of the list of a machine's backend, in service since long ago.
    pub fn entry(&self, machine: usize) -> Endpoint {
        let zone = self.machines[machine].zone as u32;
        let id = BackendId(machine as u32);
        Endpoint { id, cell: zone, zone, weight: 1.0, status: Status::InService, started_at: None }
    }
}

/// Sizes of `services` services that make `backends` in all, 2 at the least, the largest first:
/// beyond the 2 they fall with the `skew`-th power of the rank, as sizes in big fleets do.
fn sizes(backends: usize, services: usize, skew: f64) -> Vec<usize> {
    let rest = backends.saturating_sub(2 * services) as f64;
    let last = (services as f64).powf(-skew);
    let weight = |i: usize| ((i + 1) as f64).powf(-skew) - last;
    let sum: f64 = (0..services).map(weight).sum();
    // Rounded along the running sum, so that nothing is lost.
    let (mut so_far, mut given) = (0.0, 0);
    let part = |i: usize| {
        so_far += if sum > 0.0 { rest * weight(i) / sum } else { rest / services as f64 };
        let upto = (so_far + 1e-6).floor() as usize;
        2 + upto - std::mem::replace(&mut given, upto)
    };
    (0..services).map(part).collect()
}

/// The layer of each service, from 1: fewer the deeper, and one in each at the least.
fn layers(services: usize, depth: usize, rng: &mut SmallRng) -> Vec<usize> {
    let mut all: Vec<usize> = (1..=depth.min(services)).collect();
    while all.len() < services {
        // The smaller of two draws: falls in a straight line.
        let (one, two) = (rng.random_range(1..=depth), rng.random_range(1..=depth));
        all.push(one.min(two));
    }
    all.shuffle(rng);
    all
}
