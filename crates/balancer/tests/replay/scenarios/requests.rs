//! Requests of all effects, with ordering keys, streamed bodies or brief timeouts, and changing settings.

use super::{class, set_behaviour, set_latency_factor, settings, tenant};
use crate::scenario::{Behaviour, Change, Scenario, Traffic, endpoints};
use balancer::{BackendId, Effect, Outcome, Settings, Tier, Time};

pub fn effects_with_failures() -> Scenario {
    let settings = Settings {
        tier: Tier(1),
        cancellation_allowed: false,
        instance_count: 1,
        instance_index: 0,
        ..settings()
    };
    let mut endpoints = endpoints(10);
    for endpoint in &mut endpoints {
        // The mean of ten equal loads of 1/10 is less than 1/10, by rounding.
        endpoint.weight = 10.0;
    }
    let mut scenario = Scenario::new("effects_with_failures", 3, settings, endpoints);
    scenario.traffic = Traffic { failing_fraction: 0.25, disconnecting_fraction: 0.05, ..Traffic::default() };
    scenario
        .at(1.0, set_behaviour(2, Behaviour::Fails(Outcome::NoConnection)))
        .at(2.0, set_behaviour(3, Behaviour::Fails(Outcome::Rejected)))
        .at(3.0, set_behaviour(5, Behaviour::Hangs))
        .at(4.5, Change::Unlist(BackendId(7)))
        .at(4.6, Change::SendList)
        .at(5.0, set_latency_factor(2, 1.0))
        .at(6.0, set_latency_factor(5, 1.0))
}

pub fn ordered_keys() -> Scenario {
    let mut settings = Settings { key_block_duration: 0.05, cancellation_allowed: false, ..settings() };
    for class in &mut settings.classes {
        class.ordered_by_key = true;
    }
    let mut scenario = Scenario::new("ordered_keys", 4, settings, endpoints(6));
    scenario.traffic = Traffic { failing_fraction: 0.1, disconnecting_fraction: 0.05, ..Traffic::default() };
    scenario.at(2.0, set_behaviour(3, Behaviour::Hangs)).at(4.0, set_latency_factor(3, 3.0))
}

pub fn streamed_bodies() -> Scenario {
    let settings = Settings { tier: Tier(1), must_poll_endpoints: true, ..settings() };
    let mut scenario = Scenario::new("streamed_bodies", 5, settings, endpoints(6));
    scenario.traffic = Traffic {
        streamed_fraction: 0.5,
        failing_fraction: 0.1,
        disconnecting_fraction: 0.05,
        ..Traffic::default()
    };
    scenario
        .at(3.0, Change::Rate(200.0))
        .at(4.0, Change::Rate(40.0))
        .at(5.0, set_behaviour(2, Behaviour::Hangs))
}

pub fn stalled_bodies() -> Scenario {
    let mut scenario = Scenario::new("stalled_bodies", 17, settings(), endpoints(6));
    scenario.traffic = Traffic {
        streamed_fraction: 0.4,
        stalled_fraction: 0.2,
        failing_fraction: 0.1,
        ..Traffic::default()
    };
    scenario.at(3.0, Change::Rate(150.0)).at(4.0, set_behaviour(2, Behaviour::Hangs))
}

pub fn brief_timeouts() -> Scenario {
    let mut settings = settings();
    for class in &mut settings.classes {
        class.max_timeout = 0.06;
    }
    let mut scenario = Scenario::new("brief_timeouts", 15, settings, endpoints(6));
    scenario.traffic = Traffic { service_time: 0.04, min_timeout_fraction: 0.2, ..Traffic::default() };
    scenario
}

pub fn quiet_balancer() -> Scenario {
    let settings = Settings { tier: Tier(1), instance_count: 2, ..settings() };
    let mut scenario = Scenario::new("quiet_balancer", 14, settings, endpoints(4));
    scenario.duration = 80.0;
    scenario.traffic = Traffic { rate: 4.0, failing_fraction: 0.6, ..Traffic::default() };
    scenario.at(40.0, set_behaviour(2, Behaviour::Hangs))
}

pub fn changing_settings() -> Scenario {
    let initial = Settings {
        tenants: vec![tenant("small", 20.0), tenant("large", 200.0)],
        over_quota_weight: 0.5,
        ..settings()
    };
    let mut reordered = initial.clone();
    reordered.classes.reverse();
    reordered.tenants.reverse();
    let mut fewer = reordered.clone();
    fewer.classes.truncate(2);
    fewer.tenants.pop();
    let mut more = fewer.clone();
    more.classes.push(class("new", Effect::Safe));
    more.tenants.push(tenant("new", 40.0));
    let without_tenants = Settings { tenants: Vec::new(), instance_count: 6, ..more.clone() };
    let mut scenario = Scenario::new("changing_settings", 10, initial.clone(), endpoints(9));
    let versions = [reordered, fewer, more, without_tenants, initial];
    for (index, settings) in versions.iter().cycle().take(10).enumerate() {
        let at = 0.7 * (index + 1) as Time;
        let begins = index.is_multiple_of(2);
        let second_process = if begins { Change::SecondProcessBegins } else { Change::SecondProcessEnds };
        scenario = scenario.at(at, Change::Settings(Box::new(settings.clone()))).at(at + 0.1, second_process);
    }
    scenario
}
