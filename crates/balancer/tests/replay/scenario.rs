//! Scenarios: settings, traffic, backends, and changes at fixed times.

use balancer::{BackendId, CellId, Endpoint, MaintenanceChange, Outcome, Settings, Status, Time, ZoneId};

/// The behaviour of a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// The backend serves requests.
    Serves {
        /// The mean service time, as a multiple of the service time of the traffic.
        latency_factor: f64,
    },
    /// The backend accepts requests, and never responds.
    Hangs,
    /// The backend ends each attempt with this outcome, within the service time of the traffic.
    Fails(Outcome),
}

/// A change at a fixed time of a scenario.
#[derive(Clone, Debug)]
pub enum Change {
    /// Requests arrive at this rate from now on, in requests per second.
    Rate(f64),
    /// The behaviour of a backend changes.
    Behaviour(BackendId, Behaviour),
    /// The endpoint list has a new or changed entry for a backend.
    List(Endpoint),
    /// A backend disappears from the endpoint list without having been listed as removed.
    Unlist(BackendId),
    /// The complete endpoint list is sent.
    SendList,
    /// Discovery fails: polls fail, and the watch breaks.
    DiscoveryFails,
    /// Discovery rejects polls, and the watch breaks.
    DiscoveryRejects,
    /// Discovery works again.
    DiscoveryRecovers,
    /// Operators begin or end the maintenance of a backend.
    Maintenance(BackendId, MaintenanceChange),
    /// A second process begins to run.
    SecondProcessBegins,
    /// The second process ends.
    SecondProcessEnds,
    /// Other settings take effect.
    Settings(Box<Settings>),
}

/// The arriving requests of a scenario.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    /// The initial rate, in requests per second.
    pub rate: f64,
    /// The mean time in which an idle backend serves a request, in seconds.
    pub service_time: Time,
    /// The fraction of requests whose body is streamed.
    pub streamed_fraction: f64,
    /// The fraction of streamed bodies that no backend takes to their end.
    pub stalled_fraction: f64,
    /// The fraction of requests whose client disconnects before the deadline.
    pub disconnecting_fraction: f64,
    /// The fraction of attempts that fail at backends that serve requests.
    pub failing_fraction: f64,
    /// The least timeout of a request, as a fraction of the longest timeout of its class.
    pub min_timeout_fraction: f64,
}

impl Default for Traffic {
    fn default() -> Self {
        Self {
            rate: 60.0,
            service_time: 0.02,
            streamed_fraction: 0.0,
            stalled_fraction: 0.0,
            disconnecting_fraction: 0.01,
            failing_fraction: 0.02,
            min_timeout_fraction: 0.5,
        }
    }
}

/// The content of the load reports that backends send with their responses, or with health checks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reporting {
    /// Backends report nothing.
    #[default]
    Nothing,
    /// Backends report their service times.
    ServiceTimes,
    /// Backends report their service times and the rates of the requests that they serve.
    ServiceTimesAndRates,
}

/// A change with its time.
#[derive(Clone, Debug)]
pub struct PlannedChange {
    /// The time of the change, in seconds.
    pub at: Time,
    /// The change.
    pub change: Change,
}

/// A stream of events, generated from a fixed seed.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The name of the scenario in the file of recorded digests.
    pub name: &'static str,
    /// The seed of the balancer and, inverted, of the simulation.
    pub seed: u64,
    /// The time after which no more requests arrive, in seconds.
    pub duration: Time,
    /// The initial settings.
    pub settings: Settings,
    /// The arriving requests.
    pub traffic: Traffic,
    /// The content of load reports.
    pub reporting: Reporting,
    /// The initial endpoint list.
    pub endpoints: Vec<Endpoint>,
    /// The changes.
    pub changes: Vec<PlannedChange>,
}

impl Scenario {
    /// Creates a scenario of a few seconds with the default traffic, no load reports and no changes.
    pub fn new(name: &'static str, seed: u64, settings: Settings, endpoints: Vec<Endpoint>) -> Self {
        Self {
            name,
            seed,
            duration: 8.0,
            settings,
            traffic: Traffic::default(),
            reporting: Reporting::Nothing,
            endpoints,
            changes: Vec::new(),
        }
    }

    /// Adds a change at this time, in seconds.
    pub fn at(mut self, at: Time, change: Change) -> Self {
        self.changes.push(PlannedChange { at, change });
        self
    }
}

/// Returns backends with the ids from 1 on, spread over two zones and three cells.
pub fn endpoints(count: u32) -> Vec<Endpoint> {
    (1..=count).map(endpoint).collect()
}

/// Returns a backend in service, whose zone, cell and weight follow from the id.
pub fn endpoint(id: u32) -> Endpoint {
    let weight = if id.is_multiple_of(4) { 1.5 } else { 1.0 };
    Endpoint {
        id: BackendId(id),
        cell: CellId(id % 3),
        zone: ZoneId(id % 2),
        weight,
        status: Status::InService,
        started_at: None,
    }
}
