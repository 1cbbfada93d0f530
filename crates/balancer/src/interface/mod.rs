//! The types of settings, events and actions, without logic.

mod action;
mod endpoint;
mod event;
mod ids;
mod settings;

pub use action::{Action, TimerToken};
pub use endpoint::{Endpoint, EndpointUpdate, Status};
pub use event::{EndedAttempt, Event, LoadReport, MaintenanceChange, Outcome, Request, ServingProcesses};
pub use ids::{
    AttemptId, AttemptNumber, BackendId, CellId, ClassIndex, RequestId, TenantIndex, Tier, Time, ZoneId,
};
pub use settings::{Effect, IdempotencyGroup, RequestClass, Settings, Tenant};
