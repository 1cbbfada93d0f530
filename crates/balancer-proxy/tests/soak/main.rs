//! Soak test of the proxy under the conditions of its operation. Clients send requests until the process
//! ends. SIGKILL comes at the earliest time after SIGTERM that the operators' pages allow. Bursts of signals,
//! takeovers, many connections with unfinished heads, faulty backends, maintenance and a failing discovery
//! are combined at random. Each seed determines one scenario.
//!
//! `SOAK_SEEDS=200 SOAK_FIRST_SEED=1000 cargo test --release -p balancer-proxy --test soak` runs more
//! seeds.

#[path = "../common/mod.rs"]
mod common;

mod backends;
mod client;
mod discovery;
mod rule_checks;
mod scenario;
mod scenario_run;

use scenario::Scenario;
use scenario_run::run_scenario;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// The number of seeds if `SOAK_SEEDS` is not set.
const DEFAULT_SEED_COUNT: u64 = 64;
/// The number of scenarios that run at the same time.
const CONCURRENT_SCENARIOS: usize = 3;

/// Returns the number in an environment variable, or `None` if the variable is not set.
fn number_from_environment(variable: &str) -> Option<u64> {
    let text = std::env::var(variable).ok()?;
    Some(text.parse().unwrap_or_else(|error| panic!("{variable}={text}: {error}")))
}

#[test]
fn violates_no_rule_for_clients_that_send_requests_until_sigkill() {
    let first_seed = number_from_environment("SOAK_FIRST_SEED").unwrap_or(0);
    let seed_count = number_from_environment("SOAK_SEEDS").unwrap_or(DEFAULT_SEED_COUNT);
    let next_seed = AtomicU64::new(first_seed);
    let reports: Mutex<Vec<String>> = Mutex::default();

    std::thread::scope(|scope| {
        for _ in 0..CONCURRENT_SCENARIOS {
            scope.spawn(|| {
                loop {
                    let seed = next_seed.fetch_add(1, Ordering::SeqCst);
                    if seed >= first_seed + seed_count {
                        return;
                    }
                    if let Err(report) = run_scenario(&Scenario::draw(seed)) {
                        reports.lock().unwrap().push(format!("seed {seed}: {report}"));
                    }
                }
            });
        }
    });

    let reports = reports.into_inner().unwrap();
    assert!(
        reports.is_empty(),
        "{} of {seed_count} scenarios violated a rule\n{}",
        reports.len(),
        reports.join("\n\n")
    );
}
