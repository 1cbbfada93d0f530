//! The table of zone names and zone ids.

use balancer::ZoneId;
use std::collections::{HashMap, HashSet};

/// Maps the names of zones to their ids, for the zones in the settings and the zones of backends in use. An
/// id is never reused for another zone, as a record of an earlier attempt may still contain the id.
#[derive(Debug)]
pub(super) struct ZoneNames {
    ids: HashMap<String, ZoneId>,
    /// The ids of zones that have been in the settings, which are never removed.
    named_by_settings: HashSet<ZoneId>,
    /// The id of the next new zone.
    next_id: ZoneId,
}

impl ZoneNames {
    /// Creates a table of zones in the settings. The id of a zone is its position in `names`.
    pub fn from_settings(names: &[String]) -> Self {
        let mut ids = HashMap::new();
        for (index, name) in (0..).zip(names) {
            ids.entry(name.clone()).or_insert(ZoneId(index));
        }
        let named_by_settings = ids.values().copied().collect();
        let next_id = ZoneId(u32::try_from(names.len()).unwrap_or(u32::MAX));
        Self { ids, named_by_settings, next_id }
    }

    /// Returns the id of a zone, or `None` if the table does not contain the zone.
    pub fn find(&self, name: &str) -> Option<ZoneId> {
        self.ids.get(name).copied()
    }

    /// Returns the id of a zone. A new zone gets the next id.
    pub fn find_or_assign(&mut self, name: &str) -> ZoneId {
        if let Some(id) = self.find(name) {
            return id;
        }
        let id = self.next_id;
        self.next_id = ZoneId(id.0.wrapping_add(1));
        self.ids.insert(name.to_string(), id);
        id
    }

    /// Returns the id of a zone in the settings. A new zone gets the next id. The zone is never removed.
    pub fn assign_for_settings(&mut self, name: &str) -> ZoneId {
        let id = self.find_or_assign(name);
        self.named_by_settings.insert(id);
        id
    }

    /// Removes the zones that are not in use and have never been in the settings.
    pub fn retain(&mut self, is_in_use: impl Fn(ZoneId) -> bool) {
        let Self { ids, named_by_settings, .. } = self;
        ids.retain(|_, id| named_by_settings.contains(id) || is_in_use(*id));
    }
}
