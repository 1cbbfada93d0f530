//! Waiting for conditions, with one timeout for all tests.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

/// Timeout of each wait of a test. Every step takes far less, also on a busy machine.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which [`wait_for`] evaluates its condition.
const CONDITION_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Returns a number that this test process has not used before, for request ids and file names.
pub fn next_unique_number() -> usize {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    NEXT.fetch_add(1, Ordering::SeqCst)
}

/// Waits until the condition holds. `awaited` names the awaited event in the failure message.
///
/// # Panics
/// If the condition does not hold within [`TEST_TIMEOUT`].
pub fn wait_for(awaited: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TEST_TIMEOUT, "timed out after {TEST_TIMEOUT:?} waiting for {awaited}");
        std::thread::sleep(CONDITION_POLL_INTERVAL);
    }
}

/// Waits until a stub server reports that its peer has closed the connection.
///
/// # Panics
/// If the server does not report that within [`TEST_TIMEOUT`].
pub fn wait_for_disconnect(disconnected: &Receiver<()>) {
    disconnected.recv_timeout(TEST_TIMEOUT).expect("the peer did not close the connection");
}
