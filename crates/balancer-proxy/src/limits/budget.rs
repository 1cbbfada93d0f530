//! A budget of permits: an upper bound on the units of a resource in use, such as connections or bytes.
//!
//! A [`Permit`] returns its units when it is dropped, so that no path out of a task can leak them. A budget
//! and its permits stay on one thread.

use std::cell::Cell;
use std::rc::Rc;

/// An upper bound on the units of a resource that are in use at the same time.
pub struct Budget {
    /// Number of units that permits hold. It can exceed `limit` only after the limit was lowered.
    used: Cell<usize>,
    /// Largest number of units that may be in use.
    limit: Cell<usize>,
}

impl Budget {
    /// Creates a budget of `limit` units, none of which is in use.
    #[must_use]
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self { used: Cell::new(0), limit: Cell::new(limit) })
    }

    /// Changes the limit. Permits that were issued beyond a lower limit stay valid.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
    }

    /// Returns whether more units are in use than the limit allows, which can happen after the limit was
    /// lowered.
    #[must_use]
    pub fn is_exceeded(&self) -> bool {
        self.used.get() > self.limit.get()
    }

    /// Returns whether no unit is available.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.used.get() >= self.limit.get()
    }

    /// Acquires `units` units of the budget, or returns `None` if fewer units are available.
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

/// Units acquired from a [`Budget`], which are returned when the permit is dropped.
pub struct Permit {
    budget: Rc<Budget>,
    units: usize,
}

impl Permit {
    /// Acquires `units` more units of the budget. Returns whether that many units were available.
    #[must_use]
    pub fn try_extend(&mut self, units: usize) -> bool {
        let Some(mut addition) = self.budget.try_acquire(units) else {
            return false;
        };
        self.units += std::mem::take(&mut addition.units);
        true
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let used = self.budget.used.get();
        self.budget.used.set(used - self.units);
    }
}
