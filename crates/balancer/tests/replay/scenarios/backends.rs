//! Backends that start, hang or are slow, maintenance, zones, and the endpoint list.

use super::{change_maintenance, set_behaviour, set_latency_factor, set_start_time, set_status, settings};
use crate::scenario::{Behaviour, Change, Reporting, Scenario, Traffic, endpoints};
use balancer::{BackendId, MaintenanceChange, Outcome, Settings, Status, Tier, ZoneId};

pub fn slow_start_by_own_rate() -> Scenario {
    let settings = Settings {
        tier: Tier(1),
        instance_count: 1,
        instance_index: 0,
        slow_start_duration: 4.0,
        must_poll_endpoints: true,
        endpoint_poll_limit: 1.0,
        ..settings()
    };
    let mut scenario = Scenario::new("slow_start_by_own_rate", 6, settings, endpoints(5));
    scenario.duration = 6.5;
    scenario.traffic.rate = 100.0;
    scenario
        .at(1.0, change_maintenance(1, MaintenanceChange::Begins))
        .at(1.5, set_start_time(3, 1.4))
        .at(2.0, set_start_time(4, 1.0))
        .at(2.0, change_maintenance(1, MaintenanceChange::Ends))
        .at(2.5, change_maintenance(2, MaintenanceChange::Begins))
        .at(3.0, set_start_time(9, 2.9))
        .at(3.5, set_start_time(10, 3.4))
        .at(3.6, set_start_time(2, 3.5))
        .at(3.7, change_maintenance(2, MaintenanceChange::Ends))
        .at(5.0, set_start_time(5, 4.5))
}

pub fn slow_start_by_reported_rates() -> Scenario {
    let mut scenario = slow_start_by_own_rate();
    scenario.name = "slow_start_by_reported_rates";
    scenario.seed = 7;
    scenario.reporting = Reporting::ServiceTimesAndRates;
    scenario.at(4.0, set_latency_factor(6, 2.0)).at(6.0, change_maintenance(7, MaintenanceChange::Begins))
}

pub fn polled_endpoint_list() -> Scenario {
    let settings = Settings {
        must_poll_endpoints: true,
        endpoint_poll_limit: 2.0,
        idle_close_limit: Some(1.0),
        ..settings()
    };
    let mut scenario = Scenario::new("polled_endpoint_list", 8, settings, endpoints(7));
    scenario.duration = 10.0;
    scenario.traffic.rate = 30.0;
    scenario
        .at(2.0, set_status(3, Status::Draining))
        .at(2.5, set_status(3, Status::Removed))
        .at(3.0, Change::DiscoveryFails)
        .at(3.5, set_status(8, Status::InService))
        .at(6.0, Change::DiscoveryRecovers)
        .at(7.0, set_status(5, Status::Draining))
        .at(7.5, Change::Unlist(BackendId(6)))
        .at(8.0, Change::DiscoveryFails)
        .at(9.0, Change::DiscoveryRecovers)
}

pub fn overloaded_discovery() -> Scenario {
    let settings = Settings { must_poll_endpoints: true, endpoint_poll_limit: 2.0, ..settings() };
    let mut scenario = Scenario::new("overloaded_discovery", 18, settings, endpoints(5));
    scenario.duration = 24.0;
    scenario.traffic.rate = 10.0;
    scenario
        .at(2.0, Change::DiscoveryRejects)
        .at(3.0, set_status(2, Status::Draining))
        .at(14.0, Change::DiscoveryFails)
        .at(16.0, Change::DiscoveryRejects)
        .at(20.0, Change::DiscoveryRecovers)
        .at(22.0, Change::DiscoveryRejects)
}

pub fn cross_zone_cost() -> Scenario {
    let settings = Settings {
        tier: Tier(1),
        zone: ZoneId(1),
        cross_zone_cost: 0.05,
        health_checks_for_load_reports: true,
        ..settings()
    };
    let mut scenario = Scenario::new("cross_zone_cost", 9, settings, endpoints(10));
    scenario.reporting = Reporting::ServiceTimes;
    scenario.traffic = Traffic { rate: 90.0, ..Traffic::default() };
    scenario
        .at(1.0, set_latency_factor(1, 3.0))
        .at(2.0, set_latency_factor(3, 2.0))
        .at(3.0, set_behaviour(5, Behaviour::Hangs))
        .at(4.0, Change::Rate(250.0))
        .at(5.0, Change::Rate(60.0))
}

pub fn hung_and_outlying_backends() -> Scenario {
    let settings =
        Settings { instance_count: 2, cancellation_allowed: false, must_poll_endpoints: true, ..settings() };
    let mut scenario = Scenario::new("hung_and_outlying_backends", 11, settings, endpoints(6));
    scenario.traffic.rate = 100.0;
    scenario
        .at(1.0, set_latency_factor(1, 4.0))
        .at(2.0, set_behaviour(2, Behaviour::Fails(Outcome::Error)))
        .at(3.0, set_behaviour(3, Behaviour::Hangs))
        .at(4.0, set_behaviour(2, Behaviour::Fails(Outcome::Reset)))
        .at(4.2, change_maintenance(4, MaintenanceChange::Begins))
        .at(4.6, change_maintenance(4, MaintenanceChange::Ends))
        .at(5.0, set_latency_factor(3, 1.0))
        .at(6.0, set_latency_factor(2, 2.4))
}
