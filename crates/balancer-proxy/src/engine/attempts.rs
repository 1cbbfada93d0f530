//! The attempts that are running.
//!
//! Owns the task of each running attempt. An attempt is removed once, by whichever event ends it
//! first; from then on its task is aborted, and later events about it find nothing.

use crate::upstream::shared_flag::SharedFlag;
use balancer::{BackendId, RequestId, Time};
use std::collections::HashMap;
use tokio::task::AbortHandle;

/// Identifies an attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct AttemptId {
    pub(super) request: RequestId,
    /// Its number among the attempts of the request, from 0, in the order in which they were sent.
    pub(super) number: usize,
}

/// How much of a running attempt's request has been written to the backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteProgress {
    /// Not all of it: once the task is aborted, the backend never executes it.
    Incomplete,
    /// All of it: the backend may be executing it.
    Complete,
}

/// When and to which backend an attempt was sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentAttempt {
    pub(super) backend: BackendId,
    /// Time of the decision to send it.
    pub(super) sent_at: Time,
}

/// An attempt with its task, which is aborted when this is dropped.
pub(super) struct RunningAttempt {
    sent: SentAttempt,
    /// Set by the task once the request has been written completely.
    written: SharedFlag,
    task: AbortHandle,
}

impl RunningAttempt {
    pub(super) fn new(sent: SentAttempt, written: SharedFlag, task: AbortHandle) -> Self {
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
    pub(super) fn insert(&mut self, id: AttemptId, attempt: RunningAttempt) {
        self.by_id.insert(id, attempt);
    }

    /// How much has been written of an attempt; `None` if it has ended.
    pub(super) fn write_progress(&self, id: AttemptId) -> Option<WriteProgress> {
        let attempt = self.by_id.get(&id)?;
        if attempt.written.get() { Some(WriteProgress::Complete) } else { Some(WriteProgress::Incomplete) }
    }

    /// Aborts and removes an attempt; `None` if it has ended before.
    pub(super) fn remove(&mut self, id: AttemptId) -> Option<SentAttempt> {
        self.by_id.remove(&id).map(|attempt| attempt.sent)
    }
}
