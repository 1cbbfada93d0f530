//! The events that a balancer handles.

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
    /// The time after which the client stops waiting for a response, in seconds. The time counts from the
    /// arrival of the request, or from the end of the body if the body is streamed.
    pub timeout: Time,
    /// Whether the body is still being received and is streamed. Such a request cannot be sent to two
    /// backends at once, nor to another backend after [`Event::BodyConsumed`].
    pub streaming_body: bool,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend answered without an error.
    Success,
    /// The backend answered with an error. The request may have been processed.
    Error,
    /// The backend rejected the request without processing it.
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

/// The load that a backend reports. Reports arrive late and are noisy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The time that the backend takes to process a request, without the wait in queues, in seconds; `None`
    /// if not reported.
    pub service_time: Option<Time>,
    /// The requests per second that the backend serves for all balancers; `None` if not reported.
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
    /// Whether this attempt gave the request its final response.
    pub request_finished: bool,
    /// The load report in the response, if there was one.
    pub report: Option<LoadReport>,
}

/// A change of the maintenance of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceChange {
    /// Operators remove the backend from service.
    Begins,
    /// Operators return the backend to service. The backend has been restarted during the maintenance.
    Ends,
}

/// The processes that serve the clients of a balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServingProcesses {
    /// This process alone.
    #[default]
    One,
    /// This process and another one during an upgrade: its successor or the process that it succeeds.
    Two,
}

/// An event that a balancer handles.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event<'a> {
    /// A request arrived. The balancer gives the request exactly one final response.
    Request(Request),
    /// The body of a streamed request has been received completely. The timeout of the request starts.
    BodyReceived(RequestId),
    /// The rest of the body of a streamed request, whose last byte the client may have sent, was not received
    /// for the whole timeout of the request, because no backend takes it. The request gets its final response
    /// as soon as its attempts have ended, which the caller ends too.
    BodyStalled(RequestId),
    /// More of the body of a streamed request has been forwarded than is buffered. The request cannot be
    /// sent again.
    BodyConsumed(RequestId),
    /// A streamed response has started, which is the final response of the request. The balancer cancels or
    /// withdraws the other attempts, and the caller completes this one.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: AttemptNumber,
    },
    /// An attempt ended.
    AttemptEnded(EndedAttempt),
    /// The client has disconnected. The request gets no final response.
    ClientDisconnected(RequestId),
    /// The timer of an [`Action::SetTimer`](super::Action::SetTimer) fired.
    Timer(TimerToken),
    /// A health check ended.
    HealthCheckEnded {
        /// The backend that was checked.
        backend: BackendId,
        /// The outcome.
        outcome: Outcome,
        /// The load report in the response, if there was one.
        report: Option<LoadReport>,
    },
    /// Operators remove a backend from service, or return the backend to service.
    Maintenance {
        /// The backend.
        backend: BackendId,
        /// The change of its maintenance.
        change: MaintenanceChange,
    },
    /// From now on, these processes serve the clients of this balancer.
    ServingProcesses(ServingProcesses),
    /// An update of the endpoint list arrived, or the list could not be retrieved.
    Endpoints(EndpointUpdate<'a>),
    /// New settings are in force from now on. The indices of classes and tenants in later requests refer to
    /// these settings. Open requests are completed under the settings in force at their arrival.
    Settings(&'a Settings),
}
