//! A token bucket.

use crate::Time;

/// A token bucket, in which each token stands for one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    /// The tokens available at the latest refill. Negative where more were taken than were available.
    tokens: f64,
    /// The time of the latest refill, in seconds.
    refilled_at: Time,
}

impl TokenBucket {
    /// Returns a bucket with `tokens` tokens at `now`.
    pub fn new(tokens: f64, now: Time) -> Self {
        Self { tokens, refilled_at: now }
    }

    /// Adds the tokens due since the latest refill, at `rate` tokens per second and up to `capacity`, and
    /// returns the tokens available. A time before the latest refill adds nothing.
    pub fn refill(&mut self, now: Time, rate: f64, capacity: f64) -> f64 {
        self.tokens = (self.tokens + rate * (now - self.refilled_at).max(0.0)).min(capacity);
        self.refilled_at = now;
        self.tokens
    }

    /// Takes one token, also where less than one is available.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// Takes one token, or all that are available where that is less.
    pub fn take_available(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Sets the tokens available.
    pub fn set(&mut self, tokens: f64) {
        self.tokens = tokens;
    }
}
