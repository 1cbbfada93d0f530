//! The simulated fleet: services of different sizes, the machines of their backends, and the call graph.

use super::parameters::{LognormalTime, TimeRange};
use super::plan::Plan;
use super::random::{derive_stream_seed, draw_normal};
use balancer::{BackendId, CellId, Endpoint, Status, Time, ZoneId};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::ops::Range;

/// Sigma of the lognormal distribution of the services' call rates per proxy.
const CALL_RATE_SIGMA: f64 = 0.5;
/// Sigma of the lognormal factor between the size of a service and its popularity.
const POPULARITY_SIGMA: f64 = 0.7;
/// Distribution of the services' mean service times, in seconds.
const SERVICE_TIME_DISTRIBUTION: LognormalTime = LognormalTime { median: 0.010, sigma: 0.7 };
/// Bounds of a service's mean service time, in seconds.
const SERVICE_TIME_RANGE: TimeRange = TimeRange { min: 0.001, max: 0.060 };
/// Tolerance for rounding errors of a running sum whose exact final value is a whole number.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// The machine of a backend and of the backend's proxy.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    /// The index of the backend's service.
    pub service: usize,
    /// The zone of the machine.
    pub zone: ZoneId,
    /// The rack of the machine within the zone, from 0.
    pub rack: usize,
    /// The index of the service that the proxy calls; `None` in the lowest layer.
    pub callee: Option<usize>,
    /// Calls per second of the proxy.
    pub call_rate: f64,
}

/// A service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Number of the service's layer: 1 for the layer next to the clients.
    pub layer: usize,
    /// Indices of the service's machines in [`Topology::machines`].
    pub machines: Range<usize>,
    /// Indices of the machines whose proxies call the service. The position of a machine in this list is
    /// the instance index of its proxy.
    pub callers: Vec<usize>,
    /// Mean service time, in seconds.
    pub service_time: Time,
    /// Calls per second of all callers together.
    pub call_rate: f64,
}

/// The fleet and its call graph.
#[derive(Clone, Debug)]
pub struct Topology {
    /// The machines, service by service.
    pub machines: Vec<Machine>,
    /// The services.
    pub services: Vec<Service>,
    /// Number of zones in a region. The zones of a region have consecutive numbers.
    zones_per_region: usize,
}

impl Topology {
    /// Creates a random fleet with the parameters of a plan.
    #[must_use]
    pub fn new(plan: &Plan) -> Self {
        let rng = &mut SmallRng::seed_from_u64(derive_stream_seed(&[plan.seed, 0]));
        let sizes = compute_service_sizes(plan.backends, plan.services, plan.size_skew);
        let layers = draw_service_layers(plan.services, plan.depth, rng);
        let mut topology = Self {
            machines: Vec::with_capacity(plan.backends),
            services: Vec::with_capacity(plan.services),
            zones_per_region: plan.zones / plan.regions,
        };
        // Shuffled, so that the size of a service does not depend on its layer.
        let mut size_order: Vec<usize> = (0..plan.services).collect();
        size_order.shuffle(rng);
        for (service, &layer) in layers.iter().enumerate() {
            topology.add_service(layer, sizes[size_order[service]], plan, rng);
        }
        topology.draw_call_graph(plan.callees_per_service, rng);
        topology.set_call_rates(plan.rate * plan.rate_scale, rng);
        topology
    }

    /// Adds a service with its machines. The machines are distributed evenly over the zones, starting at a
    /// random zone.
    fn add_service(&mut self, layer: usize, size: usize, plan: &Plan, rng: &mut SmallRng) {
        let service = self.services.len();
        let first_machine = self.machines.len();
        let first_zone = rng.random_range(0..plan.zones);
        self.machines.extend((0..size).map(|i| Machine {
            service,
            zone: ZoneId(((first_zone + i) % plan.zones) as u32),
            rack: rng.random_range(0..plan.racks),
            callee: None,
            call_rate: 0.0,
        }));
        let service_time =
            SERVICE_TIME_DISTRIBUTION.median * (SERVICE_TIME_DISTRIBUTION.sigma * draw_normal(rng)).exp();
        self.services.push(Service {
            layer,
            machines: first_machine..self.machines.len(),
            callers: Vec::new(),
            service_time: service_time.clamp(SERVICE_TIME_RANGE.min, SERVICE_TIME_RANGE.max),
            call_rate: 0.0,
        });
    }

    /// Draws the call graph: each service calls a few services of lower layers, with a preference for
    /// popular services, and the proxy of each machine calls one of the service's callees.
    fn draw_call_graph(&mut self, callees_per_service: usize, rng: &mut SmallRng) {
        // The popularity of a service is its size times a random factor.
        let popularity: Vec<f64> = self
            .services
            .iter()
            .map(|service| service.machines.len() as f64 * (POPULARITY_SIGMA * draw_normal(rng)).exp())
            .collect();
        let mut callees = self.draw_one_caller_per_service(rng);
        for (service, callees) in callees.iter_mut().enumerate() {
            let lower_services = self.services_where(|other| other.layer > self.services[service].layer);
            for _ in 0..callees_per_service {
                let drawn = draw_weighted(&lower_services, &popularity, rng);
                callees.extend(drawn.filter(|callee| !callees.contains(callee)));
            }
            self.assign_callees(service, callees, &popularity, rng);
        }
    }

    /// Draws a caller in the layer above for each service below the first layer, so that the depth of the
    /// call graph equals the number of layers. Returns the callees of each service.
    fn draw_one_caller_per_service(&self, rng: &mut SmallRng) -> Vec<Vec<usize>> {
        let mut callees = vec![Vec::new(); self.services.len()];
        for (index, service) in self.services.iter().enumerate() {
            let services_above = self.services_where(|other| other.layer + 1 == service.layer);
            if !services_above.is_empty() {
                let caller = services_above[rng.random_range(0..services_above.len())];
                callees[caller].push(index);
            }
        }
        callees
    }

    /// Assigns a callee to the proxy of each machine of a service. The first machines get one callee
    /// each, so that each callee has a caller. The callees of the other machines are drawn by popularity.
    fn assign_callees(&mut self, service: usize, callees: &[usize], popularity: &[f64], rng: &mut SmallRng) {
        for (i, machine) in self.services[service].machines.clone().enumerate() {
            let drawn = draw_weighted(callees, popularity, rng);
            let callee = callees.get(i).copied().or(drawn);
            self.machines[machine].callee = callee;
            if let Some(callee) = callee {
                self.services[callee].callers.push(machine);
            }
        }
    }

    fn services_where(&self, selected: impl Fn(&Service) -> bool) -> Vec<usize> {
        (0..self.services.len()).filter(|index| selected(&self.services[*index])).collect()
    }

    /// Draws the call rates of the proxies, which add up to `total` calls per second.
    fn set_call_rates(&mut self, total: f64, rng: &mut SmallRng) {
        let factors: Vec<f64> =
            self.services.iter().map(|_| (CALL_RATE_SIGMA * draw_normal(rng)).exp()).collect();
        let callers = self.machines.iter().filter(|machine| machine.callee.is_some());
        let sum: f64 = callers.map(|machine| factors[machine.service]).sum();
        for machine in &mut self.machines {
            if let Some(callee) = machine.callee {
                machine.call_rate = total * factors[machine.service] / sum;
                self.services[callee].call_rate += machine.call_rate;
            }
        }
    }

    /// Returns the region of a zone.
    #[must_use]
    pub fn region(&self, zone: ZoneId) -> usize {
        zone.0 as usize / self.zones_per_region
    }

    /// Returns the indices of the services that are called by at least one proxy.
    #[must_use]
    pub fn called_services(&self) -> Vec<usize> {
        self.services_where(|service| !service.callers.is_empty())
    }

    /// Returns the endpoint of a machine's backend, which is in service before the run starts.
    #[must_use]
    pub fn endpoint(&self, machine: usize) -> Endpoint {
        let zone = self.machines[machine].zone;
        let id = BackendId(machine as u32);
        Endpoint { id, cell: CellId(zone.0), zone, weight: 1.0, status: Status::InService, started_at: None }
    }

    /// Returns the endpoint list of a service before the first fault.
    #[must_use]
    pub fn endpoints(&self, service: usize) -> Vec<Endpoint> {
        self.services[service].machines.clone().map(|machine| self.endpoint(machine)).collect()
    }
}

/// Draws one of the services in proportion to its weight; returns `None` if the list is empty.
fn draw_weighted(services: &[usize], weights: &[f64], rng: &mut SmallRng) -> Option<usize> {
    let sum: f64 = services.iter().map(|service| weights[*service]).sum();
    let mut remaining = rng.random::<f64>() * sum;
    services.iter().copied().find(|service| {
        remaining -= weights[*service];
        remaining < 0.0
    })
}

/// Returns the number of backends of each service, in descending order, with `backends` backends in
/// total. Each service has at least 2 backends. The number beyond 2 falls with the `skew`-th power of the
/// service's rank, as the sizes of services do in large fleets.
fn compute_service_sizes(backends: usize, services: usize, skew: f64) -> Vec<usize> {
    let to_distribute = backends.saturating_sub(2 * services) as f64;
    let last_weight = (services as f64).powf(-skew);
    let weight = |rank: usize| ((rank + 1) as f64).powf(-skew) - last_weight;
    let sum: f64 = (0..services).map(weight).sum();
    // The running sum is rounded, not each size, so that the sizes add up to the total.
    let mut cumulative = 0.0;
    let mut distributed = 0;
    let size = |rank: usize| {
        cumulative +=
            if sum > 0.0 { to_distribute * weight(rank) / sum } else { to_distribute / services as f64 };
        let rounded = (cumulative + ROUNDING_TOLERANCE).floor() as usize;
        2 + rounded - std::mem::replace(&mut distributed, rounded)
    };
    (0..services).map(size).collect()
}

/// Draws the layer of each service, from 1. Deeper layers have fewer services, and each layer has at
/// least one.
fn draw_service_layers(services: usize, depth: usize, rng: &mut SmallRng) -> Vec<usize> {
    let mut layers: Vec<usize> = (1..=depth.min(services)).collect();
    while layers.len() < services {
        // The minimum of two uniform draws has a linearly falling density.
        let first = rng.random_range(1..=depth);
        let second = rng.random_range(1..=depth);
        layers.push(first.min(second));
    }
    layers.shuffle(rng);
    layers
}
