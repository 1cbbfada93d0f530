//! A budget of permits: an upper bound on how much of a resource is in use, such as connections or
//! bytes. It is used from one thread; each permit is returned when it is dropped.

use std::cell::Cell;
use std::rc::Rc;

/// An upper bound on the units of a resource that are in use at the same time.
pub struct Budget {
    used: Cell<usize>,
    limit: Cell<usize>,
}

impl Budget {
    /// A budget of `limit` units, none of which is in use.
    #[must_use]
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self { used: Cell::new(0), limit: Cell::new(limit) })
    }

    /// Changes the limit. Permits that were issued beyond a lower limit stay valid.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
    }

    /// Whether more units are in use than the limit allows, as can be after it was lowered.
    #[must_use]
    pub fn is_exceeded(&self) -> bool {
        self.used.get() > self.limit.get()
    }

    /// Whether no unit is available.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.used.get() >= self.limit.get()
    }

    /// Acquires `units` of the budget, or returns `None` if fewer are available.
    #[must_use]
    pub fn try_acquire(self: &Rc<Self>, units: usize) -> Option<Permit> {
        if units > self.available() {
            return None;
        }
        self.used.set(self.used.get() + units);
        Some(Permit { budget: self.clone(), units })
    }

    fn available(&self) -> usize {
        self.limit.get().saturating_sub(self.used.get())
    }
}

/// Units acquired from a [`Budget`], which are returned when this is dropped.
pub struct Permit {
    budget: Rc<Budget>,
    units: usize,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let used = self.budget.used.get();
        self.budget.used.set(used - self.units);
    }
}
