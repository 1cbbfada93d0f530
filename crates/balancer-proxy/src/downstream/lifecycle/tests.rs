//! Tests of the lifecycle of the server.

use super::Lifecycle;
use crate::downstream::shutdown_schedule::ShutdownSchedule;

#[test]
fn serves_between_its_start_and_the_shutdown() {
    let lifecycle = Lifecycle::new();
    let before_start = lifecycle.is_serving();

    lifecycle.start();
    let after_start = lifecycle.is_serving();
    lifecycle.start_shutdown(ShutdownSchedule::new(1.0));

    assert!(!before_start);
    assert!(after_start);
    assert!(!lifecycle.is_serving());
    assert!(lifecycle.shutdown().is_some());
}

#[test]
fn connections_close_after_their_response_once_another_process_accepts_the_new_ones() {
    let lifecycle = Lifecycle::new();
    lifecycle.start_shutdown(ShutdownSchedule::new(1.0));
    assert!(!lifecycle.is_last_response());

    lifecycle.record_successor();

    assert!(lifecycle.has_successor());
    assert!(lifecycle.is_last_response());
}

#[test]
fn a_wait_for_the_close_ends_whether_it_starts_before_or_after_the_request() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    let lifecycle = Lifecycle::new();

    runtime.block_on(async {
        let request_close = async { lifecycle.close_connections() };
        tokio::join!(lifecycle.wait_until_closing(), request_close);
        lifecycle.wait_until_closing().await;
    });

    assert!(lifecycle.is_last_response());
}
