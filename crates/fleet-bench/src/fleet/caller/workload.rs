//! Draws the times and classes of the calls that a caller makes.

use crate::fleet::faults::{Outage, OutageKind};
use crate::fleet::plan::Plan;
use crate::fleet::random;
use crate::fleet::scenario::Scenario;
use crate::fleet::settings::{IDEMPOTENT_CLASS, SAFE_CLASS, UNSAFE_CLASS};
use balancer::{ClassIndex, Time};
use rand::Rng;
use rand::rngs::SmallRng;

/// Time before the stop of a restarted process in which the process makes no calls, in seconds. The
/// process would stop before it could report the outcome of such a call.
const FINAL_SECONDS_WITHOUT_CALLS: Time = 1.0;

/// The calls of one machine's proxy.
#[derive(Debug)]
pub struct Workload<'a> {
    plan: &'a Plan,
    /// Calls per second.
    call_rate: f64,
    /// The outage of the machine, if there is one.
    outage: Option<Outage>,
}

impl<'a> Workload<'a> {
    /// Creates the workload of a machine's proxy.
    pub fn new(scenario: &Scenario<'a>, machine: usize) -> Self {
        let context = &scenario.context;
        Self {
            plan: context.plan,
            call_rate: context.topology.machines[machine].call_rate,
            outage: context.faults.outages[machine],
        }
    }

    /// Draws the time of the next call; returns `None` if the process stops making calls or the phase ends
    /// first.
    pub fn draw_next_call_time(&self, now: Time, rng: &mut SmallRng) -> Option<Time> {
        let at = now + random::draw_exponential(rng) / self.call_rate;
        (at < self.plan.phase_end().min(self.calls_end_at(now))).then_some(at)
    }

    /// Returns the time at which the process that is running at `now` stops making calls, in seconds;
    /// infinity if the process does not stop.
    fn calls_end_at(&self, now: Time) -> Time {
        match self.outage.filter(|outage| now < outage.down_at) {
            Some(outage) if outage.kind == OutageKind::Restart => {
                (outage.down_at - FINAL_SECONDS_WITHOUT_CALLS).max(outage.drain_at)
            }
            Some(outage) => outage.down_at,
            None => f64::INFINITY,
        }
    }

    /// Draws whether a call is made: a backend that is warming up gets fewer requests, so its proxy makes
    /// fewer calls.
    pub fn draw_call_is_made(&self, now: Time, rng: &mut SmallRng) -> bool {
        rng.random::<f64>() < self.call_fraction(now)
    }

    /// Returns the fraction of its normal calls that the proxy makes at a time.
    fn call_fraction(&self, now: Time) -> f64 {
        match self.outage.filter(|outage| outage.up_at <= now) {
            // The callers of the machine's backend have not been notified of its start yet.
            Some(outage) if now < outage.up_at + self.plan.update_delay.median => 0.0,
            Some(outage) => self.plan.capacity_fraction(now - outage.up_at),
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
