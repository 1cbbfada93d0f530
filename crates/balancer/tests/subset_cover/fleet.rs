//! A fleet of balancers with the same backends, and random changes of the fleet.

use balancer::{
    Action, BackendId, Balancer, Endpoint, EndpointUpdate, Event, MaintenanceChange, Settings, Status, Time,
    ZoneId,
};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// The range from which the number of balancers is drawn.
pub const BALANCER_COUNT_RANGE: std::ops::RangeInclusive<usize> = 1..=40;
/// The range from which the number of backends at the start is drawn.
pub const BACKEND_COUNT_RANGE: std::ops::RangeInclusive<u32> = 1..=120;
/// The range from which the number of zones is drawn.
const ZONE_COUNT_RANGE: std::ops::RangeInclusive<u32> = 1..=9;
/// The cost of crossing zones in fleets with [`ZoneCrossing::Costly`].
const CROSS_ZONE_COST: f64 = 0.05;
/// The time between two changes, in seconds. It is longer than any slow start.
const CHANGE_INTERVAL: Time = 60.0;

/// Whether crossing zones has a cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneCrossing {
    /// A call to another zone has no cost.
    Free,
    /// A call to another zone has a cost.
    Costly,
}

/// The size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// The number of balancers.
    pub balancers: usize,
    /// The number of backends at the start.
    pub backends: u32,
    /// The number of zones. Each balancer and backend is in a random zone.
    pub zones: u32,
}

impl FleetSize {
    /// Draws a random size.
    pub fn draw(random: &mut SmallRng) -> Self {
        Self {
            balancers: random.random_range(BALANCER_COUNT_RANGE),
            backends: random.random_range(BACKEND_COUNT_RANGE),
            zones: random.random_range(ZONE_COUNT_RANGE),
        }
    }
}

/// A change of the endpoint list or of the maintenance of one backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendChange {
    /// A backend is added to the list.
    Added(BackendId),
    /// A backend is removed from the list.
    Removed(BackendId),
    /// A backend is listed as draining.
    Draining(BackendId),
    /// Operators remove a backend from service.
    MaintenanceBegins(BackendId),
    /// Operators return a backend to service.
    MaintenanceEnds(BackendId),
}

impl BackendChange {
    /// Returns the backend that changes.
    pub fn backend(self) -> BackendId {
        match self {
            Self::Added(id)
            | Self::Removed(id)
            | Self::Draining(id)
            | Self::MaintenanceBegins(id)
            | Self::MaintenanceEnds(id) => id,
        }
    }
}

/// One balancer of the fleet.
struct FleetBalancer {
    zone: ZoneId,
    balancer: Balancer,
}

/// A fleet of balancers. All balancers have been notified of the same endpoint list and settings.
pub struct Fleet {
    size: FleetSize,
    crossing: ZoneCrossing,
    random: SmallRng,
    now: Time,
    balancers: Vec<FleetBalancer>,
    listed: BTreeMap<BackendId, Endpoint>,
    in_maintenance: BTreeSet<BackendId>,
    next_backend: u32,
}

impl Fleet {
    /// Starts a fleet. The seed determines the zones and all changes.
    pub fn start(seed: u64, size: FleetSize, crossing: ZoneCrossing) -> Self {
        let mut fleet = Self {
            size,
            crossing,
            random: SmallRng::seed_from_u64(seed),
            now: 0.0,
            balancers: Vec::new(),
            listed: BTreeMap::new(),
            in_maintenance: BTreeSet::new(),
            next_backend: 0,
        };
        for _ in 0..size.backends {
            let endpoint = fleet.draw_endpoint();
            fleet.listed.insert(endpoint.id, endpoint);
        }
        fleet.resize(size.balancers);
        fleet
    }

    /// Returns the number of balancers.
    pub fn balancers(&self) -> usize {
        self.balancers.len()
    }

    /// Returns the backends in service.
    pub fn in_service(&self) -> BTreeSet<BackendId> {
        let in_service = self.listed.values().filter(|endpoint| endpoint.status == Status::InService);
        in_service.map(|endpoint| endpoint.id).filter(|id| !self.in_maintenance.contains(id)).collect()
    }

    /// Returns the subset of each balancer.
    pub fn subsets(&self) -> Vec<BTreeSet<BackendId>> {
        self.balancers.iter().map(|each| each.balancer.members().collect()).collect()
    }

    /// Returns the subset that each balancer would have if it had just started.
    pub fn subsets_after_start(&self) -> Vec<BTreeSet<BackendId>> {
        let started = (0..self.balancers.len()).map(|index| self.start_balancer(index));
        started.map(|balancer| balancer.members().collect()).collect()
    }

    /// Makes a random change of one backend, and notifies all balancers.
    pub fn change_backend(&mut self) -> BackendChange {
        self.now += CHANGE_INTERVAL;
        let change = self.draw_backend_change();
        match change {
            BackendChange::Added(_) => {
                let endpoint = self.draw_endpoint();
                self.update_list(endpoint);
            }
            BackendChange::Removed(id) => {
                let removed = Endpoint { status: Status::Removed, ..self.listed[&id].clone() };
                self.update_list(removed);
            }
            BackendChange::Draining(id) => {
                let draining = Endpoint { status: Status::Draining, ..self.listed[&id].clone() };
                self.update_list(draining);
            }
            BackendChange::MaintenanceBegins(id) => {
                self.in_maintenance.insert(id);
                self.notify_all(Event::Maintenance { backend: id, change: MaintenanceChange::Begins });
            }
            BackendChange::MaintenanceEnds(id) => {
                self.in_maintenance.remove(&id);
                self.notify_all(Event::Maintenance { backend: id, change: MaintenanceChange::Ends });
            }
        }
        change
    }

    /// Advances the time until all calls that were open at the latest change have ended, and notifies all
    /// balancers of the same list again.
    pub fn wait_for_open_calls(&mut self) {
        self.now += CHANGE_INTERVAL;
        let full_list: Vec<Endpoint> = self.listed.values().cloned().collect();
        self.notify_all(Event::Endpoints(EndpointUpdate::Full(&full_list)));
    }

    /// Draws the number of balancers again, and changes the settings of all balancers accordingly.
    pub fn change_balancer_count(&mut self) {
        let count = self.random.random_range(BALANCER_COUNT_RANGE);
        self.resize(count);
    }

    /// Adds the cost of crossing zones, or removes it.
    pub fn toggle_cross_zone_cost(&mut self) {
        self.crossing = match self.crossing {
            ZoneCrossing::Free => ZoneCrossing::Costly,
            ZoneCrossing::Costly => ZoneCrossing::Free,
        };
        self.apply_settings();
    }

    /// Restarts a random balancer, which then has no state except the current list and maintenance.
    pub fn restart_random_balancer(&mut self) {
        let index = self.random.random_range(0..self.balancers.len());
        self.balancers[index].balancer = self.start_balancer(index);
    }

    fn draw_backend_change(&mut self) -> BackendChange {
        let ids: Vec<BackendId> = self.listed.keys().copied().collect();
        let drawn_id = *ids.choose(&mut self.random).unwrap_or(&BackendId(0));
        let is_last = self.in_service().len() <= 1;
        let change = match self.random.random_range(0..8) {
            _ if is_last => BackendChange::Added(BackendId(self.next_backend)),
            0..=2 => BackendChange::Added(BackendId(self.next_backend)),
            3 | 4 => BackendChange::Removed(drawn_id),
            5 => BackendChange::Draining(drawn_id),
            _ if self.in_maintenance.contains(&drawn_id) => BackendChange::MaintenanceEnds(drawn_id),
            _ => BackendChange::MaintenanceBegins(drawn_id),
        };
        if let BackendChange::Removed(id) = change {
            self.in_maintenance.remove(&id);
            self.notify_all(Event::Maintenance { backend: id, change: MaintenanceChange::Ends });
        }
        change
    }

    fn draw_endpoint(&mut self) -> Endpoint {
        let id = BackendId(self.next_backend);
        self.next_backend += 1;
        let zone = ZoneId(self.random.random_range(0..self.size.zones));
        Endpoint { id, zone, ..Endpoint::default() }
    }

    /// Changes one entry of the list. Some balancers get only the changed entry, the others the full list.
    fn update_list(&mut self, endpoint: Endpoint) {
        if endpoint.status == Status::Removed {
            self.listed.remove(&endpoint.id);
        } else {
            self.listed.insert(endpoint.id, endpoint.clone());
        }
        let full_list: Vec<Endpoint> = self.listed.values().cloned().collect();
        let changes = [endpoint];
        for index in 0..self.balancers.len() {
            let update = if self.random.random() {
                EndpointUpdate::Changes(&changes)
            } else {
                EndpointUpdate::Full(&full_list)
            };
            self.notify(index, Event::Endpoints(update));
        }
    }

    fn settings(&self, index: usize) -> Settings {
        Settings {
            instance_count: self.balancers.len(),
            instance_index: index,
            zone: self.balancers[index].zone,
            cross_zone_cost: if self.crossing == ZoneCrossing::Costly { CROSS_ZONE_COST } else { 0.0 },
            ..crate::common::fixtures::safe_settings()
        }
    }

    /// Returns a balancer that has just started with the current list.
    fn start_balancer(&self, index: usize) -> Balancer {
        let mut balancer = Balancer::new(self.now, index as u64, self.settings(index));
        let list: Vec<Endpoint> = self.listed.values().cloned().collect();
        let mut actions: Vec<Action> = Vec::new();
        for id in &self.in_maintenance {
            let change = MaintenanceChange::Begins;
            balancer.handle(self.now, Event::Maintenance { backend: *id, change }, &mut actions);
        }
        balancer.handle(self.now, Event::Endpoints(EndpointUpdate::Cached(&list)), &mut actions);
        balancer
    }

    /// Starts or stops balancers until there are `count`, and applies the settings for this number.
    fn resize(&mut self, count: usize) {
        let running = count.min(self.balancers.len());
        self.balancers.truncate(count);
        while self.balancers.len() < count {
            let zone = ZoneId(self.random.random_range(0..self.size.zones));
            let balancer = Balancer::new(self.now, 0, Settings::default());
            self.balancers.push(FleetBalancer { zone, balancer });
        }
        for index in running..count {
            self.balancers[index].balancer = self.start_balancer(index);
        }
        self.apply_settings();
    }

    fn apply_settings(&mut self) {
        for index in 0..self.balancers.len() {
            let settings = self.settings(index);
            self.notify(index, Event::Settings(&settings));
        }
    }

    fn notify_all(&mut self, event: Event<'_>) {
        for index in 0..self.balancers.len() {
            self.notify(index, event);
        }
    }

    fn notify(&mut self, index: usize, event: Event<'_>) {
        self.balancers[index].balancer.handle(self.now, event, &mut Vec::new());
    }
}
