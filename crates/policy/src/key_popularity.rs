//! What fraction of the jobs has each affinity key, as one scheduler sees it.

use crate::measure::DecayingSum;
use crate::units::Millis;
use std::collections::BTreeMap;

/// Counts decay to 1/e in this time: some sixty jobs, where a hundred schedulers share 300 a second.
const DECAY_TIME: Millis = 20_000.0;
/// Jobs of other keys that are assumed before any were seen: a key that was seen once is not popular.
const PRIOR_JOBS: f64 = 30.0;
/// A key is forgotten when less than this is left of its count: one job, some three decay times ago.
const MIN_COUNT: f64 = 0.05;

/// Decaying counts of the jobs by key.
#[derive(Default)]
pub(crate) struct KeyPopularity {
    total: DecayingSum,
    counts: BTreeMap<u64, DecayingSum>,
    next_cleanup_at: Millis,
}

impl KeyPopularity {
    /// Counts a job of this key; the fraction of all jobs that have it, this one included.
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
