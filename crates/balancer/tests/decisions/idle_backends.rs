//! Placement among idle backends with the same latency.
//!
//! Guards against one of several idle backends getting nearly all requests: 765 to 770 of 800 requests at
//! four backends. When a retry timer fired just before the response, the time since the send was recorded as
//! the latency of the backend, which then appeared slightly faster than the others. Placement excludes
//! backends with more than the mean load, so that only this backend remained.
//!
//! The counts were the same at latencies of 0.01, 0.05 and 0.2 s, with and without pauses between requests.
//! The shares were even at 0.5 s, as T1 expires long before the response and hedged attempts reach all
//! backends.

use crate::common::balancer_harness::BalancerHarness;
use crate::common::fixtures::{endpoints, safe_settings};
use balancer::{BackendId, Time};
use std::collections::BTreeMap;

/// The number of backends.
const BACKEND_COUNT: u32 = 4;
/// The number of requests.
const REQUEST_COUNT: u64 = 800;

/// Returns the number of first attempts at each backend, where every response takes `latency` seconds and the
/// next request arrives `pause` seconds after the response.
fn first_attempts_by_backend(latency: Time, pause: Time, seed: u64) -> BTreeMap<BackendId, u64> {
    let mut harness = BalancerHarness::with_seed(seed, safe_settings(), &endpoints(BACKEND_COUNT));
    let mut attempts = BTreeMap::new();
    for id in 0..REQUEST_COUNT {
        *attempts.entry(harness.serve_request(id, latency)).or_default() += 1;
        harness.advance_to(harness.now + pause);
    }
    attempts
}

#[test]
fn backends_with_the_same_latency_get_even_shares_when_idle() {
    let even_share = REQUEST_COUNT / u64::from(BACKEND_COUNT);
    for latency in [0.01, 0.05, 0.2, 0.5] {
        for pause in [0.0, 0.02, 1.0] {
            for seed in 0..3 {
                let attempts = first_attempts_by_backend(latency, pause, seed);

                let shares: Vec<u64> = attempts.into_values().collect();
                assert_eq!(
                    shares.len() as u32,
                    BACKEND_COUNT,
                    "latency {latency}, pause {pause}: {shares:?}"
                );
                assert!(
                    shares.iter().all(|share| (even_share / 2..=2 * even_share).contains(share)),
                    "latency {latency}, pause {pause}, seed {seed}: {shares:?}"
                );
            }
        }
    }
}
