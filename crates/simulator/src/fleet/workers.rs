//! Simulated workers, each with slots, a queue, and a cache for the data of affinity keys.
//!
//! A worker runs as many attempts concurrently as it has slots. The other attempts wait in a FIFO queue. The
//! running time depends on whether the data of the job's key is cached, and on the worker's capacity while it
//! warms up.

use brackenledge_policy::{JobId, LoadReport, Millis, WorkerId};
use std::collections::VecDeque;

/// The time after which a failing worker answers an attempt with an error.
const FAILURE_TIME: Millis = 3.0;
/// Fraction of the load reports that are taken before the next queued attempt starts, and so count its slot
/// as free.
const EARLY_REPORT_FRACTION: f64 = 0.1;
/// Number of keys whose data a worker caches. The least recently used key is evicted first.
const CACHED_KEYS: usize = 3;
/// The shortest running time, as a fraction of the mean. Running times are uniformly distributed around the
/// mean.
const MIN_RUN_TIME_FACTOR: f64 = 0.5;

/// An attempt to execute a job, as sent to a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Attempt {
    /// Ordinal of the scheduler that sent it.
    pub scheduler: usize,
    pub job: JobId,
    /// Number of this attempt within the job, from 0.
    pub number: usize,
}

/// An attempt that waits in a worker's queue, or has just left it.
pub(super) struct QueuedAttempt {
    pub attempt: Attempt,
    pub queued_at: Millis,
}

#[derive(Default)]
struct Worker {
    running: usize,
    /// The most recently used key first.
    cached_keys: VecDeque<u32>,
    queue: VecDeque<QueuedAttempt>,
}

impl Worker {
    /// Number of attempts that run or wait.
    fn attempt_count(&self) -> usize {
        self.running + self.queue.len()
    }

    /// Caches the key's data, and returns whether it was cached before.
    fn access_key(&mut self, key: u32) -> bool {
        let was_cached = self.cached_keys.contains(&key);
        self.cached_keys.retain(|&other| other != key);
        self.cached_keys.push_front(key);
        self.cached_keys.truncate(CACHED_KEYS);
        was_cached
    }
}

/// All workers of a fleet.
pub(super) struct WorkerPool {
    workers: Vec<Worker>,
    pub slots: usize,
    pub mean_run_time: Millis,
    /// Additional running time if the key's data is not cached, in units of the mean running time.
    pub fetch_cost: f64,
    /// All workers from this one on fail all attempts.
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

    /// Makes the last `count` workers fail all attempts.
    pub fn set_failing(&mut self, count: usize) {
        self.first_failing = self.workers.len() - count;
    }

    pub fn is_failing(&self, worker: WorkerId) -> bool {
        worker >= self.first_failing
    }

    /// Number of attempts that run or wait, by worker.
    pub fn attempt_counts(&self) -> Vec<usize> {
        self.workers.iter().map(Worker::attempt_count).collect()
    }

    /// Assigns a free slot to an attempt or queues it. Returns whether it got a slot.
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

    /// Releases the slot of an attempt that ended. Returns the queued attempt that gets it, if there is one.
    pub fn release_slot(&mut self, worker: WorkerId) -> Option<QueuedAttempt> {
        let worker = &mut self.workers[worker];
        worker.running -= 1;
        let next = worker.queue.pop_front()?;
        worker.running += 1;
        Some(next)
    }

    /// Draws the running time of an attempt that starts now, and caches the data of its key.
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
        let early_report_slots = f64::from(rng.f64() < EARLY_REPORT_FRACTION);
        let worker = &self.workers[worker];
        LoadReport {
            free_slots: Some((self.slots - worker.running) as f64 + early_report_slots),
            in_flight: Some(worker.attempt_count() as f64),
            ..LoadReport::default()
        }
    }
}
