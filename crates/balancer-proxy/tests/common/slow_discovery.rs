//! A stand-in for discovery that takes long for its responses, and what its tests check.

use std::io::Write;
use std::ops::ControlFlow;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::configuration::{configuration, default_settings, request};
use super::http::{exchange, response};
use super::proxy_process::ProxyProcess;
use super::scripted_discovery::{BackendReplacement, ScriptedDiscovery};
use super::stub_server::wait_for_input_or_close;
use super::waiting::wait_for;

/// Time after SIGHUP at which what the discovery at a new address says counts as notified.
pub const NEW_ADDRESS_BOUND: Duration = Duration::from_secs(4);
/// Time after which a change counts as notified.
pub const CHANGE_BOUND: Duration = Duration::from_secs(6);

/// The ways in which the proxy receives changes.
pub const REGISTRY_MODES: [&str; 2] = ["automatic", "subscribe"];

/// The fate of a call.
#[derive(Clone, Copy, Debug)]
pub enum CallFate {
    /// The response is written after this time, in addition to the wait for a change.
    Responds(Duration),
    /// The connection is closed without a response.
    Closed,
    /// There is no response.
    Silent,
}

/// A response that takes almost as long as the protocol allows.
pub const SLOW: CallFate = CallFate::Responds(Duration::from_millis(1_950));
/// A response that follows the wait for a change without a delay.
pub const PROMPT: CallFate = CallFate::Responds(Duration::ZERO);

/// Starts a discovery that handles each call, by the number of earlier calls, according to a function. The
/// function gets the request line as well, and returns the list of the response.
pub fn slow_discovery(
    fate_and_list: impl Fn(usize, &str) -> (CallFate, Value) + Send + Sync + 'static,
) -> ScriptedDiscovery {
    ScriptedDiscovery::with_call_handler(move |earlier_calls, request_line, stream| {
        let (fate, list) = fate_and_list(earlier_calls, request_line);
        match fate {
            CallFate::Responds(delay) => std::thread::sleep(change_wait(request_line) + delay),
            CallFate::Closed => return ControlFlow::Break(()),
            CallFate::Silent => {
                wait_for_input_or_close(stream);
                return ControlFlow::Break(());
            }
        }
        let is_open = stream.get_mut().write_all(response("200 OK", &list.to_string()).as_bytes()).is_ok();
        if is_open { ControlFlow::Continue(()) } else { ControlFlow::Break(()) }
    })
}

/// Returns the wait for a change that a call allows.
fn change_wait(request_line: &str) -> Duration {
    let Some((_, rest)) = request_line.split_once("timeout_ms=") else {
        return Duration::ZERO;
    };
    let digits = rest.split(' ').next().unwrap_or_default();
    Duration::from_millis(digits.parse().unwrap())
}

/// Returns a configuration with the old backend in its cached list. A proxy with registry mode `subscribe`
/// polls early.
pub fn initial_configuration(backends: &BackendReplacement, registry_mode: &str, seed: u64) -> Value {
    let mut settings = default_settings();
    settings["registry-mode"] = json!(registry_mode);
    settings["rules"]["ask-within"] = json!(1.0);
    let mut configuration = configuration(&settings, &backends.cached_list());
    configuration["seed"] = json!(format!("{seed:x}"));
    configuration
}

/// Writes a configuration with this address of discovery, and sends SIGHUP.
pub fn move_discovery(proxy: &ProxyProcess, configuration: &mut Value, discovery: &ScriptedDiscovery) {
    configuration["discovery"] = json!(discovery.server.address.to_string());
    proxy.replace_configuration(configuration);
    proxy.signal("-HUP");
}

/// Waits until requests go to the new backend, and asserts that this takes less than the bound from `start`,
/// and that no later request goes to the old backend.
///
/// # Panics
/// If it takes longer, or if the old backend gets a later request.
pub fn assert_replaced_within(proxy: &ProxyProcess, bound: Duration, start: Instant, case: &str) {
    // One connection serves all requests: thousands of closed ones would slow down the tests that follow, which
    // read the socket table of the system.
    let mut client = proxy.connect();
    wait_for(case, || exchange(&mut client, &request("look", 9000)).body == b"new");

    assert!(start.elapsed() < bound, "{case}: {:?}", start.elapsed());
    for _ in 0..10 {
        assert_eq!(exchange(&mut client, &request("look", 9000)).body, b"new", "{case}");
    }
}

/// Runs a check for each registry mode and seed at the same time.
pub fn for_each_mode_and_seed(check: impl Fn(&str, u64) + Sync) {
    let check = &check;
    std::thread::scope(|scope| {
        for registry_mode in REGISTRY_MODES {
            for seed in [1, 2, 3] {
                scope.spawn(move || check(registry_mode, seed));
            }
        }
    });
}
