//! Slow start: limits the requests that this balancer sends to a backend that is warming up, so that all
//! balancers together do not overload the backend.

use crate::interface::{Settings, Time};
use crate::support::{BackendIndex, BackendMap, TokenBucket};
use rand::Rng;
use rand::rngs::SmallRng;

/// The fraction of the overload rate of a backend in slow start that all balancers together may send, if
/// each balancer estimates the rate from its own traffic.
const OWN_RATE_BUDGET_FRACTION: f64 = 0.35;
/// The fraction of the overload rate of a backend in slow start that all balancers together may send, if
/// backends report their rates. It is greater than [`OWN_RATE_BUDGET_FRACTION`], because no margin is needed
/// for uneven traffic of the balancers.
const REPORTED_RATE_BUDGET_FRACTION: f64 = 0.5;

/// The estimated rate of requests that this balancer would send to a backend that is not in slow start.
#[derive(Clone, Copy, Debug)]
pub(super) enum WarmRate {
    /// An even share of the rate that warm backends report, in requests per second. Budgets from each
    /// balancer's own rate would add up to too much, because a busy balancer sends its members more than an
    /// even share.
    Reported(f64),
    /// The rate of successful responses that this balancer gets from each member, in requests per second.
    /// Under overload, it is less than the send rate.
    Own(f64),
}

/// The parameters of slow start.
#[derive(Clone, Copy, Debug, Default)]
struct Parameters {
    /// The capacity of a backend at its start, as a fraction of its full capacity.
    initial_capacity: f64,
    /// The time after its start at which a backend reaches its full capacity, in seconds.
    duration: Time,
    /// The multiple of its present capacity at which the load overloads a backend.
    overload_multiple: f64,
    /// The least duration of a load above that multiple that overloads a backend, in seconds.
    overload_window: Time,
}

/// The request budgets of the backends in slow start.
#[derive(Debug, Default)]
pub(super) struct SlowStart {
    parameters: Parameters,
    /// The number of requests that this balancer may send to each backend during its slow start.
    budgets: BackendMap<TokenBucket>,
}

impl SlowStart {
    /// Applies the slow start parameters of new settings.
    pub fn apply_settings(&mut self, settings: &Settings) {
        self.parameters = Parameters {
            initial_capacity: settings.slow_start_initial_capacity,
            duration: settings.slow_start_duration,
            overload_multiple: settings.slow_start_overload_multiple,
            overload_window: settings.slow_start_overload_window,
        };
    }

    /// Returns the duration of slow start, in seconds.
    pub fn duration(&self) -> Time {
        self.parameters.duration
    }

    /// Returns whether a backend that started at `started_at` is still in slow start.
    pub fn is_warming_up(&self, started_at: Time, now: Time) -> bool {
        now < started_at + self.parameters.duration
    }

    /// Empties the budget of a backend that has been added or restarted.
    pub fn reset(&mut self, index: BackendIndex, now: Time) {
        self.budgets.insert(index, TokenBucket::new(0.0, now));
    }

    /// Takes one request from the budget of a backend.
    pub fn record_send(&mut self, index: BackendIndex) {
        self.budgets[index].take();
    }

    /// Returns whether a request may be sent to a backend in slow start that started at `started_at`.
    ///
    /// If less than one token is available, the available fraction is the probability that the request may
    /// be sent. The fraction is consumed in any case. If fractions accumulated to whole tokens, many
    /// balancers would spend their tokens at the same time.
    pub fn has_budget(
        &mut self,
        index: BackendIndex,
        started_at: Time,
        warm_rate: WarmRate,
        now: Time,
        random: &mut SmallRng,
    ) -> bool {
        let rate = self.permitted_rate(started_at, warm_rate, now);
        let burst = rate * self.parameters.overload_window;
        let budget = &mut self.budgets[index];
        let available = budget.refill(now, rate, burst);
        if available >= 1.0 {
            return true;
        }
        let is_permitted = random.random::<f64>() < available;
        budget.set(f64::from(is_permitted));
        is_permitted
    }

    /// Returns the rate of requests that this balancer may send to a backend that started at `started_at`,
    /// in requests per second: the rate for a warm backend, times the present fraction of capacity, times
    /// the budgeted fraction of the overload multiple.
    fn permitted_rate(&self, started_at: Time, warm_rate: WarmRate, now: Time) -> f64 {
        let (rate, budget_fraction) = match warm_rate {
            WarmRate::Reported(rate) => (rate, REPORTED_RATE_BUDGET_FRACTION),
            WarmRate::Own(rate) => (rate, OWN_RATE_BUDGET_FRACTION),
        };
        let Parameters { initial_capacity, duration, overload_multiple, .. } = self.parameters;
        let progress = ((now - started_at) / duration).clamp(0.0, 1.0);
        let capacity = initial_capacity + (1.0 - initial_capacity) * progress;
        rate * capacity * (budget_fraction * overload_multiple)
    }
}
