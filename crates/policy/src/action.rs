//! The actions that a dispatcher requests. The caller carries them out in the order in which they are given.

use crate::units::{JobId, Millis, WorkerId};

/// An action that the caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    StartAttempt {
        /// The job.
        job: JobId,
        /// The worker.
        worker: WorkerId,
        /// The attempt's timeout; `None` means until the client stops waiting.
        timeout: Option<Millis>,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The job.
        job: JobId,
        /// The attempt's number within the job, from 0.
        attempt: usize,
    },
    /// Final answer: the job is rejected. A retry by the client is safe.
    Reject {
        /// The job.
        job: JobId,
        /// How long the client should wait before a retry; `None` if it is not told.
        retry_after: Option<Millis>,
    },
    /// Final answer: the job has failed. It may have run.
    Fail {
        /// The job.
        job: JobId,
    },
    /// Set a timer. When it expires, [`Event::Timer`](crate::Event::Timer) is due.
    SetTimer {
        /// Time until it expires.
        after: Millis,
    },
    /// Start or end the watch of the endpoint list.
    WatchEndpoints {
        /// Whether to start the watch.
        on: bool,
    },
    /// Request the complete endpoint list once.
    PollEndpoints,
    /// Request a load report from a worker.
    HealthCheck {
        /// The worker.
        worker: WorkerId,
    },
    /// Send a message to one or all of the other schedulers.
    SendMessage {
        /// The receiver's number; `None` means all other schedulers.
        to: Option<u32>,
        /// The message, of at most 256 bytes.
        text: String,
    },
    /// Close the idle connections to a worker.
    CloseIdleConnections {
        /// The worker.
        worker: WorkerId,
    },
    /// Write a line to the log.
    Log(String),
}
