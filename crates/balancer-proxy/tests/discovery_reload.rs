//! Reload by SIGHUP of a configuration with another address of discovery. The proxy must fetch the endpoint
//! list from the new address, also if the first calls there fail or its generations are lower.

mod common;

use common::configuration::{
    configuration, default_settings, endpoint_list, listed_endpoint, request, serving_list,
};
use common::http::response;
use common::proxy_process::{ProxyProcess, exit_code};
use common::stub_server::{Reply, StubServer, silent_discovery};
use common::waiting::{TEST_TIMEOUT, wait_for};
use serde_json::json;
use std::time::{Duration, Instant};

/// Starts a discovery that sends a full list with this generation and backend, and no later event.
fn discovery_of_backend(generation: u64, backend: &StubServer) -> StubServer {
    let endpoint = listed_endpoint(&format!("s-{generation}"), backend.address, "SERVING");
    let full_list = endpoint_list(generation, true, &[endpoint]).to_string();
    StubServer::new(move |_, message| {
        if message.start_line.contains("since=") {
            Reply::Hang
        } else {
            Reply::Respond(response("200 OK", &full_list))
        }
    })
}

#[test]
fn fetches_the_endpoint_list_from_the_discovery_in_a_reloaded_configuration() {
    let backends = ["old", "new", "newest"].map(StubServer::responding_with);
    let mut configuration = configuration(&default_settings(), &serving_list(&[&backends[0]]));
    let first = silent_discovery();
    let mut proxy = ProxyProcess::with_configuration(&configuration, first.address);
    wait_for("a watch", || first.request_count() == 1);
    assert_eq!(proxy.exchange(&request("look", 9000)).body, b"old");

    // The last discovery has a lower generation. Generations of different discoveries are not compared.
    let mut discoveries = Vec::new();
    for (generation, body, backend) in [(7, "new", &backends[1]), (3, "newest", &backends[2])] {
        let discovery = discovery_of_backend(generation, backend);
        configuration["discovery"] = json!(discovery.address.to_string());
        proxy.replace_configuration(&configuration);
        proxy.signal("-HUP");
        wait_for("the new endpoint list", || proxy.exchange(&request("look", 9000)).body == body.as_bytes());
        wait_for("a watch", || discovery.request_count() >= 2);
        let calls = discovery.requests.lock().unwrap().clone();
        assert!(calls[0].start_line.starts_with("GET /api/targets HTTP"), "{}", calls[0].start_line);
        assert!(calls[1].start_line.contains(&format!("since={generation}&")), "{}", calls[1].start_line);
        discoveries.push(discovery);
    }

    // An invalid file changes nothing, also if it is reloaded repeatedly or during a graceful shutdown.
    for text in ["{", "{}", &configuration.to_string().replace("127.0.0.1:", "nowhere:")] {
        proxy.replace_configuration_text(text);
        proxy.signal("-HUP");
        assert_eq!(proxy.exchange(&request("look", 9000)).body, b"newest");
    }
    proxy.signal("-TERM");
    proxy.signal("-HUP");
    assert_eq!(exit_code(&mut proxy.child), Some(0));
}

/// Switches a proxy by SIGHUP to a discovery that does not respond to the first call and sends half of the
/// response to the second. Asserts that the proxy receives the list within 4 s.
fn check_list_received_after_two_failed_calls(registry_mode: &str, seed: u64) {
    let backends = ["old", "new"].map(StubServer::responding_with);
    let new_list = endpoint_list(2, true, &[listed_endpoint("s-1", backends[1].address, "SERVING")]);
    let full_response = response("200 OK", &new_list.to_string());
    let half_response = full_response[..full_response.len() / 2].to_string();
    let discovery = StubServer::new(move |earlier_calls, _| match earlier_calls {
        1 => Reply::RespondInParts { first: half_response.clone(), pause: TEST_TIMEOUT, rest: String::new() },
        2 => Reply::Respond(full_response.clone()),
        _ => Reply::Hang,
    });
    let mut settings = default_settings();
    settings["registry-mode"] = json!(registry_mode);
    settings["rules"]["ask-within"] = json!(60.0);
    let mut configuration = configuration(&settings, &serving_list(&[&backends[0]]));
    configuration["seed"] = json!(format!("{seed:x}"));
    let proxy = ProxyProcess::with_configuration(&configuration, silent_discovery().address);

    configuration["discovery"] = json!(discovery.address.to_string());
    proxy.replace_configuration(&configuration);
    let signalled = Instant::now();
    proxy.signal("-HUP");
    wait_for("the new endpoint list", || discovery.request_count() >= 4);
    let elapsed = signalled.elapsed();

    assert!(elapsed < Duration::from_secs(4), "{registry_mode}, seed {seed}: {elapsed:?}");
    assert_eq!(proxy.exchange(&request("look", 9000)).body, b"new", "{registry_mode}");
}

#[test]
fn receives_the_list_of_a_new_discovery_within_4_s_of_sighup_though_two_calls_fail() {
    std::thread::scope(|scope| {
        for registry_mode in ["automatic", "subscribe"] {
            for seed in [1, 2] {
                scope.spawn(move || check_list_received_after_two_failed_calls(registry_mode, seed));
            }
        }
    });
}
