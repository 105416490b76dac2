//! A job's life, from its submission until its last attempt has ended. This is the whole state machine: [`crate::attempt`]
//! has the states of one attempt, and [`Engine`](crate::Engine) the inputs.
//!
//! A job is pending until it is answered. Meanwhile, and after that, each of its attempts goes through its own states; a
//! hedged job has several in flight. A pending job without one is queued: when it gets its next is for the decision module
//! to say.
//!
//! | state | input | next state | commands |
//! | --- | --- | --- | --- |
//! | (none) | `submit_job` | job pending | |
//! | job pending | the decision module starts an attempt | attempt connecting | `StartAttempt` |
//! | job pending | the same, past the write deadline or beyond the most attempts | attempt ended, and never ran | |
//! | attempt connecting | `attempt_sent` | attempt sent | |
//! | attempt connecting or sent | `attempt_ended` | attempt ended | |
//! | attempt connecting or sent | `attempt_served` | attempt ended; job answered | `Answer`, `WithdrawAttempt` of the others |
//! | job pending | the decision module rejects or fails it; `fail_pending` | job answered | `Answer`, `WithdrawAttempt` |
//! | job pending | `abandon_job` | job answered | `WithdrawAttempt`; nobody is left to answer |
//! | job answered | the decision module starts an attempt | attempt ended, and never ran | |
//! | job answered | its last attempt in flight has ended | forgotten | |
//!
//! The types rule out any other order: a client is taken out of `Pending` with its answer, so that it gets one, and only an
//! attempt in flight ([`InFlight`]) has transitions. An input for a job or an attempt that is gone does nothing.

use crate::attempt::{Attempt, AttemptDeadlines, InFlight};
use crate::stats::JobEnd;
use brackenledge_policy::{Effect, Millis, NewJob};
use std::rc::Rc;

/// A client as its frontend knows it.
pub type ClientId = usize;

/// What a worker is told of a job; the engine only passes it on.
#[derive(Debug)]
pub struct Request {
    /// The client's id of it, unique among open jobs.
    pub id: String,
    /// The path and query it was sent to.
    pub target: String,
    /// By which workers recognise retries.
    pub idempotency_key: Option<String>,
    /// The body's type.
    pub content_type: Option<String>,
    /// The body.
    pub body: Vec<u8>,
    /// What a second execution would do.
    pub effect: Effect,
    /// Each attempt's end is reported, with [`Command::AttemptEnded`](crate::Command::AttemptEnded).
    pub reports_attempts: bool,
}

/// A job as a frontend submits it.
pub struct JobRequest {
    /// Who submitted it.
    pub client: ClientId,
    /// What the decision module is told; the engine assigns its id.
    pub job: NewJob,
    /// What the worker is told.
    pub request: Request,
}

/// A job's final answer.
#[derive(Debug)]
pub enum Answer {
    /// A worker's result.
    Served(String),
    /// Rejected: a retry by the client is harmless.
    Rejected {
        /// How long the client should wait before it.
        retry_after: Option<Millis>,
    },
    /// Failed: the job may have run or not.
    Failed,
}

impl Answer {
    /// The end that the statistics count.
    pub(crate) fn job_end(&self) -> JobEnd {
        match self {
            Answer::Served(_) => JobEnd::Served,
            Answer::Rejected { .. } => JobEnd::Rejected,
            Answer::Failed => JobEnd::Failed,
        }
    }
}

/// Whether a job's client still waits.
#[derive(Clone, Copy, Debug, PartialEq)]
enum JobState {
    /// This client waits for the answer.
    Pending(ClientId),
    /// The client has its answer, or is gone.
    Answered,
}

/// A job that the engine holds.
pub(crate) struct Job {
    /// Its class's number in the settings.
    pub(crate) class: usize,
    pub(crate) request: Rc<Request>,
    deadline: Millis,
    state: JobState,
    attempts: Vec<Attempt>,
}

/// An attempt that has just been started.
pub(crate) struct NewAttempt {
    /// Its number within the job.
    pub(crate) number: usize,
    pub(crate) deadlines: AttemptDeadlines,
}

impl Job {
    /// A pending job. An attempt that another scheduler made counts as its first.
    pub(crate) fn new(now: Millis, client: ClientId, job: &NewJob, request: Request) -> Self {
        let earlier = job.prior_execution.iter().map(|prior| Attempt::of_earlier_scheduler(now - prior.age));
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

    /// Marks it as answered and returns the client that waited; `None`: it was not pending.
    pub(crate) fn take_client(&mut self) -> Option<ClientId> {
        match std::mem::replace(&mut self.state, JobState::Answered) {
            JobState::Pending(client) => Some(client),
            JobState::Answered => None,
        }
    }

    /// Whether nothing more can happen to it.
    pub(crate) fn is_finished(&self) -> bool {
        !self.is_pending() && !self.has_attempt_in_flight()
    }

    /// Starts an attempt. Retries are written within `retry_window` of the first attempt that may run the job. A `timeout`
    /// of 0 is none.
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

    /// An attempt that has not ended.
    pub(crate) fn attempt_in_flight(&mut self, attempt: usize) -> Option<InFlight<'_>> {
        self.attempts.get_mut(attempt)?.in_flight()
    }

    /// The numbers of all attempts that have not ended.
    pub(crate) fn attempts_in_flight(&self) -> impl Iterator<Item = usize> + '_ {
        let attempts = self.attempts.iter().enumerate();
        attempts.filter(|(_, attempt)| attempt.is_in_flight()).map(|(number, _)| number)
    }

    /// Whether no worker can have received its complete request. A job that reports its attempts counts as one that may run
    /// as soon as one is in flight: their receiver may know of an execution that is not known here.
    pub(crate) fn never_ran(&self) -> bool {
        let may_have_run = self.attempts.iter().any(Attempt::may_have_run);
        !(may_have_run || self.request.reports_attempts && self.has_attempt_in_flight())
    }

    fn has_attempt_in_flight(&self) -> bool {
        self.attempts_in_flight().next().is_some()
    }

    /// When the first attempt was started that is in flight or may have run.
    fn first_possible_run(&self) -> Option<Millis> {
        let mut attempts = self.attempts.iter();
        let first = attempts.find(|attempt| attempt.is_in_flight() || attempt.may_have_run());
        first.map(|attempt| attempt.started_at)
    }
}
