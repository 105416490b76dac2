//! A token bucket that limits how often the plan changes.

use crate::Millis;

/// Tokens are counted in thousandths.
const MILLITOKENS_PER_CHANGE: u64 = 1_000;
/// In this time, the bucket is refilled by one thousandth of a token for each change allowed per minute.
const REFILL_TIME: Millis = 60;

/// A token bucket: allows a number of changes per minute, and as many in one burst.
#[derive(Clone, Debug)]
pub(crate) struct ChangeBudget {
    changes_per_minute: u64,
    millitokens: u64,
    refilled_at: Millis,
}

impl ChangeBudget {
    /// Starts with a full bucket.
    pub fn new(now: Millis, changes_per_minute: u32) -> ChangeBudget {
        let changes_per_minute = u64::from(changes_per_minute);
        let millitokens = changes_per_minute * MILLITOKENS_PER_CHANGE;
        ChangeBudget { changes_per_minute, millitokens, refilled_at: now }
    }

    /// Adds the tokens earned since the last refill.
    pub fn refill(&mut self, now: Millis) {
        let earned = now.saturating_sub(self.refilled_at) * self.changes_per_minute / REFILL_TIME;
        self.millitokens = (self.millitokens + earned).min(self.capacity());
        self.refilled_at = now;
    }

    /// Whether the bucket holds tokens for this many changes, or is full if its capacity is smaller.
    pub fn allows(&self, changes: u64) -> bool {
        self.millitokens >= (changes * MILLITOKENS_PER_CHANGE).min(self.capacity())
    }

    /// Takes the token of one change.
    pub fn spend(&mut self) {
        self.millitokens = self.millitokens.saturating_sub(MILLITOKENS_PER_CHANGE);
    }

    fn capacity(&self) -> u64 {
        self.changes_per_minute * MILLITOKENS_PER_CHANGE
    }
}
