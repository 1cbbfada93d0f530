//! Overload at the entry tier and at lower tiers, and the sizes of subsets.

use super::{set_behaviour, settings, tenant};
use crate::scenario::{Behaviour, Change, Scenario, Traffic, endpoints};
use balancer::{Settings, Tier};

pub fn entry_overload() -> Scenario {
    let settings = Settings {
        tenants: (1..=8).map(|index| tenant(&format!("tenant {index}"), 24.0 * f64::from(index))).collect(),
        over_quota_weight: 0.2,
        max_retry_after: 0.1,
        hedging_allowed: false,
        ..settings()
    };
    let mut scenario = Scenario::new("entry_overload", 1, settings, endpoints(4));
    scenario.duration = 5.0;
    scenario.traffic = Traffic { rate: 60.0, service_time: 0.05, ..Traffic::default() };
    scenario
        .at(1.5, Change::Rate(420.0))
        .at(2.3, Change::Rate(120.0))
        .at(3.0, Change::Rate(330.0))
        .at(4.3, Change::Rate(150.0))
        .at(4.4, Change::SecondProcessBegins)
        .at(4.7, Change::SecondProcessEnds)
}

pub fn lower_tier_overload() -> Scenario {
    let settings = Settings { tier: Tier(1), max_retry_after: 5.0, ..settings() };
    let mut scenario = Scenario::new("lower_tier_overload", 2, settings, endpoints(5));
    scenario.duration = 4.0;
    scenario.traffic = Traffic { service_time: 0.05, min_timeout_fraction: 0.05, ..Traffic::default() };
    scenario.at(1.5, Change::Rate(400.0)).at(2.5, Change::Rate(80.0)).at(3.5, Change::Rate(250.0))
}

pub fn retries_under_overload() -> Scenario {
    let mut settings = Settings { tier: Tier(1), ..settings() };
    settings.classes.truncate(1);
    let mut scenario = Scenario::new("retries_under_overload", 13, settings, endpoints(4));
    scenario.duration = 3.0;
    scenario.traffic = Traffic { rate: 100.0, service_time: 0.05, ..Traffic::default() };
    scenario.at(0.8, Change::Rate(500.0)).at(2.5, set_behaviour(2, Behaviour::Hangs))
}

pub fn connections_with_cost() -> Scenario {
    let settings = Settings { tier: Tier(1), connections_have_cost: true, instance_count: 20, ..settings() };
    let mut scenario = Scenario::new("connections_with_cost", 12, settings, endpoints(20));
    scenario.traffic = Traffic { rate: 300.0, service_time: 0.06, ..Traffic::default() };
    scenario.duration = 3.0;
    scenario.at(2.2, Change::Rate(500.0))
}

pub fn busy_entry_balancer() -> Scenario {
    let settings = Settings { instance_count: 12, ..settings() };
    let mut scenario = Scenario::new("busy_entry_balancer", 16, settings, endpoints(8));
    scenario.duration = 2.6;
    scenario.traffic = Traffic { rate: 250.0, service_time: 0.05, ..Traffic::default() };
    scenario.at(1.2, Change::Rate(400.0)).at(1.8, Change::Rate(280.0))
}
