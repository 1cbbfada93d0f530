//! What happens to a balancer.

use super::action::TimerToken;
use super::endpoint::EndpointUpdate;
use super::ids::{BackendId, RequestId, Time};
use super::settings::Settings;

/// A request that has arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Request {
    /// Its name.
    pub id: RequestId,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant, where there are any.
    pub tenant: Option<usize>,
    /// Its ordering key; used where the class is ordered by key.
    pub key: Option<u64>,
    /// Time until the caller gives up, in seconds; where its body is still being received, from its end on.
    pub timeout: Time,
    /// Its body is still being received and is streamed: it can't go to two backends at once, nor to
    /// another one after [`Event::BodyConsumed`].
    pub streaming_body: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Success,
    /// The backend answered with an error; it may have run.
    Error,
    /// The backend rejected it unprocessed.
    Rejected,
    /// No response in time; it may have run.
    Timeout,
    /// There was no connection; it has not run.
    NoConnection,
    /// The connection broke; it may have run.
    Reset,
    /// It was cancelled; it may have run.
    Cancelled,
    /// It was never sent.
    NotSent,
}

/// What a backend reports of its load. It is late and noisy; what is not reported is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// How long a request takes it, without waiting, in seconds.
    pub service_time: Option<Time>,
    /// The requests a second that it serves, from all balancers.
    pub requests_per_second: Option<f64>,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndedAttempt {
    /// The request.
    pub id: RequestId,
    /// Where the attempt went.
    pub backend: BackendId,
    /// Its number, from 0, in the order of the sends.
    pub attempt: usize,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent, in seconds.
    pub duration: Time,
    /// The request has its final response.
    pub request_finished: bool,
    /// The load report that came along.
    pub report: Option<LoadReport>,
}

/// What operators do to a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceChange {
    /// It is removed from service.
    Begins,
    /// It may serve again, and has been restarted meanwhile.
    Ends,
}

/// What happens to a balancer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event<'a> {
    /// A request arrived; it needs exactly one final response.
    Request(Request),
    /// The body of a streamed request has been received completely: its time begins.
    BodyReceived(RequestId),
    /// More of the body of a streamed request has been forwarded than is buffered: it can't be sent again.
    BodyConsumed(RequestId),
    /// A streamed response has started: from now on the attempt is the caller's.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// The attempt, by its number.
        attempt: usize,
    },
    /// An attempt ended.
    AttemptEnded(EndedAttempt),
    /// The client has disconnected: no response is owed any more.
    ClientDisconnected(RequestId),
    /// A timer of [`Action::SetTimer`](super::Action::SetTimer) is due.
    Timer(TimerToken),
    /// A health check ended.
    HealthCheckEnded {
        /// The backend checked.
        backend: BackendId,
        /// How it ended.
        outcome: Outcome,
        /// The load report that came along.
        report: Option<LoadReport>,
    },
    /// Operators remove a backend from service, or put it back.
    Maintenance {
        /// Which.
        backend: BackendId,
        /// What they do.
        change: MaintenanceChange,
    },
    /// A second process has begun or ceased to serve the same clients as this one.
    SecondProcess {
        /// It is running.
        running: bool,
    },
    /// Something was heard of the endpoint list.
    Endpoints(EndpointUpdate<'a>),
    /// New settings are in force from now on. Requests to come name classes and tenants by them; open ones
    /// finish by those with which they arrived.
    Settings(&'a Settings),
}
