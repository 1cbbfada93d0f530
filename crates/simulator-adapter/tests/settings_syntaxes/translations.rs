//! Translations of settings from each of the two syntaxes.

use balancer::{Settings, ZoneId};
use balancer_settings::RawSettings;
use serde_json::Value;
use simulator_adapter::wire::{self, Line, WireError, ZoneIds};

/// The keys that only the proxy uses. The adapter skips their pairs.
pub const PROXY_KEYS: [&str; 6] =
    ["version", "zones", "caps.connect-timeout", "caps.idle-close", "caps.max-open", "rules.drain-grace"];

/// Translates settings in the JSON of the configuration file, for a balancer in zone 0.
pub fn from_json(settings: &Value) -> Settings {
    let raw: RawSettings = serde_json::from_value(settings.clone()).unwrap();
    raw.into_settings(ZoneId(0)).unwrap()
}

/// Translates pairs. The ids of zones are shared with earlier instances.
pub fn try_from_pairs(pairs: &str, zones: &mut ZoneIds) -> Result<Settings, WireError> {
    let hello_line = format!("HELLO 7 {pairs}");
    match wire::parse_line(&hello_line, zones, None)? {
        Line::StartInstance(start) => Ok(start.settings),
        other => panic!("{other:?}"),
    }
}

/// Translates pairs for the first instance.
pub fn from_pairs(pairs: &str) -> Settings {
    try_from_pairs(pairs, &mut ZoneIds::default()).unwrap()
}

/// Returns the error of invalid pairs.
pub fn pairs_error(pairs: &str) -> String {
    try_from_pairs(pairs, &mut ZoneIds::default()).unwrap_err().to_string()
}

/// Returns the error of invalid JSON settings.
pub fn json_error(settings: Value) -> String {
    serde_json::from_value::<RawSettings>(settings).unwrap_err().to_string()
}

/// Converts JSON settings to pairs, in the form that the simulator sends.
pub fn to_pairs(path: &str, value: &Value) -> String {
    let path_of_key = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
    match value {
        Value::Object(entries) => {
            let pairs: Vec<_> =
                entries.iter().map(|(key, value)| to_pairs(&path_of_key(key), value)).collect();
            pairs.join(" ")
        }
        Value::Array(entries) if entries.iter().any(Value::is_object) => {
            let mut pairs = vec![format!("{}={}", path_of_key("count"), entries.len())];
            let entries = entries.iter().enumerate();
            pairs.extend(entries.map(|(index, entry)| to_pairs(&path_of_key(&index.to_string()), entry)));
            pairs.join(" ")
        }
        Value::Array(entries) => {
            let values: Vec<_> = entries.iter().map(plain_text).collect();
            format!("{path}={}", values.join(","))
        }
        value => format!("{path}={}", plain_text(value)),
    }
}

fn plain_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_string)
}
