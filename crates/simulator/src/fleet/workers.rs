//! Workers with slots, a queue and a cache of keys' data.
//!
//! A worker runs as many attempts as it has slots, and the others wait in the order of their arrival. Running time depends
//! on whether the data of the job's key is cached, and on how warm the worker is.

use brackenledge_policy::{JobId, LoadReport, Millis, WorkerId};
use std::collections::VecDeque;

/// A failing worker fails an attempt in this time.
const FAILURE_TIME: Millis = 3.0;
/// Part of the load reports that are taken before the next job starts, and count its slot as free.
const EARLY_REPORT_FRACTION: f64 = 0.1;
/// Keys whose data a worker caches.
const CACHED_KEYS: usize = 3;
/// The shortest running time, as a part of the mean; the longest is as much above it.
const MIN_RUN_TIME_FACTOR: f64 = 0.5;

/// One execution of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Attempt {
    pub scheduler: usize,
    pub job: JobId,
    pub number: usize,
}

/// An attempt in a worker's queue, or just taken out of it.
pub(super) struct QueuedAttempt {
    pub attempt: Attempt,
    pub queued_at: Millis,
}

#[derive(Default)]
struct Worker {
    running: usize,
    /// The latest first.
    cached_keys: VecDeque<u32>,
    queue: VecDeque<QueuedAttempt>,
}

impl Worker {
    /// Attempts that run or wait.
    fn attempt_count(&self) -> usize {
        self.running + self.queue.len()
    }

    /// Whether a key's data was cached; now it is.
    fn access_key(&mut self, key: u32) -> bool {
        let was_cached = self.cached_keys.contains(&key);
        self.cached_keys.retain(|&other| other != key);
        self.cached_keys.push_front(key);
        self.cached_keys.truncate(CACHED_KEYS);
        was_cached
    }
}

/// All workers.
pub(super) struct WorkerPool {
    workers: Vec<Worker>,
    pub slots: usize,
    pub mean_run_time: Millis,
    /// Additional running time if the key's data is not cached, in mean running times.
    pub fetch_cost: f64,
    /// Workers from this one on fail whatever they are sent.
    first_failing: WorkerId,
}

impl WorkerPool {
    pub fn new(count: usize, slots: usize, mean_run_time: Millis) -> WorkerPool {
        let workers = (0..count).map(|_| Worker::default()).collect();
        WorkerPool { workers, slots, mean_run_time, fetch_cost: 0.0, first_failing: count }
    }

    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// From now on the last of the workers fail whatever they are sent.
    pub fn set_failing(&mut self, count: usize) {
        self.first_failing = self.workers.len() - count;
    }

    pub fn is_failing(&self, worker: WorkerId) -> bool {
        worker >= self.first_failing
    }

    /// Attempts that run or wait at each worker.
    pub fn attempt_counts(&self) -> Vec<usize> {
        self.workers.iter().map(Worker::attempt_count).collect()
    }

    /// Gives an attempt a free slot, or queues it; whether it got a slot.
    pub fn submit(&mut self, now: Millis, worker: WorkerId, attempt: Attempt) -> bool {
        let worker = &mut self.workers[worker];
        let has_free_slot = worker.running < self.slots;
        if has_free_slot {
            worker.running += 1;
        } else {
            worker.queue.push_back(QueuedAttempt { attempt, queued_at: now });
        }
        has_free_slot
    }

    /// Frees the slot of an attempt that ended; the attempt that gets it.
    pub fn release_slot(&mut self, worker: WorkerId) -> Option<QueuedAttempt> {
        let worker = &mut self.workers[worker];
        worker.running -= 1;
        let next = worker.queue.pop_front()?;
        worker.running += 1;
        Some(next)
    }

    /// How long an attempt that starts now will run.
    pub fn run_time(
        &mut self,
        worker: WorkerId,
        key: u32,
        capacity_fraction: f64,
        rng: &mut fastrand::Rng,
    ) -> Millis {
        if self.is_failing(worker) {
            return FAILURE_TIME;
        }
        let fetch_cost = if self.workers[worker].access_key(key) { 0.0 } else { self.fetch_cost };
        self.mean_run_time * (MIN_RUN_TIME_FACTOR + rng.f64() + fetch_cost) / capacity_fraction
    }

    pub fn load_report(&self, worker: WorkerId, rng: &mut fastrand::Rng) -> LoadReport {
        let is_early = f64::from(rng.f64() < EARLY_REPORT_FRACTION);
        let worker = &self.workers[worker];
        LoadReport {
            free_slots: Some((self.slots - worker.running) as f64 + is_early),
            in_flight: Some(worker.attempt_count() as f64),
            ..LoadReport::default()
        }
    }
}
