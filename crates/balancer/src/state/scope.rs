//! The backends to which an attempt may go.

use crate::Endpoint;

/// The backends to which an attempt may go.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Scope {
    /// All backends.
    Anywhere,
    /// Those of this zone.
    Zone(u32),
    /// Those of this cell.
    Cell(u32),
}

impl Scope {
    /// An attempt may go to the backend.
    pub fn contains(self, endpoint: &Endpoint) -> bool {
        match self {
            Scope::Anywhere => true,
            Scope::Zone(zone) => endpoint.zone == zone,
            Scope::Cell(cell) => endpoint.cell == cell,
        }
    }
}
