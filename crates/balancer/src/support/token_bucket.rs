//! A token bucket, for rate limits.

use crate::Time;

/// A token bucket with one token for each request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    /// The number of tokens, which is negative if more were taken than were available.
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

    /// Takes one token, even if less than one is available. The number of tokens may become negative.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// Takes one token, or all available tokens if less than one is available.
    pub fn take_available(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Sets the number of available tokens.
    pub fn set(&mut self, tokens: f64) {
        self.tokens = tokens;
    }
}
