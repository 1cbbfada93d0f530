//! The processor time of the current thread.

use rustix::time::{ClockId, clock_gettime};

/// Returns the processor time that this thread has used, in seconds. The processor time of other threads is
/// not included, but other threads may evict this thread's data from the processor caches.
#[must_use]
pub fn thread_time() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 * 1e-9
}
