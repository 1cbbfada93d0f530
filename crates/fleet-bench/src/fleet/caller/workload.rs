//! The calls that a caller makes: when, and of which class.

use crate::fleet::faults::{Outage, OutageKind};
use crate::fleet::plan::Plan;
use crate::fleet::random;
use crate::fleet::scenario::Scenario;
use crate::fleet::settings::{IDEMPOTENT_CLASS, SAFE_CLASS, UNSAFE_CLASS};
use balancer::{ClassIndex, Time};
use rand::Rng;
use rand::rngs::SmallRng;

/// Time before its stop in which a process makes no calls, in seconds: the process could not report the
/// outcomes.
const QUIET_BEFORE_STOP: Time = 1.0;

/// The calls of one machine's proxy.
#[derive(Debug)]
pub struct Workload<'a> {
    plan: &'a Plan,
    /// Calls per second.
    rate: f64,
    /// The outage of the machine, if there is one.
    outage: Option<Outage>,
}

impl<'a> Workload<'a> {
    /// Creates the workload of a machine's proxy.
    pub fn new(scenario: &Scenario<'a>, machine: usize) -> Self {
        let context = &scenario.context;
        Self {
            plan: context.plan,
            rate: context.topology.machines[machine].rate,
            outage: context.faults.outages[machine],
        }
    }

    /// Draws the time of the next call; none if the process stops or the phase ends before.
    pub fn draw_next(&self, now: Time, rng: &mut SmallRng) -> Option<Time> {
        let at = now + random::draw_exponential(rng) / self.rate;
        (at < self.plan.end().min(self.last_call_before(now))).then_some(at)
    }

    /// Returns the time at which the process that runs at a time stops making calls, in seconds.
    fn last_call_before(&self, now: Time) -> Time {
        match self.outage.filter(|outage| now < outage.down) {
            Some(outage) if outage.kind == OutageKind::Restart => {
                (outage.down - QUIET_BEFORE_STOP).max(outage.drain)
            }
            Some(outage) => outage.down,
            None => f64::INFINITY,
        }
    }

    /// Draws whether a call is made: a backend that is warming up gets fewer requests, and its proxy
    /// makes fewer calls.
    pub fn draw_is_made(&self, now: Time, rng: &mut SmallRng) -> bool {
        rng.random::<f64>() < self.activity(now)
    }

    /// Returns the fraction of its calls that the proxy makes at a time.
    fn activity(&self, now: Time) -> f64 {
        match self.outage.filter(|outage| outage.up <= now) {
            // Callers of its backend have not been notified yet.
            Some(outage) if now < outage.up + self.plan.update_delay.median => 0.0,
            Some(outage) => self.plan.capacity_fraction(now - outage.up),
            None => 1.0,
        }
    }

    /// Draws the class of a call.
    pub fn draw_class(&self, rng: &mut SmallRng) -> ClassIndex {
        let drawn: f64 = rng.random();
        let fractions = self.plan.effects;
        if drawn < fractions.safe {
            SAFE_CLASS
        } else if drawn < fractions.safe + fractions.idempotent {
            IDEMPOTENT_CLASS
        } else {
            UNSAFE_CLASS
        }
    }
}
