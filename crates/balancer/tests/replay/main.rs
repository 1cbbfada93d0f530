//! Replays fixed streams of events through the decision module, and compares the digests of all returned
//! actions with recorded digests.
//!
//! A change that is not meant to alter decisions must not change the digests. A change of decisions renews
//! the digests, and the commit names the decisions that differ and the reason. This command renews the
//! digests:
//!
//! ```text
//! RENEW_REPLAY_DIGESTS=1 cargo test --release -p balancer --test replay
//! ```
//!
//! The digests cover the exact bits of all times. Some times depend on `exp`, whose last bit may differ
//! between mathematics libraries. The recorded digests are those of x86_64 Linux with glibc, which CI runs
//! on.

mod attempts;
mod coverage;
mod digest;
mod event_queue;
mod recording;
mod scenario;
mod scenarios;
mod simulated_backends;
mod simulation;

use coverage::Coverage;
use digest::RunningDigest;
use recording::{RecordedDigests, recording_path};
use scenario::Scenario;
use std::collections::BTreeMap;

/// The environment variable that is set to rewrite the recorded digests instead of comparing with them.
const RENEWAL_VARIABLE: &str = "RENEW_REPLAY_DIGESTS";
/// The number of occurrences over all scenarios that each kind of event, action and outcome needs.
const MIN_OCCURRENCES: usize = 5;

/// Runs the scenario, and returns the digests after each of its events.
fn digests_of(scenario: &Scenario) -> RecordedDigests {
    let mut running = RunningDigest::default();
    let mut digests = RecordedDigests::default();
    simulation::run(scenario, &mut |handled| {
        running.add_event(handled.time, handled.actions);
        digests.push(running.value());
    });
    digests
}

/// Describes an event of the scenario by its number, with the actions that are returned now.
fn describe_event(scenario: &Scenario, number: usize) -> String {
    let mut description = format!("event {number} no longer occurs");
    simulation::run(scenario, &mut |handled| {
        if handled.number == number {
            let (time, event, actions) = (handled.time, handled.event, handled.actions);
            description = format!("event {number} at {time} s, {event:?}, which now returns {actions:?}");
        }
    });
    description
}

#[test]
fn returns_the_recorded_actions_in_each_scenario() {
    let scenarios = scenarios::all();
    let current: BTreeMap<_, _> =
        scenarios.iter().map(|scenario| (scenario.name.to_string(), digests_of(scenario))).collect();
    if std::env::var_os(RENEWAL_VARIABLE).is_some() {
        recording::write(&current);
        println!("renewed {}", recording_path().display());
    }

    let recorded = recording::read();

    let recorded_names: Vec<_> = recorded.keys().collect();
    assert_eq!(
        recorded_names,
        current.keys().collect::<Vec<_>>(),
        "the names of the scenarios differ from the recorded names"
    );
    let differences: Vec<_> = scenarios
        .iter()
        .filter_map(|scenario| {
            let number = recorded[scenario.name].first_difference(&current[scenario.name])?;
            Some(format!("{}: first differs at {}", scenario.name, describe_event(scenario, number)))
        })
        .collect();
    assert!(differences.is_empty(), "decisions differ from the recorded ones:\n{}", differences.join("\n"));
}

#[test]
fn scenarios_contain_every_kind_of_event_action_and_outcome() {
    let mut coverage = Coverage::default();

    for scenario in scenarios::all() {
        simulation::run(&scenario, &mut |handled| coverage.count(handled.event, handled.actions));
    }

    assert_eq!(coverage.rarer_than(MIN_OCCURRENCES), Vec::<String>::new());
}
