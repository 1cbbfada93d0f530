//! The receiver of watch events.

use crate::clock::Clock;
use crate::settings::SettingsSnapshot;
use crate::watch_event::WatchEvent;
use balancer::BackendId;
use std::rc::Rc;

/// The receiver of watch events, which also provides the state that the calls to discovery depend on.
pub trait WatchListener {
    /// Handles a list that has arrived, or a call that has failed.
    fn on_watch_event(&self, event: WatchEvent);
    /// Returns the settings in force.
    fn settings(&self) -> Rc<SettingsSnapshot>;
    /// Returns the clock of the times in watch events.
    fn clock(&self) -> &Clock;
    /// Returns whether the backend is still in use, so that its id must not be released.
    fn is_backend_in_use(&self, backend: BackendId) -> bool;
}
