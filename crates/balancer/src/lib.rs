//! The decisions of a load balancer for services that call services.
//!
//! [`Balancer`] is a state machine without I/O: it takes events with the time at which they happened, and
//! returns actions. All decisions are in `decisions`, and the types of events, actions and settings are
//! re-exported here.

mod decisions;
mod interface;
mod support;

pub use decisions::Balancer;
pub use interface::{
    Action, BackendId, Effect, EndedAttempt, Endpoint, EndpointUpdate, Event, IdempotencyGroup, LoadReport,
    MaintenanceChange, Outcome, Request, RequestClass, RequestId, Settings, Status, Tenant, Time, TimerToken,
};

/// The example of the front page, run as a test.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;
