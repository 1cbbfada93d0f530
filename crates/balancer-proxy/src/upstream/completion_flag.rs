//! A flag that marks a step of an attempt as complete, shared by the parts that set and read it.

use std::cell::Cell;
use std::rc::Rc;

/// A flag for use on one thread, initially not set. All clones of a flag share one value.
#[derive(Clone, Debug, Default)]
pub struct CompletionFlag(Rc<Cell<bool>>);

impl CompletionFlag {
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
