//! The events of a balancer, recorded for a replay without the simulation.

use balancer::{Endpoint, EndpointUpdate, Event, Settings, Time};

/// An event of a balancer with its time.
#[derive(Debug)]
pub struct Record {
    /// Virtual time of the event, in seconds.
    pub at: Time,
    /// The event.
    pub event: RecordedEvent,
}

/// An event of a balancer, with its own copy of the endpoints.
#[derive(Debug)]
pub enum RecordedEvent {
    /// An event without endpoints.
    WithoutEndpoints(Event<'static>),
    /// Changes of the endpoint list.
    Changes(Vec<Endpoint>),
    /// The full endpoint list.
    Full(Vec<Endpoint>),
    /// The cached endpoint list after a start.
    Cached(Vec<Endpoint>),
    /// The start of a new process.
    Start {
        /// Seed of the balancer of the process.
        seed: u64,
    },
}

impl RecordedEvent {
    /// Copies an endpoint update.
    #[must_use]
    pub fn from_update(update: EndpointUpdate<'_>) -> Self {
        match update {
            EndpointUpdate::Changes(list) => Self::Changes(list.to_vec()),
            EndpointUpdate::Full(list) => Self::Full(list.to_vec()),
            EndpointUpdate::Cached(list) => Self::Cached(list.to_vec()),
            EndpointUpdate::Failed => Self::WithoutEndpoints(Event::Endpoints(EndpointUpdate::Failed)),
            EndpointUpdate::Rejected => Self::WithoutEndpoints(Event::Endpoints(EndpointUpdate::Rejected)),
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
