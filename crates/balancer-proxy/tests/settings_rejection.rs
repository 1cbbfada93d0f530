//! Reloads of invalid configuration files: the proxy rejects each file as a whole.

mod common;

use common::configuration::request;
use common::settings_reload::{settings_metrics, start_proxy, versioned_configuration};
use common::stub_server::StubServer;
use common::waiting::wait_for;
use serde_json::{Value, json};

/// An invalid value in an otherwise valid file.
struct InvalidValue {
    /// The path of the value in the file, as a JSON pointer.
    path: &'static str,
    value: Value,
    /// The text that the log line must contain.
    expected: &'static str,
}

/// An invalid file.
struct InvalidFile {
    text: String,
    /// The text that the log line must contain.
    expected: &'static str,
}

fn invalid_values() -> impl Iterator<Item = InvalidValue> {
    [
        ("/settings/classes/1/name", json!(3), "settings.classes[1].name"),
        ("/settings/classes/1/name", json!("look"), "settings.classes[1].name"),
        ("/settings/classes/0/on-time", json!(-1), "settings.classes[0].on-time"),
        ("/settings/classes/2/window", json!(-1.5), "settings.classes[2].window"),
        ("/settings/classes", json!(null), "settings.classes"),
        ("/settings/projects/0/quota-per-s", json!(-1), "settings.projects[0].quota-per-s"),
        ("/settings/me", json!(1), "settings.me: expected less than n-instances, 1, got '1'"),
        ("/settings/caps/max-attempts", json!(2.5), "settings.caps.max-attempts"),
        ("/settings/rules/cold", json!("5"), "settings.rules.cold"),
        ("/settings/rules/drain-grace", json!(-1), "settings.rules.drain-grace"),
        ("/limits/memory_mb", json!(-1), "limits.memory_mb"),
        ("/settings/version", json!(8.5), "settings.version: expected a whole number, got '8.5'"),
        ("/settings/version", json!(6), "settings.version: expected 7 or more, which is in force, got '6'"),
        ("/settings/version", json!(null), "settings.version: expected 7 or more"),
    ]
    .into_iter()
    .map(|(path, value, expected)| InvalidValue { path, value, expected })
}

/// Returns the text of version 8 of a configuration with this value at this path.
fn version_8_text(configuration: &Value, path: &str, value: Value) -> String {
    let mut configuration = configuration.clone();
    configuration["settings"]["version"] = json!(8);
    *configuration.pointer_mut(path).unwrap() = value;
    configuration.to_string()
}

/// Returns invalid files that a reload must not apply in place of version 7.
fn invalid_files(valid: &Value) -> Vec<InvalidFile> {
    let text = valid.to_string();
    let truncated_files = (0..20).map(|part| InvalidFile {
        text: text[..text.len() * part / 20].to_string(),
        expected: "EOF while parsing",
    });
    let invalid_value_files = invalid_values().map(|InvalidValue { path, value, expected }| InvalidFile {
        text: version_8_text(valid, path, value),
        expected,
    });
    let changed_under_same_version = InvalidFile {
        text: text.replace("\"max-open\":1000", "\"max-open\":10"),
        expected: "settings.version: expected more than 7",
    };
    let too_long = InvalidFile { text: " ".repeat((16 << 20) + 1), expected: "at most 16777216 bytes" };
    truncated_files.chain(invalid_value_files).chain([changed_under_same_version, too_long]).collect()
}

#[test]
fn an_invalid_file_changes_nothing_and_the_log_names_its_field() {
    let backend = StubServer::responding_with("hello");
    let valid = versioned_configuration(7, &[&backend]);
    let proxy = start_proxy(&valid);

    let mut rejected = 0;
    for InvalidFile { text, expected } in invalid_files(&valid) {
        proxy.replace_configuration_text(&text);
        proxy.signal("-HUP");
        rejected += 1;
        wait_for(&format!("the rejection of the file for {expected:?}"), || {
            settings_metrics(&proxy)[2] == Some(rejected)
        });
        wait_for(&format!("the log line with {expected:?}"), || {
            proxy.log.lock().unwrap().last().is_some_and(|line| line.contains(expected))
        });
        assert_eq!(settings_metrics(&proxy)[..2], [Some(7), Some(0)], "{expected}");
        assert_eq!(proxy.exchange(&request("save", 9000)).status(), 200, "{expected}");
    }

    // The unchanged file does not count as a change; a later version does.
    proxy.replace_configuration(&valid);
    proxy.signal("-HUP");
    proxy.replace_configuration_text(&version_8_text(&valid, "/settings/caps/max-open", json!(10)));
    proxy.signal("-HUP");
    wait_for("the change of the settings", || settings_metrics(&proxy) == [Some(8), Some(1), Some(rejected)]);
}
