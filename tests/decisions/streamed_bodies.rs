//! Requests whose bodies are streamed: their timers, retries and load.

use crate::common::balancer_harness::{
    BalancerHarness, endpoint, is_failed, is_rejected, safe_settings, sends, settings_with_effect,
    without_times,
};
use balancer_proxy::*;

fn streamed(harness: &mut BalancerHarness, id: u64) -> u32 {
    let request = Request { id: RequestId(id), timeout: 2.0, streaming_body: true, ..Request::default() };
    sends(&harness.handle(Event::Request(request)))[0].1
}

#[test]
fn the_time_of_a_streamed_call_begins_with_the_end_of_its_body() {
    let mut harness = BalancerHarness::new(safe_settings(), &[endpoint(1), endpoint(2)]);
    streamed(&mut harness, 1);
    assert!(harness.advance_to(30.0).is_empty(), "neither a copy nor an end while it comes");
    harness.handle(Event::BodyReceived(RequestId(1)));
    harness.handle(Event::BodyReceived(RequestId(1)));
    let seen = harness.advance_to(30.5);
    assert!(sends(&without_times(seen)).is_empty(), "it can't be in two places at once");
    let seen = without_times(harness.advance_to(32.0));
    assert!(is_rejected(&seen, 1), "{seen:?}");
}

#[test]
fn a_streamed_call_goes_elsewhere_while_its_beginning_is_kept_and_no_longer() {
    for (spent, class) in
        [(false, safe_settings()), (true, safe_settings()), (true, settings_with_effect(Effect::Unsafe))]
    {
        let mut harness = BalancerHarness::new(class, &[endpoint(1), endpoint(2)]);
        let to = streamed(&mut harness, 1);
        if spent {
            harness.handle(Event::BodyConsumed(RequestId(1)));
        }
        let mut seen = harness.end_attempt(1, 0, to, Outcome::NoConnection, 0.01);
        assert_eq!(is_rejected(&seen, 1), spent, "at once, if at all");
        seen.extend(without_times(harness.advance_to(3.0)));
        assert_eq!(sends(&seen).len(), usize::from(!spent));
        assert!(!is_failed(&seen, 1));
    }
}

#[test]
fn bodies_that_come_slowly_are_no_overload() {
    // At the entry, with forty bodies on their way, ordinary requests are let in as ever.
    let settings = Settings { tier: 0, ..safe_settings() };
    let mut harness = BalancerHarness::new(settings, &[endpoint(1), endpoint(2)]);
    for id in 0..100 {
        harness.serve(id, 0.1);
    }
    let slow: Vec<_> = (1000..1040).map(|id| (id, streamed(&mut harness, id))).collect();
    for id in 100..200 {
        harness.serve(id, 0.1); // it would panic if it were not sent at once
    }
    for (id, to) in slow {
        harness.handle(Event::BodyReceived(RequestId(id)));
        harness.end_attempt(id, 0, to, Outcome::Success, 10.0);
    }
    assert_eq!(harness.balancer.open_requests(), 0);
    for id in 200..300 {
        harness.serve(id, 0.1);
    }
}
