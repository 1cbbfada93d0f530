//! Reloads by SIGHUP with a discovery that takes almost as long for each response as the protocol allows.
//!
//! Guards against calls that were given up before such a response arrived, each time, so that the list of a new
//! address never came and requests went on to backends that were draining there.

mod common;

use common::configuration::request;
use common::proxy_process::ProxyProcess;
use common::scripted_discovery::BackendReplacement;
use common::slow_discovery::{
    CHANGE_BOUND, CallFate, NEW_ADDRESS_BOUND, REGISTRY_MODES, SLOW, assert_replaced_within,
    for_each_mode_and_seed, initial_configuration, move_discovery, slow_discovery,
};
use common::stub_server::silent_discovery;
use common::waiting::wait_for;
use serde_json::json;
use std::time::{Duration, Instant};

/// Switches a proxy by SIGHUP to a discovery whose first call and later calls have these fates. Asserts that its
/// list is in force within the bound, for each registry mode and seed.
fn check_new_address(first_call: CallFate, later_calls: CallFate, bound: Duration) {
    for_each_mode_and_seed(|registry_mode, seed| {
        let backends = BackendReplacement::start();
        let list = backends.full_list(2, "DRAINING");
        let discovery = slow_discovery(move |earlier_calls, _| {
            let fate = if earlier_calls == 0 { first_call } else { later_calls };
            (fate, list.clone())
        });
        let mut configuration = initial_configuration(&backends, registry_mode, seed);
        let proxy = ProxyProcess::with_configuration(&configuration, silent_discovery().address);

        let signalled = Instant::now();
        move_discovery(&proxy, &mut configuration, &discovery);

        let case = format!("{registry_mode}, seed {seed}, {first_call:?} first, then {later_calls:?}");
        assert_replaced_within(&proxy, bound, signalled, &case);
    });
}

#[test]
fn a_new_address_whose_responses_are_slow_is_in_effect_in_time() {
    check_new_address(SLOW, SLOW, NEW_ADDRESS_BOUND);
}

#[test]
fn a_new_address_whose_first_call_fails_and_whose_responses_are_slow_is_in_effect_in_time() {
    for first_call in [CallFate::Closed, CallFate::Silent] {
        check_new_address(first_call, SLOW, NEW_ADDRESS_BOUND);
    }
}

#[test]
fn the_full_list_that_takes_5_s_is_used() {
    let slower = CallFate::Responds(Duration::from_secs(5));

    check_new_address(slower, slower, CHANGE_BOUND);
}

#[test]
fn a_slow_response_is_used_though_the_registry_mode_changes_while_it_is_awaited() {
    for_each_mode_and_seed(|registry_mode, seed| {
        let backends = BackendReplacement::start();
        let change = backends.event(2, "DRAINING");
        let discovery = slow_discovery(move |earlier_calls, _| {
            let fate = if earlier_calls == 0 { SLOW } else { CallFate::Silent };
            (fate, change.clone())
        });
        let mut configuration = initial_configuration(&backends, registry_mode, seed);
        let proxy = ProxyProcess::with_configuration(&configuration, discovery.server.address);
        wait_for("the first call", || discovery.call_count() > 0);

        let other_mode = REGISTRY_MODES.into_iter().find(|mode| *mode != registry_mode);
        configuration["settings"]["registry-mode"] = json!(other_mode);
        move_discovery(&proxy, &mut configuration, &discovery);

        let first_call = discovery.call(0).received_at;
        let case = format!("changed mode, {registry_mode}, seed {seed}");
        assert_replaced_within(&proxy, CHANGE_BOUND, first_call, &case);
    });
}

#[test]
fn a_slow_response_is_used_though_the_list_is_requested_again_in_quick_succession() {
    for_each_mode_and_seed(|registry_mode, seed| {
        let backends = BackendReplacement::start();
        let list = backends.full_list(2, "DRAINING");
        let discovery = slow_discovery(move |_, _| (SLOW, list.clone()));
        let mut configuration = initial_configuration(&backends, registry_mode, seed);
        let proxy = ProxyProcess::with_configuration(&configuration, silent_discovery().address);
        let signalled = Instant::now();
        move_discovery(&proxy, &mut configuration, &discovery);

        // SIGHUP without a change of the file requests the full list again.
        let case = format!("requested again, {registry_mode}, seed {seed}");
        wait_for(&case, || {
            proxy.signal("-HUP");
            std::thread::sleep(Duration::from_millis(100));
            proxy.exchange(&request("look", 9000)).body == b"new"
        });

        assert!(signalled.elapsed() < NEW_ADDRESS_BOUND, "{case}: {:?}", signalled.elapsed());
    });
}
