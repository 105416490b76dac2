//! Estimates from observations: decaying sums, running times, and the failure rates, slowness and slots of
//! workers.

use crate::units::Millis;

/// A decaying sum below this counts as 0.
const NEGLIGIBLE_SUM: f64 = 1e-6;

/// A sum that decays exponentially, so that it measures the rate of what is added to it.
#[derive(Clone, Copy, Default)]
pub struct DecayingSum {
    /// The sum when it was last updated.
    pub value: f64,
    /// When it was last updated.
    pub updated_at: Millis,
}

impl DecayingSum {
    /// Creates a sum with this value at `now`.
    pub fn new(now: Millis, value: f64) -> Self {
        DecayingSum { value, updated_at: now }
    }

    /// The sum at `now`, given that it decays to 1/e in `decay_time`.
    pub fn value_at(&self, now: Millis, decay_time: Millis) -> f64 {
        if self.value < NEGLIGIBLE_SUM {
            return 0.0;
        }
        self.value * (-(now - self.updated_at).max(0.0) / decay_time).exp()
    }

    /// Decays the sum up to `now` and adds `amount`.
    pub fn add(&mut self, now: Millis, decay_time: Millis, amount: f64) {
        *self = DecayingSum::new(now, self.value_at(now, decay_time) + amount);
    }
}

/// The quantiles of the values at these fractions; 0 if there are no values.
pub(crate) fn quantiles<const N: usize>(mut values: Vec<f64>, fractions: [f64; N]) -> [f64; N] {
    values.sort_by(f64::total_cmp);
    let index = |fraction: f64| (values.len() as f64 * fraction) as usize;
    fractions.map(|fraction| values.get(index(fraction)).copied().unwrap_or(0.0))
}

/// The recent failure rate of attempts at a worker.
#[derive(Clone, Copy, Default)]
pub(crate) struct FaultScore {
    failures: DecayingSum,
    attempts: DecayingSum,
}

impl FaultScore {
    /// Failures and attempts decay to 1/e in this time, so that a worker that failed is tried again.
    pub(crate) const DECAY_TIME: Millis = 5_000.0;
    /// Successful attempts that are added to those observed at every worker, as a prior.
    const PRIOR_SUCCESSES: f64 = 2.0;
    /// Occupied slots that one failure counts as at a worker where all attempts fail.
    const SLOTS_PER_FAILURE: f64 = 6.0;

    /// Records the end of an attempt.
    pub(crate) fn record(&mut self, now: Millis, failed: bool) {
        self.failures.add(now, Self::DECAY_TIME, f64::from(failed));
        self.attempts.add(now, Self::DECAY_TIME, 1.0);
    }

    /// The fraction of recent attempts that failed.
    pub(crate) fn failure_rate(&self, now: Millis) -> f64 {
        let attempts = self.attempts.value_at(now, Self::DECAY_TIME) + Self::PRIOR_SUCCESSES;
        self.failures.value_at(now, Self::DECAY_TIME) / attempts
    }

    /// Occupied slots that the recent failures count as. A worker that fails attempts immediately is idle
    /// again at once; without this penalty it would look like the best worker to every scheduler that has not
    /// tried it yet.
    pub(crate) fn equivalent_slots(&self, now: Millis) -> f64 {
        let failures = self.failures.value_at(now, Self::DECAY_TIME);
        Self::SLOTS_PER_FAILURE * failures * self.failure_rate(now)
    }
}

/// Estimate of the running time of a class's jobs.
pub(crate) struct RunTimeEstimate {
    /// Exponential moving average of the observed running times.
    pub(crate) typical: Millis,
    /// The minimum of `typical` so far; it rises by a small factor with each observation.
    pub(crate) shortest: Millis,
    observations: f64,
}

impl RunTimeEstimate {
    /// Up to this number of observations, `shortest` equals `typical`, so that the initial assumption does
    /// not persist as the minimum.
    const MIN_OBSERVATIONS: f64 = 20.0;
    /// Longer observations are clamped to this multiple of `typical`.
    const MAX_RATIO: f64 = 10.0;

    /// An assumed running time, before any observation.
    pub(crate) fn assume(typical: Millis) -> Self {
        RunTimeEstimate { typical, shortest: typical, observations: 0.0 }
    }

    /// Records an observation with this weight in the moving average; the first ones count as in a plain
    /// mean. `shortest` rises by the factor `rise`, but not above `typical`.
    pub(crate) fn observe(&mut self, run_time: Millis, weight: f64, rise: f64) {
        self.observations += 1.0;
        let weight = weight.max(1.0 / self.observations);
        self.typical += weight * (run_time.min(Self::MAX_RATIO * self.typical) - self.typical);
        self.shortest = if self.observations > Self::MIN_OBSERVATIONS {
            (self.shortest * rise).min(self.typical)
        } else {
            self.typical
        };
    }
}

/// An observed running time as a multiple of the expected one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RunTimeRatio {
    ratio: f64,
    /// Smaller for short jobs: much of their time is overhead, so they tell less about the worker's speed.
    weight: f64,
}

impl RunTimeRatio {
    /// Bounds of the weight, which is the expected running time as a multiple of the class's typical one.
    const WEIGHTS: (f64, f64) = (0.1, 2.0);
    /// Higher ratios are clamped to this.
    const MAX_RATIO: f64 = 10.0;

    /// The ratio for a job that has ended. `typical`: the typical running time of its class.
    pub(crate) fn new(observed: Millis, expected: Millis, typical: Millis) -> Self {
        let (least, most) = Self::WEIGHTS;
        let ratio = (observed / expected).min(Self::MAX_RATIO);
        RunTimeRatio { ratio, weight: (expected / typical).clamp(least, most) }
    }

    /// The ratio for a job that is still running after `ratio` times its expected running time.
    pub(crate) fn overdue(ratio: f64) -> Self {
        RunTimeRatio { ratio: ratio.min(Self::MAX_RATIO), weight: 1.0 }
    }

    /// Moves a moving average of such ratios towards this one and returns it.
    pub(crate) fn update(self, average: f64, weight: f64) -> f64 {
        average + weight * self.weight * (self.ratio - average)
    }
}

/// How much slower a worker runs jobs than a standard core with its current capacity: the observed running
/// time divided by the expected one, minus 1.
#[derive(Clone, Copy, Default)]
pub(crate) struct SlownessEstimate(DecayingSum);

impl SlownessEstimate {
    /// Slowness decays to 1/e in this time while there are no new observations.
    const DECAY_TIME: Millis = 6_000.0;

    /// The slowness of a worker that runs jobs in `ratio` times their expected running time.
    pub(crate) fn assume(now: Millis, ratio: f64) -> Self {
        SlownessEstimate(DecayingSum::new(now, ratio - 1.0))
    }

    /// The slowness at `now`. Without the decay, a worker that was slow once would never be used again.
    /// Negative values, for workers that are faster than expected, do not decay.
    pub(crate) fn value_at(&self, now: Millis) -> f64 {
        if self.0.value > 0.0 { self.0.value_at(now, Self::DECAY_TIME) } else { self.0.value }
    }

    /// Records a running time with this weight.
    pub(crate) fn observe(&mut self, now: Millis, weight: f64, observed: RunTimeRatio) {
        *self = Self::assume(now, observed.update(1.0 + self.value_at(now), weight));
    }
}

/// The number of slots of a worker, or of a machine kind's workers, according to load reports; 0 if unknown.
#[derive(Clone, Copy, Default)]
pub(crate) struct SlotEstimate(pub(crate) f64);

impl SlotEstimate {
    const MAX_SLOTS: f64 = 1_000.0;
    /// The most that one report changes the estimate by. A report made between the end of one job and the
    /// start of the next includes queued requests, so its sum of free slots and requests in flight is too
    /// high.
    const MAX_STEP: f64 = 1.0;

    /// Records a worker's free slots when its requests in flight are unknown: a lower bound for its slots.
    pub(crate) fn observe_free(&mut self, free: f64) {
        self.0 = self.0.max(free.round()).min(Self::MAX_SLOTS);
    }

    /// Records a worker's free slots and requests in flight.
    pub(crate) fn observe(&mut self, free: f64, in_flight: f64) {
        let reported = (free + in_flight).round().clamp(1.0, Self::MAX_SLOTS);
        let step = (reported - self.0).clamp(-Self::MAX_STEP, Self::MAX_STEP);
        self.0 = if self.0 > 0.0 { self.0 + step } else { reported };
    }
}
