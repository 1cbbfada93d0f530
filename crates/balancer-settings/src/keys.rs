//! The keys that deserialization accepts. The lists are read from the derived implementations of
//! [`serde::Deserialize`], so that they cannot go out of date. Tests compare sample settings and pages of the
//! documentation with these lists.

use crate::raw::{RawCapabilities, RawClass, RawCosts, RawRules, RawSettings, RawStats, RawTenant};
use serde::de::{self, Deserialize, Deserializer, Visitor};

/// Returns the keys of a structure that derives [`serde::Deserialize`], in the order of its fields. The list
/// has no keys of nested structures. The list is empty if `T` is not a structure with named fields.
#[must_use]
pub fn keys_of<'de, T: Deserialize<'de>>() -> &'static [&'static str] {
    let mut keys: &'static [&'static str] = &[];
    // The recorder records the keys, and returns an error because it has no input to deserialize.
    let _ = T::deserialize(KeyRecorder { keys: &mut keys });
    keys
}

/// Returns the paths of all settings, such as `caps.max-attempts` and `classes[].name`.
#[must_use]
pub fn settings_keys() -> Vec<String> {
    let groups = [
        KeyGroup { path: "caps", separator: ".", keys: keys_of::<RawCapabilities>() },
        KeyGroup { path: "classes", separator: "[].", keys: keys_of::<RawClass>() },
        KeyGroup { path: "costs", separator: ".", keys: keys_of::<RawCosts>() },
        KeyGroup { path: "projects", separator: "[].", keys: keys_of::<RawTenant>() },
        KeyGroup { path: "rules", separator: ".", keys: keys_of::<RawRules>() },
        KeyGroup { path: "stats", separator: ".", keys: keys_of::<RawStats>() },
    ];
    let mut paths = Vec::new();
    for &key in keys_of::<RawSettings>() {
        match groups.iter().find(|group| group.path == key) {
            Some(group) => paths.extend(group.paths()),
            None => paths.push(key.to_string()),
        }
    }
    paths
}

/// The keys of a structure that is nested in the settings.
struct KeyGroup {
    /// Key of the structure or of a list of such structures in the settings.
    path: &'static str,
    /// Text between the key of the structure and the keys of its fields.
    separator: &'static str,
    /// Keys of the fields of the structure.
    keys: &'static [&'static str],
}

impl KeyGroup {
    fn paths(&self) -> impl Iterator<Item = String> {
        self.keys.iter().map(|key| format!("{}{}{key}", self.path, self.separator))
    }
}

/// A deserializer without input, which records the keys of the structure to deserialize.
struct KeyRecorder<'a> {
    keys: &'a mut &'static [&'static str],
}

impl<'de> Deserializer<'de> for KeyRecorder<'_> {
    type Error = de::value::Error;

    fn deserialize_any<V: Visitor<'de>>(self, _visitor: V) -> Result<V::Value, Self::Error> {
        Err(de::Error::custom("the type is not a structure with named fields"))
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        fields: &'static [&'static str],
        _visitor: V,
    ) -> Result<V::Value, Self::Error> {
        *self.keys = fields;
        Err(de::Error::custom("the keys are recorded, and there is no input to deserialize"))
    }

    serde::forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf option unit
        unit_struct newtype_struct seq tuple tuple_struct map enum identifier ignored_any
    }
}
