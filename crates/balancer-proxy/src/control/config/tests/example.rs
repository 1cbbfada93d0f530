//! Tests that the program accepts each key of the example configuration.

use super::accepted_keys;
use super::page::repository_path;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::fs;

/// Returns the paths of all values, except for comments, whose keys begin with `//`.
fn paths_without_comments(prefix: &str, value: &Value) -> BTreeSet<String> {
    match value {
        Value::Object(entries) => {
            let separator = if prefix.is_empty() { "" } else { "." };
            let entries = entries.iter().filter(|(key, _)| !key.starts_with("//"));
            entries
                .flat_map(|(key, value)| paths_without_comments(&format!("{prefix}{separator}{key}"), value))
                .collect()
        }
        Value::Array(entries) if entries.iter().all(Value::is_object) => {
            entries.iter().flat_map(|entry| paths_without_comments(&format!("{prefix}[]"), entry)).collect()
        }
        _ => BTreeSet::from([prefix.to_string()]),
    }
}

#[test]
fn the_example_has_known_keys_and_comments_only() {
    let text = fs::read_to_string(repository_path("deploy/example/balancer-proxy.json")).unwrap();
    let example: Value = serde_json::from_str(&text).unwrap();

    let paths = paths_without_comments("", &example);

    let unknown: Vec<_> = paths.difference(&accepted_keys()).cloned().collect();
    assert!(unknown.is_empty(), "{unknown:?}");
    assert!(paths.contains("settings.classes[].effect"), "{paths:?}");
}

#[test]
fn an_unknown_key_of_the_example_is_found() {
    let misspelt = json!({"// listen": "", "listne": "", "settings": {"classes": [{"//": "", "nmae": ""}]}});

    let paths = paths_without_comments("", &misspelt);

    assert_eq!(Vec::from_iter(paths), ["listne", "settings.classes[].nmae"]);
}
