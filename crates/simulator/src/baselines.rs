//! Baseline load-balancing policies that the production policy is compared with. Each of them starts an
//! attempt as soon as a job arrives, retries after an error, and fails the job at its deadline.

use brackenledge_policy::{Action, AttemptResult, Event, JobId, Millis, Outcome, WorkerId};
use fastrand::Rng;
use serde::Deserialize;
use std::collections::BTreeMap;

/// Maximum number of attempts for one job.
const MAX_ATTEMPTS: usize = 4;
/// Tolerance for timers that expire early because times are rounded.
const TIMER_RESOLUTION: Millis = 0.01;
/// Each scheduler starts round-robin at a random position below this limit, so that the schedulers do not all
/// select the same worker first.
const ROUND_ROBIN_START_LIMIT: usize = 1_000;

/// How a baseline policy selects a worker.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Baseline {
    /// A uniformly random worker.
    Random,
    /// All workers in turn.
    RoundRobin,
    /// The worker with the fewest attempts of this scheduler in flight.
    LeastOutstanding,
    /// Of two random workers, the one with fewer attempts of this scheduler in flight.
    TwoChoices,
    /// The worker with the fewest attempts of all schedulers, running or queued. A real scheduler does not
    /// know this number.
    Oracle,
}

impl Baseline {
    /// The name in experiment files and in the output.
    pub fn name(self) -> &'static str {
        match self {
            Baseline::Random => "random",
            Baseline::RoundRobin => "round-robin",
            Baseline::LeastOutstanding => "least-outstanding",
            Baseline::TwoChoices => "two-choices",
            Baseline::Oracle => "oracle",
        }
    }
}

/// A job that has no final answer yet.
struct PendingJob {
    deadline: Millis,
    /// Attempts started so far.
    attempts: usize,
}

/// A scheduler that runs a baseline policy.
pub(crate) struct BaselineScheduler {
    baseline: Baseline,
    rng: Rng,
    /// This scheduler's attempts in flight, by worker.
    in_flight: Vec<usize>,
    /// Advances by one with each attempt, from a random start. Round-robin derives the worker from it.
    round_robin_position: usize,
    pending_jobs: BTreeMap<JobId, PendingJob>,
    /// The worker of each attempt in flight, by job and attempt number.
    attempt_workers: BTreeMap<(JobId, usize), WorkerId>,
}

impl BaselineScheduler {
    pub(crate) fn new(baseline: Baseline, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let round_robin_position = rng.usize(..ROUND_ROBIN_START_LIMIT);
        BaselineScheduler {
            baseline,
            rng,
            in_flight: Vec::new(),
            round_robin_position,
            pending_jobs: BTreeMap::new(),
            attempt_workers: BTreeMap::new(),
        }
    }

    /// Handles an event. `worker_loads` is the number of attempts at each worker, of all schedulers.
    pub(crate) fn handle(
        &mut self,
        now: Millis,
        event: Event,
        worker_loads: &[usize],
        actions: &mut Vec<Action>,
    ) {
        match event {
            Event::Workers { entries, .. } => {
                let count = entries.iter().map(|entry| entry.id + 1).max().unwrap_or(0);
                self.in_flight.resize(self.in_flight.len().max(count), 0);
            }
            Event::Job(job) => {
                let pending = PendingJob { deadline: now + job.time_left, attempts: 0 };
                self.pending_jobs.insert(job.id, pending);
                actions.push(Action::SetTimer { after: job.time_left });
                self.start_attempt(job.id, worker_loads, actions);
            }
            Event::AttemptEnded(result) => self.handle_attempt_result(&result, worker_loads, actions),
            Event::Timer => self.fail_overdue_jobs(now, actions),
            _ => {}
        }
    }

    fn handle_attempt_result(
        &mut self,
        result: &AttemptResult,
        worker_loads: &[usize],
        actions: &mut Vec<Action>,
    ) {
        let &AttemptResult { job, attempt, .. } = result;
        if let Some(worker) = self.attempt_workers.remove(&(job, attempt)) {
            self.in_flight[worker] -= 1;
        }
        let Some(pending) = self.pending_jobs.get(&job) else { return };
        if result.outcome == Outcome::Served {
            self.pending_jobs.remove(&job);
        } else if pending.attempts < MAX_ATTEMPTS {
            self.start_attempt(job, worker_loads, actions);
        } else {
            self.fail(job, actions);
        }
    }

    fn fail_overdue_jobs(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let is_overdue = |pending: &PendingJob| now + TIMER_RESOLUTION >= pending.deadline;
        let overdue = self.pending_jobs.iter().filter(|(_, pending)| is_overdue(pending));
        let overdue: Vec<JobId> = overdue.map(|(&job, _)| job).collect();
        for job in overdue {
            self.fail(job, actions);
        }
    }

    fn fail(&mut self, job: JobId, actions: &mut Vec<Action>) {
        self.pending_jobs.remove(&job);
        actions.push(Action::Fail { job });
    }

    fn start_attempt(&mut self, job: JobId, worker_loads: &[usize], actions: &mut Vec<Action>) {
        let worker = self.select_worker(worker_loads);
        self.round_robin_position += 1;
        if let Some(pending) = self.pending_jobs.get_mut(&job) {
            self.attempt_workers.insert((job, pending.attempts), worker);
            pending.attempts += 1;
        }
        self.in_flight[worker] += 1;
        actions.push(Action::StartAttempt { job, worker, timeout: None });
    }

    fn select_worker(&mut self, worker_loads: &[usize]) -> WorkerId {
        let count = self.in_flight.len();
        match self.baseline {
            Baseline::Random => self.rng.usize(..count),
            Baseline::RoundRobin => self.round_robin_position % count,
            Baseline::LeastOutstanding => least_loaded(&self.in_flight, self.rng.usize(..count)),
            Baseline::TwoChoices => {
                let (first, second) = (self.rng.usize(..count), self.rng.usize(..count));
                if self.in_flight[first] <= self.in_flight[second] { first } else { second }
            }
            Baseline::Oracle => least_loaded(&worker_loads[..count], self.rng.usize(..count)),
        }
    }
}

/// The worker with the least load. A tie goes to the first such worker from `start` on, in cyclic order.
fn least_loaded(loads: &[usize], start: WorkerId) -> WorkerId {
    let count = loads.len();
    (0..count).map(|offset| (start + offset) % count).min_by_key(|&worker| loads[worker]).unwrap_or(0)
}
