//! The token bucket that limits requests to discovery and bytes of gossip.

use brackenledge_policy::Millis;

/// A token bucket whose time is given by the caller. It starts full.
pub(crate) struct TokenBucket {
    tokens: f64,
    /// Maximum number of tokens that can accumulate.
    capacity: f64,
    /// Tokens per millisecond.
    rate: f64,
    refilled_at: Millis,
}

impl TokenBucket {
    pub(crate) fn new(now: Millis, capacity: f64, rate: f64) -> Self {
        TokenBucket { tokens: capacity, capacity, rate, refilled_at: now }
    }

    /// Adds the tokens accrued since the last refill.
    pub(crate) fn refill(&mut self, now: Millis) {
        let added = self.rate * (now - self.refilled_at).max(0.0);
        self.tokens = (self.tokens + added).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// The number of tokens as of the last refill.
    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    pub(crate) fn refilled_at(&self) -> Millis {
        self.refilled_at
    }

    /// When the bucket holds this many tokens, provided that none are taken.
    pub(crate) fn available_at(&self, amount: f64) -> Millis {
        self.refilled_at + ((amount - self.tokens) / self.rate).max(0.0)
    }

    /// Takes this many tokens, or all of them if there are fewer.
    pub(crate) fn take(&mut self, amount: f64) {
        self.tokens = (self.tokens - amount).max(0.0);
    }

    /// Raises the number of tokens to at least this many.
    pub(crate) fn raise_to(&mut self, amount: f64) {
        self.tokens = self.tokens.max(amount);
    }
}
