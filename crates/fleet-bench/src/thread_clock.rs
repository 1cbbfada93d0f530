//! The processor time of the current thread.

use rustix::time::{ClockId, clock_gettime};

/// Returns the processor time of this thread so far, in seconds, from the system's clock of the thread.
/// Other threads on a busy machine do not count, though they may evict this thread's data from the
/// caches.
#[must_use]
pub fn thread_time() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 * 1e-9
}
