//! The endpoint lists: a ROSTER line names a list and its length, one ITEM line for each endpoint
//! follows, and UPDATE lines refer to lists that have been filled.

use super::error::{Result, WireError};
use super::names::NameIndex;
use super::values::{self, ABSENT};
use balancer::{BackendId, Endpoint, Status, Time};

/// Number of endpoint lists that can be filled at once.
pub const LIST_COUNT: usize = 16;

/// Identifies an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListId(usize);

impl ListId {
    /// Its number, below [`LIST_COUNT`].
    #[must_use]
    pub fn index(self) -> usize {
        self.0
    }

    pub(super) fn parse(text: &str) -> Result<Self> {
        match values::integer("the list number", text)? {
            number if number < LIST_COUNT => Ok(Self(number)),
            _ => Err(WireError::invalid_value("the list number", "a number from 0 to 15", text)),
        }
    }
}

/// How an instance is notified of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The list has the endpoints that changed.
    Changes(ListId),
    /// The list has all endpoints.
    Full(ListId),
    /// The list has all endpoints as they were last known.
    Cached(ListId),
    /// There is no list, as a call for it failed.
    Failed,
}

impl ListUpdate {
    pub(super) fn parse(text: &str) -> Result<Self> {
        let [version, kind, list] = values::split("UPDATE", text)?;
        values::integer::<u64>("the version", version)?;
        match kind {
            "changes" => ListId::parse(list).map(Self::Changes),
            "all" => ListId::parse(list).map(Self::Full),
            "remembered" => ListId::parse(list).map(Self::Cached),
            "refused" => Ok(Self::Failed),
            _ => Err(WireError::invalid_value("the kind", "changes, all, remembered or refused", kind)),
        }
    }
}

/// Reads an endpoint of a list.
pub(super) fn endpoint(text: &str, zones: &mut NameIndex) -> Result<Endpoint> {
    let [_kind, cell, id, weight, zone, status, started_at] = values::split("ITEM", text)?;
    let started_at = start_time(started_at)?;
    Ok(Endpoint {
        id: BackendId(values::integer("the backend", id)?),
        cell: values::integer("the cell", cell)?,
        zone: zones.index(zone),
        weight: if weight == ABSENT { 1.0 } else { values::non_negative("the weight", weight)? },
        status: endpoint_status(status)?,
        started_at,
    })
}

/// When a backend started; 0 stands for an unknown time, as an absent value does.
fn start_time(text: &str) -> Result<Option<Time>> {
    if text == ABSENT {
        return Ok(None);
    }
    let time = values::number("the start", text)?;
    Ok(Some(time).filter(|time| *time != 0.0))
}

fn endpoint_status(text: &str) -> Result<Status> {
    match text {
        "in_service" => Ok(Status::InService),
        "terminating" => Ok(Status::Draining),
        "terminated" => Ok(Status::Removed),
        _ => Err(WireError::invalid_value("the status", "in_service, terminating or terminated", text)),
    }
}
