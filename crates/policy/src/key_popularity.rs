//! The fraction of jobs with each affinity key, as observed by this scheduler.

use crate::measure::DecayingSum;
use crate::units::Millis;
use std::collections::BTreeMap;

/// Counts decay to 1/e in this time. If 100 schedulers share 300 jobs per second, each counts about 60 jobs
/// in it.
const DECAY_TIME: Millis = 20_000.0;
/// Jobs with other keys that are added to those observed, so that a key seen once does not count as popular.
const PRIOR_JOBS: f64 = 30.0;
/// A key is removed when its count has decayed to this, which takes a single job about three decay times.
const MIN_COUNT: f64 = 0.05;

/// Decaying job counts by the hash of the affinity key.
#[derive(Default)]
pub(crate) struct KeyPopularity {
    total: DecayingSum,
    counts: BTreeMap<u64, DecayingSum>,
    next_cleanup_at: Millis,
}

impl KeyPopularity {
    /// Counts a job with this key. Returns the fraction of all jobs that have the key, including this one.
    pub(crate) fn record(&mut self, now: Millis, key: u64) -> f64 {
        if now >= self.next_cleanup_at {
            self.next_cleanup_at = now + DECAY_TIME;
            self.counts.retain(|_, count| count.value_at(now, DECAY_TIME) > MIN_COUNT);
        }
        self.total.add(now, DECAY_TIME, 1.0);
        let count = self.counts.entry(key).or_default();
        count.add(now, DECAY_TIME, 1.0);
        count.value / (self.total.value + PRIOR_JOBS)
    }
}

#[cfg(test)]
mod tests;
