//! The faults that a phase injects, and when discovery publishes the resulting endpoint changes.

use super::plan::{Phase, Plan};
use super::random;
use super::topology::Topology;
use balancer::{Endpoint, Status, Time, ZoneId};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

/// Kind of an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageKind {
    /// The machine drains, stops and starts again: connections are reset, new connections are refused.
    Restart,
    /// The machine fails without a notification: requests in flight get no response, and connection
    /// attempts time out.
    Crash,
}

/// The outage of a machine with its backend and its proxy; a machine has at most one in a phase.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// Kind of the outage.
    pub kind: OutageKind,
    /// Time at which the drain begins, in seconds; equal to `down_at` without a drain.
    pub drain_at: Time,
    /// Time at which the machine goes down, in seconds.
    pub down_at: Time,
    /// Time at which the machine is up again and its backend begins the slow start, in seconds.
    pub up_at: Time,
    /// Time at which discovery has detected the outage, in seconds.
    pub detected_at: Time,
}

impl Outage {
    fn new(kind: OutageKind, at: Time, plan: &Plan, rng: &mut SmallRng) -> Self {
        match kind {
            OutageKind::Restart => {
                let down_at = at + plan.drain;
                Self { kind, drain_at: at, down_at, up_at: down_at + plan.restart, detected_at: down_at }
            }
            OutageKind::Crash => {
                let range = plan.detection_time;
                let detected_at = at + range.min + (range.max - range.min) * rng.random::<f64>();
                Self { kind, drain_at: at, down_at: at, up_at: at + plan.outage, detected_at }
            }
        }
    }

    /// Returns whether the machine is down at a time.
    #[must_use]
    pub fn is_down(&self, at: Time) -> bool {
        (self.down_at..self.up_at).contains(&at)
    }
}

/// A region that cannot reach the other regions, nor discovery, which is outside of the region.
#[derive(Clone, Copy, Debug)]
pub struct Partition {
    /// The region.
    pub region: usize,
    /// Time at which the partition begins, in seconds.
    pub start: Time,
    /// Time at which the partition ends, in seconds.
    pub end: Time,
}

impl Partition {
    /// Returns the end of the partition if the partition is active at `at`, otherwise `at`, in seconds.
    fn inactive_from(&self, at: Time) -> Time {
        if self.is_active(at) { self.end } else { at }
    }

    fn is_active(&self, at: Time) -> bool {
        (self.start..self.end).contains(&at)
    }
}

/// A change of a service's endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointChange {
    /// Time at which the change happened or was detected, in seconds.
    pub occurred_at: Time,
    /// Time at which discovery publishes the change, in seconds. A change in a partitioned region is
    /// published when the partition ends.
    pub published_at: Time,
    /// The machine that changed.
    pub machine: usize,
    /// The endpoint after the change.
    pub endpoint: Endpoint,
}

/// All faults of a phase.
#[derive(Clone, Debug)]
pub struct Faults {
    /// The outage of each machine that has one.
    pub outages: Vec<Option<Outage>>,
    /// The partition of a region, if there is one.
    pub partition: Option<Partition>,
    /// The simulated services: all called services, or the services that the phase affects.
    pub simulated_services: Vec<usize>,
}

impl Faults {
    /// Draws the faults of a phase.
    #[must_use]
    pub fn new(phase: Phase, plan: &Plan, topology: &Topology) -> Self {
        let rng = &mut SmallRng::seed_from_u64(random::derive_stream_seed(&[plan.seed, 1, phase as u64]));
        let outages = vec![None; topology.machines.len()];
        let mut faults = Self { outages, partition: None, simulated_services: topology.called_services() };
        match phase {
            Phase::Ordinary => {
                faults.draw_outages(OutageKind::Restart, plan.restarts, plan.window, plan, rng);
                faults.draw_outages(OutageKind::Crash, plan.failures, plan.window, plan, rng);
            }
            Phase::Rack => {
                let machines = &topology.machines;
                let failed_machine = machines[rng.random_range(0..machines.len())];
                let in_rack = |m: usize| {
                    machines[m].zone == failed_machine.zone && machines[m].rack == failed_machine.rack
                };
                faults.crash_machines(in_rack, plan, rng);
            }
            Phase::Zone => {
                let zone = ZoneId(rng.random_range(0..plan.zones) as u32);
                faults.crash_machines(|m| topology.machines[m].zone == zone, plan, rng);
            }
            Phase::Region => {
                let region = rng.random_range(0..plan.regions);
                let start = plan.warm_up;
                faults.partition = Some(Partition { region, start, end: start + plan.partition_duration });
                let restarts_per_hour = plan.restarts / 24;
                faults.draw_outages(
                    OutageKind::Restart,
                    restarts_per_hour,
                    plan.partition_duration,
                    plan,
                    rng,
                );
            }
            Phase::Half => faults.restart_half_of_machines(plan, topology, rng),
        }
        faults
    }

    /// Draws outages of `count` machines without an outage, at random times during the first `period`
    /// seconds of the window.
    fn draw_outages(
        &mut self,
        kind: OutageKind,
        count: usize,
        period: Time,
        plan: &Plan,
        rng: &mut SmallRng,
    ) {
        let mut machines_without_outage: Vec<usize> =
            (0..self.outages.len()).filter(|m| self.outages[*m].is_none()).collect();
        let (selected_machines, _) = machines_without_outage.partial_shuffle(rng, count);
        for machine in selected_machines {
            let at = plan.warm_up + period * rng.random::<f64>();
            self.outages[*machine] = Some(Outage::new(kind, at, plan, rng));
        }
    }

    /// Crashes the selected machines at the start of the window.
    fn crash_machines(&mut self, selected: impl Fn(usize) -> bool, plan: &Plan, rng: &mut SmallRng) {
        for (machine, outage) in self.outages.iter_mut().enumerate() {
            *outage = selected(machine).then(|| Outage::new(OutageKind::Crash, plan.warm_up, plan, rng));
        }
    }

    /// Restarts half of the machines of the largest service and of the service with the most callers.
    fn restart_half_of_machines(&mut self, plan: &Plan, topology: &Topology, rng: &mut SmallRng) {
        let services = &topology.services;
        let called_services = topology.called_services();
        let largest =
            called_services.iter().copied().max_by_key(|s| (services[*s].machines.len(), usize::MAX - s));
        let most_called =
            called_services.iter().copied().max_by_key(|s| (services[*s].callers.len(), usize::MAX - s));
        self.simulated_services = largest.into_iter().collect();
        self.simulated_services.extend(most_called.filter(|service| Some(*service) != largest));
        for service in &self.simulated_services {
            let mut machines: Vec<usize> = services[*service].machines.clone().collect();
            machines.shuffle(rng);
            for &machine in &machines[..machines.len() / 2] {
                self.outages[machine] = Some(Outage::new(OutageKind::Restart, plan.warm_up, plan, rng));
            }
        }
    }

    /// Returns the changes of a service's endpoint list, in the order of publication by discovery.
    #[must_use]
    pub fn changes(&self, service: usize, topology: &Topology) -> Vec<EndpointChange> {
        let mut changes = Vec::new();
        for machine in topology.services[service].machines.clone() {
            let Some(outage) = self.outages[machine] else {
                continue;
            };
            let zone = topology.machines[machine].zone;
            let mut publish = |occurred_at, status, started_at| {
                let published_at = self.discovery_reachable_from(zone, occurred_at, topology);
                let endpoint = Endpoint { status, started_at, ..topology.endpoint(machine) };
                changes.push(EndpointChange { occurred_at, published_at, machine, endpoint });
            };
            if outage.kind == OutageKind::Restart {
                publish(outage.drain_at, Status::Draining, None);
            }
            if outage.detected_at < outage.up_at {
                publish(outage.detected_at, Status::Removed, None);
            }
            publish(outage.up_at, Status::InService, Some(outage.up_at));
        }
        changes.sort_by(|a, b| {
            a.published_at
                .total_cmp(&b.published_at)
                .then(a.machine.cmp(&b.machine))
                .then(a.occurred_at.total_cmp(&b.occurred_at))
        });
        changes
    }

    /// Returns whether the backend of a machine is in service at a time.
    #[must_use]
    pub fn is_in_service(&self, machine: usize, at: Time) -> bool {
        self.outages[machine].is_none_or(|outage| !(outage.drain_at..outage.up_at).contains(&at))
    }

    /// Returns whether two zones cannot reach each other at a time.
    #[must_use]
    pub fn is_partitioned(&self, zone: ZoneId, other: ZoneId, at: Time, topology: &Topology) -> bool {
        self.partition.is_some_and(|partition| {
            let in_region = |zone| topology.region(zone) == partition.region;
            partition.is_active(at) && in_region(zone) != in_region(other)
        })
    }

    /// Returns the earliest time, not before `at`, at which a zone can reach discovery, in seconds.
    #[must_use]
    pub fn discovery_reachable_from(&self, zone: ZoneId, at: Time, topology: &Topology) -> Time {
        match self.partition {
            Some(partition) if topology.region(zone) == partition.region => partition.inactive_from(at),
            _ => at,
        }
    }
}
