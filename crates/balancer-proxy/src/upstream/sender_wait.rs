//! The record of since when the next bytes of a request body are awaited from their sender.
//!
//! The receiver of the body keeps the record. The connection of the sender shares the record, to tell a
//! sender that sends nothing from one whose bytes the proxy does not read, because no backend takes them.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Since when the next bytes of a body are awaited from their sender. A clone shares the record.
#[derive(Clone, Debug, Default)]
pub struct SenderWait {
    /// The time since which the bytes are awaited; `None` if no bytes are awaited.
    since: Rc<Cell<Option<Instant>>>,
}

impl SenderWait {
    /// Records that bytes are awaited from now on. Does nothing if bytes are already awaited.
    pub(crate) fn start(&self) {
        if !self.is_waiting() {
            self.since.set(Some(Instant::now()));
        }
    }

    /// Records that no bytes are awaited.
    pub(super) fn end(&self) {
        self.since.set(None);
    }

    /// Returns whether bytes are awaited.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        self.since.get().is_some()
    }

    /// Returns for how long bytes have been awaited; zero if no bytes are awaited.
    #[must_use]
    pub fn duration(&self) -> Duration {
        self.since.get().map_or(Duration::ZERO, |since| since.elapsed())
    }
}
