//! Restarts tasks that all requests depend on.

use crate::log;
use std::time::Duration;

/// Pause before a task that panicked is restarted, so that one that always panics does not use up
/// the core.
const RESTART_DELAY: Duration = Duration::from_millis(10);

/// Runs a task to its end, and restarts it whenever it panics: a panic then loses the work for
/// one event, and not for all that follow.
pub(super) async fn restart_on_panic<F>(task: impl Fn() -> F)
where
    F: Future<Output = ()> + 'static,
{
    while let Err(error) = tokio::task::spawn_local(task()).await {
        log!("balancer-proxy: {error}");
        tokio::time::sleep(RESTART_DELAY).await;
    }
}

#[cfg(test)]
mod tests {
    use super::restart_on_panic;
    use std::cell::Cell;
    use std::rc::Rc;

    #[test]
    fn restarts_a_task_that_panics_until_it_completes() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
        let starts = Rc::new(Cell::new(0));
        let counter = starts.clone();
        let task = move || {
            counter.set(counter.get() + 1);
            let start = counter.get();
            async move { assert!(start > 2, "the first two fail") }
        };

        tokio::task::LocalSet::new().block_on(&runtime, restart_on_panic(task));

        assert_eq!(starts.get(), 3);
    }
}
