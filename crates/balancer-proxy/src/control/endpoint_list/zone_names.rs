//! The ids of zones by their names.

use balancer::ZoneId;
use std::collections::{HashMap, HashSet};

/// The zones that settings name, and those of known backends. No id is used for two zones, so that an id in a
/// record of an earlier attempt never stands for another zone.
#[derive(Debug)]
pub(super) struct ZoneNames {
    ids: HashMap<String, ZoneId>,
    /// The zones that settings name, which are never forgotten.
    named_by_settings: HashSet<ZoneId>,
    /// The id of the next new zone.
    next_id: ZoneId,
}

impl ZoneNames {
    /// Creates a table of the zones that settings name. The id of a zone is its position.
    pub fn from_settings(names: &[String]) -> Self {
        let mut ids = HashMap::new();
        for (index, name) in (0..).zip(names) {
            ids.entry(name.clone()).or_insert(ZoneId(index));
        }
        let named_by_settings = ids.values().copied().collect();
        let next_id = ZoneId(u32::try_from(names.len()).unwrap_or(u32::MAX));
        Self { ids, named_by_settings, next_id }
    }

    /// Returns the id of a zone that is known.
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

    /// Returns the id of a zone that settings name. The zone is never forgotten.
    pub fn assign_for_settings(&mut self, name: &str) -> ZoneId {
        let id = self.find_or_assign(name);
        self.named_by_settings.insert(id);
        id
    }

    /// Forgets the zones that neither settings name nor any backend in use is in.
    pub fn retain(&mut self, is_in_use: impl Fn(ZoneId) -> bool) {
        let Self { ids, named_by_settings, .. } = self;
        ids.retain(|_, id| named_by_settings.contains(id) || is_in_use(*id));
    }
}
