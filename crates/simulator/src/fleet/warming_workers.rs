//! Workers that were restarted together: their capacity while they warm up, and the load that they were sent.

use brackenledge_policy::{Millis, Settings, WorkerId};
use std::ops::Range;

struct WarmingAttempt {
    at: Millis,
    worker: WorkerId,
}

/// The load that the most recently restarted workers were sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WarmingWorkerLoad {
    /// The most work that one of them was sent within one overload window
    /// ([`overload_duration`](brackenledge_policy::Settings::overload_duration)), as a multiple of its
    /// capacity in that window.
    pub max_load: f64,
    /// Number of them that were sent at least one attempt.
    pub workers_used: usize,
}

/// The most recently restarted workers; none before the first restart.
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

    pub fn record_attempt(&mut self, now: Millis, worker: WorkerId) {
        if self.workers.contains(&worker) {
            self.attempts.push(WarmingAttempt { at: now, worker });
        }
    }

    /// Number of attempts that these workers were sent since their restart.
    pub fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// The fraction of its capacity that a worker has. After a restart it grows linearly up to 1.
    pub fn capacity_fraction(&self, settings: &Settings, now: Millis, worker: WorkerId) -> f64 {
        if !self.workers.contains(&worker) {
            return 1.0;
        }
        let initial = settings.initial_capacity_fraction;
        let progress = (now - self.restarted_at) / settings.warm_up_duration;
        (initial + (1.0 - initial) * progress).min(1.0)
    }

    /// The load that these workers were sent, evaluated for each overload window that begins with an attempt.
    pub fn load(&self, settings: &Settings, slots: usize, mean_run_time: Millis) -> WarmingWorkerLoad {
        let mut load = WarmingWorkerLoad::default();
        for worker in self.workers.clone() {
            let attempts = self.attempts.iter().filter(|attempt| attempt.worker == worker);
            let times: Vec<Millis> = attempts.map(|attempt| attempt.at).collect();
            load.workers_used += usize::from(!times.is_empty());
            for (first, &start) in times.iter().enumerate() {
                let window = settings.overload_duration;
                let attempt_count = times[first..].iter().take_while(|&&at| at < start + window).count();
                let capacity = slots as f64 * self.capacity_fraction(settings, start, worker) * window;
                load.max_load = load.max_load.max(attempt_count as f64 * mean_run_time / capacity);
            }
        }
        load
    }
}
