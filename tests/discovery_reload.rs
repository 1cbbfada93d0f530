//! SIGHUP: the configuration is read again, and the list comes from the discovery named there.

mod common;

use common::configuration::{
    configuration, default_settings, endpoint_list, listed_endpoint, request, serving_list,
};
use common::http::response;
use common::proxy_process::ProxyProcess;
use common::stub_server::{Reply, StubServer, silent_discovery};
use common::waiting::{TEST_TIMEOUT, wait_for};
use serde_json::json;
use std::time::{Duration, Instant};

/// A discovery that has this list, whole, and nothing newer.
fn having(generation: u64, backend: &StubServer) -> StubServer {
    let all = endpoint_list(
        generation,
        true,
        &[listed_endpoint(&format!("s-{generation}"), backend.address, "SERVING")],
    )
    .to_string();
    StubServer::new(move |_, message| match message.start_line.contains("since=") {
        false => Reply::Respond(response("200 OK", &all)),
        true => Reply::Hang,
    })
}

#[test]
fn on_sighup_the_list_comes_from_the_discovery_that_the_file_names() {
    let backends = ["old", "new", "newest"].map(StubServer::responding_with);
    let mut config = configuration(&default_settings(), &serving_list(&[&backends[0]]));
    let first = silent_discovery();
    let mut proxy = ProxyProcess::with_configuration(&config, first.address);
    wait_for("watch", || first.request_count() == 1);
    assert_eq!(proxy.exchange(&request("look", 9000)).body, b"old");
    // The versions of the next one are lower: they say nothing beside those of the first.
    let mut discoveries = Vec::new();
    for (generation, name) in [(7, "new"), (3, "newest")] {
        let discovery = having(generation, &backends[1 + discoveries.len()]);
        config["discovery"] = json!(discovery.address.to_string());
        proxy.replace_configuration(&config);
        proxy.signal("-HUP");
        wait_for("list", || proxy.exchange(&request("look", 9000)).body == name.as_bytes());
        wait_for("watch", || discovery.request_count() >= 2);
        let requests = discovery.requests.lock().unwrap().clone();
        assert!(requests[0].start_line.starts_with("GET /api/targets HTTP"), "{}", requests[0].start_line);
        assert!(
            requests[1].start_line.contains(&format!("since={generation}&")),
            "{}",
            requests[1].start_line
        );
        discoveries.push(discovery);
    }
    // What can't be used changes nothing, also several times and during a stop.
    for text in ["{", "{}", &config.to_string().replace("127.0.0.1:", "nowhere:")] {
        proxy.replace_configuration_text(text);
        proxy.signal("-HUP");
        assert_eq!(proxy.exchange(&request("look", 9000)).body, b"newest");
    }
    proxy.signal("-TERM");
    proxy.signal("-HUP");
    wait_for("exit", || proxy.child.try_wait().unwrap().is_some());
    assert_eq!(proxy.child.wait().unwrap().code(), Some(0));
}

#[test]
fn what_a_new_discovery_has_is_heard_within_4_s_of_sighup_though_two_calls_fail() {
    std::thread::scope(|scope| {
        for (mode, seed) in ["automatic", "subscribe"].into_iter().flat_map(|mode| [(mode, 1), (mode, 2)]) {
            scope.spawn(move || {
                let backends = ["old", "new"].map(StubServer::responding_with);
                let new = [listed_endpoint("s-1", backends[1].address, "SERVING")];
                let all = response("200 OK", &endpoint_list(2, true, &new).to_string());
                // The first call is swallowed, and the answer to the second stops half way.
                let (half, _) = all.split_at(all.len() / 2);
                let half = half.to_string();
                let discovery = StubServer::new(move |before, _| match before {
                    1 => Reply::RespondInParts {
                        first: half.clone(),
                        pause: TEST_TIMEOUT,
                        rest: String::new(),
                    },
                    2 => Reply::Respond(all.clone()),
                    _ => Reply::Hang,
                });
                let mut settings = default_settings();
                settings["registry-mode"] = json!(mode);
                settings["rules"]["ask-within"] = json!(60.0);
                let mut config = configuration(&settings, &serving_list(&[&backends[0]]));
                config["seed"] = json!(format!("{seed:x}"));
                let proxy = ProxyProcess::with_configuration(&config, silent_discovery().address);
                config["discovery"] = json!(discovery.address.to_string());
                proxy.replace_configuration(&config);
                let signalled = Instant::now();
                proxy.signal("-HUP");
                wait_for("list", || discovery.request_count() >= 4);
                let took = signalled.elapsed();
                assert!(took < Duration::from_secs(4), "{mode}, seed {seed}: {took:?}");
                assert_eq!(proxy.exchange(&request("look", 9000)).body, b"new", "{mode}");
            });
        }
    });
}
