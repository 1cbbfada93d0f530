//! The periodic check for a second process on the listen address.

use crate::control::reload::Reloader;
use std::rc::Rc;
use std::time::Duration;

/// Interval between two checks for another process on the listen address and for its settings.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Lets the reloader check for another process on the same address, for as long as this one runs.
pub(super) async fn check_periodically(reloader: Rc<Reloader>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        reloader.check_other_process();
    }
}
