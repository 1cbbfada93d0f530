//! The periodic check for a second process on the listen address.

use crate::control::reload::Reloader;
use std::rc::Rc;
use std::time::Duration;

/// Interval between two checks for another process on the listen address and for its settings.
const OTHER_PROCESS_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Checks for another process on the listen address, and for its settings, every
/// [`OTHER_PROCESS_CHECK_INTERVAL`]. Never returns.
pub(super) async fn check_periodically(reloader: Rc<Reloader>) {
    loop {
        tokio::time::sleep(OTHER_PROCESS_CHECK_INTERVAL).await;
        reloader.check_other_process();
    }
}
