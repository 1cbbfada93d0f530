//! Tests of the ids of backends and zones, and of the translation of lists.

use super::{DEFAULT_WEIGHT, EndpointNames, RawEndpointList, RawLifecycle, fnv1a};
use crate::clock::Clock;
use balancer::{BackendId, CellId, Endpoint, Status, ZoneId};

/// Two names with the same 32-bit FNV-1a hash.
const COLLIDING_NAMES: [&str; 2] = ["costarring", "liquid"];

fn parse(list: &str) -> RawEndpointList {
    serde_json::from_str(list).unwrap()
}

fn empty_names() -> EndpointNames {
    EndpointNames::new(&[])
}

#[test]
fn the_id_of_a_backend_is_the_hash_of_its_name() {
    // A test vector that the authors of the hash have published.
    assert_eq!(empty_names().backend_id("foobar"), BackendId(0xbf9c_f968));
}

#[test]
fn names_with_the_same_hash_get_consecutive_ids() {
    let mut names = empty_names();

    let ids = COLLIDING_NAMES.map(|name| names.backend_id(name));

    assert_eq!(ids[1].0, ids[0].0 + 1);
    assert_eq!(COLLIDING_NAMES.map(|name| names.backend_id(name)), ids);
}

#[test]
fn a_released_id_is_free_for_another_name() {
    let mut names = empty_names();
    let id = names.backend_id(COLLIDING_NAMES[0]);

    names.retain_backends(|_| false);

    assert_eq!(names.backend_id(COLLIDING_NAMES[1]), id);
}

#[test]
fn the_id_of_a_backend_in_use_is_retained() {
    let mut names = empty_names();
    let ids = COLLIDING_NAMES.map(|name| names.backend_id(name));

    names.retain_backends(|id| id == ids[1]);

    assert_eq!(names.backend_id(COLLIDING_NAMES[1]), ids[1]);
}

#[test]
fn zones_keep_the_ids_of_the_settings_and_new_zones_follow() {
    let mut names = EndpointNames::new(&["east".to_string(), "west".to_string()]);

    assert_eq!(names.assign_settings_zone("north"), ZoneId(2));
    assert_eq!(names.assign_settings_zone("west"), ZoneId(1));
    assert_eq!(names.assign_settings_zone("north"), ZoneId(2));
}

/// Translates a list with one backend in `zone`, and returns the id of the zone.
fn zone_of_listed_backend(names: &mut EndpointNames, zone: &str) -> ZoneId {
    let endpoint =
        r#"{"instanceId": "s-0", "hostPort": "127.0.0.1:80", "lifecycle": "SERVING", "zone": "ZONE"}"#;
    let list = format!(r#"{{"generation": 1, "reset": true, "instances": [{endpoint}]}}"#);
    let listed = names.translate(parse(&list.replace("ZONE", zone)).instances, &Clock::start());
    listed[0].endpoint.zone
}

/// Guards against a table of zones that grows without bound: the names of zones from discovery and from
/// rejected settings used to be kept for as long as the process ran.
#[test]
fn removes_the_zones_without_backends_in_use() {
    let mut names = EndpointNames::new(&["east".to_string()]);

    let zones: Vec<String> = (0..100).map(|index| format!("zone-{index}")).collect();

    for zone in &zones {
        zone_of_listed_backend(&mut names, zone);
        names.retain_backends(|_| true);
    }

    let kept: Vec<&String> = zones.iter().filter(|zone| names.find_zone(zone).is_some()).collect();
    assert_eq!(kept, ["zone-99"]);
    assert_eq!(names.find_zone("east"), Some(ZoneId(0)));
}

#[test]
fn a_removed_zone_that_is_listed_again_gets_an_unused_id() {
    let mut names = empty_names();
    let first = zone_of_listed_backend(&mut names, "east");
    let second = zone_of_listed_backend(&mut names, "west");
    names.retain_backends(|_| true);

    let again = zone_of_listed_backend(&mut names, "east");

    assert!(again != first && again != second);
}

#[test]
fn a_zone_that_settings_name_keeps_its_id_without_backends() {
    let mut names = empty_names();
    let zone = names.assign_settings_zone("east");

    names.retain_backends(|_| false);

    assert_eq!(names.find_zone("east"), Some(zone));
    assert_eq!(zone_of_listed_backend(&mut names, "east"), zone);
}

#[test]
fn an_endpoint_is_translated_with_defaults_for_absent_fields() {
    let list = parse(
        r#"{"generation": 3, "reset": true, "instances":
            [{"instanceId": "s-0", "hostPort": "127.0.0.1:80", "lifecycle": "SERVING"}]}"#,
    );

    let listed = empty_names().translate(list.instances, &Clock::start());

    let expected = Endpoint {
        id: BackendId(fnv1a("s-0")),
        cell: CellId(0),
        zone: ZoneId(0),
        weight: DEFAULT_WEIGHT,
        status: Status::InService,
        started_at: None,
    };
    assert_eq!(listed[0].endpoint, expected);
    assert_eq!(listed[0].address, "127.0.0.1:80".parse().unwrap());
}

#[test]
fn each_lifecycle_has_its_status() {
    let statuses = [RawLifecycle::Serving, RawLifecycle::Draining, RawLifecycle::Deleted].map(Status::from);

    assert_eq!(statuses, [Status::InService, Status::Draining, Status::Removed]);
}

#[test]
fn a_negative_weight_is_replaced_and_a_weight_of_zero_is_kept() {
    let list = parse(
        r#"{"generation": 3, "reset": true, "instances": [
            {"instanceId": "a", "hostPort": "127.0.0.1:80", "lifecycle": "SERVING", "weight": -1},
            {"instanceId": "b", "hostPort": "127.0.0.1:80", "lifecycle": "SERVING", "weight": 0}]}"#,
    );

    let listed = empty_names().translate(list.instances, &Clock::start());

    let weights: Vec<f64> = listed.iter().map(|listed| listed.endpoint.weight).collect();
    assert_eq!(weights, [DEFAULT_WEIGHT, 0.0]);
}

#[test]
fn a_start_time_becomes_a_time_of_the_clock() {
    let clock = Clock::start();
    let list = parse(
        r#"{"generation": 3, "reset": true, "instances": [{"instanceId": "a", "hostPort": "127.0.0.1:80",
            "lifecycle": "DRAINING", "startedAtMs": 1000}]}"#,
    );

    let listed = empty_names().translate(list.instances, &clock);

    assert_eq!(listed[0].endpoint.started_at, Some(clock.from_unix_time(1.0)));
}
