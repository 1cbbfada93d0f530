//! The events that a balancer decides about.

use super::action::TimerToken;
use super::endpoint::EndpointUpdate;
use super::ids::{AttemptNumber, BackendId, ClassIndex, RequestId, TenantIndex, Time};
use super::settings::Settings;

/// A request that has arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Request {
    /// The id of the request.
    pub id: RequestId,
    /// The index of its class in the settings in force.
    pub class: ClassIndex,
    /// The index of its tenant in the settings in force, where a deployment has tenants.
    pub tenant: Option<TenantIndex>,
    /// The ordering key, which has an effect only where the class is ordered by key.
    pub key: Option<u64>,
    /// The time until the client gives up, in seconds. The time of a streamed body starts at the end of the
    /// body.
    pub timeout: Time,
    /// Whether the body is still being received and is streamed. Such a request cannot be sent to two
    /// backends at once, nor to another one after [`Event::BodyConsumed`].
    pub streaming_body: bool,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend answered.
    Success,
    /// The backend answered with an error. The request may have been processed.
    Error,
    /// The backend rejected the request without processing.
    Rejected,
    /// No response came in time. The request may have been processed.
    Timeout,
    /// No connection could be established. The request has not been processed.
    NoConnection,
    /// The connection was reset. The request may have been processed.
    Reset,
    /// The attempt was cancelled. The request may have been processed.
    Cancelled,
    /// The attempt was withdrawn before the request was sent. The request has not been processed.
    NotSent,
}

/// The load that a backend reports. Reports are late and noisy; values that are not reported are absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The time that the backend takes for a request, without waiting, in seconds.
    pub service_time: Option<Time>,
    /// The requests per second that the backend serves, from all balancers.
    pub requests_per_second: Option<f64>,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndedAttempt {
    /// The request.
    pub id: RequestId,
    /// The backend of the attempt.
    pub backend: BackendId,
    /// The number of the attempt.
    pub attempt: AttemptNumber,
    /// The outcome.
    pub outcome: Outcome,
    /// The time since the attempt was sent, in seconds.
    pub duration: Time,
    /// Whether the request has its final response by this attempt.
    pub request_finished: bool,
    /// The load report that the response carried.
    pub report: Option<LoadReport>,
}

/// A change of the maintenance of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceChange {
    /// Operators remove the backend from service.
    Begins,
    /// The backend may serve again, and has been restarted in the meantime.
    Ends,
}

/// The processes that serve the clients of a balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServingProcesses {
    /// This process alone.
    #[default]
    One,
    /// This process and another one, which takes over or is taken over.
    Two,
}

/// An event that a balancer decides about.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event<'a> {
    /// A request arrived, and is owed exactly one final response.
    Request(Request),
    /// The body of a streamed request has been received completely, and the time of the request starts.
    BodyReceived(RequestId),
    /// More of the body of a streamed request has been forwarded than is buffered, so that the request
    /// cannot be sent again.
    BodyConsumed(RequestId),
    /// A streamed response has started. From now on the caller is responsible for the attempt.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: AttemptNumber,
    },
    /// An attempt ended.
    AttemptEnded(EndedAttempt),
    /// The client has disconnected, and the request is no longer owed a response.
    ClientDisconnected(RequestId),
    /// The time of an [`Action::SetTimer`](super::Action::SetTimer) has come.
    Timer(TimerToken),
    /// A health check ended.
    HealthCheckEnded {
        /// The backend checked.
        backend: BackendId,
        /// The outcome.
        outcome: Outcome,
        /// The load report that the response carried.
        report: Option<LoadReport>,
    },
    /// Operators remove a backend from service, or put it back.
    Maintenance {
        /// The backend.
        backend: BackendId,
        /// The change of its maintenance.
        change: MaintenanceChange,
    },
    /// From now on the clients of this balancer are served by this process alone, or by a second one, too.
    ServingProcesses(ServingProcesses),
    /// An update of the endpoint list arrived, or failed to arrive.
    Endpoints(EndpointUpdate<'a>),
    /// New settings are in force from now on. The indices of classes and tenants in later requests refer to
    /// these settings; open requests finish by the settings in force at their arrival.
    Settings(&'a Settings),
}
