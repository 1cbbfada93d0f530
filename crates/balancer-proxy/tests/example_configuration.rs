//! The example configuration in `deploy/example/`. The proxy must accept it unchanged except for addresses.

mod common;

use common::configuration::{endpoint_list, listed_endpoint};
use common::http::response;
use common::proxy_process::ProxyProcess;
use common::scripted_discovery::ScriptedDiscovery;
use common::stub_server::{StubServer, wait_for_input_or_close};
use common::waiting::wait_for;
use serde_json::{Value, json};
use std::io::Write;
use std::ops::ControlFlow;
use std::path::Path;

/// A request of class `browse` of the example.
const BROWSE_REQUEST: &str =
    "GET /hello HTTP/1.1\r\nHost: p\r\nX-Txn: 00000000000000a1\r\nX-Lane: browse\r\n\r\n";

fn example_configuration() -> Value {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/example/balancer-proxy.json");
    serde_json::from_str(&std::fs::read_to_string(path).unwrap()).unwrap()
}

/// Starts a discovery that responds to the first call with this backend and never sends a watch event.
fn discovery_of_backend(backend: &StubServer) -> ScriptedDiscovery {
    let list = endpoint_list(1, true, &[listed_endpoint("s-0", backend.address, "SERVING")]).to_string();
    ScriptedDiscovery::new(move |earlier_calls, stream| {
        if earlier_calls > 0 {
            wait_for_input_or_close(stream);
            return ControlFlow::Break(());
        }
        stream.get_mut().write_all(response("200 OK", &list).as_bytes()).unwrap();
        ControlFlow::Continue(())
    })
}

/// Starts the proxy with the example configuration. Only the addresses are replaced.
fn start_proxy(discovery: &ScriptedDiscovery) -> ProxyProcess {
    let mut configuration = example_configuration();
    configuration["management"] = json!("127.0.0.1:0");
    configuration["discovery"] = json!(discovery.server.address.to_string());
    ProxyProcess::with_configuration(&configuration, discovery.server.address)
}

#[test]
fn serves_a_request_of_the_class_in_the_example_configuration() {
    let backend = StubServer::responding_with("hello");
    let discovery = discovery_of_backend(&backend);
    let proxy = start_proxy(&discovery);
    proxy.wait_until_ready();

    let response = proxy.exchange(BROWSE_REQUEST);

    assert_eq!(response.status(), 200);
    assert_eq!(response.body, b"hello");
    wait_for("the count of the request", || proxy.stats()["results"]["browse"]["succeeded"] == 1);
}

#[test]
fn reload_accepts_the_example_configuration() {
    let backend = StubServer::responding_with("hello");
    let discovery = discovery_of_backend(&backend);
    let proxy = start_proxy(&discovery);
    proxy.wait_until_ready();
    let mut changed = example_configuration();
    changed["discovery"] = json!(discovery.server.address.to_string());
    changed["settings"]["version"] = json!(2);

    proxy.replace_configuration(&changed);
    proxy.signal("-HUP");

    wait_for("the reload", || proxy.stats()["settings"]["version"] == 2);
    assert_eq!(proxy.stats()["settings"]["refused"], 0);
}
