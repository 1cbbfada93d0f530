//! Tests of the parser of load reports.

use super::parse;
use balancer::LoadReport;

/// Parses a report that is a JSON object.
fn parsed(json: &str) -> LoadReport {
    parse(json.as_bytes()).unwrap()
}

#[test]
fn reads_both_names_of_each_field() {
    for json in [r#"{"avg_ms": 12.5, "rps": 80}"#, r#"{"latency_ms": 12.5, "qps": 80}"#] {
        let report = parsed(json);

        assert_eq!(report.service_time, Some(0.0125), "{json}");
        assert_eq!(report.requests_per_second, Some(80.0), "{json}");
    }
}

#[test]
fn skips_fields_that_are_unknown_or_not_valid() {
    let report = parsed(r#"{"avg_ms": -1, "rps": "many", "queue": 3}"#);

    assert_eq!(report.service_time, None);
    assert_eq!(report.requests_per_second, None);
}

#[test]
fn rejects_texts_that_are_not_a_json_object() {
    for text in ["", "12", "[1]", "{\"avg_ms\": 1", "\u{1}"] {
        assert!(parse(text.as_bytes()).is_none(), "{text}");
    }
}
