//! Tests of the two syntaxes of settings, pairs and JSON. Equal settings have equal translations, except for
//! the differences that the module `wire::settings` lists.

mod samples;
mod translations;

use balancer::{Tier, ZoneId};
use balancer_settings::RawSettings;
use balancer_settings::keys::settings_keys;
use samples::{KeySample, samples, settings_with_class, settings_with_entry};
use serde_json::{Value, json};
use simulator_adapter::wire::{self, Line, ZoneIds};
use translations::{PROXY_KEYS, from_json, from_pairs, json_error, pairs_error, to_pairs, try_from_pairs};

#[test]
fn each_key_has_the_same_effect_in_both_syntaxes() {
    let without_keys = from_json(&json!({"classes": []}));

    for KeySample { key, settings } in samples() {
        let translated = from_json(&settings);

        assert_eq!(from_pairs(&to_pairs("", &settings)), translated, "{key}");
        assert_ne!(translated, without_keys, "the sample of {key} does not change the settings");
    }
}

#[test]
fn samples_contain_every_key_of_the_decision_module() {
    let mut expected = settings_keys();
    // The zone has a separate test, as its number depends on the syntax.
    expected.retain(|key| !PROXY_KEYS.contains(&key.as_str()) && key != "zone");
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
        "rules": {"ask-within": 10.0, "cold": 8.8, "cold-share": 0.31, "fall-multiple": 3.0,
                  "tip-after": 2.0},
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
        projects.0.quota-per-s=50.0 quantum=0.005 registry-mode=automatic rules.ask-within=10.0 \
        rules.cold=8.8 rules.cold-share=0.31 rules.fall-multiple=3.0 rules.tip-after=2.0 \
        stats.how=inline tier=0";

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

    assert_eq!(from_pairs(&to_pairs("", &settings)), from_json(&settings));
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
        pairs_error(&format!("classes.count=0 {}", to_pairs("", &negative))),
        "expected a number not below 0 for over-share-worth, got '-1.0'"
    );
}

#[test]
fn invalid_values_without_effect_are_skipped_in_pairs_and_rejected_in_the_file() {
    let pairs = "classes.count=1 classes.0.name=a classes.0.effect=free classes.0.window=soon \
        caps.max-retry-after=soon caps.probing=perhaps";

    assert_eq!(from_pairs(pairs), from_json(&settings_with_safe_class()));
    assert!(
        json_error(settings_with_class(json!({"effect": "free", "window": "soon"}))).contains("expected f64")
    );
    assert!(
        json_error(settings_with_entry("caps", json!({"max-retry-after": "soon"}))).contains("expected f64")
    );
    assert!(
        json_error(settings_with_entry("caps", json!({"probing": "perhaps"}))).contains("expected a boolean")
    );
}

/// Returns settings with one class of safe requests and no other key.
fn settings_with_safe_class() -> Value {
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

    assert_eq!(from_pairs("classes.count=0 tier=1 tier=2").tier, Tier(2));
    assert!(repeated.unwrap_err().to_string().contains("duplicate field `tier`"));
}

#[test]
fn zones_are_numbered_over_all_instances_in_pairs_and_by_the_caller_for_the_file() {
    let mut zones = ZoneIds::default();

    let mut zone_id = |zone: &str| {
        let pairs = format!("classes.count=0 zone={zone} zones=north,east");
        try_from_pairs(&pairs, &mut zones).unwrap().zone
    };

    // Zones are numbered by their first use in the process, not by their positions in `zones`.
    assert_eq!(zone_id("east"), ZoneId(0));
    assert_eq!(zone_id("north"), ZoneId(1));
    assert_eq!(zone_id("east"), ZoneId(0));
    let caller_zone = ZoneId(4);
    let raw: RawSettings = serde_json::from_value(json!({"classes": [], "zone": "east"})).unwrap();
    assert_eq!(raw.into_settings(caller_zone).unwrap().zone, caller_zone);
}

#[test]
fn names_of_load_report_values_are_read_from_pairs_only() {
    let mut zones = ZoneIds::default();
    let hello_line = "HELLO 7 classes.count=0 stats.how=inline stats.fields=cpu,avg_ms";
    let Ok(Line::StartInstance(start)) = wire::parse_line(hello_line, &mut zones, None) else {
        panic!("{hello_line}")
    };

    let line = wire::parse_line("HEALTH 0.1 51 S 0.5,20", &mut zones, Some(&start.names)).unwrap();

    assert!(format!("{line:?}").contains("service_time: Some(0.02)"), "{line:?}");
    assert_eq!(
        from_json(&json!({"classes": [], "stats": {"fields": 3}})),
        from_json(&json!({"classes": []}))
    );
}

#[test]
fn keys_of_the_proxy_are_skipped_in_pairs() {
    for key in PROXY_KEYS {
        let pairs = format!("classes.count=0 {key}=soon");

        assert_eq!(from_pairs(&pairs), from_json(&json!({"classes": []})), "{key}");
    }
}
