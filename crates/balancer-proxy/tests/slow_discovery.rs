//! A discovery that takes almost as long for each response as the protocol allows: 2 s after the wait that the
//! call allows, and 6 s for a call that allows no wait.
//!
//! Guards against calls that were given up before such a response arrived, each time, so that no list ever came
//! and requests went on to backends that were draining. The proxy repeats a call without a response early, as
//! discovery may be silent; the response to the earlier call has to be used nevertheless.

mod common;

use common::configuration::endpoint_list;
use common::proxy_process::{ProxyProcess, exit_code};
use common::scripted_discovery::{BackendReplacement, ScriptedDiscovery};
use common::shared_address::SharedAddress;
use common::slow_discovery::{
    CHANGE_BOUND, CallFate, PROMPT, SLOW, assert_replaced_within, for_each_mode_and_seed,
    initial_configuration, slow_discovery,
};
use common::waiting::wait_for;
use serde_json::Value;
use std::time::{Duration, Instant};

/// Time after a new process is ready at which what discovery says binds, and the grace period of a drain.
const NEW_PROCESS_BOUND: Duration = Duration::from_secs(3);

/// Returns whether a call asks for the full list.
fn asks_for_full_list(request_line: &str) -> bool {
    !request_line.contains("since=")
}

/// Starts a proxy with this discovery, and asserts that the old backend is replaced in time after the call with
/// this number of earlier calls.
fn assert_replaced_in_time_after(
    bound_starts_at_call: usize,
    discovery: &ScriptedDiscovery,
    configuration: &Value,
    case: &str,
) {
    let proxy = ProxyProcess::with_configuration(configuration, discovery.server.address);
    wait_for("the call from which the bound counts", || discovery.call_count() > bound_starts_at_call);

    let bound_start = discovery.call(bound_starts_at_call).received_at;
    assert_replaced_within(&proxy, CHANGE_BOUND, bound_start, case);
}

#[test]
fn a_change_in_slow_responses_is_in_effect_in_time_from_the_start_and_after_a_failure() {
    for fate_of_first_call in [SLOW, CallFate::Closed, CallFate::Silent] {
        for_each_mode_and_seed(|registry_mode, seed| {
            let backends = BackendReplacement::start();
            let list = backends.event(2, "DRAINING");
            let discovery = slow_discovery(move |earlier_calls, _| {
                let fate = if earlier_calls == 0 { fate_of_first_call } else { SLOW };
                (fate, list.clone())
            });
            let configuration = initial_configuration(&backends, registry_mode, seed);
            let case = format!("changes, {registry_mode}, seed {seed}");
            assert_replaced_in_time_after(0, &discovery, &configuration, &case);
        });
    }
}

#[test]
fn a_change_in_slow_responses_is_in_effect_in_time_after_successful_calls() {
    for_each_mode_and_seed(|registry_mode, seed| {
        let backends = BackendReplacement::start();
        let cached_list = backends.cached_list();
        let change = backends.event(2, "DRAINING");
        let discovery = slow_discovery(move |earlier_calls, _| match earlier_calls {
            0 | 1 => (PROMPT, cached_list.clone()),
            _ => (SLOW, change.clone()),
        });
        let configuration = initial_configuration(&backends, registry_mode, seed);
        let case = format!("changes after a success, {registry_mode}, seed {seed}");
        assert_replaced_in_time_after(2, &discovery, &configuration, &case);
    });
}

#[test]
fn the_full_list_after_a_restart_of_generations_is_used_if_its_response_is_slow() {
    for_each_mode_and_seed(|registry_mode, seed| {
        let backends = BackendReplacement::start();
        let list = backends.full_list(0, "DRAINING");
        let restarted = endpoint_list(0, false, &[]);
        let discovery = slow_discovery(move |earlier_calls, request_line| match earlier_calls {
            0 => (PROMPT, restarted.clone()),
            _ if asks_for_full_list(request_line) => (SLOW, list.clone()),
            _ => (CallFate::Silent, list.clone()),
        });
        let configuration = initial_configuration(&backends, registry_mode, seed);
        let case = format!("restarted generations, {registry_mode}, seed {seed}");
        assert_replaced_in_time_after(0, &discovery, &configuration, &case);
    });
}

/// The generations restart, which the response to a call for changes shows after the call has been followed
/// by another one. That call must not hold up the one for the full list.
#[test]
fn the_full_list_follows_a_slow_response_that_shows_a_restart_of_the_generations() {
    for fate_of_first_call in [SLOW, CallFate::Closed] {
        for_each_mode_and_seed(|registry_mode, seed| {
            let backends = BackendReplacement::start();
            let list = backends.full_list(0, "DRAINING");
            let restarted = endpoint_list(0, false, &[]);
            let discovery = slow_discovery(move |earlier_calls, request_line| {
                let fate = if earlier_calls == 0 { fate_of_first_call } else { SLOW };
                let response = if asks_for_full_list(request_line) { &list } else { &restarted };
                (fate, response.clone())
            });
            let configuration = initial_configuration(&backends, registry_mode, seed);
            let case = format!("restarted, {fate_of_first_call:?} first, {registry_mode}, seed {seed}");
            assert_replaced_in_time_after(0, &discovery, &configuration, &case);
        });
    }
}

#[test]
fn the_full_list_at_the_start_beside_another_process_is_used_if_its_response_is_slow() {
    for_each_mode_and_seed(|registry_mode, seed| {
        let backends = BackendReplacement::start();
        let list = backends.full_list(2, "DRAINING");
        // The watch gets no response, so that the list comes from the call beside the watch alone.
        let discovery = slow_discovery(move |_, request_line| {
            let fate = if asks_for_full_list(request_line) { SLOW } else { CallFate::Silent };
            (fate, list.clone())
        });
        let configuration = initial_configuration(&backends, registry_mode, seed);
        let shared_address = SharedAddress::new();
        let mut old_process = shared_address.start(&configuration);
        let new_process = shared_address.start_with_discovery(&configuration, discovery.server.address);
        let ready = Instant::now();
        old_process.signal("-TERM");
        assert_eq!(exit_code(&mut old_process.child), Some(0));

        let case = format!("single call, {registry_mode}, seed {seed}");
        assert_replaced_within(&new_process, NEW_PROCESS_BOUND, ready, &case);
    });
}

#[test]
fn a_slow_discovery_gets_no_more_calls_than_a_silent_one() {
    /// Number of calls until the end of the test.
    const CALL_COUNT: usize = 6;
    /// Shortest mean interval between calls without a response in time: 0.1 s for a change, and 1.5 s for the
    /// response less a quarter of jitter.
    const MIN_MEAN_INTERVAL: Duration = Duration::from_millis(1_225);
    for fate in [SLOW, CallFate::Silent] {
        for_each_mode_and_seed(|registry_mode, seed| {
            let backends = BackendReplacement::start();
            let change = backends.event(2, "DRAINING");
            let discovery = slow_discovery(move |_, _| (fate, change.clone()));
            let configuration = initial_configuration(&backends, registry_mode, seed);
            let _proxy = ProxyProcess::with_configuration(&configuration, discovery.server.address);

            wait_for("the calls", || discovery.call_count() >= CALL_COUNT);

            let last_call = discovery.call(CALL_COUNT - 1).received_at;
            let mean_interval = (last_call - discovery.call(0).received_at) / (CALL_COUNT - 1) as u32;
            assert!(mean_interval >= MIN_MEAN_INTERVAL, "{registry_mode}, seed {seed}: {mean_interval:?}");
        });
    }
}
