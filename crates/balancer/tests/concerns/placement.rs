//! Placement: which backend an attempt is sent to, and which one a retry.

use super::fixtures::endpoint;
use crate::decisions::backends::Backends;
use crate::decisions::decision_context::DecisionContext;
use crate::decisions::placement::{Constraints, Placement, Placer};
use crate::decisions::scope::Scope;
use crate::decisions::traffic::Traffic;
use crate::interface::{Endpoint, Settings, Status, Tier, Time, ZoneId};
use crate::support::BackendIndex;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The time of the placements, in seconds.
const NOW: Time = 0.0;
/// The number of placements after which each backend that can be drawn has been drawn.
const MANY: usize = 100;

/// A balancer's view of some backends.
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
        let mut traffic = Traffic::starting_at(NOW);
        traffic.apply_settings(&settings, &[]);
        let mut backends = Backends::default();
        backends.apply_settings(&settings, &settings, &traffic, 0.0);
        let indices = endpoints.iter().map(|endpoint| backends.apply_endpoint(endpoint, NOW)).collect();
        backends.assign_subset(&settings, None, 0.0);
        Self { settings, backends, indices, traffic, random: SmallRng::seed_from_u64(1) }
    }

    /// Places an attempt at one of the backends that the scope permits and that have not been tried.
    fn place(
        &mut self,
        alternative: Option<BackendIndex>,
        scope: Scope,
        tried: &[BackendIndex],
    ) -> Option<Placement> {
        let Self { settings, backends, traffic, random, .. } = self;
        let mut context = DecisionContext { now: NOW, settings, traffic, random };
        let mut placer = Placer { backends, context: &mut context };
        placer.place(alternative, Constraints { scope, tried })
    }

    /// Returns the backends of many first attempts, each once, in ascending order.
    fn chosen(&mut self) -> Vec<BackendIndex> {
        let place = |_| self.place(None, Scope::Anywhere, &[]).expect("there is a candidate").backend;
        let mut chosen: Vec<BackendIndex> = (0..MANY).map(place).collect();
        chosen.sort_unstable();
        chosen.dedup();
        chosen
    }
}

/// Returns the settings of one of many inner balancers, with two members each.
fn settings_with_two_members() -> Settings {
    Settings { instance_count: 100, tier: Tier(1), ..Settings::default() }
}

#[test]
fn draws_among_equal_backends_and_keeps_the_other_one_as_alternative() {
    let mut fleet = Fleet::new(Settings::default(), &[endpoint(1), endpoint(2)]);
    let [first, second] = [fleet.indices[0], fleet.indices[1]];

    let placement = fleet.place(None, Scope::Anywhere, &[]).expect("there is a candidate");
    let chosen = fleet.chosen();

    let other = if placement.backend == first { second } else { first };
    assert_eq!(placement.alternative, Some(other));
    assert_eq!(chosen, [first, second]);
}

#[test]
fn chooses_the_backend_with_less_load_for_its_weight() {
    let heavy = Endpoint { weight: 4.0, ..endpoint(2) };
    let mut equal = Fleet::new(Settings::default(), &[endpoint(1), endpoint(2)]);
    let mut weighted = Fleet::new(Settings::default(), &[endpoint(1), heavy]);
    for fleet in [&mut equal, &mut weighted] {
        fleet.backends.record_request_received(fleet.indices[1], NOW);
    }

    assert_eq!(equal.chosen(), [equal.indices[0]]);
    assert_eq!(weighted.chosen(), [weighted.indices[1]]);
}

#[test]
fn chooses_a_backend_of_the_own_zone_where_crossing_zones_has_a_price() {
    let settings = Settings { cross_zone_cost: 0.1, zone: ZoneId(0), ..Settings::default() };
    let remote = Endpoint { zone: ZoneId(1), ..endpoint(2) };
    let mut fleet = Fleet::new(settings, &[endpoint(1), remote]);
    let [local, remote] = [fleet.indices[0], fleet.indices[1]];

    fleet.backends.record_request_received(local, NOW);
    let with_one_call_in_flight = fleet.chosen();
    for _ in 0..9 {
        fleet.backends.record_request_received(local, NOW);
    }
    let with_ten_calls_in_flight = fleet.chosen();

    assert_eq!(with_one_call_in_flight, [local]);
    assert_eq!(with_ten_calls_in_flight, [remote]);
}

#[test]
fn sends_a_retry_to_the_alternative_unless_it_was_tried_or_left_service() {
    let mut fleet = Fleet::new(Settings::default(), &[1, 2, 3].map(endpoint));
    let [alternative, tried, third] = [fleet.indices[0], fleet.indices[1], fleet.indices[2]];
    let place = |fleet: &mut Fleet, tried: &[BackendIndex]| {
        fleet.place(Some(alternative), Scope::Anywhere, tried).map(|placement| placement.backend)
    };

    let while_usable = [(); MANY].map(|()| place(&mut fleet, &[tried]));
    let when_tried = place(&mut fleet, &[tried, alternative]);
    let draining = Endpoint { status: Status::Draining, ..endpoint(1) };
    fleet.backends.apply_endpoint(&draining, NOW);
    let when_draining = place(&mut fleet, &[tried]);

    assert_eq!(while_usable, [Some(alternative); MANY]);
    assert_eq!(when_tried, Some(third));
    assert_eq!(when_draining, Some(third));
}

#[test]
fn places_no_attempt_where_no_backend_is_permitted() {
    let mut fleet = Fleet::new(Settings::default(), &[1, 2].map(endpoint));
    let all = fleet.indices.clone();
    let mut without_backends = Fleet::new(Settings::default(), &[]);

    assert!(fleet.place(None, Scope::Anywhere, &all).is_none());
    assert!(fleet.place(Some(all[0]), Scope::Zone(ZoneId(9)), &[]).is_none());
    assert!(without_backends.place(None, Scope::Anywhere, &[]).is_none());
}

#[test]
fn uses_backends_outside_the_subset_only_where_no_member_is_permitted() {
    let endpoints: Vec<Endpoint> = (0..10).map(endpoint).collect();
    let mut fleet = Fleet::new(settings_with_two_members(), &endpoints);
    let mut members = fleet.backends.subset().members().to_vec();
    members.sort_unstable();

    let chosen = fleet.chosen();
    let after_members = fleet.place(None, Scope::Anywhere, &members).expect("there is a candidate");

    assert_eq!(chosen, members);
    assert!(!members.contains(&after_members.backend));
}

#[test]
fn a_member_without_a_budget_of_slow_start_is_replaced_by_a_warm_backend_outside_the_subset() {
    let endpoints: Vec<Endpoint> = (0..10).map(endpoint).collect();
    let mut fleet = Fleet::new(settings_with_two_members(), &endpoints);
    let members = fleet.backends.subset().members().to_vec();
    let warming_up = members[0];
    let id = fleet.backends.endpoint(warming_up).id;

    fleet.backends.apply_endpoint(&Endpoint { id, started_at: Some(NOW), ..endpoint(0) }, NOW);
    let chosen = fleet.chosen();

    assert!(!chosen.contains(&warming_up));
    assert!(chosen.contains(&members[1]));
    assert!(chosen.len() > 1, "{chosen:?}");
}
