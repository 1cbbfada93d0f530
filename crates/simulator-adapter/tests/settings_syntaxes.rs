//! The two syntaxes of settings: equal settings have equal translations, and the differences that are listed
//! in the module `wire::settings` hold.

use balancer::Settings;
use balancer_settings::RawSettings;
use balancer_settings::keys::settings_keys;
use serde_json::{Value, json};
use simulator_adapter::wire::{self, Line, NameIndex, WireError};

/// Keys of the proxy's sockets, and the names of all zones: their pairs are skipped.
const KEYS_OF_THE_PROXY: [&str; 6] =
    ["version", "zones", "caps.connect-timeout", "caps.idle-close", "caps.max-open", "rules.drain-grace"];

/// Translates settings of the configuration file, for a balancer in zone 0.
fn from_json(settings: &Value) -> Settings {
    let raw: RawSettings = serde_json::from_value(settings.clone()).unwrap();
    raw.into_settings(0).unwrap()
}

/// Translates pairs with a numbering of zones that is shared with earlier instances.
fn try_from_pairs(pairs: &str, zones: &mut NameIndex) -> Result<Settings, WireError> {
    let hello = format!("HELLO 7 {pairs}");
    match wire::parse_line(&hello, zones, None)? {
        Line::StartInstance(start) => Ok(start.settings),
        other => panic!("{other:?}"),
    }
}

/// Translates pairs for the first instance.
fn from_pairs(pairs: &str) -> Settings {
    try_from_pairs(pairs, &mut NameIndex::default()).unwrap()
}

fn pairs_error(pairs: &str) -> String {
    try_from_pairs(pairs, &mut NameIndex::default()).unwrap_err().to_string()
}

fn json_error(settings: Value) -> String {
    serde_json::from_value::<RawSettings>(settings).unwrap_err().to_string()
}

/// Writes JSON settings as pairs, in the form that the simulator gives them.
fn pairs_of(path: &str, value: &Value) -> String {
    let below = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
    match value {
        Value::Object(entries) => {
            let pairs: Vec<_> = entries.iter().map(|(key, value)| pairs_of(&below(key), value)).collect();
            pairs.join(" ")
        }
        Value::Array(entries) if entries.iter().any(Value::is_object) => {
            let mut pairs = vec![format!("{}={}", below("count"), entries.len())];
            let entries = entries.iter().enumerate();
            pairs.extend(entries.map(|(index, entry)| pairs_of(&below(&index.to_string()), entry)));
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

/// A key, and settings that have a value other than the default for this key.
struct KeySample {
    key: &'static str,
    settings: Value,
}

/// Settings of one class with these entries.
fn with_class(entries: Value) -> Value {
    let mut class = entries;
    class["name"] = json!("save");
    json!({"classes": [class]})
}

/// Settings of one class and this entry.
fn with_entry(key: &str, value: Value) -> Value {
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

fn samples() -> Vec<KeySample> {
    [samples_of_classes_and_tenants(), samples_of_groups(), samples_of_the_balancer()]
        .into_iter()
        .flatten()
        .collect()
}

#[test]
fn each_key_has_the_same_effect_in_both_syntaxes() {
    let without_keys = from_json(&json!({"classes": []}));

    for KeySample { key, settings } in samples() {
        let translated = from_json(&settings);

        assert_eq!(from_pairs(&pairs_of("", &settings)), translated, "{key}");
        assert_ne!(translated, without_keys, "{key} has no effect in this sample");
    }
}

#[test]
fn the_samples_have_every_key_of_the_decision_module() {
    let mut expected = settings_keys();
    // The zone has a test of its own, as its number depends on the syntax.
    expected.retain(|key| !KEYS_OF_THE_PROXY.contains(&key.as_str()) && key != "zone");
    expected.sort();

    let mut sampled: Vec<_> = samples().iter().map(|sample| sample.key).collect();
    sampled.sort_unstable();

    assert_eq!(sampled, expected);
}

#[test]
fn complete_settings_written_by_hand_are_equal_in_both_syntaxes() {
    let settings = json!({
        "caps": {"cancel": true, "max-attempts": 6, "max-retry-after": 2.0, "probing": true,
                 "retry-after": true, "second-copies": false},
        "classes": [
            {"name": "quote", "effect": "free", "group": "all", "hard-limit": 4.0, "late-worth": 0.25,
             "on-time": 1.5, "window": 5.0, "worth": 1.0},
            {"name": "save-file", "effect": "guarded", "group": "cell", "hard-limit": 6.0, "late-worth": 0.5,
             "on-time": 2.5, "window": 10.0, "worth": 8.0, "fifo-by-key": true},
            {"name": "lodge", "effect": "single_shot"},
        ],
        "costs": {"connection": 0.0, "cross-zone": 0.01, "handshake": 0.02},
        "me": 0, "n-instances": 2, "over-share-worth": 0.1, "quantum": 0.005, "registry-mode": "automatic",
        "projects": [{"name": "acme", "quota-per-s": 50.0}],
        "rules": {"ask-within": 10.0, "cold": 8.8, "cold-share": 0.31, "fall-multiple": 3.0, "tip-after": 2.0},
        "stats": {"how": "inline"}, "tier": 0
    });
    let pairs = "caps.cancel=true caps.max-attempts=6 caps.max-retry-after=2.0 caps.probing=true \
        caps.retry-after=true caps.second-copies=false classes.count=3 classes.0.effect=free \
        classes.0.group=all classes.0.hard-limit=4.0 classes.0.late-worth=0.25 classes.0.name=quote \
        classes.0.on-time=1.5 classes.0.window=5.0 classes.0.worth=1.0 classes.1.effect=guarded \
        classes.1.group=cell classes.1.hard-limit=6.0 classes.1.late-worth=0.5 classes.1.name=save-file \
        classes.1.on-time=2.5 classes.1.window=10.0 classes.1.worth=8.0 classes.1.fifo-by-key=true \
        classes.2.effect=single_shot classes.2.name=lodge costs.connection=0.0 costs.cross-zone=0.01 \
        costs.handshake=0.02 me=0 n-instances=2 over-share-worth=0.1 projects.count=1 projects.0.name=acme \
        projects.0.quota-per-s=50.0 quantum=0.005 registry-mode=automatic rules.ask-within=10.0 rules.cold=8.8 \
        rules.cold-share=0.31 rules.fall-multiple=3.0 rules.tip-after=2.0 stats.how=inline tier=0";

    assert_eq!(from_pairs(pairs), from_json(&settings));
}

#[test]
fn settings_without_optional_keys_are_equal_in_both_syntaxes() {
    let pairs = "classes.count=1 classes.0.name=look projects=";

    assert_eq!(from_pairs(pairs), from_json(&json!({"classes": [{"name": "look"}], "projects": []})));
}

#[test]
fn unknown_keys_effects_and_groups_are_equal_in_both_syntaxes() {
    let settings = json!({"classes": [{"name": "a", "effect": "unheard-of"},
                                      {"name": "b", "effect": "guarded", "group": "unheard-of"}],
                          "new": 1, "caps": {"new": true}, "stats": {"how": "unheard-of"}});

    assert_eq!(from_pairs(&pairs_of("", &settings)), from_json(&settings));
}

#[test]
fn classes_their_names_and_a_known_registry_mode_are_required_in_both_syntaxes() {
    assert_eq!(pairs_error("me=0"), "missing setting classes.count");
    assert!(json_error(json!({})).contains("missing field `classes`"));
    assert_eq!(pairs_error("classes.count=1"), "missing setting classes.0.name");
    assert!(json_error(json!({"classes": [{}]})).contains("missing field `name`"));
    assert_eq!(
        pairs_error("classes.count=0 registry-mode=other"),
        "expected automatic or subscribe for registry-mode, got 'other'"
    );
    assert!(json_error(json!({"classes": [], "registry-mode": "other"})).contains("unknown variant `other`"));
}

#[test]
fn negative_quantities_are_rejected_in_pairs_and_accepted_in_the_file_at_a_start() {
    let negative = json!({"classes": [], "over-share-worth": -1.0});

    assert_eq!(from_json(&negative).over_quota_weight, -1.0);
    assert_eq!(
        pairs_error(&format!("classes.count=0 {}", pairs_of("", &negative))),
        "expected a number not below 0 for over-share-worth, got '-1.0'"
    );
}

#[test]
fn invalid_values_without_effect_are_skipped_in_pairs_and_rejected_in_the_file() {
    let pairs = "classes.count=1 classes.0.name=a classes.0.effect=free classes.0.window=soon \
        caps.max-retry-after=soon caps.probing=perhaps";

    assert_eq!(from_pairs(pairs), from_json(&with_unnamed_effects()));
    assert!(json_error(with_class(json!({"effect": "free", "window": "soon"}))).contains("expected f64"));
    assert!(json_error(with_entry("caps", json!({"max-retry-after": "soon"}))).contains("expected f64"));
    assert!(json_error(with_entry("caps", json!({"probing": "perhaps"}))).contains("expected a boolean"));
}

/// One safe class without any other key.
fn with_unnamed_effects() -> Value {
    json!({"classes": [{"name": "a", "effect": "free"}]})
}

#[test]
fn flags_may_be_numbers_in_pairs_only() {
    assert!(from_pairs("classes.count=0 caps.cancel=1").cancellation_allowed);
    assert!(!from_pairs("classes.count=0 caps.cancel=0").cancellation_allowed);
    assert!(json_error(json!({"classes": [], "caps": {"cancel": 1}})).contains("expected a boolean"));
}

#[test]
fn null_counts_as_absent_in_the_file_only() {
    assert_eq!(from_json(&json!({"classes": [], "quantum": null})), from_json(&json!({"classes": []})));
    assert_eq!(pairs_error("classes.count=0 quantum=null"), "expected a number for quantum, got 'null'");
}

#[test]
fn the_last_of_repeated_keys_counts_in_pairs_and_the_file_rejects_them() {
    let repeated = serde_json::from_str::<RawSettings>(r#"{"classes": [], "tier": 1, "tier": 2}"#);

    assert_eq!(from_pairs("classes.count=0 tier=1 tier=2").tier, 2);
    assert!(repeated.unwrap_err().to_string().contains("duplicate field `tier`"));
}

#[test]
fn zones_are_numbered_over_all_instances_in_pairs_and_by_the_caller_for_the_file() {
    let mut zones = NameIndex::default();

    let mut zone_index = |zone: &str| {
        let pairs = format!("classes.count=0 zone={zone} zones=north,east");
        try_from_pairs(&pairs, &mut zones).unwrap().zone
    };

    // By first use in the process, not by position in `zones`.
    assert_eq!(zone_index("east"), 0);
    assert_eq!(zone_index("north"), 1);
    assert_eq!(zone_index("east"), 0);
    let zone_number_of_the_caller = 4;
    let raw: RawSettings = serde_json::from_value(json!({"classes": [], "zone": "east"})).unwrap();
    assert_eq!(raw.into_settings(zone_number_of_the_caller).unwrap().zone, 4);
}

#[test]
fn names_of_load_report_values_are_read_from_pairs_only() {
    let mut zones = NameIndex::default();
    let hello = "HELLO 7 classes.count=0 stats.how=inline stats.fields=cpu,avg_ms";
    let Ok(Line::StartInstance(start)) = wire::parse_line(hello, &mut zones, None) else { panic!("{hello}") };

    let line = wire::parse_line("HEALTH 0.1 51 S 0.5,20", &mut zones, Some(&start.names)).unwrap();

    assert!(format!("{line:?}").contains("service_time: Some(0.02)"), "{line:?}");
    assert_eq!(
        from_json(&json!({"classes": [], "stats": {"fields": 3}})),
        from_json(&json!({"classes": []}))
    );
}

#[test]
fn keys_of_the_proxy_are_skipped_in_pairs() {
    for key in KEYS_OF_THE_PROXY {
        let pairs = format!("classes.count=0 {key}=soon");

        assert_eq!(from_pairs(&pairs), from_json(&json!({"classes": []})), "{key}");
    }
}
