//! A flag that several parts of one attempt share.

use std::cell::Cell;
use std::rc::Rc;

/// A flag for use on one thread, initially not set. All clones of a flag share its value.
#[derive(Clone, Debug, Default)]
pub struct SharedFlag(Rc<Cell<bool>>);

impl SharedFlag {
    /// Returns whether the flag is set.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.0.get()
    }

    /// Sets the flag.
    pub(crate) fn set(&self) {
        self.0.set(true);
    }

    /// Clears the flag.
    pub(super) fn clear(&self) {
        self.0.set(false);
    }
}
