//! A token bucket whose rate and size may change between refills.

use crate::units::Millis;

/// A token bucket. The caller supplies rate and size with each refill.
#[derive(Clone, Copy, Default)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Millis,
}

impl TokenBucket {
    /// A bucket without tokens.
    pub(crate) fn empty(now: Millis) -> Self {
        TokenBucket { tokens: 0.0, refilled_at: now }
    }

    /// A full bucket; the first refill limits its tokens to the size.
    pub(crate) fn full(now: Millis) -> Self {
        TokenBucket { tokens: f64::INFINITY, refilled_at: now }
    }

    /// Adds the tokens since the last refill, at `rate` tokens per millisecond and up to `size`. Returns the
    /// tokens that are then in the bucket.
    pub(crate) fn refill(&mut self, now: Millis, rate: f64, size: f64) -> f64 {
        self.tokens = (self.tokens + rate * (now - self.refilled_at)).min(size);
        self.refilled_at = now;
        self.tokens
    }

    /// Takes tokens. The bucket may go into debt.
    pub(crate) fn take(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }
}
