//! The simulated network and backends, as one caller reaches them.
//!
//! Backends respond after an exponential service time without queues, so that callers don't affect
//! one another.

use crate::fleet::faults::{Outage, OutageKind};
use crate::fleet::random;
use crate::fleet::scenario::Scenario;
use balancer::{Outcome, Time};
use rand::rngs::SmallRng;

/// How an attempt ends.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// Its outcome.
    pub outcome: Outcome,
    /// When the caller sees it.
    pub at: Time,
    /// Whether the backend was down or partitioned when the attempt was sent.
    pub unavailable: bool,
}

/// When an attempt is sent and given up.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTimes {
    /// When it is sent.
    pub sent: Time,
    /// When it times out.
    pub timeout_at: Time,
}

/// The network as seen from one machine.
#[derive(Debug)]
pub struct Network<'a> {
    scenario: &'a Scenario<'a>,
    /// The zone of the machine.
    zone: usize,
    /// When each backend last responded: a connection to it stays open for a while.
    last_response: Vec<Time>,
}

impl<'a> Network<'a> {
    /// The network as seen from a zone, without connections.
    pub fn new(scenario: &'a Scenario<'a>, zone: usize) -> Self {
        let last_response = vec![f64::NEG_INFINITY; scenario.service().machines.len()];
        Self { scenario, zone, last_response }
    }

    /// Records a response of a backend.
    pub fn record_response(&mut self, backend: usize, now: Time) {
        self.last_response[backend] = now;
    }

    /// Closes all connections, as their process has ended.
    pub fn close_connections(&mut self) {
        self.last_response.fill(f64::NEG_INFINITY);
    }

    /// Draws how long an endpoint update takes from a zone to this machine.
    pub fn update_delay(&self, from_zone: usize, rng: &mut SmallRng) -> Time {
        let delay = self.scenario.context.plan.update_delay;
        let publication = delay.median * (delay.sigma * random::normal(rng)).exp();
        publication + 0.5 * self.round_trip(from_zone)
    }

    /// Whether some backend is in service and reachable, regardless of the caller's endpoint list.
    pub fn any_backend_reachable(&self, now: Time) -> bool {
        let context = &self.scenario.context;
        self.scenario
            .service()
            .machines
            .clone()
            .any(|machine| context.faults.in_service(machine, now) && !self.partitioned_from(machine, now))
    }

    /// Draws how an attempt to a backend ends.
    pub fn attempt(&self, backend: usize, times: AttemptTimes, rng: &mut SmallRng) -> AttemptEnd {
        let context = &self.scenario.context;
        let service = self.scenario.service();
        let machine = service.machines.start + backend;
        let round_trip = self.round_trip(context.topology.machines[machine].zone);
        let service_time = service.service_time * random::exponential(rng);
        let outage = context.faults.outages[machine];
        let down = outage.filter(|outage| outage.is_down(times.sent));
        let crashed = down.is_some_and(|outage| outage.kind == OutageKind::Crash);
        if crashed || self.partitioned_from(machine, times.sent) {
            return self.attempt_without_peer(backend, times);
        }
        if down.is_some() {
            let at = times.timeout_at.min(times.sent + round_trip);
            return AttemptEnd { outcome: Outcome::NoConnection, at, unavailable: true };
        }
        let response_at = times.sent + round_trip + service_time;
        let end = self.attempt_in_flight(machine, outage, times, response_at);
        if end.at >= times.timeout_at {
            return AttemptEnd { outcome: Outcome::Timeout, at: times.timeout_at, unavailable: false };
        }
        end
    }

    /// An attempt to which nothing responds: it times out on an open connection, and a new connection
    /// is not established.
    fn attempt_without_peer(&self, backend: usize, times: AttemptTimes) -> AttemptEnd {
        let plan = self.scenario.context.plan;
        let connected = times.sent < self.last_response[backend] + plan.idle_timeout;
        if connected {
            return AttemptEnd { outcome: Outcome::Timeout, at: times.timeout_at, unavailable: true };
        }
        let at = times.timeout_at.min(times.sent + plan.connect_timeout);
        AttemptEnd { outcome: Outcome::NoConnection, at, unavailable: true }
    }

    /// An attempt that a backend has received: its response, unless an outage or a partition
    /// prevents it.
    fn attempt_in_flight(
        &self,
        machine: usize,
        outage: Option<Outage>,
        times: AttemptTimes,
        response_at: Time,
    ) -> AttemptEnd {
        let context = &self.scenario.context;
        let round_trip = self.round_trip(context.topology.machines[machine].zone);
        let interrupting = outage.filter(|outage| (times.sent..response_at).contains(&outage.down));
        let (outcome, at) = match interrupting {
            Some(Outage { kind: OutageKind::Restart, down, .. }) => (Outcome::Reset, down + 0.5 * round_trip),
            Some(Outage { kind: OutageKind::Crash, .. }) => (Outcome::Timeout, times.timeout_at),
            None if self.partitioned_from(machine, response_at) => (Outcome::Timeout, times.timeout_at),
            None => (Outcome::Success, response_at),
        };
        AttemptEnd { outcome, at, unavailable: false }
    }

    fn partitioned_from(&self, machine: usize, at: Time) -> bool {
        let context = &self.scenario.context;
        let zone = context.topology.machines[machine].zone;
        context.faults.partitioned(self.zone, zone, at, context.topology)
    }

    fn round_trip(&self, zone: usize) -> Time {
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
