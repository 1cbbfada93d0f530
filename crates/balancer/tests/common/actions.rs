//! Functions that extract information from the actions of a balancer.

use balancer::{Action, BackendId, RequestId, Time};

/// An action with the time at which a balancer returned the action.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimedAction {
    /// The time in seconds.
    pub at: Time,
    /// The action.
    pub action: Action,
}

/// An attempt that a balancer sends. No request is sent to the same backend twice, so the backend
/// identifies the attempt among the attempts of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentAttempt {
    /// The request.
    pub request: RequestId,
    /// The backend that the attempt is sent to.
    pub backend: BackendId,
}

impl SentAttempt {
    /// Creates the attempt of the request with this number at the backend with this number.
    pub fn new(request: u64, backend: u32) -> Self {
        Self { request: RequestId(request), backend: BackendId(backend) }
    }
}

/// Returns the attempts that these actions send.
pub fn sent_attempts(actions: &[Action]) -> Vec<SentAttempt> {
    let sent_attempt = |action: &Action| match *action {
        Action::Send { id, backend, .. } => Some(SentAttempt { request: id, backend }),
        _ => None,
    };
    actions.iter().filter_map(sent_attempt).collect()
}

/// Returns the times of the attempts that these actions send, in seconds after `start`.
pub fn send_times(timed_actions: &[TimedAction], start: Time) -> Vec<Time> {
    let sends = timed_actions.iter().filter(|timed| matches!(timed.action, Action::Send { .. }));
    sends.map(|timed| timed.at - start).collect()
}

/// Returns whether these actions reject the request.
pub fn is_rejected(actions: &[Action], request: u64) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { id, .. } if id.0 == request))
}

/// Returns whether these actions fail the request.
pub fn is_failed(actions: &[Action], request: u64) -> bool {
    actions.contains(&Action::Fail { id: RequestId(request) })
}

/// Returns the number of requests that these actions reject.
pub fn count_rejections(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Reject { .. })).count()
}
