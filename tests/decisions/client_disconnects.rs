//! A request whose client has disconnected is not forwarded any more.

use crate::common::balancer_harness::{
    BalancerHarness, endpoint, endpoints, is_rejected, safe_settings, sends, settings_with_effect,
    without_times,
};
use balancer_proxy::*;

#[test]
fn a_client_that_left_is_owed_nothing() {
    let mut harness = BalancerHarness::new(safe_settings(), &endpoints(4));
    harness.request(1);
    let actions = harness.handle(Event::ClientDisconnected(RequestId(1)));
    assert_eq!(actions, [Action::Cancel { id: RequestId(1), attempt: 0 }]);
    assert_eq!(harness.handle(Event::ClientDisconnected(RequestId(1))), []);
    assert_eq!(harness.advance_to(5.0), []);
}

/// Plays on after the client of request 1 has left, with all that could set it off.
fn left(mut harness: BalancerHarness) -> Vec<Action> {
    let mut seen = harness.handle(Event::ClientDisconnected(RequestId(1)));
    seen.extend(without_times(harness.advance_to(harness.now + 30.0)));
    seen.extend(harness.handle(Event::BodyReceived(RequestId(1))));
    seen.extend(without_times(harness.advance_to(harness.now + 30.0)));
    assert_eq!(harness.balancer.open_requests(), 0);
    seen
}

#[test]
fn an_attempt_whose_client_has_left_is_cancelled_or_kept_from_being_written() {
    let id = RequestId(1);
    for (cancel, wanted) in
        [(true, Action::Cancel { id, attempt: 0 }), (false, Action::Withdraw { id, attempt: 0 })]
    {
        let mut harness = BalancerHarness::new(
            Settings { cancellation_allowed: cancel, ..settings_with_effect(Effect::Unsafe) },
            &[endpoint(1), endpoint(2)],
        );
        assert_eq!(sends(&harness.request(1)).len(), 1);
        assert_eq!(left(harness), [wanted]);
    }
}

#[test]
fn a_call_whose_client_has_left_is_sent_nowhere_whatever_it_waited_for() {
    for cancel in [true, false] {
        // Its doubling timer.
        let mut harness = BalancerHarness::new(
            Settings { cancellation_allowed: cancel, ..safe_settings() },
            &[endpoint(1), endpoint(2)],
        );
        let (_, to) = sends(&harness.request(1))[0];
        assert!(harness.end_attempt(1, 0, to, Outcome::Rejected, 0.01).is_empty());
        assert!(left(harness).is_empty());

        // The same, as it could not connect.
        let mut harness = BalancerHarness::new(
            Settings { cancellation_allowed: cancel, ..safe_settings() },
            &[endpoint(1), endpoint(2)],
        );
        let (_, to) = sends(&harness.request(1))[0];
        assert!(harness.end_attempt(1, 0, to, Outcome::NoConnection, 0.01).is_empty());
        assert!(left(harness).is_empty());

        // The same, while its first attempt hangs: none goes out beside that.
        let mut harness = BalancerHarness::new(
            Settings { cancellation_allowed: cancel, hedging_allowed: true, ..safe_settings() },
            &[endpoint(1), endpoint(2)],
        );
        assert_eq!(sends(&harness.request(1)).len(), 1);
        assert!(sends(&left(harness)).is_empty());

        // The rest of its body.
        let mut harness = BalancerHarness::new(
            Settings { cancellation_allowed: cancel, ..safe_settings() },
            &[endpoint(1), endpoint(2)],
        );
        let request = Request { id: RequestId(1), timeout: 2.0, streaming_body: true, ..Request::default() };
        let (_, to) = sends(&harness.handle(Event::Request(request)))[0];
        assert!(harness.end_attempt(1, 0, to, Outcome::NoConnection, 0.01).is_empty());
        assert!(left(harness).is_empty());

        // Its key's lane: the one ahead of it ends only once it has left.
        let mut settings = Settings { cancellation_allowed: cancel, ..safe_settings() };
        settings.classes[0].ordered_by_key = true;
        let mut harness = BalancerHarness::new(settings, &[endpoint(1), endpoint(2)]);
        let keyed = |id| Request { id: RequestId(id), timeout: 2.0, key: Some(7), ..Request::default() };
        let (_, to) = sends(&harness.handle(Event::Request(keyed(9))))[0];
        assert!(harness.handle(Event::Request(keyed(1))).is_empty());
        assert!(harness.handle(Event::ClientDisconnected(RequestId(1))).is_empty());
        assert!(sends(&harness.end_attempt(9, 0, to, Outcome::Success, 0.1)).is_empty());
        assert!(left(harness).is_empty());

        // A shared_address at the entry.
        let mut harness = BalancerHarness::new(
            Settings { cancellation_allowed: cancel, tier: 0, ..safe_settings() },
            &[endpoint(1), endpoint(2)],
        );
        for id in 100..200 {
            harness.serve(id, 0.1);
        }
        let crowd: Vec<_> = (1000..1100).map(|id| (id, sends(&harness.request(id)))).collect();
        let (held, sent): (Vec<_>, Vec<_>) = crowd.into_iter().partition(|(_, sends)| sends.is_empty());
        assert!(!held.is_empty());
        for (id, _) in &held {
            assert!(harness.handle(Event::ClientDisconnected(RequestId(*id))).is_empty());
        }
        for (id, to) in sent {
            let seen = harness.end_attempt(id, 0, to[0].1, Outcome::Success, 0.1);
            assert!(sends(&seen).is_empty() && !held.iter().any(|(id, _)| is_rejected(&seen, *id)));
        }
        assert!(left(harness).is_empty());
    }
}
