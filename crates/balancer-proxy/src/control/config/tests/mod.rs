//! Tests that the page `docs/configuration.md` lists exactly the environment variables and the keys of the
//! configuration file, with their types and defaults, and that each key of the proxy is translated.

mod example;
mod page;

use super::raw::{RawCachedEndpoints, RawConfig, RawLimits};
use super::translation::{self, into_snapshot};
use crate::control::endpoint_list::{RawEndpoint, RawEndpointList};
use crate::settings::ProxySettings;
use balancer::ZoneId;
use balancer_settings::defaults;
use balancer_settings::keys::{keys_of, settings_keys};
use page::{OR_NULL, Row, TEXT_TYPES, parse_rows, read_page};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::time::Duration;

/// Returns the paths of all keys that deserialization accepts.
fn accepted_keys() -> BTreeSet<String> {
    let with_prefix = |path: &str, keys: &[&str]| -> Vec<String> {
        keys.iter().map(|key| format!("{path}{key}")).collect()
    };
    let groups = ["limits", "settings"];
    let mut keys: BTreeSet<String> = with_prefix("", keys_of::<RawConfig>()).into_iter().collect();
    for group in groups {
        assert!(keys.remove(group), "{group}");
    }
    assert_eq!(keys_of::<RawCachedEndpoints>(), ["known"]);
    let lists = keys_of::<RawEndpointList>().iter().filter(|key| **key != "instances");
    keys.extend(lists.map(|key| format!("known.{key}")));
    keys.extend(with_prefix("known.instances[].", keys_of::<RawEndpoint>()));
    keys.extend(with_prefix("limits.", keys_of::<RawLimits>()));
    keys.extend(settings_keys().iter().map(|key| format!("settings.{key}")));
    keys
}

/// Returns the environment variables of the proxy that occur in string literals below a source folder.
fn variables_in(folder: &Path) -> BTreeSet<String> {
    let mut variables = BTreeSet::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.file_stem().is_some_and(|name| name == "tests") {
            continue;
        }
        if path.is_dir() {
            variables.append(&mut variables_in(&path));
            continue;
        }
        let text = fs::read_to_string(path).unwrap();
        let literals = text.split('"').filter(|literal| literal.starts_with("RELAY_"));
        variables.extend(literals.map(str::to_string));
    }
    variables
}

/// The differences between the page and the program.
#[derive(Debug, PartialEq, Eq)]
struct Differences {
    missing_on_the_page: Vec<String>,
    unknown_to_the_program: Vec<String>,
}

fn differences(page: &str) -> Differences {
    let mut accepted = accepted_keys();
    accepted.append(&mut variables_in(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src")));
    let rows = parse_rows(page);
    let documented: BTreeSet<String> = rows.iter().map(|row| row.name.clone()).collect();
    assert_eq!(documented.len(), rows.len(), "a name has two rows");
    Differences {
        missing_on_the_page: accepted.difference(&documented).cloned().collect(),
        unknown_to_the_program: documented.difference(&accepted).cloned().collect(),
    }
}

/// Returns a file with the required keys only.
fn required_keys() -> Value {
    let endpoint = json!({"instanceId": "s-1", "hostPort": "127.0.0.1:1", "lifecycle": "SERVING"});
    json!({"known": {"generation": 1, "reset": true, "instances": [endpoint]},
           "limits": {},
           "settings": {"classes": [{"name": "a"}], "projects": [{"name": "b"}],
                        "caps": {}, "costs": {}, "rules": {}, "stats": {}}})
}

fn is_parsed(file: &Value) -> bool {
    let config = serde_json::from_value::<RawConfig>(file.clone());
    let cached_endpoints = serde_json::from_value::<RawCachedEndpoints>(file.clone());
    config.is_ok() && cached_endpoints.is_ok()
}

/// Returns the object of the file that contains the last key of a path, and that key.
fn parent_of<'a>(file: &'a mut Value, path: &str) -> (&'a mut Value, String) {
    let pointer = format!("/{}", path.replace("[]", ".0").replace('.', "/"));
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    (file.pointer_mut(parent).unwrap(), key.to_string())
}

fn accepts(path: &str, value: Value) -> bool {
    let mut file = required_keys();
    let (parent, key) = parent_of(&mut file, path);
    parent[key] = value;
    is_parsed(&file)
}

fn is_parsed_without(path: &str) -> bool {
    let mut file = required_keys();
    let (parent, key) = parent_of(&mut file, path);
    parent.as_object_mut().unwrap().remove(&key);
    is_parsed(&file)
}

/// Returns whether deserialization accepts the values of the type that the page states, and no others.
fn has_stated_type(row: &Row) -> bool {
    let accepts = |value: Value| accepts(&row.name, value);
    match row.value_type.strip_suffix(OR_NULL).unwrap_or(&row.value_type) {
        "true or false" => accepts(json!(true)) && !accepts(json!(1)),
        // Deserialization accepts a version of any type. A later step ignores or rejects an invalid version.
        "whole number" if row.name == "settings.version" => accepts(json!(1)),
        "whole number" => accepts(json!(1)) && !accepts(json!(1.5)) && !accepts(json!(-1)),
        "number" => accepts(json!(1.5)) && accepts(json!(1)) && !accepts(json!("1")),
        "list of text" => accepts(json!(["a", "b"])) && !accepts(json!("a")),
        value_type if TEXT_TYPES.contains(&value_type) => {
            let strings = ["a", "127.0.0.1:1", "SERVING", "automatic"];
            strings.iter().any(|string| accepts(json!(string))) && !accepts(json!(1))
        }
        other => panic!("unknown type {other}"),
    }
}

#[test]
fn the_page_has_each_variable_and_key_and_no_other() {
    let none = Differences { missing_on_the_page: Vec::new(), unknown_to_the_program: Vec::new() };

    assert_eq!(differences(&read_page()), none);
}

#[test]
fn a_missing_and_an_unknown_key_of_the_page_are_found() {
    let altered = read_page()
        .replace("| `settings.rules.cold` |", "| `settings.rules.warm` |")
        .replace("| `RELAY_LISTEN` |", "| `RELAY_LISTENER` |");

    let found = differences(&altered);

    assert_eq!(found.missing_on_the_page, ["RELAY_LISTEN", "settings.rules.cold"]);
    assert_eq!(found.unknown_to_the_program, ["RELAY_LISTENER", "settings.rules.warm"]);
}

#[test]
fn each_key_has_the_type_that_the_page_states_and_is_required_where_the_page_states_so() {
    assert!(is_parsed(&required_keys()));

    for row in parse_rows(&read_page()).iter().filter(|row| !row.is_variable()) {
        assert!(has_stated_type(row), "{row:?}");
        assert_eq!(accepts(&row.name, Value::Null), row.accepts_null(), "null: {row:?}");
        assert_eq!(!is_parsed_without(&row.name), row.is_required(), "{row:?}");
        assert!(["reload", "start"].contains(&row.in_force.as_str()), "{row:?}");
    }
}

#[test]
fn a_wrong_type_on_the_page_is_found() {
    let row = |name: &str, value_type: &str| Row {
        name: name.to_string(),
        value_type: value_type.to_string(),
        default: "0".to_string(),
        in_force: "reload".to_string(),
    };

    assert!(!has_stated_type(&row("settings.rules.cold", "whole number")));
    assert!(!has_stated_type(&row("settings.me", "number")));
    assert!(!has_stated_type(&row("settings.caps.cancel", "text")));
}

#[test]
fn the_page_has_the_defaults_of_the_code() {
    let seconds = |duration: Duration| duration.as_secs_f64().to_string();
    let defaults = [
        ("seed", translation::DEFAULT_SEED.to_string()),
        ("limits.sockets", translation::DEFAULT_FILE_DESCRIPTORS.to_string()),
        ("limits.memory_mb", translation::DEFAULT_MEMORY_MEBIBYTES.to_string()),
        ("settings.caps.connect-timeout", seconds(translation::DEFAULT_CONNECT_TIMEOUT)),
        ("settings.caps.idle-close", seconds(translation::DEFAULT_IDLE_TIMEOUT)),
        ("settings.rules.drain-grace", seconds(translation::DEFAULT_DRAIN_GRACE_PERIOD)),
        ("settings.caps.max-attempts", defaults::MAX_ATTEMPTS.to_string()),
        ("settings.n-instances", defaults::INSTANCE_COUNT.to_string()),
        ("settings.over-share-worth", defaults::OVER_QUOTA_WEIGHT.to_string()),
        ("settings.quantum", defaults::CLOCK_RESOLUTION.to_string()),
        ("settings.rules.ask-within", defaults::ENDPOINT_POLL_LIMIT.to_string()),
        ("settings.rules.cold", defaults::SLOW_START_DURATION.to_string()),
        ("settings.rules.cold-share", defaults::SLOW_START_INITIAL_CAPACITY.to_string()),
        ("settings.rules.fall-multiple", defaults::SLOW_START_OVERLOAD_MULTIPLE.to_string()),
        ("settings.rules.tip-after", defaults::SLOW_START_OVERLOAD_WINDOW.to_string()),
        ("settings.rules.settle-after-doubt", defaults::KEY_BLOCK_DURATION.to_string()),
        ("settings.classes[].late-worth", defaults::LATE_PRIORITY_WEIGHT.to_string()),
        ("settings.classes[].worth", defaults::PRIORITY_WEIGHT.to_string()),
        ("settings.classes[].window", defaults::IDEMPOTENCY_WINDOW.to_string()),
    ];
    let rows = parse_rows(&read_page());

    for (name, default) in defaults {
        let row = rows.iter().find(|row| row.name == name).unwrap();

        assert_eq!(row.default, default, "{name}");
    }
}

#[test]
fn each_key_of_the_proxy_is_translated() {
    let settings = json!({
        "classes": [{"name": "look"}], "projects": [{"name": "acme"}],
        "caps": {"connect-timeout": 0.5, "idle-close": 8, "max-open": 70}, "rules": {"drain-grace": 0.25},
        "version": 12, "zone": "east", "zones": ["north", "east"]
    });

    let snapshot = into_snapshot(serde_json::from_value(settings).unwrap()).unwrap();

    let expected = ProxySettings {
        version: Some(12),
        classes: vec!["look".to_string()],
        tenants: vec!["acme".to_string()],
        zones: vec!["north".to_string(), "east".to_string()],
        zone: "east".to_string(),
        connect_timeout: Duration::from_millis(500),
        idle_timeout: Duration::from_secs(8),
        drain_grace_period: Duration::from_millis(250),
        max_open_requests: 70,
    };
    assert_eq!(snapshot.proxy, expected);
    assert_eq!(snapshot.balancer.zone, ZoneId(1));
}

#[test]
fn a_zone_that_is_not_listed_is_numbered_after_the_listed_ones() {
    let settings = json!({"classes": [], "zone": "west", "zones": ["north", "east"]});

    let snapshot = into_snapshot(serde_json::from_value(settings).unwrap()).unwrap();

    assert_eq!(snapshot.balancer.zone, ZoneId(2));
    assert_eq!(snapshot.proxy.zones, ["north", "east", "west"]);
}
