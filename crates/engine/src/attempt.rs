//! One attempt of a job: its identity, its deadlines and its state. Its transitions stand in [`crate::job`].

use brackenledge_policy::{JobId, Millis};

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Its job.
    pub job: JobId,
    /// Its number within the job, from 0.
    pub attempt: usize,
}

/// The times that bind an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptDeadlines {
    /// The request's last byte is written before this, or never: workers drop a retry of an idempotent job only within the
    /// class's window, and a connection may be established long after it was requested.
    pub write_deadline: Millis,
    /// When to stop waiting for the response.
    pub response_deadline: Millis,
}

/// Where an attempt stands.
#[derive(Clone, Copy, Debug, PartialEq)]
enum AttemptState {
    /// In flight; the request has not been written completely.
    Connecting,
    /// In flight; the worker may run it.
    Sent,
    /// No longer in flight. Final.
    Ended { may_have_run: bool },
}

/// One attempt of a job.
pub(crate) struct Attempt {
    /// When it was started. It may be before the job's submission, for an earlier scheduler's attempt.
    pub(crate) started_at: Millis,
    state: AttemptState,
}

impl Attempt {
    /// An attempt that starts now.
    pub(crate) fn start(now: Millis) -> Self {
        Attempt { started_at: now, state: AttemptState::Connecting }
    }

    /// An attempt that another scheduler started; it may have run.
    pub(crate) fn of_earlier_scheduler(started_at: Millis) -> Self {
        Attempt { started_at, state: AttemptState::Ended { may_have_run: true } }
    }

    /// Access to its transitions; `None` once it has ended, since an ended attempt has none.
    pub(crate) fn in_flight(&mut self) -> Option<InFlight<'_>> {
        self.is_in_flight().then_some(InFlight(&mut self.state))
    }

    /// Whether it has not ended.
    pub(crate) fn is_in_flight(&self) -> bool {
        !matches!(self.state, AttemptState::Ended { .. })
    }

    /// Whether its worker may have run the job, or may still.
    pub(crate) fn may_have_run(&self) -> bool {
        matches!(self.state, AttemptState::Sent | AttemptState::Ended { may_have_run: true })
    }
}

/// An attempt that has not ended: the only kind that has transitions.
pub(crate) struct InFlight<'a>(&'a mut AttemptState);

impl InFlight<'_> {
    /// The request has been written completely.
    pub(crate) fn mark_sent(self) {
        *self.0 = AttemptState::Sent;
    }

    /// It ended.
    pub(crate) fn end(self, may_have_run: bool) {
        *self.0 = AttemptState::Ended { may_have_run };
    }
}
