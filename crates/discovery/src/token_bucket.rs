//! A token bucket, for requests to discovery and for bytes of gossip.

use brackenledge_policy::Millis;

/// A token bucket on the caller's clock. It starts full.
pub(crate) struct TokenBucket {
    tokens: f64,
    /// Most tokens that are saved up.
    capacity: f64,
    /// Tokens a millisecond.
    rate: f64,
    refilled_at: Millis,
}

impl TokenBucket {
    pub(crate) fn new(now: Millis, capacity: f64, rate: f64) -> Self {
        TokenBucket { tokens: capacity, capacity, rate, refilled_at: now }
    }

    /// Adds the tokens for the time since the last refill.
    pub(crate) fn refill(&mut self, now: Millis) {
        let added = self.rate * (now - self.refilled_at).max(0.0);
        self.tokens = (self.tokens + added).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Tokens as of the last refill.
    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// When the bucket was last refilled.
    pub(crate) fn refilled_at(&self) -> Millis {
        self.refilled_at
    }

    /// When the bucket will hold this many tokens.
    pub(crate) fn available_at(&self, amount: f64) -> Millis {
        self.refilled_at + ((amount - self.tokens) / self.rate).max(0.0)
    }

    /// Takes this many tokens, or all that are left.
    pub(crate) fn take(&mut self, amount: f64) {
        self.tokens = (self.tokens - amount).max(0.0);
    }

    /// Makes sure that at least this many tokens are there.
    pub(crate) fn raise_to(&mut self, amount: f64) {
        self.tokens = self.tokens.max(amount);
    }
}
