//! A sample of settings for each key of the decision module.

use serde_json::{Value, json};

/// A key, and settings that have a value other than the default for this key.
pub struct KeySample {
    pub key: &'static str,
    pub settings: Value,
}

/// Settings of one class with these entries.
pub fn with_class(entries: Value) -> Value {
    let mut class = entries;
    class["name"] = json!("save");
    json!({"classes": [class]})
}

/// Settings of one class and this entry.
pub fn with_entry(key: &str, value: Value) -> Value {
    let mut settings = with_class(json!({}));
    settings[key] = value;
    settings
}

fn samples_of_classes_and_tenants() -> Vec<KeySample> {
    let sample = |key, settings| KeySample { key, settings };
    vec![
        sample("classes[].name", with_class(json!({}))),
        sample("classes[].on-time", with_class(json!({"on-time": 0.25, "hard-limit": 3.0}))),
        sample("classes[].hard-limit", with_class(json!({"hard-limit": 3.5}))),
        sample("classes[].late-worth", with_class(json!({"late-worth": 0.5}))),
        sample("classes[].worth", with_class(json!({"worth": 8.0}))),
        sample("classes[].effect", with_class(json!({"effect": "free"}))),
        sample("classes[].group", with_class(json!({"effect": "guarded", "group": "zone"}))),
        sample("classes[].window", with_class(json!({"effect": "guarded", "window": 9.5}))),
        sample("classes[].fifo-by-key", with_class(json!({"fifo-by-key": true}))),
        sample("projects[].name", with_entry("projects", json!([{"name": "acme"}, {"name": "umbra"}]))),
        sample("projects[].quota-per-s", with_entry("projects", json!([{"name": "a", "quota-per-s": 4.5}]))),
    ]
}

fn samples_of_groups() -> Vec<KeySample> {
    let caps = |key, caps: Value| KeySample { key, settings: with_entry("caps", caps) };
    let costs = |key, costs: Value| KeySample { key, settings: with_entry("costs", costs) };
    let rules = |key, rules: Value| KeySample { key, settings: with_entry("rules", rules) };
    let mut probing = with_entry("caps", json!({"probing": true}));
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

fn samples_of_the_balancer() -> Vec<KeySample> {
    let entry = |key, value| KeySample { key, settings: with_entry(key, value) };
    vec![
        entry("me", json!(2)),
        entry("n-instances", json!(5)),
        entry("over-share-worth", json!(0.1)),
        entry("quantum", json!(0.005)),
        entry("registry-mode", json!("subscribe")),
        entry("tier", json!(1)),
    ]
}

pub fn samples() -> Vec<KeySample> {
    [samples_of_classes_and_tenants(), samples_of_groups(), samples_of_the_balancer()]
        .into_iter()
        .flatten()
        .collect()
}
