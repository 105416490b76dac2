//! One attempt of a job: its id, deadlines and state. [`crate::job`] has the table of transitions.

use brackenledge_policy::{JobId, Millis};

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The job that the attempt belongs to.
    pub job: JobId,
    /// Index of the attempt within the job, from 0.
    pub attempt: usize,
}

/// Deadlines of an attempt, on the driver's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptDeadlines {
    /// The request must be written completely before this time, or not at all. Workers deduplicate retries of
    /// an idempotent job only within the class's window, and a connection may be established long after it
    /// was requested.
    pub write_deadline: Millis,
    /// When to stop waiting for the response.
    pub response_deadline: Millis,
}

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
enum AttemptState {
    /// In flight; the request has not been written completely.
    Connecting,
    /// In flight; the request has been written completely, so that the worker may run the job.
    Sent,
    /// No longer in flight. Final.
    Ended { may_have_run: bool },
}

/// One attempt of a job.
pub(crate) struct Attempt {
    /// Start time. It precedes the job's submission if another scheduler started the attempt.
    pub(crate) started_at: Millis,
    state: AttemptState,
}

impl Attempt {
    /// An attempt that starts now.
    pub(crate) fn start(now: Millis) -> Self {
        Attempt { started_at: now, state: AttemptState::Connecting }
    }

    /// An attempt that another scheduler started. It may have run, and has ended as far as this scheduler
    /// knows.
    pub(crate) fn from_prior_execution(started_at: Millis) -> Self {
        Attempt { started_at, state: AttemptState::Ended { may_have_run: true } }
    }

    /// Gives access to the transitions; `None` if the attempt has ended.
    pub(crate) fn in_flight(&mut self) -> Option<InFlight<'_>> {
        self.is_in_flight().then_some(InFlight(&mut self.state))
    }

    pub(crate) fn is_in_flight(&self) -> bool {
        !matches!(self.state, AttemptState::Ended { .. })
    }

    /// Whether the worker may have run the job, or may still run it.
    pub(crate) fn may_have_run(&self) -> bool {
        matches!(self.state, AttemptState::Sent | AttemptState::Ended { may_have_run: true })
    }
}

/// An attempt that has not ended. Only such an attempt has transitions.
pub(crate) struct InFlight<'a>(&'a mut AttemptState);

impl InFlight<'_> {
    /// The request has been written completely.
    pub(crate) fn mark_sent(self) {
        *self.0 = AttemptState::Sent;
    }

    /// The attempt has ended. `may_have_run` is false only if the worker is known not to have run the job.
    pub(crate) fn end(self, may_have_run: bool) {
        *self.0 = AttemptState::Ended { may_have_run };
    }
}
