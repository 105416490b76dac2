//! Estimates from what was observed: decaying sums, running times, faults and slowness of workers.

use crate::units::Millis;

/// A decaying sum below this counts as nothing.
const NEGLIGIBLE_SUM: f64 = 1e-6;

/// A sum of which everything added decays exponentially, so that it measures a rate.
#[derive(Clone, Copy, Default)]
pub struct DecayingSum {
    /// The sum at the last change.
    pub value: f64,
    /// When that was.
    pub updated_at: Millis,
}

impl DecayingSum {
    /// A sum that has this value now.
    pub fn new(now: Millis, value: f64) -> Self {
        DecayingSum { value, updated_at: now }
    }

    /// The sum now. It decays to 1/e in `decay_time`.
    pub fn value_at(&self, now: Millis, decay_time: Millis) -> f64 {
        if self.value < NEGLIGIBLE_SUM {
            return 0.0;
        }
        self.value * (-(now - self.updated_at).max(0.0) / decay_time).exp()
    }

    /// Adds an amount now.
    pub fn add(&mut self, now: Millis, decay_time: Millis, amount: f64) {
        *self = DecayingSum::new(now, self.value_at(now, decay_time) + amount);
    }
}

/// What these fractions of the values lie below; 0 where there are no values.
pub(crate) fn quantiles<const N: usize>(mut values: Vec<f64>, fractions: [f64; N]) -> [f64; N] {
    values.sort_by(f64::total_cmp);
    let index = |fraction: f64| (values.len() as f64 * fraction) as usize;
    fractions.map(|fraction| values.get(index(fraction)).copied().unwrap_or(0.0))
}

/// How often attempts at a worker fail, of late.
#[derive(Clone, Copy, Default)]
pub(crate) struct FaultScore {
    failures: DecayingSum,
    attempts: DecayingSum,
}

impl FaultScore {
    /// Faults decay to 1/e in this time, so that the worker is tried again.
    pub(crate) const DECAY_TIME: Millis = 5_000.0;
    /// Successful attempts that every worker is assumed to have had of late.
    const PRIOR_SUCCESSES: f64 = 2.0;
    /// Slots that a failure counts for at a worker where all attempts fail.
    const SLOTS_PER_FAILURE: f64 = 6.0;

    /// Takes in the end of an attempt.
    pub(crate) fn record(&mut self, now: Millis, failed: bool) {
        self.failures.add(now, Self::DECAY_TIME, f64::from(failed));
        self.attempts.add(now, Self::DECAY_TIME, 1.0);
    }

    /// The fraction of the attempts that fails.
    pub(crate) fn failure_rate(&self, now: Millis) -> f64 {
        let attempts = self.attempts.value_at(now, Self::DECAY_TIME) + Self::PRIOR_SUCCESSES;
        self.failures.value_at(now, Self::DECAY_TIME) / attempts
    }

    /// Slots that the failures count for. A worker that fails at once is idle at once, and without them it would look
    /// the best of all to every scheduler that has not tried it yet.
    pub(crate) fn equivalent_slots(&self, now: Millis) -> f64 {
        let failures = self.failures.value_at(now, Self::DECAY_TIME);
        Self::SLOTS_PER_FAILURE * failures * self.failure_rate(now)
    }
}

/// The running time of a class.
pub(crate) struct RunTimeEstimate {
    /// The typical running time of late.
    pub(crate) typical: Millis,
    /// The shortest that the typical one has been; it rises very slowly.
    pub(crate) shortest: Millis,
    observations: f64,
}

impl RunTimeEstimate {
    /// Until there are more observations than this, the shortest running time is the typical one: the assumption made
    /// before them must not last.
    const MIN_OBSERVATIONS: f64 = 20.0;
    /// An observation counts as at most this many typical running times.
    const MAX_RATIO: f64 = 10.0;

    /// What is assumed before anything was observed.
    pub(crate) fn assume(typical: Millis) -> Self {
        RunTimeEstimate { typical, shortest: typical, observations: 0.0 }
    }

    /// Takes in an observation with this weight; the first ones count as in a plain mean. The shortest running time
    /// rises by the factor `rise`.
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

/// A running time that was observed, as a multiple of the one that was expected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RunTimeRatio {
    ratio: f64,
    /// Short jobs say less of a worker's speed: much of their time is not their own.
    weight: f64,
}

impl RunTimeRatio {
    /// Typical running times that an observation counts for: at least and at most.
    const WEIGHTS: (f64, f64) = (0.1, 2.0);
    /// An observation counts as at most this many expected running times.
    const MAX_RATIO: f64 = 10.0;

    /// Of a job whose class has this typical running time.
    pub(crate) fn new(observed: Millis, expected: Millis, typical: Millis) -> Self {
        let (least, most) = Self::WEIGHTS;
        let ratio = (observed / expected).min(Self::MAX_RATIO);
        RunTimeRatio { ratio, weight: (expected / typical).clamp(least, most) }
    }

    /// A job that has not ended after so many times its expected running time.
    pub(crate) fn overdue(ratio: f64) -> Self {
        RunTimeRatio { ratio: ratio.min(Self::MAX_RATIO), weight: 1.0 }
    }

    /// Moves an average of such ratios towards this one.
    pub(crate) fn update(self, average: f64, weight: f64) -> f64 {
        average + weight * self.weight * (self.ratio - average)
    }
}

/// How much slower a worker runs jobs than a standard core of its present capacity: their running time over the one that
/// was expected, less 1.
#[derive(Clone, Copy, Default)]
pub(crate) struct SlownessEstimate(DecayingSum);

impl SlownessEstimate {
    /// Slowness that is not observed any more decays to 1/e in this time.
    const DECAY_TIME: Millis = 6_000.0;

    /// A worker is expected to run jobs in this multiple of their expected running time.
    pub(crate) fn assume(now: Millis, ratio: f64) -> Self {
        SlownessEstimate(DecayingSum::new(now, ratio - 1.0))
    }

    /// The slowness now. Slowness decays while it is not observed, or a worker that was slow once would never be used
    /// again; a worker that is faster than expected keeps its value.
    pub(crate) fn value_at(&self, now: Millis) -> f64 {
        if self.0.value > 0.0 { self.0.value_at(now, Self::DECAY_TIME) } else { self.0.value }
    }

    /// Takes in a running time with this weight.
    pub(crate) fn observe(&mut self, now: Millis, weight: f64, observed: RunTimeRatio) {
        *self = Self::assume(now, observed.update(1.0 + self.value_at(now), weight));
    }
}

/// The slots of a worker or of a machine kind, as load reports state them; 0: not known.
#[derive(Clone, Copy, Default)]
pub(crate) struct SlotEstimate(pub(crate) f64);

impl SlotEstimate {
    const MAX_SLOTS: f64 = 1_000.0;
    /// A report between a job's end and the next one's start counts the queue too: none changes the estimate by more.
    const MAX_STEP: f64 = 1.0;

    /// Takes in a worker's free slots, where the requests in flight are not known: it has at least as many.
    pub(crate) fn observe_free(&mut self, free: f64) {
        self.0 = self.0.max(free.round()).min(Self::MAX_SLOTS);
    }

    /// Takes in a worker's free slots and requests in flight.
    pub(crate) fn observe(&mut self, free: f64, in_flight: f64) {
        let reported = (free + in_flight).round().clamp(1.0, Self::MAX_SLOTS);
        let step = (reported - self.0).clamp(-Self::MAX_STEP, Self::MAX_STEP);
        self.0 = if self.0 > 0.0 { self.0 + step } else { reported };
    }
}
