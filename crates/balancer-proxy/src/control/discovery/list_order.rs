//! The order of the lists that discovery sends.
//!
//! Several calls may be in progress at once, and their responses may arrive in another order than discovery
//! wrote them. [`ListOrder`] owns the generation of the current list, and decides for each list that arrives
//! whether the list replaces the current one or is older.
//!
//! Discovery had the current generation before a call that began with it. A lower generation in the response
//! to that call therefore shows that discovery has restarted its generation numbers. Any other list with a
//! generation below the current one is older than the current list.

/// The generation of the current list, and the order of other lists relative to it.
#[derive(Debug, Default)]
pub(super) struct ListOrder {
    /// Generation of the current list; `None` if no list of the current discovery has arrived.
    generation: Option<u64>,
    /// Number of times that discovery has restarted its generation numbers.
    restarts: u64,
    /// Whether the changes that follow the current list cannot be requested.
    needs_full_list: bool,
}

/// The state of the order at the start of a call, by which the list in the response is judged.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallStart {
    generation: Option<u64>,
    restarts: u64,
}

/// The extent of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListExtent {
    /// All endpoints.
    Full,
    /// The endpoints that have changed.
    Changes,
}

/// The age of a list relative to the current list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListAge {
    /// The list is as new as the current list or newer, and has to be applied.
    Current,
    /// The list is older than the current list, and has to be dropped.
    Outdated,
}

impl ListOrder {
    /// Creates the order after a full list with this generation.
    pub(super) fn after_full_list(generation: u64) -> Self {
        Self { generation: Some(generation), ..Self::default() }
    }

    /// Creates the order without a current list.
    pub(super) fn without_list() -> Self {
        Self { needs_full_list: true, ..Self::default() }
    }

    /// Returns whether the full list has to be requested.
    pub(super) fn needs_full_list(&self) -> bool {
        self.needs_full_list
    }

    /// Has the full list requested next. The current list stays in force.
    pub(super) fn require_full_list(&mut self) {
        self.needs_full_list = true;
    }

    /// Returns the generation after which changes can be requested, or `None` if the full list has to be
    /// requested.
    pub(super) fn changes_since(&self) -> Option<u64> {
        if self.needs_full_list { None } else { self.generation }
    }

    /// Returns the state at the start of a call that begins now.
    pub(super) fn begin_call(&self) -> CallStart {
        CallStart { generation: self.generation, restarts: self.restarts }
    }

    /// Judges a list that has arrived in response to the call with this start. A list that is not outdated
    /// becomes the current one.
    ///
    /// Changes after a restart of the generation numbers, and changes without a current list, do not suffice:
    /// the full list has to be requested next.
    pub(super) fn accept(&mut self, generation: u64, extent: ListExtent, call: CallStart) -> ListAge {
        let restarted_before_response = call.generation.is_some_and(|at_start| generation < at_start);
        let restart_is_known = self.restarts != call.restarts;
        if restart_is_known && !restarted_before_response {
            // Discovery wrote this list before the restart.
            return ListAge::Outdated;
        }
        if restarted_before_response && !restart_is_known {
            self.restarts += 1;
            self.needs_full_list = true;
        } else if self.generation.is_some_and(|current| generation < current) {
            return ListAge::Outdated;
        }
        self.generation = Some(generation);
        if extent == ListExtent::Full {
            self.needs_full_list = false;
        }
        ListAge::Current
    }
}

#[cfg(test)]
mod tests;
