//! What drivers carry out for the engine, in the order in which it is handed out.

use crate::attempt::{AttemptDeadlines, AttemptId};
use crate::job::{Answer, ClientId, Request};
use brackenledge_policy::{JobId, Millis, WorkerId};
use std::rc::Rc;

/// What is to be done.
pub enum Command {
    /// Give a client its job's answer.
    Answer {
        /// The client.
        client: ClientId,
        /// The job.
        job: JobId,
        /// The answer.
        answer: Answer,
    },
    /// Send a request to a worker.
    StartAttempt {
        /// Names the attempt from now on.
        id: AttemptId,
        /// The worker.
        worker: WorkerId,
        /// The request.
        request: Rc<Request>,
        /// Its deadlines.
        deadlines: AttemptDeadlines,
    },
    /// Cancel an attempt, sent or not.
    CancelAttempt {
        /// The attempt.
        id: AttemptId,
    },
    /// No client waits for the job any more: end the attempt if its request has not been written completely. One that has
    /// been sent goes on, unless the decision module cancels it where the settings allow that.
    WithdrawAttempt {
        /// The attempt.
        id: AttemptId,
    },
    /// An attempt of a job with [`Request::reports_attempts`] has ended.
    AttemptEnded {
        /// The attempt.
        id: AttemptId,
        /// It is known that the job never ran by it.
        never_ran: bool,
    },
    /// Call [`Engine::handle_timeout`](crate::Engine::handle_timeout) after this time.
    SetTimer {
        /// How far from now, in milliseconds.
        after: Millis,
    },
    /// Open a watch of the endpoint list, or end it.
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
    /// Send a message to one scheduler or to all.
    SendMessage {
        /// The receiver's number; `None`: all.
        to: Option<u32>,
        /// At most 256 bytes.
        text: String,
    },
    /// Close the idle connections to a worker.
    CloseIdleConnections {
        /// The worker.
        worker: WorkerId,
    },
    /// A message of the decision module for the log.
    Log(String),
}
