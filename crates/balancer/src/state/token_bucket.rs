//! A token bucket that is refilled by the time that has passed.

use crate::Time;

/// Tokens that accumulate at a rate, up to a capacity. Each token stands for one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    /// Tokens available at `at`.
    pub tokens: f64,
    /// When the bucket was last refilled, in seconds.
    pub at: Time,
}

impl TokenBucket {
    /// A bucket without a token, last refilled at `now`.
    pub fn empty_at(now: Time) -> Self {
        Self { tokens: 0.0, at: now }
    }

    /// Adds the tokens due since the last refill, at `rate` tokens a second and up to `capacity`, and
    /// returns the tokens available. A time before the last refill adds nothing.
    pub fn refill(&mut self, now: Time, rate: f64, capacity: f64) -> f64 {
        self.tokens = (self.tokens + rate * (now - self.at).max(0.0)).min(capacity);
        self.at = now;
        self.tokens
    }
}
