//! Restarts background tasks after a panic. All requests depend on these tasks.

use crate::log;
use std::time::Duration;

/// Delay before a task that panicked is restarted. Without the delay, a task that always panics would
/// occupy the CPU core.
const PANIC_RESTART_DELAY: Duration = Duration::from_millis(10);

/// Runs a task to completion, and restarts the task after each panic. A panic then loses the work on one
/// event, and later events are still handled.
pub(super) async fn restart_on_panic<F>(task: impl Fn() -> F)
where
    F: Future<Output = ()> + 'static,
{
    while let Err(error) = tokio::task::spawn_local(task()).await {
        log!("balancer-proxy: a background task of the engine failed and is restarted: {error}");
        tokio::time::sleep(PANIC_RESTART_DELAY).await;
    }
}

#[cfg(test)]
mod tests;
