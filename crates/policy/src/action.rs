//! What a dispatcher decides. Actions are carried out in the order in which they are given.

use crate::units::{JobId, Millis, WorkerId};

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    StartAttempt {
        /// The job.
        job: JobId,
        /// The worker.
        worker: WorkerId,
        /// The attempt's timeout; `None`: until the client stops waiting.
        timeout: Option<Millis>,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The job.
        job: JobId,
        /// The attempt's number.
        attempt: usize,
    },
    /// Final answer: rejected; a retry by the client is harmless.
    Reject {
        /// The job.
        job: JobId,
        /// How long the client should wait before a retry, if it is to be told.
        retry_after: Option<Millis>,
    },
    /// Final answer: failed; the job may have run.
    Fail {
        /// The job.
        job: JobId,
    },
    /// Set a timer: [`Event::Timer`](crate::Event::Timer) is due when it expires.
    SetTimer {
        /// Time until it expires.
        after: Millis,
    },
    /// Watch the endpoint list, or end the watch.
    WatchEndpoints {
        /// Whether to watch.
        on: bool,
    },
    /// Poll the complete endpoint list once.
    PollEndpoints,
    /// Ask a worker for its load report.
    HealthCheck {
        /// The worker.
        worker: WorkerId,
    },
    /// Send a message to one scheduler, or to all.
    SendMessage {
        /// The receiver's number; `None`: all.
        to: Option<u32>,
        /// At most 256 bytes.
        text: String,
    },
    /// Close idle connections to a worker.
    CloseIdleConnections {
        /// The worker.
        worker: WorkerId,
    },
    /// A line for the log.
    Log(String),
}
