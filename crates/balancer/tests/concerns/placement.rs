//! Placement: the backends to which first attempts and retries are sent.

use super::fixtures::endpoint;
use crate::decisions::backends::Backends;
use crate::decisions::decision_context::DecisionContext;
use crate::decisions::placement::{BackendPicker, Constraints, Placement};
use crate::decisions::scope::Scope;
use crate::decisions::traffic::Traffic;
use crate::interface::{Endpoint, Settings, Status, Tier, Time, ZoneId};
use crate::support::BackendIndex;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The time of the placements, in seconds.
const PLACEMENT_TIME: Time = 0.0;
/// The number of placements in a test that expects each candidate to be sampled at least once.
const PLACEMENT_COUNT: usize = 100;

/// The backends and the other state of a balancer that placement uses.
struct Fleet {
    settings: Settings,
    backends: Backends,
    /// The indices of the backends, in the order of the endpoints.
    indices: Vec<BackendIndex>,
    traffic: Traffic,
    random: SmallRng,
}

impl Fleet {
    fn new(settings: Settings, endpoints: &[Endpoint]) -> Self {
        let mut traffic = Traffic::starting_at(PLACEMENT_TIME);
        traffic.apply_settings(&settings, &[]);
        let mut backends = Backends::default();
        backends.apply_settings(&settings, &settings, &traffic, 0.0);
        let indices =
            endpoints.iter().map(|endpoint| backends.apply_endpoint(endpoint, PLACEMENT_TIME)).collect();
        backends.assign_subset(&settings, None, 0.0);
        Self { settings, backends, indices, traffic, random: SmallRng::seed_from_u64(1) }
    }

    /// Places an attempt at a backend that the scope contains and that has not been tried.
    fn place(
        &mut self,
        alternative: Option<BackendIndex>,
        scope: Scope,
        tried: &[BackendIndex],
    ) -> Option<Placement> {
        let Self { settings, backends, traffic, random, .. } = self;
        let mut context = DecisionContext { now: PLACEMENT_TIME, settings, traffic, random };
        let mut picker = BackendPicker { backends, context: &mut context };
        picker.place(alternative, Constraints { scope, tried })
    }

    /// Returns the distinct backends of [`PLACEMENT_COUNT`] first attempts, in ascending order.
    fn chosen_backends(&mut self) -> Vec<BackendIndex> {
        let place = |_| self.place(None, Scope::Anywhere, &[]).expect("there is a candidate").backend;
        let mut backends: Vec<BackendIndex> = (0..PLACEMENT_COUNT).map(place).collect();
        backends.sort_unstable();
        backends.dedup();
        backends
    }
}

/// Returns the settings of one of 100 inner balancers, whose subsets have two members each.
fn settings_with_two_members() -> Settings {
    Settings { instance_count: 100, tier: Tier(1), ..Settings::default() }
}

#[test]
fn chooses_among_equal_backends_at_random_and_returns_the_other_one_as_the_alternative() {
    let mut fleet = Fleet::new(Settings::default(), &[endpoint(1), endpoint(2)]);
    let [first, second] = [fleet.indices[0], fleet.indices[1]];

    let placement = fleet.place(None, Scope::Anywhere, &[]).expect("there is a candidate");
    let chosen_backends = fleet.chosen_backends();

    let other = if placement.backend == first { second } else { first };
    assert_eq!(placement.alternative, Some(other));
    assert_eq!(chosen_backends, [first, second]);
}

#[test]
fn chooses_the_backend_with_less_load_relative_to_its_weight() {
    let heavy = Endpoint { weight: 4.0, ..endpoint(2) };
    let mut equal = Fleet::new(Settings::default(), &[endpoint(1), endpoint(2)]);
    let mut weighted = Fleet::new(Settings::default(), &[endpoint(1), heavy]);
    for fleet in [&mut equal, &mut weighted] {
        fleet.backends.record_request_received(fleet.indices[1], PLACEMENT_TIME);
    }

    assert_eq!(equal.chosen_backends(), [equal.indices[0]]);
    assert_eq!(weighted.chosen_backends(), [weighted.indices[1]]);
}

#[test]
fn chooses_a_backend_in_its_own_zone_up_to_a_limit_of_load_if_crossing_zones_has_a_cost() {
    let settings = Settings { cross_zone_cost: 0.1, zone: ZoneId(0), ..Settings::default() };
    let remote = Endpoint { zone: ZoneId(1), ..endpoint(2) };
    let mut fleet = Fleet::new(settings, &[endpoint(1), remote]);
    let [local, remote] = [fleet.indices[0], fleet.indices[1]];

    fleet.backends.record_request_received(local, PLACEMENT_TIME);
    let with_one_call_in_flight = fleet.chosen_backends();
    for _ in 0..9 {
        fleet.backends.record_request_received(local, PLACEMENT_TIME);
    }
    let with_ten_calls_in_flight = fleet.chosen_backends();

    assert_eq!(with_one_call_in_flight, [local]);
    assert_eq!(with_ten_calls_in_flight, [remote]);
}

#[test]
fn sends_a_retry_to_the_alternative_unless_it_was_tried_or_is_out_of_service() {
    let mut fleet = Fleet::new(Settings::default(), &[1, 2, 3].map(endpoint));
    let [alternative, tried, third] = [fleet.indices[0], fleet.indices[1], fleet.indices[2]];
    let place = |fleet: &mut Fleet, tried: &[BackendIndex]| {
        fleet.place(Some(alternative), Scope::Anywhere, tried).map(|placement| placement.backend)
    };

    let while_usable = [(); PLACEMENT_COUNT].map(|()| place(&mut fleet, &[tried]));
    let when_tried = place(&mut fleet, &[tried, alternative]);
    let draining = Endpoint { status: Status::Draining, ..endpoint(1) };
    fleet.backends.apply_endpoint(&draining, PLACEMENT_TIME);
    let when_draining = place(&mut fleet, &[tried]);

    assert_eq!(while_usable, [Some(alternative); PLACEMENT_COUNT]);
    assert_eq!(when_tried, Some(third));
    assert_eq!(when_draining, Some(third));
}

#[test]
fn places_no_attempt_if_no_backend_is_permitted() {
    let mut fleet = Fleet::new(Settings::default(), &[1, 2].map(endpoint));
    let all = fleet.indices.clone();
    let mut without_backends = Fleet::new(Settings::default(), &[]);

    assert!(fleet.place(None, Scope::Anywhere, &all).is_none());
    assert!(fleet.place(Some(all[0]), Scope::Zone(ZoneId(9)), &[]).is_none());
    assert!(without_backends.place(None, Scope::Anywhere, &[]).is_none());
}

#[test]
fn uses_backends_outside_the_subset_only_if_no_member_is_permitted() {
    let endpoints: Vec<Endpoint> = (0..10).map(endpoint).collect();
    let mut fleet = Fleet::new(settings_with_two_members(), &endpoints);
    let mut members = fleet.backends.subset().members().to_vec();
    members.sort_unstable();

    let chosen_backends = fleet.chosen_backends();
    let after_members = fleet.place(None, Scope::Anywhere, &members).expect("there is a candidate");

    assert_eq!(chosen_backends, members);
    assert!(!members.contains(&after_members.backend));
}

#[test]
fn replaces_a_member_without_slow_start_budget_by_a_warm_backend_outside_the_subset() {
    let endpoints: Vec<Endpoint> = (0..10).map(endpoint).collect();
    let mut fleet = Fleet::new(settings_with_two_members(), &endpoints);
    let members = fleet.backends.subset().members().to_vec();
    let warming_up = members[0];
    let id = fleet.backends.endpoint(warming_up).id;

    fleet
        .backends
        .apply_endpoint(&Endpoint { id, started_at: Some(PLACEMENT_TIME), ..endpoint(0) }, PLACEMENT_TIME);
    let chosen_backends = fleet.chosen_backends();

    assert!(!chosen_backends.contains(&warming_up));
    assert!(chosen_backends.contains(&members[1]));
    assert!(chosen_backends.len() > 1, "{chosen_backends:?}");
}
