//! A flag that the parts of one attempt share.

use std::cell::Cell;
use std::rc::Rc;

/// A flag whose clones all show the same value. It is unset at first, and belongs to one thread.
#[derive(Clone, Debug, Default)]
pub struct SharedFlag(Rc<Cell<bool>>);

impl SharedFlag {
    /// The present value.
    #[must_use]
    pub fn get(&self) -> bool {
        self.0.get()
    }

    /// Changes the value, for all clones.
    pub fn set(&self, value: bool) {
        self.0.set(value);
    }
}
