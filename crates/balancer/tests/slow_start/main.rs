//! Guards against an overload of backends that are warming up. Each balancer limits only its own requests, so
//! the limits of all balancers together may still exceed the capacity of a backend. The tests simulate fleets
//! of balancers whose backends serve every request.

#[path = "../common/mod.rs"]
mod common;

mod event_queue;
mod fleet;
mod simulated_backends;
mod simulation;
mod warm_up_load;

use balancer::Tier;
use fleet::{Fleet, NEAR_FULL_LOAD_FLEET};
use simulation::Simulation;
use warm_up_load::WarmUpLoad;

/// The number of seeds with which each fleet is simulated.
const SEEDS_PER_FLEET: u64 = 40;

/// Simulates a fleet with all seeds. Returns the worst window of all seeds and the mean used capacity.
fn simulate(fleet: Fleet) -> WarmUpLoad {
    let mut load = WarmUpLoad::default();
    for seed in 0..SEEDS_PER_FLEET {
        let mut simulation = Simulation::new(fleet, seed);
        simulation.run();
        let load_with_seed = WarmUpLoad::measure(&fleet, simulation.sends_to_started());
        load.worst_window = load.worst_window.max(load_with_seed.worst_window);
        load.used_capacity += load_with_seed.used_capacity / SEEDS_PER_FLEET as f64;
    }
    load
}

/// The combinations of starting backends and balancers with which fleets of an inner tier are simulated.
const INNER_TIER_STARTS: [Fleet; 5] = [
    NEAR_FULL_LOAD_FLEET,
    Fleet { started_backends: 2, ..NEAR_FULL_LOAD_FLEET },
    Fleet { started_backends: 14, ..NEAR_FULL_LOAD_FLEET },
    Fleet { started_backends: 2, balancers_start_with_backends: true, ..NEAR_FULL_LOAD_FLEET },
    Fleet { started_backends: 14, balancers_start_with_backends: true, ..NEAR_FULL_LOAD_FLEET },
];

/// Returns fleets at an inner tier that differ in size, skew, load reports and starts.
fn inner_tier_fleets() -> Vec<Fleet> {
    let mut fleets = Vec::new();
    for balancers in [20, 30] {
        for skew in [1.0, 5.0, 10.0] {
            for has_load_reports in [false, true] {
                let with_start = |start| Fleet { balancers, skew, has_load_reports, ..start };
                fleets.extend(INNER_TIER_STARTS.map(with_start));
            }
        }
    }
    fleets
}

/// Returns fleets at the entry tier, and fleets with other slow start settings.
fn other_fleets() -> Vec<Fleet> {
    let many_started = Fleet {
        skew: 5.0,
        started_backends: 14,
        balancers_start_with_backends: true,
        ..NEAR_FULL_LOAD_FLEET
    };
    let mut fleets = Vec::new();
    for fleet in [NEAR_FULL_LOAD_FLEET, many_started] {
        fleets.push(Fleet { tier: Tier::ENTRY, ..fleet });
        fleets.push(Fleet { initial_capacity: 0.31, overload_window: 2.0, has_load_reports: true, ..fleet });
    }
    fleets
}

#[test]
fn all_balancers_together_overload_no_backend_that_is_warming_up() {
    let fleets = inner_tier_fleets().into_iter().chain(other_fleets());

    std::thread::scope(|scope| {
        let simulations: Vec<_> = fleets.map(|fleet| scope.spawn(move || (fleet, simulate(fleet)))).collect();
        for simulation in simulations {
            let (fleet, load) = simulation.join().unwrap();
            let WarmUpLoad { worst_window, used_capacity } = load;

            assert!(
                worst_window <= 1.0,
                "{worst_window:.2} of an overload, {used_capacity:.2} of the capacity: {fleet:?}"
            );
        }
    });
}

#[test]
fn balancers_use_the_full_capacity_of_a_backend_that_is_warming_up_if_rates_are_reported() {
    for balancers in [20, 30] {
        let fleet = Fleet { balancers, has_load_reports: true, ..NEAR_FULL_LOAD_FLEET };

        let load = simulate(fleet);

        assert!(load.used_capacity >= 1.0, "{:.2} of the capacity", load.used_capacity);
    }
}
