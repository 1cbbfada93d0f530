//! The attempts that are running.
//!
//! [`RunningAttempts`] owns the task of each running attempt. The first event that ends an attempt removes
//! the attempt and aborts its task; later events find no attempt with this id.

use crate::upstream::completion_flag::CompletionFlag;
use balancer::{AttemptId, BackendId, Time};
use std::collections::HashMap;
use tokio::task::AbortHandle;

/// The progress of writing the request of a running attempt to the backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteProgress {
    /// A part of the request is not written. After an abort of the task, the backend never executes the
    /// request.
    Incomplete,
    /// The complete request is written: the backend may be executing it.
    Complete,
}

/// The backend of an attempt, with the time of the send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct SentAttempt {
    pub(super) backend: BackendId,
    /// Time of the decision to send the attempt, in seconds of the proxy's clock.
    pub(super) sent_at: Time,
}

/// An attempt with its task, which is aborted when the attempt is dropped.
pub(super) struct RunningAttempt {
    sent: SentAttempt,
    /// Set by the task once the request has been written completely.
    written: CompletionFlag,
    task: AbortHandle,
}

impl RunningAttempt {
    /// Creates a running attempt. `task` sets `written` once the request has been written completely.
    pub(super) fn new(sent: SentAttempt, written: CompletionFlag, task: AbortHandle) -> Self {
        Self { sent, written, task }
    }
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// All attempts that are running.
#[derive(Default)]
pub(super) struct RunningAttempts {
    by_id: HashMap<AttemptId, RunningAttempt>,
}

impl RunningAttempts {
    /// Adds an attempt.
    pub(super) fn insert(&mut self, id: AttemptId, attempt: RunningAttempt) {
        self.by_id.insert(id, attempt);
    }

    /// Returns how much of an attempt has been written, or `None` if the attempt has ended.
    pub(super) fn write_progress(&self, id: AttemptId) -> Option<WriteProgress> {
        let attempt = self.by_id.get(&id)?;
        if attempt.written.is_set() { Some(WriteProgress::Complete) } else { Some(WriteProgress::Incomplete) }
    }

    /// Aborts and removes an attempt. Returns `None` if the attempt has already ended.
    pub(super) fn remove(&mut self, id: AttemptId) -> Option<SentAttempt> {
        self.by_id.remove(&id).map(|attempt| attempt.sent)
    }
}

#[cfg(test)]
mod tests;
