//! A token bucket that bounds how often the plan changes.

use crate::Millis;

/// Tokens are counted in thousandths.
const MILLITOKENS_PER_CHANGE: u64 = 1_000;
/// A rate per minute refills as many thousandths of a token in this time.
const REFILL_TIME: Millis = 60;

/// Allows so many changes in a minute, and as many in a burst.
#[derive(Clone, Debug)]
pub(crate) struct ChangeBudget {
    changes_per_minute: u64,
    millitokens: u64,
    refilled_at: Millis,
}

impl ChangeBudget {
    /// A full bucket.
    pub fn new(now: Millis, changes_per_minute: u32) -> ChangeBudget {
        let changes_per_minute = u64::from(changes_per_minute);
        let millitokens = changes_per_minute * MILLITOKENS_PER_CHANGE;
        ChangeBudget { changes_per_minute, millitokens, refilled_at: now }
    }

    /// Adds the tokens of the time that has passed.
    pub fn refill(&mut self, now: Millis) {
        let earned = now.saturating_sub(self.refilled_at) * self.changes_per_minute / REFILL_TIME;
        self.millitokens = (self.millitokens + earned).min(self.capacity());
        self.refilled_at = now;
    }

    /// Whether the bucket has tokens for so many changes, or is full where its capacity is smaller than that.
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
