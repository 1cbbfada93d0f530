//! The stage of a call before its first attempt.

/// How far a call has come before its first attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::decisions) enum CallStage {
    /// The call waits for admission or for its ordering key.
    Queued,
    /// The call does not wait, or waits no longer, and has not been dispatched.
    Undispatched,
    /// The call has been dispatched, and counts as sent.
    Dispatched,
}
