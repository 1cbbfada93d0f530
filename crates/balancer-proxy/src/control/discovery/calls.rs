//! The calls to discovery that are in progress.
//!
//! Each call is a task of its own, so that a call goes on after its caller has stopped waiting. A caller makes
//! another call after a timeout, because discovery may be silent; discovery may as well be slow, and a list
//! that arrives later is used.

use std::cell::RefCell;
use std::future::Future;
use tokio::task::AbortHandle;

/// Largest number of calls in progress. A watch has at most 6, as its calls follow one another after over a
/// second and end after `MAX_FULL_LIST_TIME`. More calls are in progress only after SIGHUP in quick succession.
const MAX_CALLS_IN_PROGRESS: usize = 8;

/// The tasks of the calls in progress to one discovery.
#[derive(Default)]
pub(super) struct CallsInProgress {
    /// The tasks in the order of their starts. Tasks that have ended are removed at the next start.
    tasks: RefCell<Vec<AbortHandle>>,
}

impl CallsInProgress {
    /// Starts the task of a call. If [`MAX_CALLS_IN_PROGRESS`] calls are in progress, the last of them is
    /// ended. The earlier ones go on, as otherwise no call would get a response from a slow discovery while
    /// calls are started in quick succession.
    pub(super) fn start(&self, call: impl Future<Output = ()> + 'static) {
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        if tasks.len() >= MAX_CALLS_IN_PROGRESS
            && let Some(last) = tasks.pop()
        {
            last.abort();
        }
        tasks.push(tokio::task::spawn_local(call).abort_handle());
    }

    /// Ends all calls in progress.
    pub(super) fn abort_all(&self) {
        for task in self.tasks.take() {
            task.abort();
        }
    }
}

#[cfg(test)]
mod tests;
