//! A token bucket whose rate and size may change.

use crate::units::Millis;

/// Tokens, and when they were last refilled.
#[derive(Clone, Copy, Default)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Millis,
}

impl TokenBucket {
    /// One that has no tokens now.
    pub(crate) fn empty(now: Millis) -> Self {
        TokenBucket { tokens: 0.0, refilled_at: now }
    }

    /// One that is full, whatever its size.
    pub(crate) fn full(now: Millis) -> Self {
        TokenBucket { tokens: f64::INFINITY, refilled_at: now }
    }

    /// Adds what has come since the last refill at this rate, up to this size; the tokens now.
    pub(crate) fn refill(&mut self, now: Millis, rate: f64, size: f64) -> f64 {
        self.tokens = (self.tokens + rate * (now - self.refilled_at)).min(size);
        self.refilled_at = now;
        self.tokens
    }

    /// Takes tokens, even some that are not there.
    pub(crate) fn take(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }
}
