//! Backends that all answer alike, with little to do.
//!
//! What happened: of 800 requests at four idle backends with the same latency, one backend got 765 to 770.
//!
//! Why: a retry timer that fires just before the response counted the wait so far as the latency of the backend,
//! which then looked a little faster than the others. Placement drops whatever has more than the mean load, so that
//! this backend alone was left to choose.
//!
//! What showed it: the same counts at latencies of 0.01, 0.05 and 0.2 s, one at a time or with pauses, and even
//! shares at 0.5 s, where T1 fires long before the response and the hedged attempts reach all backends.

use crate::common::balancer_harness::BalancerHarness;
use crate::common::fixtures::{endpoints, safe_settings};
use balancer::{BackendId, Time};
use std::collections::BTreeMap;

/// The number of backends.
const BACKENDS: u32 = 4;
/// The number of requests.
const REQUESTS: u64 = 800;

/// Returns the number of first attempts at each backend, where every response takes `latency` seconds and the
/// next request comes after a pause of that many seconds.
fn first_attempts(latency: Time, pause: Time, seed: u64) -> BTreeMap<BackendId, u64> {
    let mut harness = BalancerHarness::with_seed(seed, safe_settings(), &endpoints(BACKENDS));
    let mut attempts = BTreeMap::new();
    for id in 0..REQUESTS {
        *attempts.entry(harness.serve(id, latency)).or_default() += 1;
        harness.advance_to(harness.now + pause);
    }
    attempts
}

#[test]
fn backends_with_the_same_latency_get_even_shares_when_idle() {
    let even_share = REQUESTS / u64::from(BACKENDS);
    for latency in [0.01, 0.05, 0.2, 0.5] {
        for pause in [0.0, 0.02, 1.0] {
            for seed in 0..3 {
                let attempts = first_attempts(latency, pause, seed);

                let shares: Vec<u64> = attempts.into_values().collect();
                assert_eq!(shares.len() as u32, BACKENDS, "latency {latency}, pause {pause}: {shares:?}");
                assert!(
                    shares.iter().all(|share| (even_share / 2..=2 * even_share).contains(share)),
                    "latency {latency}, pause {pause}, seed {seed}: {shares:?}"
                );
            }
        }
    }
}
