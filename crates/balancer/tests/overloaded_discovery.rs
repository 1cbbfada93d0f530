//! A fleet of balancers that poll one discovery, which returns after an outage and can serve fewer calls a
//! second than the balancers make if each of them calls about once a second.
//!
//! Guards against an overload that does not end: discovery spent its time on calls that it had already
//! rejected, because they had waited for too long, and all balancers called again soon. In a simulated day no
//! new watch succeeded for 12 s, until the end of the day, and requests went to backends that were draining.

mod common;

use balancer::{Action, EndpointUpdate, Event, Settings, Time};
use common::balancer_harness::BalancerHarness;
use common::fixtures::{endpoint, safe_settings};
use std::collections::VecDeque;

const BALANCER_COUNT: usize = 300;
/// The time step of the simulation, in seconds.
const TIME_STEP: Time = 0.01;
/// The time at which discovery returns, in seconds. All balancers poll by then.
const RETURN_TIME: Time = 12.0;
/// The time after a change at which a balancer counts as notified of the change, in seconds.
const MAX_NOTIFICATION_DELAY: Time = 6.0;
/// The number of calls that discovery serves in a second, a third of the number of balancers.
const SERVED_PER_SECOND: f64 = 100.0;
/// The number of calls that discovery queues. More calls are rejected at once.
const MAX_QUEUED_CALLS: usize = 300;
/// The time after which discovery rejects a call that it has not served, in seconds.
const MAX_CALL_WAIT: Time = 2.0;

/// A call that discovery has not answered.
#[derive(Clone, Copy)]
struct Call {
    balancer: usize,
    started_at: Time,
    is_rejected: bool,
}

/// The answer to a call.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Answer {
    List,
    Rejection,
}

/// A discovery with one queue. A call that was rejected after its wait keeps its place in the queue, and
/// takes as much time as one that is served.
#[derive(Default)]
struct Discovery {
    queue: VecDeque<Call>,
    /// The fraction of the next call that is served.
    progress: f64,
}

impl Discovery {
    /// Advances discovery to time `now`, with the calls that have arrived. Returns the answers.
    fn advance(&mut self, now: Time, arrivals: impl Iterator<Item = usize>) -> Vec<(usize, Answer)> {
        let mut answers = Vec::new();
        for balancer in arrivals {
            if self.queue.len() < MAX_QUEUED_CALLS {
                self.queue.push_back(Call { balancer, started_at: now, is_rejected: false });
            } else {
                answers.push((balancer, Answer::Rejection));
            }
        }
        let waited_too_long = |call: &&mut Call| !call.is_rejected && now - call.started_at >= MAX_CALL_WAIT;
        for call in self.queue.iter_mut().filter(waited_too_long) {
            call.is_rejected = true;
            answers.push((call.balancer, Answer::Rejection));
        }
        if now < RETURN_TIME {
            self.queue.retain(|call| !call.is_rejected);
        } else {
            answers.extend(self.serve().map(|balancer| (balancer, Answer::List)));
        }
        answers
    }

    /// Serves calls for one time step. Returns the balancers whose calls were served in time.
    fn serve(&mut self) -> impl Iterator<Item = usize> {
        self.progress += SERVED_PER_SECOND * TIME_STEP;
        let count = self.progress.floor();
        self.progress -= count;
        let served = self.queue.drain(..(count as usize).min(self.queue.len()));
        let in_time: Vec<_> = served.filter(|call| !call.is_rejected).map(|call| call.balancer).collect();
        in_time.into_iter()
    }
}

/// Returns the balancers whose polls start by time `now`.
fn starting_polls(balancers: &mut [BalancerHarness], now: Time) -> Vec<usize> {
    let polls = |(index, balancer): (usize, &mut BalancerHarness)| {
        balancer.actions_until(now).contains(&Action::WatchEndpoints).then_some(index)
    };
    balancers.iter_mut().enumerate().filter_map(polls).collect()
}

/// Runs the fleet until this time, and returns the number of balancers without a list.
fn run_fleet_until(end: Time) -> usize {
    let settings = Settings { must_poll_endpoints: true, ..safe_settings() };
    let mut balancers: Vec<_> = (0..BALANCER_COUNT as u64)
        .map(|seed| BalancerHarness::with_seed(seed, settings.clone(), &[endpoint(1)]))
        .collect();
    let mut discovery = Discovery::default();
    let mut without_list = BALANCER_COUNT;
    let mut now = 0.0;
    while now < end {
        now += TIME_STEP;
        let polls = starting_polls(&mut balancers, now);
        for (balancer, answer) in discovery.advance(now, polls.into_iter()) {
            let update = match answer {
                Answer::List => EndpointUpdate::Changes(&[]),
                Answer::Rejection => EndpointUpdate::Rejected,
            };
            balancers[balancer].handle(Event::Endpoints(update));
            without_list -= usize::from(answer == Answer::List);
        }
    }
    without_list
}

#[test]
fn every_balancer_is_notified_in_time_after_an_overloaded_discovery_returns() {
    assert!(run_fleet_until(RETURN_TIME) > BALANCER_COUNT / 2, "discovery is not overloaded");

    assert_eq!(run_fleet_until(RETURN_TIME + MAX_NOTIFICATION_DELAY), 0);
}
