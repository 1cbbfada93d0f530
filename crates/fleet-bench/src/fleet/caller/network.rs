//! The simulated network and backends, as seen from one caller.
//!
//! Backends respond after an exponentially distributed service time and have no queues, so that callers
//! do not affect one another.

use crate::fleet::faults::{Outage, OutageKind};
use crate::fleet::random;
use crate::fleet::scenario::Scenario;
use balancer::{Outcome, Time, ZoneId};
use rand::rngs::SmallRng;

/// End of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Time at which the caller observes the outcome, in seconds.
    pub at: Time,
    /// Whether the backend was down or partitioned when the attempt was sent.
    pub unavailable: bool,
}

/// Start and timeout of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTimes {
    /// Time of the send, in seconds.
    pub sent_at: Time,
    /// Time at which the attempt times out, in seconds.
    pub timeout_at: Time,
}

/// The network as seen from one machine.
#[derive(Debug)]
pub struct Network<'a> {
    scenario: &'a Scenario<'a>,
    /// The zone of the machine.
    zone: ZoneId,
    /// Time of the last response of each backend, in seconds; `None` without a connection. The connection
    /// to a backend is open from a response until the idle timeout has passed.
    last_response: Vec<Option<Time>>,
}

impl<'a> Network<'a> {
    /// Creates the network as seen from a zone, without open connections.
    pub fn new(scenario: &'a Scenario<'a>, zone: ZoneId) -> Self {
        let last_response = vec![None; scenario.service().machines.len()];
        Self { scenario, zone, last_response }
    }

    /// Records a response of a backend.
    pub fn record_response(&mut self, backend: usize, now: Time) {
        self.last_response[backend] = Some(now);
    }

    /// Closes all connections because the process has ended.
    pub fn close_connections(&mut self) {
        self.last_response.fill(None);
    }

    /// Draws the delay of an endpoint update from a zone to this machine, in seconds.
    pub fn draw_update_delay(&self, from_zone: ZoneId, rng: &mut SmallRng) -> Time {
        let delay = self.scenario.context.plan.update_delay;
        let discovery_delay = delay.median * (delay.sigma * random::draw_normal(rng)).exp();
        discovery_delay + 0.5 * self.round_trip(from_zone)
    }

    /// Returns whether at least one backend is in service and reachable, regardless of the endpoint list
    /// of the caller.
    pub fn any_backend_reachable(&self, now: Time) -> bool {
        let context = &self.scenario.context;
        self.scenario.service().machines.clone().any(|machine| {
            context.faults.is_in_service(machine, now) && !self.is_partitioned_from(machine, now)
        })
    }

    /// Draws the end of an attempt to a backend.
    pub fn draw_attempt_end(&self, backend: usize, times: AttemptTimes, rng: &mut SmallRng) -> AttemptEnd {
        let context = &self.scenario.context;
        let service = self.scenario.service();
        let machine = service.machines.start + backend;
        let round_trip = self.round_trip(context.topology.machines[machine].zone);
        let service_time = service.service_time * random::draw_exponential(rng);
        let outage = context.faults.outages[machine];
        let current_outage = outage.filter(|outage| outage.is_down(times.sent_at));
        let crashed = current_outage.is_some_and(|outage| outage.kind == OutageKind::Crash);
        if crashed || self.is_partitioned_from(machine, times.sent_at) {
            return self.end_at_unreachable_backend(backend, times);
        }
        if current_outage.is_some() {
            let at = times.timeout_at.min(times.sent_at + round_trip);
            return AttemptEnd { outcome: Outcome::NoConnection, at, unavailable: true };
        }
        let response_at = times.sent_at + round_trip + service_time;
        let end = self.end_in_flight(machine, outage, times, response_at);
        if end.at >= times.timeout_at {
            return AttemptEnd { outcome: Outcome::Timeout, at: times.timeout_at, unavailable: false };
        }
        end
    }

    /// Returns the end of an attempt to a crashed or partitioned backend: on an open connection the
    /// attempt times out; otherwise the connection is not established.
    fn end_at_unreachable_backend(&self, backend: usize, times: AttemptTimes) -> AttemptEnd {
        let plan = self.scenario.context.plan;
        let is_connected =
            self.last_response[backend].is_some_and(|last| times.sent_at < last + plan.idle_timeout);
        if is_connected {
            return AttemptEnd { outcome: Outcome::Timeout, at: times.timeout_at, unavailable: true };
        }
        let at = times.timeout_at.min(times.sent_at + plan.connect_timeout);
        AttemptEnd { outcome: Outcome::NoConnection, at, unavailable: true }
    }

    /// Returns the end of an attempt that a backend has received: the response, unless an outage or a
    /// partition prevents the response.
    fn end_in_flight(
        &self,
        machine: usize,
        outage: Option<Outage>,
        times: AttemptTimes,
        response_at: Time,
    ) -> AttemptEnd {
        let context = &self.scenario.context;
        let round_trip = self.round_trip(context.topology.machines[machine].zone);
        let interrupting_outage =
            outage.filter(|outage| (times.sent_at..response_at).contains(&outage.down_at));
        let (outcome, at) = match interrupting_outage {
            Some(Outage { kind: OutageKind::Restart, down_at, .. }) => {
                (Outcome::Reset, down_at + 0.5 * round_trip)
            }
            Some(Outage { kind: OutageKind::Crash, .. }) => (Outcome::Timeout, times.timeout_at),
            None if self.is_partitioned_from(machine, response_at) => (Outcome::Timeout, times.timeout_at),
            None => (Outcome::Success, response_at),
        };
        AttemptEnd { outcome, at, unavailable: false }
    }

    fn is_partitioned_from(&self, machine: usize, at: Time) -> bool {
        let context = &self.scenario.context;
        let zone = context.topology.machines[machine].zone;
        context.faults.is_partitioned(self.zone, zone, at, context.topology)
    }

    fn round_trip(&self, zone: ZoneId) -> Time {
        let context = &self.scenario.context;
        let times = context.plan.round_trips;
        if zone == self.zone {
            times.same_zone
        } else if context.topology.region(zone) == context.topology.region(self.zone) {
            times.same_region
        } else {
            times.cross_region
        }
    }
}
