//! A sample of settings for each key of the decision module.

use serde_json::{Value, json};

/// A key, and settings in which this key has a value other than the default.
pub struct KeySample {
    pub key: &'static str,
    pub settings: Value,
}

/// Returns settings of one class with these entries.
pub fn settings_with_class(entries: Value) -> Value {
    let mut class = entries;
    class["name"] = json!("save");
    json!({"classes": [class]})
}

/// Returns settings of one class, with this entry beside the classes.
pub fn settings_with_entry(key: &str, value: Value) -> Value {
    let mut settings = settings_with_class(json!({}));
    settings[key] = value;
    settings
}

fn samples_of_classes_and_tenants() -> Vec<KeySample> {
    let sample = |key, settings| KeySample { key, settings };
    vec![
        sample("classes[].name", settings_with_class(json!({}))),
        sample("classes[].on-time", settings_with_class(json!({"on-time": 0.25, "hard-limit": 3.0}))),
        sample("classes[].hard-limit", settings_with_class(json!({"hard-limit": 3.5}))),
        sample("classes[].late-worth", settings_with_class(json!({"late-worth": 0.5}))),
        sample("classes[].worth", settings_with_class(json!({"worth": 8.0}))),
        sample("classes[].effect", settings_with_class(json!({"effect": "free"}))),
        sample("classes[].group", settings_with_class(json!({"effect": "guarded", "group": "zone"}))),
        sample("classes[].window", settings_with_class(json!({"effect": "guarded", "window": 9.5}))),
        sample("classes[].fifo-by-key", settings_with_class(json!({"fifo-by-key": true}))),
        sample(
            "projects[].name",
            settings_with_entry("projects", json!([{"name": "acme"}, {"name": "umbra"}])),
        ),
        sample(
            "projects[].quota-per-s",
            settings_with_entry("projects", json!([{"name": "a", "quota-per-s": 4.5}])),
        ),
    ]
}

fn samples_of_nested_keys() -> Vec<KeySample> {
    let caps = |key, caps: Value| KeySample { key, settings: settings_with_entry("caps", caps) };
    let costs = |key, costs: Value| KeySample { key, settings: settings_with_entry("costs", costs) };
    let rules = |key, rules: Value| KeySample { key, settings: settings_with_entry("rules", rules) };
    let mut probing = settings_with_entry("caps", json!({"probing": true}));
    probing["stats"] = json!({"how": "on_probe"});
    vec![
        caps("caps.cancel", json!({"cancel": true})),
        caps("caps.max-attempts", json!({"max-attempts": 6})),
        caps("caps.max-retry-after", json!({"max-retry-after": 2.5, "retry-after": true})),
        caps("caps.retry-after", json!({"max-retry-after": 1.5, "retry-after": true})),
        caps("caps.second-copies", json!({"second-copies": true})),
        KeySample { key: "caps.probing", settings: probing.clone() },
        KeySample { key: "stats.how", settings: probing },
        costs("costs.connection", json!({"connection": 0.125})),
        costs("costs.cross-zone", json!({"cross-zone": 0.25})),
        costs("costs.handshake", json!({"handshake": 0.125})),
        rules("rules.ask-within", json!({"ask-within": 7.0})),
        rules("rules.cold", json!({"cold": 8.5})),
        rules("rules.cold-share", json!({"cold-share": 0.3})),
        rules("rules.fall-multiple", json!({"fall-multiple": 2.5})),
        rules("rules.tip-after", json!({"tip-after": 1.5})),
        rules("rules.settle-after-doubt", json!({"settle-after-doubt": 0.2})),
        rules("rules.release-within", json!({"release-within": 4.0})),
    ]
}

fn samples_of_top_level_keys() -> Vec<KeySample> {
    let entry = |key, value| KeySample { key, settings: settings_with_entry(key, value) };
    vec![
        entry("me", json!(2)),
        entry("n-instances", json!(5)),
        entry("over-share-worth", json!(0.1)),
        entry("quantum", json!(0.005)),
        entry("registry-mode", json!("subscribe")),
        entry("tier", json!(1)),
    ]
}

/// Returns a sample for each key of the decision module except the zone.
pub fn samples() -> Vec<KeySample> {
    [samples_of_classes_and_tenants(), samples_of_nested_keys(), samples_of_top_level_keys()]
        .into_iter()
        .flatten()
        .collect()
}
