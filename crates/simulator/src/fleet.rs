//! Schedulers, workers that queue, and messages between the schedulers that are late or lost.
//!
//! A run is a function of the settings, the [`FleetConfig`] and the calls made. All schedulers run the policy unchanged.
//! Left out so far: discovery (a change of the endpoint list reaches all at once), connections, cancellation, and clients
//! that retry.

mod checker;
mod event_loop;
mod scheduler;
mod settings;
#[cfg(test)]
mod tests;
mod warming_workers;
mod workers;

pub use self::checker::Violation;
pub use self::settings::settings;
pub use self::warming_workers::WarmingWorkerLoad;

use self::checker::Checker;
use self::event_loop::FleetEvent;
use self::scheduler::Scheduler;
use self::warming_workers::WarmingWorkers;
use self::workers::WorkerPool;
use crate::baselines::Baseline;
use crate::event_queue::EventQueue;
use crate::statistics::FleetStatistics;
use brackenledge_policy::{Event, JobId, ListKind, Millis, Settings, WorkerEntry, WorkerId};
use std::collections::BTreeMap;

/// The virtual time at which a fleet starts.
const START_TIME: Millis = 1_000_000.0;
const MILLIS_PER_SECOND: Millis = 1_000.0;
const DEFAULT_LOAD: f64 = 0.6;
const DEFAULT_MESSAGE_LOSS: f64 = 0.02;
const DEFAULT_MESSAGE_LATENCY: Millis = 10.0;
const ZONE_COUNT: usize = 2;

/// The workers and the jobs of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetConfig {
    /// Workers.
    pub worker_count: usize,
    /// Jobs that a worker runs at a time.
    pub slots: usize,
    /// Mean running time of a job.
    pub mean_run_time: Millis,
    /// Affinity keys of the jobs, a few of them frequent.
    pub key_count: u32,
    /// For all that is random.
    pub seed: u64,
}

/// Schedulers and workers, and what happens to them.
pub struct Fleet {
    /// The settings of every scheduler.
    pub settings: Settings,
    /// Jobs a second, of the whole fleet.
    pub arrival_rate: f64,
    /// Part of the messages between schedulers that is lost.
    pub message_loss: f64,
    /// How long a message between schedulers is on its way.
    pub message_latency: Millis,
    now: Millis,
    events: EventQueue<FleetEvent>,
    rng: fastrand::Rng,
    baseline: Option<Baseline>,
    /// The running schedulers by ordinal.
    schedulers: Vec<Option<Scheduler>>,
    workers: WorkerPool,
    warming_workers: WarmingWorkers,
    checker: Checker,
    statistics: FleetStatistics,
    key_count: u32,
    job_count: JobId,
    /// The key of each job that arrived.
    job_keys: BTreeMap<JobId, u32>,
    /// Failed attempts of a job, by the scheduler that made them.
    failed_attempts: BTreeMap<(usize, JobId), usize>,
}

impl Fleet {
    /// A fleet whose workers all schedulers know, at a load of 0.6.
    pub fn new(settings: Settings, config: FleetConfig) -> Fleet {
        let FleetConfig { worker_count, slots, mean_run_time, key_count, seed } = config;
        let scheduler_count = settings.schedulers as usize;
        let all_slots = (worker_count * slots) as f64;
        let mut fleet = Fleet {
            arrival_rate: DEFAULT_LOAD * all_slots * MILLIS_PER_SECOND / mean_run_time,
            message_loss: DEFAULT_MESSAGE_LOSS,
            message_latency: DEFAULT_MESSAGE_LATENCY,
            now: START_TIME,
            events: EventQueue::new(),
            rng: fastrand::Rng::with_seed(seed),
            baseline: None,
            schedulers: (0..scheduler_count).map(|_| None).collect(),
            workers: WorkerPool::new(worker_count, slots, mean_run_time),
            warming_workers: WarmingWorkers::default(),
            checker: Checker::new(settings.classes[0].deadline),
            statistics: FleetStatistics::default(),
            key_count,
            job_count: 0,
            job_keys: BTreeMap::new(),
            failed_attempts: BTreeMap::new(),
            settings,
        };
        (0..scheduler_count).for_each(|scheduler| fleet.start(scheduler));
        fleet.schedule_after(0.0, FleetEvent::JobArrival);
        fleet
    }

    /// The virtual time.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Schedulers, running or not.
    pub fn scheduler_count(&self) -> usize {
        self.schedulers.len()
    }

    /// Workers.
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// Rules that were broken so far.
    pub fn violations(&self) -> &[Violation] {
        &self.checker.violations
    }

    /// The counts since they were last taken.
    pub fn statistics(&self) -> &FleetStatistics {
        &self.statistics
    }

    /// The counts since they were last taken; they start again at zero.
    pub fn take_statistics(&mut self) -> FleetStatistics {
        std::mem::take(&mut self.statistics)
    }

    /// Additional running time of a job at a worker that has not cached its key's data, in mean running times.
    pub fn set_fetch_cost(&mut self, fetch_cost: f64) {
        self.workers.fetch_cost = fetch_cost;
    }

    /// From now on so many workers fail whatever they are sent, at once.
    pub fn set_failing_workers(&mut self, count: usize) {
        self.workers.set_failing(count);
    }

    /// All schedulers start again under a baseline.
    pub fn use_baseline(&mut self, baseline: Baseline) {
        self.baseline = Some(baseline);
        (0..self.schedulers.len()).for_each(|scheduler| self.start(scheduler));
    }

    /// Starts a scheduler, which knows nothing but the endpoint list.
    pub fn start(&mut self, scheduler: usize) {
        let settings = Settings { ordinal: scheduler as u32, ..self.settings.clone() };
        let seed = self.rng.u64(..);
        self.schedulers[scheduler] = Some(Scheduler::new(self.now, settings, self.baseline, seed));
        let entries = (0..self.workers.len()).map(worker_entry).collect();
        self.handle_event(scheduler, Event::Workers { kind: ListKind::Full, entries });
    }

    /// Kills a scheduler; its jobs are lost.
    pub fn kill(&mut self, scheduler: usize) {
        self.schedulers[scheduler] = None;
        self.statistics.lost += self.checker.scheduler_killed(scheduler);
    }

    /// Starts all schedulers that were killed.
    pub fn restart_killed(&mut self) {
        for scheduler in 0..self.schedulers.len() {
            if self.schedulers[scheduler].is_none() {
                self.start(scheduler);
            }
        }
    }

    /// Restarts the first so many workers, which then warm up.
    pub fn restart_workers(&mut self, count: usize) {
        self.warming_workers = WarmingWorkers::restarted(0..count, self.now);
        for scheduler in 0..self.schedulers.len() {
            let restarted = |id| WorkerEntry { started_at: Some(self.now), ..worker_entry(id) };
            let entries = (0..count).map(restarted).collect();
            self.handle_event(scheduler, Event::Workers { kind: ListKind::Delta, entries });
        }
    }

    /// What the workers that were restarted last were sent since.
    pub fn warming_worker_load(&self) -> WarmingWorkerLoad {
        self.warming_workers.load(&self.settings, self.workers.slots, self.workers.mean_run_time)
    }

    /// Attempts that the workers that were restarted last were sent since.
    pub fn warming_worker_attempts(&self) -> usize {
        self.warming_workers.attempt_count()
    }

    /// Notes a violation if a worker was overloaded while it was warming up.
    pub fn check_warming_workers(&mut self) {
        let load = self.warming_worker_load().max_load;
        if load >= self.settings.overload_multiple {
            self.checker.violations.push(Violation::WarmingWorkerOverloaded { load });
        }
    }
}

fn worker_entry(id: WorkerId) -> WorkerEntry {
    let (zone, cell) = ((id % ZONE_COUNT) as u32, (id / ZONE_COUNT) as u32);
    WorkerEntry { id, name: format!("w{id}"), zone, cell, weight: 1.0, ..WorkerEntry::default() }
}
