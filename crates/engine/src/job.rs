//! The state machine of a job, from its submission until its last attempt has ended. [`crate::attempt`] has
//! the states of one attempt, and [`Engine`](crate::Engine) the inputs.
//!
//! A job is pending until it is answered or abandoned. Each of its attempts has a state of its own, and may
//! still be in flight after the job has ended; a hedged job has several in flight. A pending job without an
//! attempt in flight is queued, and the decision module determines when its next attempt starts.
//!
//! In the table, inputs `Action::*` come from the decision module, an attempt in flight is connecting or
//! sent, and `WithdrawAttempt` is issued for each attempt that is still in flight.
//!
//! | state | input | next state | commands |
//! | --- | --- | --- | --- |
//! | (none) | `submit_job` | job pending | |
//! | job pending | `Action::StartAttempt` | attempt connecting | `StartAttempt` |
//! | job pending | the same, past the write deadline or over the attempt limit | attempt ended, never ran | |
//! | attempt connecting | `attempt_sent` | attempt sent | |
//! | attempt in flight | `attempt_ended` | attempt ended | |
//! | attempt in flight | `attempt_served` | attempt ended; job ended | `Answer`, `WithdrawAttempt` |
//! | job pending | `Action::Reject` or `Action::Fail` | job ended | `Answer`, `WithdrawAttempt` |
//! | job pending | `fail_pending` | job ended | `Answer`, `WithdrawAttempt` |
//! | job pending | `abandon_job` | job ended | `WithdrawAttempt`, no `Answer` |
//! | job ended | `Action::StartAttempt` | attempt ended, never ran | |
//! | job ended | its last attempt in flight has ended | (removed) | |
//!
//! The types rule out any other order: ending a job takes the client out of `Pending`, so that it gets at
//! most one answer, and only an attempt in flight ([`InFlight`]) has transitions. An input for a removed job
//! or an ended attempt does nothing.

use crate::attempt::{Attempt, AttemptDeadlines, InFlight};
use crate::stats::JobEnd;
use brackenledge_policy::{Effect, Millis, NewJob};
use std::rc::Rc;

/// Identifies a client; assigned by its frontend and opaque to the engine.
pub type ClientId = usize;

/// What is sent to a worker for a job. The engine passes it on unchanged.
#[derive(Debug)]
pub struct Request {
    /// The request id that the client assigned; unique among open jobs.
    pub id: String,
    /// Path and query of the client's request.
    pub target: String,
    /// The key by which workers recognise retries, if the client set one.
    pub idempotency_key: Option<String>,
    /// Content type of the body, if the client stated one.
    pub content_type: Option<String>,
    /// The request body.
    pub body: Vec<u8>,
    /// The effect of a second execution.
    pub effect: Effect,
    /// Whether the end of each attempt is reported with
    /// [`Command::AttemptEnded`](crate::Command::AttemptEnded).
    pub reports_attempts: bool,
}

/// A job as a frontend submits it.
pub struct JobRequest {
    /// The client that submitted the job.
    pub client: ClientId,
    /// The job as the decision module sees it. The engine assigns its id; the value set here is ignored.
    pub job: NewJob,
    /// The request that is sent to the worker.
    pub request: Request,
}

/// The final answer to a job.
#[derive(Debug)]
pub enum Answer {
    /// A worker's result.
    Served(String),
    /// Rejected. The client may safely retry.
    Rejected {
        /// How long the client should wait before a retry, in milliseconds; `None` if it is not told.
        retry_after: Option<Millis>,
    },
    /// Failed. The job may or may not have run.
    Failed,
}

impl Answer {
    /// The kind of end that the statistics count.
    pub(crate) fn job_end(&self) -> JobEnd {
        match self {
            Answer::Served(_) => JobEnd::Served,
            Answer::Rejected { .. } => JobEnd::Rejected,
            Answer::Failed => JobEnd::Failed,
        }
    }
}

/// Whether the client of a job still waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum JobState {
    /// This client waits for an answer.
    Pending(ClientId),
    /// The job has been answered or abandoned.
    Ended,
}

/// A job that the engine holds.
pub(crate) struct Job {
    /// Index of its class in the settings.
    pub(crate) class: usize,
    pub(crate) request: Rc<Request>,
    deadline: Millis,
    state: JobState,
    attempts: Vec<Attempt>,
}

/// An attempt that has just been started.
pub(crate) struct NewAttempt {
    /// Index of the attempt within the job.
    pub(crate) number: usize,
    pub(crate) deadlines: AttemptDeadlines,
}

impl Job {
    /// A pending job. An attempt that another scheduler made for it counts as its first.
    pub(crate) fn new(now: Millis, client: ClientId, job: &NewJob, request: Request) -> Self {
        let earlier = job.prior_execution.iter().map(|prior| Attempt::from_prior_execution(now - prior.age));
        Job {
            class: job.class,
            request: Rc::new(request),
            deadline: now + job.time_left,
            state: JobState::Pending(client),
            attempts: earlier.collect(),
        }
    }

    pub(crate) fn is_pending(&self) -> bool {
        matches!(self.state, JobState::Pending(_))
    }

    /// Marks the job as ended and returns the client that waited; `None` if the job was not pending.
    pub(crate) fn take_client(&mut self) -> Option<ClientId> {
        match std::mem::replace(&mut self.state, JobState::Ended) {
            JobState::Pending(client) => Some(client),
            JobState::Ended => None,
        }
    }

    /// Whether the job has ended and none of its attempts is in flight.
    pub(crate) fn is_finished(&self) -> bool {
        !self.is_pending() && !self.has_attempt_in_flight()
    }

    /// Starts an attempt. The write deadline of a retry is at most `retry_window` after the start of the
    /// first attempt that may have run or may still run the job. A `timeout` of 0 means none.
    pub(crate) fn start_attempt(
        &mut self,
        now: Millis,
        timeout: Option<Millis>,
        retry_window: Millis,
    ) -> NewAttempt {
        let window_end =
            self.first_possible_run().map_or(f64::INFINITY, |started_at| started_at + retry_window);
        let timeout = timeout.filter(|&timeout| timeout != 0.0);
        let response_deadline = timeout.map_or(self.deadline, |timeout| (now + timeout).min(self.deadline));
        let write_deadline = response_deadline.min(window_end);
        let number = self.attempts.len();
        self.attempts.push(Attempt::start(now));
        NewAttempt { number, deadlines: AttemptDeadlines { write_deadline, response_deadline } }
    }

    /// Gives access to the transitions of an attempt; `None` if it has ended or does not exist.
    pub(crate) fn attempt_in_flight(&mut self, attempt: usize) -> Option<InFlight<'_>> {
        self.attempts.get_mut(attempt)?.in_flight()
    }

    /// Indices of all attempts that have not ended.
    pub(crate) fn attempts_in_flight(&self) -> impl Iterator<Item = usize> + '_ {
        let attempts = self.attempts.iter().enumerate();
        attempts.filter(|(_, attempt)| attempt.is_in_flight()).map(|(number, _)| number)
    }

    /// Whether no worker can have received the complete request. While an attempt is in flight, this is false
    /// for a job that reports its attempts: the receiver of the reports may know of an execution that is not
    /// known here.
    pub(crate) fn never_ran(&self) -> bool {
        let may_have_run = self.attempts.iter().any(Attempt::may_have_run);
        !(may_have_run || self.request.reports_attempts && self.has_attempt_in_flight())
    }

    fn has_attempt_in_flight(&self) -> bool {
        self.attempts_in_flight().next().is_some()
    }

    /// Start time of the first attempt that is in flight or may have run.
    fn first_possible_run(&self) -> Option<Millis> {
        let mut attempts = self.attempts.iter();
        let first = attempts.find(|attempt| attempt.is_in_flight() || attempt.may_have_run());
        first.map(|attempt| attempt.started_at)
    }
}
