//! Polls of the endpoint list that discovery rejects or answers late, because more calls arrive than it can
//! serve.
//!
//! Guards against an overload that the proxies keep up themselves: each of them gave a call up after 1.2 s to
//! 2 s, and called again soon, while discovery needed 2 s to reject a call. The proxies got no list, and went
//! on sending to backends that were draining.

mod common;

use common::configuration::{default_settings, endpoint_list, listed_endpoint, request, serving_list};
use common::http::response;
use common::proxy_process::ProxyProcess;
use common::stub_server::{Reply, StubServer};
use common::waiting::wait_for;
use serde_json::{Value, json};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The time that discovery takes to answer a call, by the protocol at most 2 s.
const LATE_ANSWER: Duration = Duration::from_millis(1_990);

/// Returns settings with which the endpoint list is polled.
fn polling_settings() -> Value {
    let mut settings = default_settings();
    settings["registry-mode"] = json!("subscribe");
    settings["rules"]["ask-within"] = json!(1.0);
    settings
}

#[test]
fn the_pauses_between_rejected_polls_grow() {
    let calls: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let received = calls.clone();
    let discovery = StubServer::new(move |_, _| {
        received.lock().unwrap().push(Instant::now());
        Reply::Respond(response("503 Service Unavailable", ""))
    });
    let backend = StubServer::responding_with("hello");
    let _proxy = ProxyProcess::start(&polling_settings(), &serving_list(&[&backend]), discovery.address);

    wait_for("five calls", || calls.lock().unwrap().len() >= 5);

    let calls = calls.lock().unwrap();
    // The first retry follows soon. The mean pauses after that are 2 s, 3 s and 3 s, and the least pauses
    // half.
    for (index, least_ms) in [(2, 1_000), (3, 1_500), (4, 1_500)] {
        let pause = calls[index] - calls[index - 1];
        assert!(pause >= Duration::from_millis(least_ms), "before call {index}: {pause:?}");
    }
}

#[test]
fn an_answer_that_takes_as_long_as_the_protocol_allows_is_used() {
    let (old, new) = (StubServer::responding_with("old"), StubServer::responding_with("new"));
    let full_list = endpoint_list(7, true, &[listed_endpoint("s-1", new.address, "SERVING")]).to_string();
    let discovery = StubServer::new(move |earlier_calls, _| match earlier_calls {
        0 => Reply::Respond(response("503 Service Unavailable", "")),
        1 => Reply::RespondInParts {
            first: String::new(),
            pause: LATE_ANSWER,
            rest: response("200 OK", &full_list),
        },
        _ => Reply::Hang,
    });
    let proxy = ProxyProcess::start(&polling_settings(), &serving_list(&[&old]), discovery.address);

    wait_for("the call after the list", || discovery.request_count() >= 3);

    let next_call = discovery.requests.lock().unwrap()[2].start_line.clone();
    assert!(next_call.contains("since=7&"), "the late answer was not used: {next_call}");
    assert_eq!(proxy.exchange(&request("look", 20_000)).body, b"new");
}
