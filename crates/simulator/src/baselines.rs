//! Baseline policies to compare with: each sends a job at once, retries after an error, and fails it at its deadline.

use brackenledge_policy::{Action, AttemptResult, Event, JobId, Millis, Outcome, WorkerId};
use fastrand::Rng;
use serde::Deserialize;
use std::collections::BTreeMap;

/// Attempts that a job gets.
const MAX_ATTEMPTS: usize = 4;
/// Timers may be rounded by as much.
const TIMER_RESOLUTION: Millis = 0.01;
/// Schedulers that go round the workers start at different ones.
const MAX_FIRST_TURN: usize = 1_000;

/// How a worker is selected.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Baseline {
    /// Any.
    Random,
    /// The next.
    RoundRobin,
    /// The one with the fewest of the scheduler's own jobs.
    LeastOutstanding,
    /// Of two at random the one with fewer of the scheduler's own jobs.
    TwoChoices,
    /// The one with the fewest jobs of all schedulers, by its true state, which no real scheduler knows.
    Oracle,
}

impl Baseline {
    /// Its name in files and tables.
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

/// A job without an answer.
struct PendingJob {
    deadline: Millis,
    attempts: usize,
}

/// A scheduler under a baseline.
pub(crate) struct BaselineScheduler {
    baseline: Baseline,
    rng: Rng,
    /// This scheduler's attempts in flight at each worker.
    in_flight: Vec<usize>,
    /// Attempts so far, from a random number on: the turn of round-robin.
    turn: usize,
    pending_jobs: BTreeMap<JobId, PendingJob>,
    /// The workers of the attempts in flight, by job and number.
    attempt_workers: BTreeMap<(JobId, usize), WorkerId>,
}

impl BaselineScheduler {
    pub(crate) fn new(baseline: Baseline, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let turn = rng.usize(..MAX_FIRST_TURN);
        BaselineScheduler {
            baseline,
            rng,
            in_flight: Vec::new(),
            turn,
            pending_jobs: BTreeMap::new(),
            attempt_workers: BTreeMap::new(),
        }
    }

    /// Handles an event. `worker_loads`: the attempts at each worker, of all schedulers.
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
                self.send(job.id, worker_loads, actions);
            }
            Event::AttemptEnded(result) => self.handle_attempt_result(&result, worker_loads, actions),
            Event::Timer => self.fail_overdue(now, actions),
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
            self.send(job, worker_loads, actions);
        } else {
            self.fail(job, actions);
        }
    }

    fn fail_overdue(&mut self, now: Millis, actions: &mut Vec<Action>) {
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

    fn send(&mut self, job: JobId, worker_loads: &[usize], actions: &mut Vec<Action>) {
        let worker = self.select_worker(worker_loads);
        self.turn += 1;
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
            Baseline::RoundRobin => self.turn % count,
            Baseline::LeastOutstanding => least_loaded(&self.in_flight, self.rng.usize(..count)),
            Baseline::TwoChoices => {
                let (first, second) = (self.rng.usize(..count), self.rng.usize(..count));
                if self.in_flight[first] <= self.in_flight[second] { first } else { second }
            }
            Baseline::Oracle => least_loaded(&worker_loads[..count], self.rng.usize(..count)),
        }
    }
}

/// The worker with the least load; of equal ones the first from a given one on.
fn least_loaded(loads: &[usize], from: WorkerId) -> WorkerId {
    let count = loads.len();
    (0..count).map(|step| (from + step) % count).min_by_key(|&worker| loads[worker]).unwrap_or(0)
}
