//! What a dispatcher remembers of a job and its attempts. Nothing is decided here.

use crate::event::{Outcome, PriorExecution};
use crate::units::{Millis, WorkerId};

/// An attempt of a job.
#[derive(Clone, Copy, Default)]
pub(crate) struct Attempt {
    pub(crate) worker: WorkerId,
    pub(crate) sent_at: Millis,
    /// When its worker reported that it started to run.
    pub(crate) started_at: Option<Millis>,
    /// How long it was expected to wait there, and to take on a standard core with the worker's present capacity.
    pub(crate) expected_wait: Millis,
    pub(crate) expected_duration: Millis,
    pub(crate) in_flight: bool,
    /// It ended, and may have run.
    pub(crate) may_have_run: bool,
    /// It has counted as slow for its worker before its end.
    pub(crate) is_overdue: bool,
}

impl Attempt {
    /// An attempt that is sent now.
    pub(crate) fn start(now: Millis, worker: WorkerId) -> Self {
        Attempt { worker, sent_at: now, in_flight: true, ..Attempt::default() }
    }

    /// An attempt of an earlier scheduler, which counts as ended.
    pub(crate) fn of_earlier_scheduler(now: Millis, prior: PriorExecution) -> Self {
        let PriorExecution { worker, age } = prior;
        Attempt { worker, sent_at: now - age, may_have_run: true, ..Attempt::default() }
    }

    /// It ends by this outcome.
    pub(crate) fn end(&mut self, outcome: Outcome) {
        self.in_flight = false;
        self.may_have_run = !outcome.never_ran();
    }
}

/// A job that has not ended, or has an attempt in flight.
#[derive(Default)]
pub(crate) struct Job {
    pub(crate) class: usize,
    pub(crate) tenant: usize,
    /// The queue of its tenant that it belongs to.
    pub(crate) lane: usize,
    pub(crate) is_within_quota: bool,
    /// It can't be answered by its objective any more.
    pub(crate) is_late: bool,
    /// The hash of its affinity key.
    pub(crate) key: Option<u64>,
    /// The fraction of all jobs that have this key.
    pub(crate) key_popularity: f64,
    /// An answer until then earns the full weight.
    pub(crate) objective_at: Millis,
    pub(crate) deadline: Millis,
    /// Until when it may wait for an attempt.
    pub(crate) queue_deadline: Millis,
    pub(crate) slots: f64,
    /// Its expected running time on a standard core: its client's hint, or else what is typical of its class.
    pub(crate) run_time: Millis,
    pub(crate) queued: bool,
    pub(crate) answered: bool,
    /// Its streamed answer has begun.
    pub(crate) streaming: bool,
    pub(crate) attempts: Vec<Attempt>,
}

impl Job {
    /// Its attempts in flight, with their numbers.
    pub(crate) fn in_flight(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        self.attempts.iter().enumerate().filter(|(_, attempt)| attempt.in_flight)
    }

    /// An attempt, if it is in flight.
    pub(crate) fn in_flight_mut(&mut self, number: usize) -> Option<&mut Attempt> {
        self.attempts.get_mut(number).filter(|attempt| attempt.in_flight)
    }

    /// It waits for a further attempt, until this deadline.
    pub(crate) fn requeue(&mut self, queue_deadline: Millis) {
        self.queued = true;
        self.queue_deadline = queue_deadline;
    }

    /// Whether its answer earns less than the full weight.
    pub(crate) fn is_discounted(&self) -> bool {
        !self.is_within_quota || self.is_late
    }

    /// Whether an attempt of it is in flight.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.in_flight().next().is_some()
    }

    /// The first attempt that may have run or may still run.
    pub(crate) fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.in_flight || attempt.may_have_run)
    }
}
