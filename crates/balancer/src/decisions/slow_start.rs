//! Slow start: what a backend that is warming up may be sent, so that the sum of all balancers doesn't
//! overload it.

use crate::interface::Time;
use crate::state::{BackendIndex, Balancer};
use rand::Rng;

/// Part of what would overload a backend that is warming up that all balancers together plan to send it.
const OWN_RATE_MARGIN: f64 = 0.35;
/// The same where backends report their rates, as uneven traffic uses up none of the margin then.
const REPORTED_RATE_MARGIN: f64 = 0.5;

impl Balancer {
    /// When a backend started, or came back from maintenance, while it is warming up.
    pub(super) fn warming_up_since(&self, index: BackendIndex) -> Option<Time> {
        let endpoint = &self.backends[index].endpoint;
        let returned_at = self.maintenance.returned_at(endpoint.id);
        let started_at = endpoint.started_at.into_iter().chain(returned_at).reduce(Time::max);
        started_at.filter(|start| self.now < start + self.settings.slow_start_duration)
    }

    /// In service, and, while it is warming up, within this balancer's part of what it can take. Only
    /// members have such a budget.
    pub(super) fn is_usable(&mut self, index: BackendIndex) -> bool {
        let Some(started_at) = self.warming_up_since(index) else { return self.is_in_service(index) };
        let may_be_sent = self.is_in_service(index) && self.subset.members.contains(&index);
        may_be_sent && self.has_slow_start_budget(index, started_at)
    }

    /// Tokens that were saved must not be spent at once by many balancers: a fraction of a token is the
    /// probability of a send and is then spent, rather than saved until it makes a full one.
    fn has_slow_start_budget(&mut self, index: BackendIndex, started_at: Time) -> bool {
        let allowed = self.slow_start_rate(started_at);
        let burst = allowed * self.settings.slow_start_overload_window;
        let budget = &mut self.backends[index].slow_start_budget;
        let available = budget.refill(self.now, allowed, burst);
        if available >= 1.0 {
            return true;
        }
        let is_drawn = self.random.random::<f64>() < available;
        budget.tokens = f64::from(is_drawn);
        is_drawn
    }

    /// Requests a second that this balancer may send to a backend that started at `started_at`. All balancers
    /// that do likewise together send it the usual part of what is served (under overload less than what
    /// is sent), times its present capacity, times a margin. Where warm backends report what they serve,
    /// each balancer takes an even part of that: what a busy one sends its own members would be more
    /// than its part, and adds up.
    fn slow_start_rate(&mut self, started_at: Time) -> f64 {
        self.traffic.served.decay(self.now, self.traffic.memory);
        let reported = self.fleet_load.requests_per_second;
        let (rate, margin) = if reported > 0.0 {
            (reported / self.balancers_per_backend(), REPORTED_RATE_MARGIN)
        } else {
            let members = self.subset.members.len().max(1) as f64;
            (self.traffic.served.per_second() / members, OWN_RATE_MARGIN)
        };
        let initial = self.settings.slow_start_initial_capacity;
        let progress = ((self.now - started_at) / self.settings.slow_start_duration).clamp(0.0, 1.0);
        let capacity = initial + (1.0 - initial) * progress;
        rate * capacity * (margin * self.settings.slow_start_overload_multiple)
    }
}
