//! A simulated fleet: schedulers, workers with queues, and messages between schedulers, which are delayed and
//! may be lost.
//!
//! Equal settings, [`FleetConfig`]s and sequences of calls give equal runs. All schedulers run the production
//! policy, unless a baseline is set. Not simulated yet: discovery (a change of the endpoint list reaches all
//! schedulers at once), connections, cancellation, and clients that retry.

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

/// The virtual time at which a run starts.
const START_TIME: Millis = 1_000_000.0;
const MILLIS_PER_SECOND: Millis = 1_000.0;
const DEFAULT_LOAD: f64 = 0.6;
const DEFAULT_MESSAGE_LOSS: f64 = 0.02;
const DEFAULT_MESSAGE_LATENCY: Millis = 10.0;
const ZONE_COUNT: usize = 2;

/// The workers and the jobs of a simulated fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetConfig {
    /// Number of workers.
    pub worker_count: usize,
    /// Number of jobs that a worker runs concurrently.
    pub slots: usize,
    /// Mean running time of a job whose key's data is cached, at a worker that has warmed up.
    pub mean_run_time: Millis,
    /// Number of distinct affinity keys. Few of them are frequent, most are rare.
    pub key_count: u32,
    /// Seed of the random number generators.
    pub seed: u64,
}

/// A simulated fleet of schedulers and workers, with its virtual clock.
pub struct Fleet {
    /// The settings of all schedulers; each gets its own ordinal.
    pub settings: Settings,
    /// Mean number of jobs that arrive per second, for the whole fleet.
    pub arrival_rate: f64,
    /// Fraction of the messages between schedulers that is lost.
    pub message_loss: f64,
    /// One-way latency of the messages between schedulers.
    pub message_latency: Millis,
    now: Millis,
    events: EventQueue<FleetEvent>,
    rng: fastrand::Rng,
    baseline: Option<Baseline>,
    /// The schedulers, indexed by ordinal; `None` while a scheduler is killed.
    schedulers: Vec<Option<Scheduler>>,
    workers: WorkerPool,
    warming_workers: WarmingWorkers,
    checker: Checker,
    statistics: FleetStatistics,
    key_count: u32,
    job_count: JobId,
    /// The affinity key of each job that has arrived.
    job_keys: BTreeMap<JobId, u32>,
    /// Number of failed attempts, by scheduler and job.
    failed_attempts: BTreeMap<(usize, JobId), usize>,
}

impl Fleet {
    /// Creates a fleet at a load of 0.6, in which every scheduler knows all workers.
    pub fn new(settings: Settings, config: FleetConfig) -> Fleet {
        let FleetConfig { worker_count, slots, mean_run_time, key_count, seed } = config;
        let scheduler_count = settings.schedulers as usize;
        let total_slots = (worker_count * slots) as f64;
        let mut fleet = Fleet {
            arrival_rate: DEFAULT_LOAD * total_slots * MILLIS_PER_SECOND / mean_run_time,
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

    /// The current virtual time.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Number of schedulers, killed ones included.
    pub fn scheduler_count(&self) -> usize {
        self.schedulers.len()
    }

    /// Number of workers, failing ones included.
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// The rules broken so far, in the order of detection.
    pub fn violations(&self) -> &[Violation] {
        &self.checker.violations
    }

    /// The counters since the last [`Fleet::take_statistics`].
    pub fn statistics(&self) -> &FleetStatistics {
        &self.statistics
    }

    /// Returns the counters and resets them to zero.
    pub fn take_statistics(&mut self) -> FleetStatistics {
        std::mem::take(&mut self.statistics)
    }

    /// Sets the additional running time of a job at a worker that has not cached the data of the job's key,
    /// in units of the mean running time. The default is 0.
    pub fn set_fetch_cost(&mut self, fetch_cost: f64) {
        self.workers.fetch_cost = fetch_cost;
    }

    /// Makes the last `count` workers fail each attempt almost at once. All other workers serve normally.
    pub fn set_failing_workers(&mut self, count: usize) {
        self.workers.set_failing(count);
    }

    /// Restarts all schedulers with a baseline policy in place of the production policy.
    pub fn use_baseline(&mut self, baseline: Baseline) {
        self.baseline = Some(baseline);
        (0..self.schedulers.len()).for_each(|scheduler| self.start(scheduler));
    }

    /// Starts or restarts a scheduler. It knows the endpoint list, but keeps no state of an earlier start.
    pub fn start(&mut self, scheduler: usize) {
        let settings = Settings { ordinal: scheduler as u32, ..self.settings.clone() };
        let seed = self.rng.u64(..);
        self.schedulers[scheduler] = Some(Scheduler::new(self.now, settings, self.baseline, seed));
        let entries = (0..self.workers.len()).map(worker_entry).collect();
        self.handle_event(scheduler, Event::Workers { kind: ListKind::Full, entries });
    }

    /// Kills a scheduler. Its pending jobs are lost.
    pub fn kill(&mut self, scheduler: usize) {
        self.schedulers[scheduler] = None;
        self.statistics.lost += self.checker.remove_jobs_of(scheduler);
    }

    /// Restarts all killed schedulers.
    pub fn restart_killed(&mut self) {
        for scheduler in 0..self.schedulers.len() {
            if self.schedulers[scheduler].is_none() {
                self.start(scheduler);
            }
        }
    }

    /// Restarts the first `count` workers, which then have to warm up. Attempts in flight continue.
    pub fn restart_workers(&mut self, count: usize) {
        self.warming_workers = WarmingWorkers::restarted(0..count, self.now);
        for scheduler in 0..self.schedulers.len() {
            let restarted = |id| WorkerEntry { started_at: Some(self.now), ..worker_entry(id) };
            let entries = (0..count).map(restarted).collect();
            self.handle_event(scheduler, Event::Workers { kind: ListKind::Delta, entries });
        }
    }

    /// The load that the most recently restarted workers were sent since their restart.
    pub fn warming_worker_load(&self) -> WarmingWorkerLoad {
        self.warming_workers.load(&self.settings, self.workers.slots, self.workers.mean_run_time)
    }

    /// Number of attempts that the most recently restarted workers were sent since their restart.
    pub fn warming_worker_attempts(&self) -> usize {
        self.warming_workers.attempt_count()
    }

    /// Records a violation if one of the most recently restarted workers was overloaded.
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
