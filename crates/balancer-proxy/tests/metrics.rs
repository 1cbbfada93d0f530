//! The metrics as the management call `stats` returns them: their JSON, byte for byte as operators'
//! programs read it, and the classes that they list.

use balancer_proxy::metrics::{BackendCounts, Metrics};
use balancer_proxy::settings::ProxySettings;
use hyper::StatusCode;
use serde_json::{Value, json};

fn proxy_settings(version: Option<u64>, classes: &[&str]) -> ProxySettings {
    let classes = classes.iter().map(ToString::to_string).collect();
    ProxySettings { version, classes, ..ProxySettings::default() }
}

#[test]
fn new_metrics_have_all_fields_at_zero_in_the_order_of_the_settings() {
    let metrics = Metrics::new(&proxy_settings(None, &["look", "save"]));

    let expected = concat!(
        r#"{"results":{"look":{"succeeded":0,"declined":0,"aborted":0},"#,
        r#""save":{"succeeded":0,"declined":0,"aborted":0}},"#,
        r#""outstanding":0,"forwards":0,"discovered":0,"ejected":0,"#,
        r#""settings":{"version":null,"changed":0,"refused":0}}"#,
    );
    assert_eq!(metrics.to_json(BackendCounts::default()).unwrap(), expected);
}

#[test]
fn each_final_status_counts_once_and_removed_classes_follow_those_in_force() {
    let metrics = Metrics::new(&proxy_settings(Some(3), &["look", "save", "unused"]));
    let look = metrics.class_metrics("look");
    for status in [200, 429, 503, 400, 502, 504] {
        look.start_request().finish(StatusCode::from_u16(status).unwrap());
    }
    drop(look.start_request()); // the client has disconnected
    metrics.count_written_attempt();
    metrics.count_rejected_settings();
    metrics.count_settings_change(&proxy_settings(Some(4), &["order", "save"]));
    let _outstanding = metrics.class_metrics("save").start_request();

    let expected = concat!(
        r#"{"results":{"order":{"succeeded":0,"declined":0,"aborted":0},"#,
        r#""save":{"succeeded":0,"declined":0,"aborted":0},"#,
        r#""look":{"succeeded":1,"declined":2,"aborted":3}},"#,
        r#""outstanding":1,"forwards":1,"discovered":5,"ejected":2,"#,
        r#""settings":{"version":4,"changed":1,"refused":1}}"#,
    );
    assert_eq!(metrics.to_json(BackendCounts { listed: 5, avoided: 2 }).unwrap(), expected);
}

#[test]
fn metrics_keep_only_the_latest_64_removed_classes() {
    let settings_with_class =
        |index: usize| ProxySettings { classes: vec![format!("c-{index}")], ..ProxySettings::default() };
    let metrics = Metrics::new(&settings_with_class(0));
    let open_request = metrics.class_metrics("c-0").start_request();

    for index in 0..100 {
        metrics.count_settings_change(&settings_with_class(index));
        metrics.class_metrics(&format!("c-{index}")).start_request().finish(StatusCode::OK);
    }
    open_request.finish(StatusCode::OK); // its class is no longer in the metrics

    let stats: Value = serde_json::from_str(&metrics.to_json(BackendCounts::default()).unwrap()).unwrap();
    let names: Vec<_> = stats["results"].as_object().unwrap().keys().cloned().collect();
    assert_eq!(names.len(), 65);
    assert!((35..100).all(|index| names.contains(&format!("c-{index}"))));
    assert_eq!(stats["outstanding"], json!(0));
}
