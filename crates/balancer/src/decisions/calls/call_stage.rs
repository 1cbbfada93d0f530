//! The stage of a call on the way to its dispatch.

/// The progress of a call from its arrival to its dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::decisions) enum CallStage {
    /// The call waits for admission or for its ordering key.
    Queued,
    /// The call is not queued, or no longer queued, and has not been dispatched.
    Ready,
    /// The call has been dispatched, and counts as sent.
    Dispatched,
}
