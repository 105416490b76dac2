//! One attempt of a job: its identity, its deadlines and its state.
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | `Connecting` | its request has been written completely | `Sent` |
//! | `Connecting`, `Sent` | it ended | `Ended` |
//!
//! `Ended` is final.

use brackenledge_policy::{JobId, Millis};

/// Names an attempt.
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
#[derive(Clone, Copy, PartialEq)]
enum AttemptState {
    /// In flight; the request has not been written completely.
    Connecting,
    /// In flight; the worker may run it.
    Sent,
    /// No longer in flight.
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

    /// The request has been written completely. Only an attempt in flight can be sent.
    pub(crate) fn mark_sent(&mut self) {
        debug_assert!(self.is_in_flight());
        self.state = AttemptState::Sent;
    }

    /// It ended. Only an attempt in flight can end.
    pub(crate) fn mark_ended(&mut self, may_have_run: bool) {
        debug_assert!(self.is_in_flight());
        self.state = AttemptState::Ended { may_have_run };
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
