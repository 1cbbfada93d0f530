//! Tests that experiment files, reports and command lines of earlier versions are still read. They guard
//! against a renamed parameter or value without an alias for its earlier name.

#[path = "common/failure.rs"]
mod failure;

use failure::run_expecting_failure;
use fleet_bench::report::Report;
use fleet_bench::{control_plane, fleet, latency_overhead, slopes};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value, json};
use std::path::{Path, PathBuf};

const REPORT_DIRECTORY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/capacity");

/// The earlier and the present name of a parameter, or of a value of a parameter.
struct Renamed {
    earlier: &'static str,
    present: &'static str,
}

const fn renamed(earlier: &'static str, present: &'static str) -> Renamed {
    Renamed { earlier, present }
}

const FLEET_PARAMETERS: [Renamed; 15] = [
    renamed("skew", "size_skew"),
    renamed("calls", "callees_per_service"),
    renamed("budget", "call_timeout"),
    renamed("cross_zone", "cross_zone_cost"),
    renamed("detection", "detection_time"),
    renamed("cut", "partition_duration"),
    renamed("news", "update_delay"),
    renamed("deemed_told", "deemed_notified"),
    renamed("idle_close", "idle_timeout"),
    renamed("cold_share", "slow_start_initial_capacity"),
    renamed("cold", "slow_start_duration"),
    renamed("fall_multiple", "overload_multiple"),
    renamed("tip_after", "overload_window"),
    renamed("samples", "recorded_callers"),
    renamed("limit", "real_time_limit"),
];
const CONTROL_PARAMETERS: [Renamed; 6] = [
    renamed("absences", "outages"),
    renamed("away", "outage-seconds"),
    renamed("pace", "rate"),
    renamed("refusing-whole", "refusing-full-list"),
    renamed("silent-whole", "silent-full-list"),
    renamed("slow-whole", "slow-full-list"),
];
const SLOPES_PARAMETERS: [Renamed; 2] =
    [renamed("open", "open_requests"), renamed("open_alone", "open_requests_full_subset")];

/// Returns the present name of a parameter or value; a name that is not in the list is returned unchanged.
fn present_name(name: &str, renamed: &[Renamed]) -> String {
    let found = renamed.iter().find(|renamed| renamed.earlier == name);
    found.map_or(name, |renamed| renamed.present).to_string()
}

/// Returns the same arguments with the present names of parameters and values.
fn with_present_names(arguments: &Value, renamed: &[Renamed]) -> Value {
    match arguments {
        Value::Object(entries) => {
            let with_name = |(name, value): (&String, &Value)| {
                (present_name(name, renamed), with_present_names(value, renamed))
            };
            Value::Object(entries.iter().map(with_name).collect())
        }
        Value::Array(values) => values.iter().map(|value| with_present_names(value, renamed)).collect(),
        Value::String(name) => Value::String(present_name(name, renamed)),
        other => other.clone(),
    }
}

fn report_paths() -> Vec<PathBuf> {
    let files = std::fs::read_dir(REPORT_DIRECTORY).unwrap().map(|entry| entry.unwrap().path());
    files.filter(|path| path.extension().is_some_and(|extension| extension == "json")).collect()
}

fn read_report(path: &Path) -> Report {
    serde_json::from_slice(&std::fs::read(path).unwrap()).unwrap()
}

/// Asserts that a plan with earlier names is read from JSON and from an experiment file, and that the plan
/// keeps all of its values. A parameter that the plan does not contain has its default.
fn assert_plan_is_read<P>(arguments: &Value, renamed: &[Renamed])
where
    P: DeserializeOwned + Serialize + Default,
{
    let mut expected: Map<String, Value> =
        serde_json::from_value(serde_json::to_value(P::default()).unwrap()).unwrap();
    let present = with_present_names(arguments, renamed);
    expected.extend(present.as_object().unwrap().clone());
    let expected = Value::Object(expected);

    let from_report: P = serde_json::from_value(arguments.clone()).unwrap();
    let from_file: P = toml::from_str(&toml::to_string(arguments).unwrap()).unwrap();
    let from_present: P = serde_json::from_value(expected.clone()).unwrap();

    assert_eq!(serde_json::to_value(from_report).unwrap(), expected);
    assert_eq!(serde_json::to_value(from_file).unwrap(), expected);
    assert_eq!(serde_json::to_value(from_present).unwrap(), expected);
}

#[test]
fn each_stored_report_is_read_and_its_plan_keeps_its_values() {
    let paths = report_paths();
    assert!(paths.len() >= 6, "{paths:?}");
    for path in paths {
        let report = read_report(&path);

        assert!(!report.tables.is_empty() && !report.notes.is_empty(), "{path:?}");
        match report.command.as_str() {
            "added" => assert_plan_is_read::<latency_overhead::Plan>(&report.arguments, &[]),
            "control" => assert_plan_is_read::<control_plane::Plan>(&report.arguments, &CONTROL_PARAMETERS),
            "fleet" => assert_plan_is_read::<fleet::Plan>(&report.arguments, &FLEET_PARAMETERS),
            "slopes" => assert_plan_is_read::<slopes::Plan>(&report.arguments, &SLOPES_PARAMETERS),
            other => panic!("{path:?}: {other}"),
        }
    }
}

#[test]
fn each_earlier_name_is_read_from_an_experiment_file() {
    let fleet_plan = json!({
        "skew": 0.5, "calls": 3, "budget": 2.0, "cross_zone": 0.1, "detection": [2.0, 4.0], "cut": 30.0,
        "news": [0.2, 0.4], "deemed_told": 5.0, "idle_close": 9.0, "cold_share": 0.2, "cold": 8.0,
        "fall_multiple": 2.0, "tip_after": 0.5, "samples": 2, "limit": 60.0
    });
    let control_plan = json!({
        "absences": ["refusing-whole", "silent-whole", "slow-whole", "slow"], "away": 2.0,
        "settings": {"changes": 3, "pace": 4.0, "proxies": 5}
    });
    let slopes_plan = json!({
        "axes": {"backends": [1], "subset": [2], "instances": [3], "classes": [4], "tenants": [5], "open": [6],
                 "open_alone": [7]},
        "base": {"backends": 1, "classes": 2, "open": 3, "subset": 4, "tenants": 5, "tier": 6}
    });

    assert_plan_is_read::<fleet::Plan>(&fleet_plan, &FLEET_PARAMETERS);
    assert_plan_is_read::<control_plane::Plan>(&control_plan, &CONTROL_PARAMETERS);
    assert_plan_is_read::<slopes::Plan>(&slopes_plan, &SLOPES_PARAMETERS);
}

#[test]
fn plans_of_stored_reports_are_read_by_their_commands() {
    // One value is out of range, so that the command ends after it has read the plan.
    let cases = [
        ("control.json", "away", "outage-seconds: expected 0.5 to 600 s, got 0.1"),
        ("rollout.json", "away", "outage-seconds: expected 0.5 to 600 s, got 0.1"),
        ("added.json", "seconds", "seconds: expected 0.5 to 600 s, got 0.1"),
        ("fleet.json", "limit", "real_time_limit: expected 1 to 86400, got 0.1"),
        ("slopes.json", "warm_up", "warm_up: expected 0 to 60 seconds, got 70"),
    ];
    let directory = tempfile::tempdir().unwrap();
    let experiment = directory.path().join("experiment.toml");
    for (name, parameter, expected) in cases {
        let mut report = read_report(&Path::new(REPORT_DIRECTORY).join(name));
        report.arguments[parameter] = if parameter == "warm_up" { json!(70.0) } else { json!(0.1) };
        std::fs::write(&experiment, toml::to_string(&report.arguments).unwrap()).unwrap();

        let message = run_expecting_failure(&[&report.command, "--experiment", experiment.to_str().unwrap()]);

        assert_eq!(message, format!("fleet-bench: {expected}\n"), "{name}");
    }
}

#[test]
fn earlier_command_line_options_are_read() {
    // One value is out of range, so that the command ends after it has read the arguments.
    let cases: [(&[&str], &str); 4] = [
        (&["fleet", "--cross-zone", "101"], "cross_zone_cost: expected 0 to 100, got 101"),
        (&["fleet", "--limit", "0.5"], "real_time_limit: expected 1 to 86400, got 0.5"),
        (&["control", "--settings-pace", "0"], "settings-rate: expected 0.1 to 100, got 0"),
        (
            &["control", "--absences", "refusing-whole,silent-whole,slow-whole", "--window", "0.1"],
            "window: expected 0.5 to 600 s, got 0.1",
        ),
    ];
    for (arguments, expected) in cases {
        assert_eq!(run_expecting_failure(arguments), format!("fleet-bench: {expected}\n"));
    }
}
