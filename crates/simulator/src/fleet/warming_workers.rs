//! Workers that were restarted together: how much of their capacity they have, and what they were sent.

use brackenledge_policy::{Millis, Settings, WorkerId};
use std::ops::Range;

struct WarmingAttempt {
    at: Millis,
    worker: WorkerId,
}

/// What the workers that were restarted last were sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WarmingWorkerLoad {
    /// The most work that one of them was sent within a span, as a multiple of what it could do in it.
    pub max_load: f64,
    /// How many of them were sent any.
    pub workers_used: usize,
}

/// The workers that were restarted last.
#[derive(Default)]
pub(super) struct WarmingWorkers {
    workers: Range<WorkerId>,
    restarted_at: Millis,
    attempts: Vec<WarmingAttempt>,
}

impl WarmingWorkers {
    pub fn restarted(workers: Range<WorkerId>, now: Millis) -> WarmingWorkers {
        WarmingWorkers { workers, restarted_at: now, attempts: Vec::new() }
    }

    pub fn attempt_sent(&mut self, now: Millis, worker: WorkerId) {
        if self.workers.contains(&worker) {
            self.attempts.push(WarmingAttempt { at: now, worker });
        }
    }

    /// Attempts that they were sent since their restart.
    pub fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// The part of its capacity that a worker has: after a restart it grows in a straight line.
    pub fn capacity_fraction(&self, settings: &Settings, now: Millis, worker: WorkerId) -> f64 {
        if !self.workers.contains(&worker) {
            return 1.0;
        }
        let initial = settings.initial_capacity_fraction;
        let progress = (now - self.restarted_at) / settings.warm_up_duration;
        (initial + (1.0 - initial) * progress).min(1.0)
    }

    /// What they were sent, in any span of the settings' overload duration that begins with an attempt.
    pub fn load(&self, settings: &Settings, slots: usize, mean_run_time: Millis) -> WarmingWorkerLoad {
        let mut load = WarmingWorkerLoad::default();
        for worker in self.workers.clone() {
            let attempts = self.attempts.iter().filter(|attempt| attempt.worker == worker);
            let times: Vec<Millis> = attempts.map(|attempt| attempt.at).collect();
            load.workers_used += usize::from(!times.is_empty());
            for (first, &start) in times.iter().enumerate() {
                let span = settings.overload_duration;
                let attempt_count = times[first..].iter().take_while(|&&at| at < start + span).count();
                let capacity = slots as f64 * self.capacity_fraction(settings, start, worker) * span;
                load.max_load = load.max_load.max(attempt_count as f64 * mean_run_time / capacity);
            }
        }
        load
    }
}
