//! The scope of an attempt: all backends, or those of one zone or cell.

use crate::interface::{CellId, Endpoint, ZoneId};

/// The set of backends to which an attempt may be sent.
#[derive(Clone, Copy, Debug)]
pub(super) enum Scope {
    /// All backends.
    Anywhere,
    /// The backends of one zone.
    Zone(ZoneId),
    /// The backends of one cell.
    Cell(CellId),
}

impl Scope {
    /// Returns whether an attempt may be sent to this endpoint.
    pub fn contains(self, endpoint: &Endpoint) -> bool {
        match self {
            Scope::Anywhere => true,
            Scope::Zone(zone) => endpoint.zone == zone,
            Scope::Cell(cell) => endpoint.cell == cell,
        }
    }
}
