//! The return of discovery after a series of failed calls. The proxy must receive the pending event within
//! 6 s, however long its backoff has grown, and must not repeat failed calls without a pause.

mod common;

use common::configuration::{configuration, default_settings, request};
use common::http::response;
use common::proxy_process::ProxyProcess;
use common::scripted_discovery::{
    BackendReplacement, PARTIAL_BODY, PARTIAL_HEAD, ScriptedDiscovery, write_and_hang,
};
use common::stub_server::wait_for_input_or_close;
use common::waiting::wait_for;
use serde_json::json;
use std::io::Write;
use std::ops::ControlFlow;
use std::time::Duration;

/// Starts a discovery that returns after faults. It responds to the first call with the cached list and
/// closes the connections of the next `closed_calls` calls. The call after these gets no response; the event
/// is pending from then on. The next call gets part of a response, and the one after that gets the event.
fn returning_discovery(
    closed_calls: usize,
    partial_response: &'static str,
    cached_list: String,
    event: String,
) -> ScriptedDiscovery {
    ScriptedDiscovery::new(move |earlier_calls, stream| {
        match (earlier_calls + 1).checked_sub(closed_calls + 2) {
            None if earlier_calls == 0 => stream.get_mut().write_all(cached_list.as_bytes()).unwrap(),
            None => return ControlFlow::Break(()),
            Some(0) => {
                wait_for_input_or_close(stream);
                return ControlFlow::Break(());
            }
            Some(1) => {
                write_and_hang(partial_response)(stream);
                return ControlFlow::Break(());
            }
            Some(2) => stream.get_mut().write_all(event.as_bytes()).unwrap(),
            Some(_) => wait_for_input_or_close(stream),
        }
        ControlFlow::Continue(())
    })
}

/// The way in which the proxy receives changes, and the number of calls that fail by a closed connection.
#[derive(Clone, Copy)]
struct FaultChain {
    registry_mode: &'static str,
    closed_calls: usize,
}

/// Watches (`automatic`) and polls (`subscribe`), each with the shortest and with the longest backoff.
const FAULT_CHAINS: [FaultChain; 4] = [
    FaultChain { registry_mode: "automatic", closed_calls: 0 },
    FaultChain { registry_mode: "automatic", closed_calls: 7 },
    FaultChain { registry_mode: "subscribe", closed_calls: 0 },
    FaultChain { registry_mode: "subscribe", closed_calls: 3 },
];

/// Asserts that the proxy receives the event within 6 s after a chain of faults and pauses after failures.
fn check_event_received_after_fault_chain(chain: FaultChain, seed: usize) {
    let FaultChain { registry_mode, closed_calls } = chain;
    let backends = BackendReplacement::start();
    let event = response("200 OK", &backends.event(2, "DRAINING").to_string());
    let cached_list = response("200 OK", &backends.cached_list().to_string());
    let partial_response = [PARTIAL_HEAD, PARTIAL_BODY][seed % 2];
    let discovery = returning_discovery(closed_calls, partial_response, cached_list, event);
    let mut settings = default_settings();
    settings["registry-mode"] = json!(registry_mode);
    settings["rules"]["ask-within"] = json!(60.0);
    let mut configuration = configuration(&settings, &backends.cached_list());
    configuration["seed"] = json!(format!("{seed:x}"));
    let proxy = ProxyProcess::with_configuration(&configuration, discovery.server.address);
    if registry_mode == "subscribe" {
        // The proxy polls at once if the address of discovery changes, and otherwise within 30 s.
        configuration["discovery"] = json!(discovery.server.address.to_string());
        proxy.replace_configuration(&configuration);
        proxy.signal("-HUP");
    }

    wait_for("the call after the event", || discovery.call_count() >= closed_calls + 5);

    let time_of_call = |index: usize| discovery.call(index).received_at;
    let elapsed = time_of_call(closed_calls + 3) - time_of_call(closed_calls + 1);
    let case = format!("{registry_mode}, {closed_calls} closed, seed {seed}");
    assert!(elapsed < Duration::from_secs(6), "{case}: {elapsed:?}");
    for _ in 0..5 {
        assert_eq!(proxy.exchange(&request("look", 9000)).body, b"new", "{case}");
    }
    assert!(discovery.call(closed_calls + 4).request_line.contains("since=2&"), "{case}");
    // Failed calls are not repeated without a pause. Only the last pause is checked, because
    // after the start, a poll comes once between two of the calls.
    if closed_calls > 0 && registry_mode == "automatic" {
        let last_pause = time_of_call(closed_calls + 1) - time_of_call(closed_calls);
        assert!(last_pause > Duration::from_millis(400), "{case}: {last_pause:?}");
    }
}

#[test]
fn receives_an_event_within_6_s_of_the_return_of_discovery_after_the_longest_chain_of_faults() {
    std::thread::scope(|scope| {
        for chain in FAULT_CHAINS {
            for seed in [1, 2, 3] {
                scope.spawn(move || check_event_received_after_fault_chain(chain, seed));
            }
        }
    });
}
