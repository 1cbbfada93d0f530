//! Lines about endpoint lists: a ROSTER line names a list and its length, one ITEM line for each endpoint
//! follows, and UPDATE lines refer to lists that have been filled.

use super::error::{Result, WireError};
use super::names::ZoneIds;
use super::values::{self, ABSENT};
use balancer::{BackendId, CellId, Endpoint, Status, Time};

/// Number of endpoint lists, which are numbered from 0.
pub const LIST_COUNT: usize = 16;

/// Weight of an endpoint that states none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Number of an endpoint list, below [`LIST_COUNT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListId(usize);

impl ListId {
    /// Returns the number of the list, below [`LIST_COUNT`].
    #[must_use]
    pub fn index(self) -> usize {
        self.0
    }

    /// Parses the number of a list.
    pub(super) fn parse(text: &str) -> Result<Self> {
        match values::parse_integer("the list number", text)? {
            number if number < LIST_COUNT => Ok(Self(number)),
            _ => Err(WireError::invalid_value("the list number", "a number from 0 to 15", text)),
        }
    }
}

/// A notification of endpoints, by the list that has the entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The list has the endpoints that changed.
    Changes(ListId),
    /// The list has all endpoints.
    Full(ListId),
    /// The list has all endpoints as they were last known.
    Cached(ListId),
    /// A call for the list has failed; there are no entries.
    Failed,
}

impl ListUpdate {
    /// Parses an UPDATE line without its first word.
    pub(super) fn parse(text: &str) -> Result<Self> {
        let [version, kind, list] = values::split("UPDATE", text)?;
        values::parse_integer::<u64>("the version", version)?;
        match kind {
            "changes" => ListId::parse(list).map(Self::Changes),
            "all" => ListId::parse(list).map(Self::Full),
            "remembered" => ListId::parse(list).map(Self::Cached),
            "refused" => Ok(Self::Failed),
            _ => Err(WireError::invalid_value("the kind", "changes, all, remembered or refused", kind)),
        }
    }
}

/// Parses an entry of an endpoint list. The zone of the endpoint is added to `zones`.
pub(super) fn parse_endpoint(text: &str, zones: &mut ZoneIds) -> Result<Endpoint> {
    let [_kind, cell, id, weight, zone, status, started_at] = values::split("ITEM", text)?;
    let started_at = parse_start_time(started_at)?;
    Ok(Endpoint {
        id: BackendId(values::parse_integer("the backend", id)?),
        cell: CellId(values::parse_integer("the cell", cell)?),
        zone: zones.assign(zone),
        weight: if weight == ABSENT {
            DEFAULT_WEIGHT
        } else {
            values::parse_non_negative("the weight", weight)?
        },
        status: parse_status(status)?,
        started_at,
    })
}

/// Parses the time of a start, in seconds; 0 and an absent value stand for a start long ago.
fn parse_start_time(text: &str) -> Result<Option<Time>> {
    if text == ABSENT {
        return Ok(None);
    }
    let time = values::parse_number("the start", text)?;
    Ok(Some(time).filter(|time| *time != 0.0))
}

fn parse_status(text: &str) -> Result<Status> {
    match text {
        "in_service" => Ok(Status::InService),
        "terminating" => Ok(Status::Draining),
        "terminated" => Ok(Status::Removed),
        _ => Err(WireError::invalid_value("the status", "in_service, terminating or terminated", text)),
    }
}
