//! The translation of settings: the effect of each key, the defaults, and invalid quantities.

use balancer::{Effect, IdempotencyGroup, RequestClass, Settings, Tenant, Tier, ZoneId};
use balancer_settings::keys::settings_keys;
use balancer_settings::{RawSettings, defaults};
use serde_json::{Value, json};

/// Index of the zone of the balancer in these tests.
const BALANCER_ZONE: ZoneId = ZoneId(3);

/// Returns settings in which every key has a value other than its default.
fn complete_settings() -> Value {
    json!({
        "caps": {"cancel": true, "connect-timeout": 0.5, "idle-close": 8.0, "max-attempts": 6, "max-open": 70,
                 "max-retry-after": 2.5, "probing": true, "retry-after": true, "second-copies": true},
        "classes": [{"name": "save", "on-time": 0.25, "hard-limit": 0.75, "late-worth": 0.5, "worth": 8.0,
                     "effect": "guarded", "group": "zone", "window": 9.0, "fifo-by-key": true}],
        "costs": {"connection": 0.125, "cross-zone": 0.0625, "handshake": 0.25},
        "me": 2, "n-instances": 5, "over-share-worth": 0.1,
        "projects": [{"name": "acme", "quota-per-s": 40.0}],
        "quantum": 0.005, "registry-mode": "subscribe",
        "rules": {"ask-within": 7.0, "cold": 8.0, "cold-share": 0.3, "drain-grace": 0.9,
                  "fall-multiple": 2.5, "tip-after": 1.5, "settle-after-doubt": 0.2, "release-within": 4.0},
        "stats": {"how": "on_probe"}, "tier": 1, "version": 12, "zone": "east", "zones": ["north", "east"]
    })
}

/// Returns the expected translation of [`complete_settings`].
fn complete_translation() -> Settings {
    Settings {
        classes: vec![RequestClass {
            name: "save".to_string(),
            latency_objective: 0.25,
            max_timeout: 0.75,
            late_priority_weight: 0.5,
            priority_weight: 8.0,
            effect: Effect::Idempotent { group: IdempotencyGroup::Zone, window: 9.0 },
            ordered_by_key: true,
        }],
        tenants: vec![Tenant { name: "acme".to_string(), quota_per_second: 40.0 }],
        over_quota_weight: 0.1,
        instance_count: 5,
        instance_index: 2,
        tier: Tier(1),
        zone: BALANCER_ZONE,
        cross_zone_cost: 0.0625,
        connections_have_cost: true,
        health_checks_for_load_reports: true,
        cancellation_allowed: true,
        hedging_allowed: true,
        max_attempts: 6,
        max_retry_after: 2.5,
        must_poll_endpoints: true,
        endpoint_poll_limit: 7.0,
        slow_start_initial_capacity: 0.3,
        slow_start_duration: 8.0,
        slow_start_overload_multiple: 2.5,
        slow_start_overload_window: 1.5,
        key_block_duration: 0.2,
        idle_close_limit: Some(4.0),
        clock_resolution: 0.005,
    }
}

fn translate(settings: &Value) -> Settings {
    let raw: RawSettings = serde_json::from_value(settings.clone()).unwrap();
    raw.into_settings(BALANCER_ZONE).unwrap()
}

/// Returns the paths of all keys in `value`, each with `prefix`. The entries of a list of objects share the
/// prefix `prefix[]`.
fn key_paths(prefix: &str, value: &Value) -> Vec<String> {
    let join = |separator: &str, key: &str| format!("{prefix}{separator}{key}");
    match value {
        Value::Object(entries) => {
            let separator = if prefix.is_empty() { "" } else { "." };
            entries.iter().flat_map(|(key, value)| key_paths(&join(separator, key), value)).collect()
        }
        Value::Array(entries) if entries.iter().any(Value::is_object) => {
            entries.iter().flat_map(|entry| key_paths(&join("[]", ""), entry)).collect()
        }
        _ => vec![prefix.to_string()],
    }
}

#[test]
fn every_key_is_translated() {
    assert_eq!(translate(&complete_settings()), complete_translation());
}

#[test]
fn the_complete_settings_have_every_key() {
    let mut accepted = settings_keys();
    accepted.sort();

    let mut sample = key_paths("", &complete_settings());
    sample.sort();

    assert_eq!(sample, accepted);
}

#[test]
fn a_key_that_the_complete_settings_lack_is_found() {
    let mut incomplete = complete_settings();
    incomplete["rules"].as_object_mut().unwrap().remove("release-within");

    let sample = key_paths("", &incomplete);
    let missing: Vec<_> = settings_keys().into_iter().filter(|key| !sample.contains(key)).collect();

    assert_eq!(missing, ["rules.release-within"]);
}

#[test]
fn absent_settings_have_the_defaults_of_the_decision_module_except_for_permissions() {
    let translated = translate(&json!({"classes": []}));

    let expected = Settings {
        zone: BALANCER_ZONE,
        // Absent permissions are denied.
        cancellation_allowed: false,
        hedging_allowed: false,
        ..Settings::default()
    };
    assert_eq!(translated, expected);
}

#[test]
fn a_class_with_a_name_only_is_unsafe_and_has_the_other_defaults_of_the_decision_module() {
    let translated = translate(&json!({"classes": [{"name": "order"}]}));

    let expected = RequestClass {
        name: "order".to_string(),
        latency_objective: defaults::MAX_TIMEOUT,
        effect: Effect::Unsafe,
        ..RequestClass::default()
    };
    assert_eq!(translated.classes, [expected]);
}

#[test]
fn a_tenant_with_a_name_only_has_no_quota() {
    let translated = translate(&json!({"classes": [], "projects": [{"name": "acme"}]}));

    assert_eq!(translated.tenants[0].quota_per_second, f64::MAX);
}

#[test]
fn a_class_with_only_a_latency_objective_or_a_deadline_uses_it_for_both() {
    let translated = translate(&json!({"classes": [
        {"name": "a", "on-time": 0.25},
        {"name": "b", "hard-limit": 4.0},
    ]}));

    let times = |class: &RequestClass| [class.latency_objective, class.max_timeout];
    assert_eq!(times(&translated.classes[0]), [0.25, 0.25]);
    assert_eq!(times(&translated.classes[1]), [4.0, 4.0]);
}

#[test]
fn effects_and_groups_are_translated_by_name_and_unknown_ones_count_as_the_strictest() {
    let effect = |class: Value| translate(&json!({"classes": [class]})).classes[0].effect;
    let group = |group: &str| {
        let effect = effect(json!({"name": "a", "effect": "guarded", "group": group, "window": 5.0}));
        let Effect::Idempotent { group, window } = effect else { panic!("{effect:?}") };
        assert_eq!(window, 5.0);
        group
    };

    assert_eq!(effect(json!({"name": "a", "effect": "free"})), Effect::Safe);
    assert_eq!(effect(json!({"name": "a", "effect": "single_shot"})), Effect::Unsafe);
    assert_eq!(effect(json!({"name": "a", "effect": "unheard-of"})), Effect::Unsafe);
    assert_eq!(group("all"), IdempotencyGroup::All);
    assert_eq!(group("zone"), IdempotencyGroup::Zone);
    assert_eq!(group("cell"), IdempotencyGroup::Cell);
    assert_eq!(group("unheard-of"), IdempotencyGroup::Cell);
    let default_window = Effect::Idempotent { group: IdempotencyGroup::Cell, window: 0.0 };
    assert_eq!(effect(json!({"name": "a", "effect": "guarded"})), default_window);
}

#[test]
fn settings_that_depend_on_a_permission_have_no_effect_without_the_permission() {
    let mut settings = complete_settings();
    settings["caps"]["retry-after"] = json!(false);
    settings["caps"]["probing"] = json!(false);

    let translated = translate(&settings);

    let expected =
        Settings { max_retry_after: 0.0, health_checks_for_load_reports: false, ..complete_translation() };
    assert_eq!(translated, expected);
}

#[test]
fn either_cost_of_connections_gives_connections_a_cost() {
    for key in ["connection", "handshake"] {
        let mut costs = json!({"connection": 0.0, "handshake": 0.0});
        costs[key] = json!(0.5);

        assert!(translate(&json!({"classes": [], "costs": costs})).connections_have_cost, "{key}");
    }
}

#[test]
fn negative_times_of_a_class_are_errors_that_name_their_path() {
    for key in ["on-time", "hard-limit", "window"] {
        let mut settings = json!({"classes": [
            {"name": "a"},
            {"name": "b", "effect": "guarded", "on-time": 1.0, "hard-limit": 2.0, "window": 3.0},
        ]});
        settings["classes"][1][key] = json!(-1.5);
        let raw: RawSettings = serde_json::from_value(settings).unwrap();

        let error = raw.into_settings(BALANCER_ZONE).unwrap_err();

        let expected = format!("classes[1].{key}: expected a number not below 0, got '-1.5'");
        assert_eq!(error.to_string(), expected);
    }
}

#[test]
fn an_unknown_registry_mode_is_an_error_and_automatic_is_the_default() {
    let unknown = serde_json::from_value::<RawSettings>(json!({"classes": [], "registry-mode": "other"}));

    let automatic = translate(&json!({"classes": [], "registry-mode": "automatic"}));

    assert!(unknown.is_err());
    assert!(!automatic.must_poll_endpoints);
}
