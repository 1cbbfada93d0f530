//! Cold backends under the sum of what all balancers send: a small fleet of the real module, in
//! which every call is served, on virtual time.

mod common;

use balancer_proxy::*;
use common::balancer_harness::request_class;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const BACKENDS: usize = 20;
/// What a warm backend can do, in requests a second.
const STARTED: Time = 30.0;

/// One fleet, and what happens to it.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    balancers: usize,
    /// Part of what all backends can do that is asked for.
    load: f64,
    /// Every fifth balancer gets so many times the traffic of the others.
    skew: f64,
    /// Backends that start at the same time.
    cold: usize,
    /// The balancers start then too.
    fresh: bool,
    tier: usize,
    /// What a warm backend can do, in requests a second.
    capacity: f64,
    cold_share: f64,
    tip_after: Time,
    /// Answers tell what their backend serves.
    reports: bool,
}

enum Due {
    Arrival,
    Timer(u64),
    EndedAttempt(EndedAttempt),
}

fn settings(fleet: Fleet) -> Settings {
    Settings {
        classes: vec![RequestClass {
            latency_objective: 2.0,
            deadline: 4.0,
            late_priority_weight: 0.5,
            ..request_class(Effect::Safe)
        }],
        slow_start_initial_capacity: fleet.cold_share,
        slow_start_duration: 8.8,
        slow_start_overload_multiple: 3.0,
        slow_start_overload_window: fleet.tip_after,
        max_attempts: 6,
        connections_have_cost: true,
        ..Settings::default()
    }
}

/// What the settings allow a cold backend in the window that begins so long after its start.
fn allowed(settings: &Settings, capacity: f64, begun: Time) -> f64 {
    let ramp = |age: Time| {
        settings.slow_start_initial_capacity
            + (1.0 - settings.slow_start_initial_capacity)
                * (age / settings.slow_start_duration).clamp(0.0, 1.0)
    };
    let steps = 50;
    let mean: f64 = (0..steps)
        .map(|i| ramp(begun + settings.slow_start_overload_window * f64::from(i) / 50.0))
        .sum::<f64>()
        / 50.0;
    settings.slow_start_overload_multiple * capacity * mean * settings.slow_start_overload_window
}

/// Plays the fleet; returns the worst window of any cold backend against what makes it fall, and
/// what the cold ones got of what their ramp can do, both as ratios.
fn play(fleet: Fleet, seed: u64) -> (f64, f64) {
    let (capacity, took_mean) = (fleet.capacity, 2.0 / fleet.capacity);
    let mut rng = SmallRng::seed_from_u64(seed);
    let list: Vec<_> =
        (0..BACKENDS as u32).map(|i| Endpoint { id: BackendId(i * 7919), ..Endpoint::default() }).collect();
    let mut after = list.clone();
    after[..fleet.cold].iter_mut().for_each(|e| e.started_at = Some(STARTED));
    let begin = if fleet.fresh { STARTED } else { 0.0 };
    let end = STARTED + settings(fleet).slow_start_duration;
    let weight = |i: usize| if i.is_multiple_of(5) { fleet.skew } else { 1.0 };
    let weights: f64 = (0..fleet.balancers).map(weight).sum();
    let mut balancers: Vec<_> = (0..fleet.balancers)
        .map(|me| {
            let settings = Settings {
                instance_index: me,
                instance_count: fleet.balancers,
                tier: fleet.tier,
                ..settings(fleet)
            };
            Balancer::new(begin, seed * 1000 + me as u64, settings)
        })
        .collect();
    let mut queue = BinaryHeap::new();
    let mut dues: Vec<(usize, Due)> = Vec::new();
    // In whole nanoseconds, so that they sort.
    let set = |queue: &mut BinaryHeap<_>, dues: &mut Vec<_>, at: Time, i: usize, due: Due| {
        queue.push(Reverse(((at * 1e9) as u64, dues.len())));
        dues.push((i, due));
    };
    let mut told = false;
    let mut sent: Vec<Vec<Time>> = vec![Vec::new(); fleet.cold];
    let mut actions = Vec::new();
    let mut requests = 0;
    // A rate of each backend, over some two seconds, in answers as they end.
    let mut rates = vec![(0.0, begin); BACKENDS];
    for i in 0..fleet.balancers {
        let first = if fleet.fresh { &after } else { &list };
        balancers[i].handle(begin, Event::Endpoints(EndpointUpdate::Full(first)), &mut actions);
        set(&mut queue, &mut dues, begin + rng.random::<f64>() * 0.01, i, Due::Arrival);
    }
    actions.clear();
    while let Some(Reverse((at, number))) = queue.pop() {
        let now = at as f64 / 1e9;
        if now > end {
            break;
        }
        if now >= STARTED && !told {
            told = true;
            for balancer in &mut balancers {
                balancer.handle(
                    now,
                    Event::Endpoints(EndpointUpdate::Changes(&after[..fleet.cold])),
                    &mut actions,
                );
            }
        }
        let (i, due) = &dues[number];
        let i = *i;
        match due {
            Due::Arrival => {
                let rate = fleet.load * capacity * BACKENDS as f64 * weight(i) / weights;
                let gap = -(1.0 - rng.random::<f64>()).ln() / rate;
                set(&mut queue, &mut dues, now + gap, i, Due::Arrival);
                requests += 1;
                let request = Request { id: RequestId(requests), timeout: 4.0, ..Request::default() };
                balancers[i].handle(now, Event::Request(request), &mut actions);
            }
            Due::Timer(token) => balancers[i].handle(now, Event::Timer(*token), &mut actions),
            Due::EndedAttempt(ended) => {
                let (rate, at) = &mut rates[(ended.backend.0 / 7919) as usize];
                *rate = *rate * (-(now - *at) / 2.0).exp() + 0.5;
                *at = now;
                let report = fleet
                    .reports
                    .then_some(LoadReport { service_time: None, requests_per_second: Some(*rate) });
                balancers[i].handle(
                    now,
                    Event::AttemptEnded(EndedAttempt { report, ..*ended }),
                    &mut actions,
                );
            }
        }
        for action in std::mem::take(&mut actions) {
            match action {
                Action::SetTimer { at, token } => set(&mut queue, &mut dues, at, i, Due::Timer(token)),
                Action::Send { id, backend, .. } => {
                    let cold = (backend.0 / 7919) as usize;
                    if cold < fleet.cold && now >= STARTED {
                        sent[cold].push(now);
                    }
                    let took = took_mean * (0.5 + rng.random::<f64>());
                    let outcome = Outcome::Success;
                    let ended = EndedAttempt {
                        id,
                        backend,
                        attempt: 0,
                        outcome,
                        duration: took,
                        request_finished: true,
                        report: None,
                    };
                    set(&mut queue, &mut dues, now + took, i, Due::EndedAttempt(ended));
                }
                _ => {}
            }
        }
    }
    let settings = settings(fleet);
    let (mut worst, mut used): (f64, f64) = (0.0, 0.0);
    for sent in &sent {
        for (i, from) in sent.iter().enumerate() {
            let count =
                sent[i..].iter().take_while(|at| **at < from + settings.slow_start_overload_window).count();
            let most = allowed(&settings, capacity, from - STARTED);
            worst = worst.max(count as f64 / (most + 2.0 * most.sqrt() + 2.0));
        }
        let can =
            capacity * settings.slow_start_duration * (1.0 + settings.slow_start_initial_capacity) / 2.0;
        used += sent.len() as f64 / can / fleet.cold as f64;
    }
    (worst, used)
}

/// The worst window and the mean use over many seeds.
fn played(fleet: Fleet) -> (f64, f64) {
    const SEEDS: u64 = 40;
    let all: Vec<_> = (0..SEEDS).map(|seed| play(fleet, seed)).collect();
    let worst = all.iter().map(|(worst, _)| *worst).fold(0.0, f64::max);
    (worst, all.iter().map(|(_, used)| used).sum::<f64>() / SEEDS as f64)
}

/// Near full load, with windows of 1 s and a tenth of the capacity at first: chance weighs most there.
const NEAR_FULL: Fleet = Fleet {
    balancers: 20,
    load: 0.95,
    skew: 1.0,
    cold: 1,
    fresh: false,
    tier: 1,
    capacity: 10.0,
    cold_share: 0.1,
    tip_after: 1.0,
    reports: false,
};

#[test]
fn no_cold_backend_is_pushed_over_by_the_sum_of_all_balancers() {
    let mut fleets = Vec::new();
    for balancers in [20, 30] {
        for skew in [1.0, 5.0, 10.0] {
            for reports in [false, true] {
                for (cold, fresh) in [(1, false), (2, false), (14, false), (2, true), (14, true)] {
                    fleets.push(Fleet { balancers, skew, cold, fresh, reports, ..NEAR_FULL });
                }
            }
        }
    }
    // At the entry, and with other figures in the settings.
    for fleet in [NEAR_FULL, Fleet { skew: 5.0, cold: 14, fresh: true, ..NEAR_FULL }] {
        fleets.push(Fleet { tier: 0, ..fleet });
        fleets.push(Fleet { cold_share: 0.31, tip_after: 2.0, reports: true, ..fleet });
    }
    std::thread::scope(|scope| {
        let play = |fleet| move || (fleet, played(fleet));
        let plays: Vec<_> = fleets.into_iter().map(|fleet| scope.spawn(play(fleet))).collect();
        for (fleet, (worst, used)) in plays.into_iter().map(|play| play.join().unwrap()) {
            assert!(worst <= 1.0, "{worst:.2} of what makes it fall, {used:.2} of its ramp: {fleet:?}");
        }
    });
}

#[test]
fn a_cold_backend_is_used_as_far_as_its_ramp_goes_where_rates_are_reported() {
    for balancers in [20, 30] {
        let (_, used) = played(Fleet { balancers, reports: true, ..NEAR_FULL });
        assert!(used >= 1.0, "{used:.2} of what its ramp can do");
    }
}
