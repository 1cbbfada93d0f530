//! Restarts tasks that all requests depend on.

use crate::log;
use std::time::Duration;

/// Pause before a task that panicked is restarted. Without the pause, a task that always panics would use
/// up the core.
const PANIC_RESTART_DELAY: Duration = Duration::from_millis(10);

/// Runs a task to its end, and restarts the task whenever it panics: a panic then loses the work for
/// one event only, not for all events that follow.
pub(super) async fn restart_on_panic<F>(task: impl Fn() -> F)
where
    F: Future<Output = ()> + 'static,
{
    while let Err(error) = tokio::task::spawn_local(task()).await {
        log!("balancer-proxy: {error}");
        tokio::time::sleep(PANIC_RESTART_DELAY).await;
    }
}

#[cfg(test)]
mod tests;
