//! Soak: the proxy as its operators run it, with clients that go on until SIGKILL, which comes as early as the
//! pages allow, signals in series, takeovers, crowds, bad backends and a discovery that is away. One seed is one
//! play.
//!
//! `SOAK_SEEDS=200 SOAK_FIRST_SEED=1000 cargo test --release -p balancer-proxy --test soak` plays more seeds.

#[path = "../common/mod.rs"]
mod common;

mod backends;
mod client;
mod discovery;
mod play;
mod scenario;
mod verdict;

use play::play;
use scenario::Scenario;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// The number of seeds without `SOAK_SEEDS`.
const DEFAULT_SEEDS: u64 = 64;
/// Plays at the same time.
const PLAYS_AT_ONCE: usize = 3;

/// Returns the number in an environment variable.
fn number_in(variable: &str) -> Option<u64> {
    let text = std::env::var(variable).ok()?;
    Some(text.parse().unwrap_or_else(|error| panic!("{variable}={text}: {error}")))
}

#[test]
fn owes_nothing_to_clients_that_go_on_until_the_kill() {
    let first = number_in("SOAK_FIRST_SEED").unwrap_or(0);
    let seeds = number_in("SOAK_SEEDS").unwrap_or(DEFAULT_SEEDS);
    let next = AtomicU64::new(first);
    let reports: Mutex<Vec<String>> = Mutex::default();

    std::thread::scope(|scope| {
        for _ in 0..PLAYS_AT_ONCE {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::SeqCst);
                    if seed >= first + seeds {
                        return;
                    }
                    if let Err(report) = play(&Scenario::draw(seed)) {
                        reports.lock().unwrap().push(format!("seed {seed}: {report}"));
                    }
                }
            });
        }
    });

    let reports = reports.into_inner().unwrap();
    assert!(reports.is_empty(), "{} of {seeds} plays\n{}", reports.len(), reports.join("\n\n"));
}
