//! Commands of the engine. Drivers execute them in the order in which they are handed out.
//!
//! Some commands pass on an action of the decision module unchanged; [`Action`] documents those.

use crate::attempt::{AttemptDeadlines, AttemptId};
use crate::job::{Answer, ClientId, Request};
#[cfg(doc)]
use brackenledge_policy::Action;
use brackenledge_policy::{JobId, Millis, WorkerId};
use std::rc::Rc;

/// A command for a frontend, or for the driver of worker connections, discovery or peer messages.
pub enum Command {
    /// Send the answer of a job to its client. Issued at most once for each job.
    Answer {
        /// The client that submitted the job.
        client: ClientId,
        /// The job.
        job: JobId,
        /// The answer.
        answer: Answer,
    },
    /// Send a request to a worker.
    StartAttempt {
        /// Identifies the attempt in later inputs and commands.
        id: AttemptId,
        /// The worker.
        worker: WorkerId,
        /// The request.
        request: Rc<Request>,
        /// The attempt's deadlines.
        deadlines: AttemptDeadlines,
    },
    /// Cancel an attempt, whether or not its request has been written.
    CancelAttempt {
        /// The attempt.
        id: AttemptId,
    },
    /// The job has been answered or abandoned: end the attempt if its request has not been written
    /// completely. An attempt that has been sent continues, unless the decision module cancels it where the
    /// settings allow that.
    WithdrawAttempt {
        /// The attempt.
        id: AttemptId,
    },
    /// An attempt of a job with [`Request::reports_attempts`] has ended.
    AttemptEnded {
        /// The attempt.
        id: AttemptId,
        /// Whether the worker is known not to have run the job in this attempt.
        never_ran: bool,
    },
    /// [`Action::SetTimer`]; call [`Engine::handle_timeout`](crate::Engine::handle_timeout) when it expires.
    SetTimer {
        /// Time until the timer expires.
        after: Millis,
    },
    /// [`Action::WatchEndpoints`].
    WatchEndpoints {
        /// Whether to watch.
        on: bool,
    },
    /// [`Action::PollEndpoints`].
    PollEndpoints,
    /// [`Action::HealthCheck`]; report its result with
    /// [`Engine::health_check_ended`](crate::Engine::health_check_ended).
    HealthCheck {
        /// The worker.
        worker: WorkerId,
    },
    /// [`Action::SendMessage`] to one scheduler.
    SendMessage {
        /// The receiver's ordinal.
        to: u16,
        /// The text, at most 256 bytes.
        text: String,
    },
    /// [`Action::SendMessage`] to all other schedulers.
    Broadcast {
        /// The text, at most 256 bytes.
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
