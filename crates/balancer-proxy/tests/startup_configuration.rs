//! The configuration file at startup: invalid files, defaults and unknown keys.

mod common;

use common::configuration::{configuration, default_settings, endpoint_list, request, serving_list};
use common::http::response;
use common::proxy_process::{ProxyCommand, ProxyProcess, proxy_command};
use common::stub_server::{Reply, StubServer, silent_discovery};
use serde_json::{Value, json};
use std::net::TcpListener;

#[test]
fn exits_with_one_log_line_on_an_invalid_configuration() {
    let mut missing_classes = default_settings();
    missing_classes.as_object_mut().unwrap().remove("classes");
    let mut wrong_type = default_settings();
    wrong_type["rules"]["cold"] = json!("soon");
    let mut negative_objective = default_settings();
    negative_objective["classes"][0]["on-time"] = json!(-1);
    let empty_list = endpoint_list(1, true, &[]);
    let invalid_configurations = [missing_classes, wrong_type, negative_objective]
        .map(|settings| configuration(&settings, &empty_list).to_string())
        .into_iter()
        .chain(["{".to_string()]);
    for text in invalid_configurations {
        let output = proxy_command(&text, silent_discovery().address).command.output().unwrap();

        let log = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success());
        assert!(log.starts_with("balancer-proxy: ") && log.lines().count() == 1, "{log}");
    }
}

/// Starts a proxy with these environment variables set and removed, checks that the start fails, and returns
/// the log.
fn log_of_failed_start(configuration: &Value, variables: &[(&str, &str)], removed: &[&str]) -> String {
    let ProxyCommand { mut command, .. } =
        proxy_command(&configuration.to_string(), silent_discovery().address);
    command.envs(variables.iter().copied());
    for variable in removed {
        command.env_remove(variable);
    }
    let output = command.output().unwrap();
    assert!(!output.status.success());
    String::from_utf8(output.stderr).unwrap()
}

/// Guards against a log line `Address already in use` without the address, from which operators cannot tell
/// whether it means the address for clients or the management address.
#[test]
fn a_failed_start_names_the_address_that_is_in_use() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let configuration = configuration(&default_settings(), &endpoint_list(1, true, &[]));

    for variable in ["RELAY_LISTEN", "RELAY_MANAGEMENT"] {
        let log = log_of_failed_start(&configuration, &[(variable, &address)], &[]);

        let expected = format!("balancer-proxy: cannot listen on {address}: ");
        assert!(log.starts_with(&expected), "{variable}: {log}");
    }
}

/// Guards against a log line that names an environment variable that is not set, for an invalid address in
/// the configuration file.
#[test]
fn a_failed_start_names_the_variable_or_key_of_an_invalid_address() {
    let mut file_configuration = configuration(&default_settings(), &endpoint_list(1, true, &[]));
    let addresses =
        [("RELAY_LISTEN", "listen"), ("RELAY_DISCOVERY", "discovery"), ("RELAY_MANAGEMENT", "management")];
    for (variable, key) in addresses {
        let from_environment = log_of_failed_start(&file_configuration, &[(variable, "nowhere")], &[]);
        file_configuration[key] = json!("nowhere");
        let from_file = log_of_failed_start(&file_configuration, &[], &[variable]);
        file_configuration.as_object_mut().unwrap().remove(key);

        for (log, name) in [(from_environment, variable), (from_file, key)] {
            let expected = format!("balancer-proxy: {name}: expected address:port, got 'nowhere'");
            assert!(log.starts_with(&expected), "{log}");
        }
    }
}

#[test]
fn absent_keys_have_defaults_and_unknown_keys_are_skipped() {
    let backend = StubServer::new(|_, message| {
        if message.start_line.starts_with("GET") {
            Reply::Respond(response("200 OK", "hello"))
        } else {
            Reply::Close
        }
    });
    let classes = json!([{"name": "look", "effect": "free"}, {"name": "order"},
                         {"name": "save", "effect": "unheard-of", "new": {"a": 1}}]);
    let settings = json!({"classes": classes, "new": [1], "caps": {"new": true}, "rules": {"new": 1}});
    let minimal = json!({"settings": settings, "known": serving_list(&[&backend]), "new": null});
    let proxy = ProxyProcess::with_configuration(&minimal, silent_discovery().address);
    let status_of_class = |class| {
        let text = request(class, 900).replace("Idempotency-Key: 5c0f6e1a\r\n", "");
        proxy.exchange(&text).status()
    };

    assert_eq!(status_of_class("look"), 200);
    // A class whose effect is absent or unknown gets no second attempt, which might be unsafe.
    for class in ["order", "save"] {
        let before = backend.request_count();
        assert_eq!(status_of_class(class), 502);
        assert_eq!(backend.request_count(), before + 1);
    }
}
