//! Slow start: the requests that a backend which is warming up may be sent, so that the sum of all
//! balancers does not overload the backend.

use crate::interface::{Settings, Time};
use crate::support::{BackendIndex, BackendMap, TokenBucket};
use rand::Rng;
use rand::rngs::SmallRng;

/// The fraction of the rate that would overload a backend in slow start which all balancers together plan
/// to send, where each balancer knows its own traffic only.
const OWN_RATE_MARGIN: f64 = 0.35;
/// The same fraction where backends report their rates. Uneven traffic of the balancers uses up none of
/// this margin.
const REPORTED_RATE_MARGIN: f64 = 0.5;

/// The rate of requests that this balancer would send to one backend that is not in slow start.
#[derive(Clone, Copy, Debug)]
pub(super) enum WarmRate {
    /// An even share of the rate that warm backends report, in requests per second. What a busy balancer
    /// sends its own members is more than its share, and the sum of all balancers would be too much.
    Reported(f64),
    /// The rate of successful responses to this balancer, in requests per second and member. Under overload
    /// this is less than the send rate.
    Own(f64),
}

/// The parameters of slow start.
#[derive(Clone, Copy, Debug, Default)]
struct Parameters {
    /// The fraction of its capacity that a backend has at its start.
    initial_capacity: f64,
    /// The time from its start after which a backend has its full capacity, in seconds.
    duration: Time,
    /// The multiple of its present capacity beyond which a backend is overloaded.
    overload_multiple: f64,
    /// The time for which a backend has to be sent more than that to be overloaded, in seconds.
    overload_window: Time,
}

/// The budgets of the backends in slow start.
#[derive(Debug, Default)]
pub(super) struct SlowStart {
    parameters: Parameters,
    /// The requests that this balancer may send to each backend while it is in slow start.
    budgets: BackendMap<TokenBucket>,
}

impl SlowStart {
    /// Adopts the parameters of new settings.
    pub fn apply_settings(&mut self, settings: &Settings) {
        self.parameters = Parameters {
            initial_capacity: settings.slow_start_initial_capacity,
            duration: settings.slow_start_duration,
            overload_multiple: settings.slow_start_overload_multiple,
            overload_window: settings.slow_start_overload_window,
        };
    }

    /// Returns the time after which a backend that started at 0 has its full capacity, in seconds.
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

    /// Takes a request from the budget of a backend.
    pub fn record_send(&mut self, index: BackendIndex) {
        self.budgets[index].take();
    }

    /// Returns whether a request may be sent to a backend that started at `started_at` and is in slow
    /// start.
    ///
    /// A fraction of a token is the probability of a send, and is spent whether the draw permits the send
    /// or not. Were fractions saved until they make a whole token, many balancers would spend theirs at
    /// once.
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

    /// Returns the requests per second that this balancer may send to a backend that started at
    /// `started_at`: the rate of a warm backend, times the present fraction of capacity, times a fraction
    /// of the multiple that would overload the backend.
    fn permitted_rate(&self, started_at: Time, warm_rate: WarmRate, now: Time) -> f64 {
        let (rate, margin) = match warm_rate {
            WarmRate::Reported(rate) => (rate, REPORTED_RATE_MARGIN),
            WarmRate::Own(rate) => (rate, OWN_RATE_MARGIN),
        };
        let Parameters { initial_capacity, duration, overload_multiple, .. } = self.parameters;
        let progress = ((now - started_at) / duration).clamp(0.0, 1.0);
        let capacity = initial_capacity + (1.0 - initial_capacity) * progress;
        rate * capacity * (margin * overload_multiple)
    }
}
