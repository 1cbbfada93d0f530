//! Tests of the open requests.

use super::{AttemptNumber, FinalResponse, OpenRequest, OpenRequests};
use crate::settings::SettingsSnapshot;
use crate::upstream::forwarded_request::{ForwardedBody, ForwardedRequest};
use balancer::{Settings, Time};
use std::rc::Rc;
use tokio::sync::oneshot;

const CLIENT_REQUEST_ID: u64 = 11;

/// Creates a request with this deadline, and returns it with the receiver of its final response.
fn request_with_deadline(deadline: Time) -> (OpenRequest, oneshot::Receiver<FinalResponse>) {
    let (response, receiver) = oneshot::channel();
    let forwarded = ForwardedRequest {
        method: hyper::Method::GET,
        uri: hyper::Uri::from_static("/api"),
        headers: hyper::HeaderMap::new(),
        body: ForwardedBody::Buffered(bytes::Bytes::new()),
    };
    let settings = SettingsSnapshot {
        balancer: Settings { max_attempts: 2, ..Settings::default() },
        ..SettingsSnapshot::default()
    };
    let request = OpenRequest {
        client_request_id: CLIENT_REQUEST_ID,
        response,
        forwarded: Rc::new(forwarded),
        deadline,
        timeout: 5.0,
        attempts_sent: 0,
        claims_id: false,
        may_have_run: false,
        settings: Rc::new(settings),
    };
    (request, receiver)
}

#[test]
fn gives_a_request_one_final_response() {
    let mut requests = OpenRequests::new();
    let id = requests.next_id();
    let (request, mut receiver) = request_with_deadline(9.0);
    requests.insert(id, request);

    let first = requests.respond(id, FinalResponse::Failed);
    let second = requests.respond(id, FinalResponse::Rejected(None));

    assert!(first);
    assert!(!second);
    assert!(matches!(receiver.try_recv(), Ok(FinalResponse::Failed)));
}

#[test]
fn frees_the_client_request_id_of_an_abandoned_request_and_never_reuses_its_assigned_id() {
    let mut requests = OpenRequests::new();
    let id = requests.next_id();
    let (request, mut receiver) = request_with_deadline(9.0);
    requests.insert(id, request);
    assert!(requests.is_client_request_id_in_use(CLIENT_REQUEST_ID));

    assert!(requests.abandon(id));

    assert!(!requests.contains(id));
    assert!(!requests.is_client_request_id_in_use(CLIENT_REQUEST_ID));
    assert_ne!(requests.next_id(), id);
    assert!(receiver.try_recv().is_err());
}

#[test]
fn a_shutdown_limits_the_deadlines_of_open_and_of_later_requests() {
    let mut requests = OpenRequests::new();
    let ids = [requests.next_id(), requests.next_id(), requests.next_id(), requests.next_id()];
    let _receivers: Vec<_> = [2.0, 9.0, Time::INFINITY]
        .into_iter()
        .zip(ids)
        .map(|(deadline, id)| {
            let (request, receiver) = request_with_deadline(deadline);
            requests.insert(id, request);
            receiver
        })
        .collect();

    let mut limited_requests = requests.set_shutdown_deadline(4.0);
    let later_deadline = requests.insert(ids[3], request_with_deadline(9.0).0);

    limited_requests.sort_unstable();
    assert_eq!(limited_requests, [ids[1], ids[2]]);
    assert_eq!(later_deadline, 4.0);
    assert_eq!(requests.get(ids[0]).unwrap().deadline, 2.0);
}

#[test]
fn starts_the_timeout_of_a_streamed_request_at_the_end_of_its_body() {
    let mut requests = OpenRequests::new();
    let id = requests.next_id();
    requests.insert(id, request_with_deadline(Time::INFINITY).0);

    let deadline = requests.start_timeout(id, 3.0).unwrap().deadline;

    assert_eq!(deadline, 8.0);
}

#[test]
fn numbers_attempts_up_to_the_limit_of_the_settings() {
    let (mut request, _receiver) = request_with_deadline(9.0);

    let numbers = [request.count_attempt(), request.count_attempt()];

    assert_eq!(numbers, [AttemptNumber(0), AttemptNumber(1)]);
    assert_eq!(request.sent_attempt_numbers().collect::<Vec<_>>(), numbers);
    assert!(!request.has_attempt_left());
}

#[test]
fn limits_the_deadline_of_an_attempt_to_that_of_its_request() {
    let (request, _receiver) = request_with_deadline(9.0);
    let (streamed_request, _streamed_receiver) = request_with_deadline(Time::INFINITY);

    assert_eq!(request.attempt_deadline(1.0, Some(2.0)), 3.0);
    assert_eq!(request.attempt_deadline(8.0, Some(2.0)), 9.0);
    assert_eq!(request.attempt_deadline(1.0, None), 9.0);
    assert_eq!(streamed_request.attempt_deadline(1.0, None), Time::INFINITY);
    assert_eq!(streamed_request.response_deadline(Time::INFINITY, 1.0), 6.0);
}
