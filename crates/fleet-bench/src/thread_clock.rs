//! The processor time of the current thread.

use rustix::time::{ClockId, clock_gettime};

/// Processor time of this thread so far, in seconds, from the system's clock for it. It leaves out
/// what other threads take on a busy machine, though not what they evict from its caches.
#[must_use]
pub fn thread_time() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 * 1e-9
}
