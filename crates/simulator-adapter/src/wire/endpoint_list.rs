//! Lines for endpoint lists: a ROSTER line gives the number and length of a list, one ITEM line follows for
//! each endpoint, and UPDATE lines refer to complete lists.

use super::error::{Result, WireError};
use super::names::ZoneIds;
use super::values::{self, ABSENT_VALUE};
use balancer::{BackendId, CellId, Endpoint, Status, Time};

/// The number of endpoint lists, which are numbered from 0.
pub const LIST_COUNT: usize = 16;

/// The weight of an endpoint whose line gives none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// The number of an endpoint list, below [`LIST_COUNT`].
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

/// An update of the endpoint list of an instance, with the number of the list that contains the entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The list contains the endpoints that changed.
    Changes(ListId),
    /// The list contains all endpoints.
    Full(ListId),
    /// The list contains all endpoints of the cached endpoint list.
    Cached(ListId),
    /// A poll of the list has failed, so that there are no entries.
    Failed,
}

impl ListUpdate {
    /// Parses an UPDATE line without its first word.
    pub(super) fn parse(text: &str) -> Result<Self> {
        let [version, kind, list] = values::split("UPDATE", text)?;
        values::parse_integer::<u64>("the list version", version)?;
        match kind {
            "changes" => ListId::parse(list).map(Self::Changes),
            "all" => ListId::parse(list).map(Self::Full),
            "remembered" => ListId::parse(list).map(Self::Cached),
            "refused" => Ok(Self::Failed),
            _ => Err(WireError::invalid_value(
                "the kind of update",
                "changes, all, remembered or refused",
                kind,
            )),
        }
    }
}

/// Parses an entry of an endpoint list. The zone of the endpoint is added to `zones`.
pub(super) fn parse_endpoint(text: &str, zones: &mut ZoneIds) -> Result<Endpoint> {
    let [_kind, cell, id, weight, zone, status, started_at] = values::split("ITEM", text)?;
    let started_at = parse_start_time(started_at)?;
    Ok(Endpoint {
        id: BackendId(values::parse_integer("the backend id", id)?),
        cell: CellId(values::parse_integer("the cell id", cell)?),
        zone: zones.assign(zone),
        weight: if weight == ABSENT_VALUE {
            DEFAULT_WEIGHT
        } else {
            values::parse_non_negative("the endpoint weight", weight)?
        },
        status: parse_status(status)?,
        started_at,
    })
}

/// Parses the start time of an endpoint, in seconds. Returns `None` if the time is 0 or absent, which means
/// that the endpoint started long ago.
fn parse_start_time(text: &str) -> Result<Option<Time>> {
    if text == ABSENT_VALUE {
        return Ok(None);
    }
    let time = values::parse_number("the start time", text)?;
    Ok(Some(time).filter(|time| *time != 0.0))
}

fn parse_status(text: &str) -> Result<Status> {
    match text {
        "in_service" => Ok(Status::InService),
        "terminating" => Ok(Status::Draining),
        "terminated" => Ok(Status::Removed),
        _ => Err(WireError::invalid_value(
            "the endpoint status",
            "in_service, terminating or terminated",
            text,
        )),
    }
}
