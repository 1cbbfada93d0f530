//! A flag that several parts of one attempt share.

use std::cell::Cell;
use std::rc::Rc;

/// A flag for use on one thread, unset at first. All clones of it have the same value.
#[derive(Clone, Debug, Default)]
pub struct SharedFlag(Rc<Cell<bool>>);

impl SharedFlag {
    /// The current value.
    #[must_use]
    pub fn get(&self) -> bool {
        self.0.get()
    }

    /// Sets the value of all clones.
    pub fn set(&self, value: bool) {
        self.0.set(value);
    }
}
