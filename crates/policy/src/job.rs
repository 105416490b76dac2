//! The state of a job and its attempts. The decisions on them are made in the dispatcher.

use crate::event::{Outcome, PriorExecution};
use crate::units::{Millis, WorkerId};

/// An attempt of a job.
#[derive(Clone, Copy, Default)]
pub(crate) struct Attempt {
    pub(crate) worker: WorkerId,
    /// When it was sent; for an attempt of another scheduler, the earliest time at which it can have been.
    pub(crate) sent_at: Millis,
    /// When its worker reported that the job started; `None` if it has not.
    pub(crate) started_at: Option<Millis>,
    /// Expected wait at the worker; 0 if workers report when a job starts.
    pub(crate) expected_wait: Millis,
    /// Expected time from sending to end: `expected_wait`, plus the job's running time on a standard core
    /// divided by the fraction of its capacity that the worker had when the attempt was sent.
    pub(crate) expected_duration: Millis,
    pub(crate) in_flight: bool,
    /// Whether it has ended and may have run.
    pub(crate) may_have_run: bool,
    /// Whether it was recorded as slow for its worker before its end.
    pub(crate) is_overdue: bool,
}

impl Attempt {
    /// An attempt that is sent at `now`.
    pub(crate) fn start(now: Millis, worker: WorkerId) -> Self {
        Attempt { worker, sent_at: now, in_flight: true, ..Attempt::default() }
    }

    /// An attempt that another scheduler started. It counts as ended.
    pub(crate) fn from_prior_execution(now: Millis, prior: PriorExecution) -> Self {
        let PriorExecution { worker, age } = prior;
        Attempt { worker, sent_at: now - age, may_have_run: true, ..Attempt::default() }
    }

    /// Marks the attempt as ended.
    pub(crate) fn end(&mut self, outcome: Outcome) {
        self.in_flight = false;
        self.may_have_run = !outcome.never_ran();
    }
}

/// A job that has no final answer yet, or still has an attempt in flight.
#[derive(Default)]
pub(crate) struct Job {
    pub(crate) class: usize,
    pub(crate) tenant: usize,
    /// Index of its priority lane in its tenant's queue.
    pub(crate) lane: usize,
    pub(crate) is_within_quota: bool,
    /// Whether it could no longer meet its latency objective when it arrived.
    pub(crate) is_late: bool,
    /// The hash of its affinity key; `None` if it has none.
    pub(crate) key: Option<u64>,
    /// The fraction of all jobs that have this key; 0 without a key.
    pub(crate) key_popularity: f64,
    /// An answer until this time meets the latency objective and earns the full weight.
    pub(crate) objective_deadline: Millis,
    /// When the client stops waiting.
    pub(crate) deadline: Millis,
    /// Until when it may wait in the queue.
    pub(crate) queue_deadline: Millis,
    /// Slots that each of its attempts occupies, at least 1.
    pub(crate) slots: f64,
    /// Expected running time on a standard core: the client's hint, or else the typical one of its class.
    pub(crate) run_time: Millis,
    pub(crate) queued: bool,
    pub(crate) answered: bool,
    /// Whether its streamed response has begun.
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

    /// Marks the job as queued for another attempt, until this deadline.
    pub(crate) fn requeue(&mut self, queue_deadline: Millis) {
        self.queued = true;
        self.queue_deadline = queue_deadline;
    }

    /// Whether an answer earns less than the full weight, as the job is over its tenant's quota or late.
    pub(crate) fn has_reduced_weight(&self) -> bool {
        !self.is_within_quota || self.is_late
    }

    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.in_flight().next().is_some()
    }

    /// The first attempt that may have run or may still run.
    pub(crate) fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.in_flight || attempt.may_have_run)
    }
}
