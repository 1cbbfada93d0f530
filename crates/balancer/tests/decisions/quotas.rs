//! Quotas: when a request counts as over the quota of its tenant.
//!
//! A request over quota has a lower rank than all others: under overload it is sent after a request within
//! quota that arrived later. Between requests of equal priority the order is drawn at random.

use std::collections::VecDeque;
use std::ops::Range;

use crate::common::actions::{SentAttempt, sent_attempts};
use crate::common::balancer_harness::BalancerHarness;
use crate::common::fixtures::{endpoints, safe_settings, tenant};
use balancer::{Action, Event, Outcome, Request, RequestId, Settings, TenantIndex, Tier, Time};

/// The index of the tenant whose quota is tested.
const LIMITED_TENANT: TenantIndex = TenantIndex(0);
/// The index of a tenant whose quota is never reached.
const UNLIMITED_TENANT: TenantIndex = TenantIndex(1);
/// The quota of the limited tenant, in requests per second.
const QUOTA_PER_SECOND: f64 = 4.0;
/// The first of the two requests whose order shows whether a tenant is over quota.
const FIRST_REQUEST: RequestId = RequestId(1);
/// The second of the two requests, which belongs to the unlimited tenant.
const SECOND_REQUEST: RequestId = RequestId(2);
/// The number of seeds with which the order of two requests is drawn.
const SEED_COUNT: u64 = 20;
/// The ids of requests without a tenant that arrive at once and overload the balancer.
const OVERLOADING_REQUEST_IDS: Range<u64> = 10_000..10_300;

/// Returns the settings of an entry balancer with a limited and an unlimited tenant.
fn settings_with_quota(quota_per_second: f64) -> Settings {
    Settings {
        tier: Tier::ENTRY,
        tenants: vec![tenant("limited", quota_per_second), tenant("unlimited", 1e6)],
        over_quota_weight: 0.01,
        ..safe_settings()
    }
}

/// Creates a balancer with four backends that has served requests without a tenant.
fn harness_with_history(seed: u64, settings: Settings) -> BalancerHarness {
    let mut harness = BalancerHarness::with_seed(seed, settings, &endpoints(4));
    for id in 0..200 {
        harness.serve_request(id, 0.05);
    }
    harness
}

fn request_of_tenant(harness: &mut BalancerHarness, id: u64, tenant: TenantIndex) -> Vec<Action> {
    let request = Request { id: RequestId(id), tenant: Some(tenant), timeout: 2.0, ..Request::default() };
    harness.handle(Event::Request(request))
}

/// Serves this number of requests of the limited tenant at once.
fn consume_quota(harness: &mut BalancerHarness, requests: u64) {
    for id in 1000..1000 + requests {
        let sent = sent_attempts(&request_of_tenant(harness, id, LIMITED_TENANT))[0];
        harness.end_attempt(sent, Outcome::Success, 0.05);
    }
}

/// Returns whether a request of a tenant is sent before a later one of the unlimited tenant, under overload.
fn is_sent_first(mut harness: BalancerHarness, tenant: TenantIndex) -> bool {
    let overloading = OVERLOADING_REQUEST_IDS.flat_map(|id| sent_attempts(&harness.handle_request(id)));
    let mut in_flight: VecDeque<_> = overloading.collect();
    let mut sent = sent_attempts(&request_of_tenant(&mut harness, FIRST_REQUEST.0, tenant));
    sent.extend(sent_attempts(&request_of_tenant(&mut harness, SECOND_REQUEST.0, UNLIMITED_TENANT)));
    harness.now += 0.05;
    loop {
        let is_compared = |attempt: &&SentAttempt| [FIRST_REQUEST, SECOND_REQUEST].contains(&attempt.request);
        if let Some(attempt) = sent.iter().find(is_compared) {
            return attempt.request == FIRST_REQUEST;
        }
        in_flight.extend(sent);
        let ended = in_flight.pop_front().expect("one of the two is sent before the overload ends");
        sent = sent_attempts(&harness.end_attempt(ended, Outcome::Success, 0.05));
    }
}

/// Returns whether requests of a tenant count as over quota after `prepare`, that is, whether they are sent
/// last with every seed.
fn is_over_quota(settings: &Settings, tenant: TenantIndex, prepare: impl Fn(&mut BalancerHarness)) -> bool {
    let is_sent_first_with_seed = |seed| {
        let mut harness = harness_with_history(seed, settings.clone());
        prepare(&mut harness);
        is_sent_first(harness, tenant)
    };
    !(0..SEED_COUNT).any(is_sent_first_with_seed)
}

#[test]
fn a_tenant_is_over_quota_when_the_quota_of_one_second_is_used_up() {
    let settings = settings_with_quota(QUOTA_PER_SECOND);

    assert!(!is_over_quota(&settings, LIMITED_TENANT, |_| {}));
    assert!(!is_over_quota(&settings, LIMITED_TENANT, |harness| consume_quota(harness, 3)));
    assert!(is_over_quota(&settings, LIMITED_TENANT, |harness| consume_quota(harness, 4)));
}

#[test]
fn a_tenant_is_within_quota_again_when_the_quota_of_one_request_has_been_refilled() {
    let settings = settings_with_quota(QUOTA_PER_SECOND);
    let consume_and_wait = |seconds: Time| {
        move |harness: &mut BalancerHarness| {
            consume_quota(harness, 4);
            harness.advance_to(harness.now + seconds);
        }
    };

    assert!(is_over_quota(&settings, LIMITED_TENANT, consume_and_wait(0.24)));
    assert!(!is_over_quota(&settings, LIMITED_TENANT, consume_and_wait(0.26)));
}

#[test]
fn unused_quota_is_kept_for_at_most_one_second() {
    let settings = settings_with_quota(QUOTA_PER_SECOND);
    let wait_and_consume = |harness: &mut BalancerHarness| {
        harness.advance_to(harness.now + 10.0);
        consume_quota(harness, 4);
    };

    assert!(is_over_quota(&settings, LIMITED_TENANT, wait_and_consume));
}

#[test]
fn a_quota_is_divided_among_the_balancers() {
    let settings = Settings { instance_count: 2, ..settings_with_quota(QUOTA_PER_SECOND) };

    assert!(!is_over_quota(&settings, LIMITED_TENANT, |harness| consume_quota(harness, 1)));
    assert!(is_over_quota(&settings, LIMITED_TENANT, |harness| consume_quota(harness, 2)));
}

#[test]
fn a_quota_below_one_request_per_second_allows_one_request() {
    let settings = settings_with_quota(0.1);

    assert!(!is_over_quota(&settings, LIMITED_TENANT, |_| {}));
    assert!(is_over_quota(&settings, LIMITED_TENANT, |harness| consume_quota(harness, 1)));
}

#[test]
fn queued_requests_consume_no_quota() {
    let settings = settings_with_quota(QUOTA_PER_SECOND);
    let queue_requests = |harness: &mut BalancerHarness| {
        let mut in_flight: VecDeque<_> =
            (2000..2300).flat_map(|id| sent_attempts(&harness.handle_request(id))).collect();
        for id in 3000..3010 {
            let actions = request_of_tenant(harness, id, LIMITED_TENANT);
            assert!(sent_attempts(&actions).is_empty(), "the request is queued");
            harness.handle(Event::ClientDisconnected(RequestId(id)));
        }
        while let Some(ended) = in_flight.pop_front() {
            in_flight.extend(sent_attempts(&harness.end_attempt(ended, Outcome::Success, 0.05)));
        }
        assert_eq!(harness.balancer.open_requests(), 0);
    };

    assert!(!is_over_quota(&settings, LIMITED_TENANT, queue_requests));
}

#[test]
fn a_tenant_keeps_the_used_quota_when_the_settings_move_its_index() {
    let settings = settings_with_quota(QUOTA_PER_SECOND);
    let reordered_settings = Settings {
        tenants: vec![
            tenant("new", QUOTA_PER_SECOND),
            tenant("unlimited", 1e6),
            tenant("limited", QUOTA_PER_SECOND),
        ],
        ..settings.clone()
    };
    let consume_and_move = |harness: &mut BalancerHarness| {
        consume_quota(harness, 4);
        harness.handle(Event::Settings(&reordered_settings));
    };

    assert!(is_over_quota(&settings, TenantIndex(2), consume_and_move), "the limited tenant");
    assert!(!is_over_quota(&settings, LIMITED_TENANT, consume_and_move), "the new tenant");
}
