//! The events of a balancer, recorded for a replay without the simulation.

use balancer::{Endpoint, EndpointUpdate, Event, Settings, Time};

/// Something that happened to a balancer, and when.
#[derive(Debug)]
pub enum Record {
    /// An event without endpoints.
    Event(Time, Event<'static>),
    /// Changes of the endpoint list.
    Changes(Time, Vec<Endpoint>),
    /// The complete endpoint list.
    Full(Time, Vec<Endpoint>),
    /// The cached endpoint list after a start.
    Cached(Time, Vec<Endpoint>),
    /// A new process started with this seed.
    Start(Time, u64),
}

impl Record {
    /// Creates the record of an endpoint update.
    #[must_use]
    pub fn of_update(now: Time, update: EndpointUpdate<'_>) -> Self {
        match update {
            EndpointUpdate::Changes(list) => Self::Changes(now, list.to_vec()),
            EndpointUpdate::Full(list) => Self::Full(now, list.to_vec()),
            EndpointUpdate::Cached(list) => Self::Cached(now, list.to_vec()),
            EndpointUpdate::Failed => Self::Event(now, Event::Endpoints(EndpointUpdate::Failed)),
        }
    }
}

/// All records of a balancer.
#[derive(Debug)]
pub struct Recording {
    /// Seed of the balancer.
    pub seed: u64,
    /// Settings of the balancer.
    pub settings: Settings,
    /// The records in order.
    pub records: Vec<Record>,
}

impl Recording {
    /// Creates an empty recording of a balancer with this seed and these settings.
    #[must_use]
    pub fn new(seed: u64, settings: Settings) -> Self {
        Self { seed, settings, records: Vec::new() }
    }
}
