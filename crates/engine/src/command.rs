//! What drivers carry out for the engine, in the order in which it is handed out.
//!
//! Some commands are the decision module's own actions, handed on as they are; [`Action`] says what they mean.

use crate::attempt::{AttemptDeadlines, AttemptId};
use crate::job::{Answer, ClientId, Request};
#[cfg(doc)]
use brackenledge_policy::Action;
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
    /// [`Action::SetTimer`]; [`Engine::handle_timeout`](crate::Engine::handle_timeout) is called when it expires.
    SetTimer {
        /// Time until it expires.
        after: Millis,
    },
    /// [`Action::WatchEndpoints`].
    WatchEndpoints {
        /// Whether to watch.
        on: bool,
    },
    /// [`Action::PollEndpoints`].
    PollEndpoints,
    /// [`Action::HealthCheck`]; its end is told to [`Engine::health_check_ended`](crate::Engine::health_check_ended).
    HealthCheck {
        /// The worker.
        worker: WorkerId,
    },
    /// [`Action::SendMessage`] to one scheduler.
    SendMessage {
        /// The receiver's ordinal.
        to: u16,
        /// The text.
        text: String,
    },
    /// [`Action::SendMessage`] to all other schedulers.
    Broadcast {
        /// The text.
        text: String,
    },
    /// [`Action::CloseIdleConnections`].
    CloseIdleConnections {
        /// The worker.
        worker: WorkerId,
    },
    /// [`Action::Log`].
    Log(String),
}
