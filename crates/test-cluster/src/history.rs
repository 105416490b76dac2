//! What clients, workers, discovery and the network proxy observed during a run, in order. The checker judges a run by
//! this alone, never by what a scheduler reports of itself.

use crate::{Error, Millis};
use brackenledge_leases::{Role, Term};
use serde::Serialize;

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestEnd {
    /// Answered with 200 and this result.
    Served(String),
    /// Answered with 429 or 503.
    Rejected,
    /// Answered with any other status.
    Failed,
    /// The connection ended without an answer.
    ConnectionLost,
    /// The client stopped waiting after its deadline.
    TimedOut,
}

/// What happened to a scheduler's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProcessEvent {
    /// It serves.
    Started,
    /// It got SIGKILL, or ended although nobody had asked it to.
    Killed,
    /// It got SIGTERM.
    Terminated,
    /// It got SIGSTOP.
    Paused,
    /// It got SIGCONT and has had time to catch up.
    Resumed,
}

/// One entry of the history. Times are in milliseconds since the start of traffic. A job is what a client wants done; it
/// sends one or several requests for it, and each request leads to attempts on workers.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
#[allow(missing_docs)]
pub enum HistoryEvent {
    /// A client has a job.
    JobCreated { at: Millis, job: usize, class: usize, zone: usize },
    /// A request has been written completely, on a connection that was opened at `connected_at`.
    RequestSent {
        at: Millis,
        connected_at: Millis,
        job: usize,
        request: String,
        scheduler: usize,
        deadline: Millis,
    },
    /// A reused connection ended just as the request was written to it; the client writes it again on a new one.
    RequestResent { at: Millis, request: String },
    /// The request has ended.
    RequestEnded { at: Millis, request: String, end: RequestEnd },
    /// The client has finished with the job.
    JobEnded { at: Millis, job: usize, served: bool },
    /// The last byte of an attempt has reached a worker; its first byte left the scheduler at `sent_at`.
    AttemptReceived {
        at: Millis,
        sent_at: Millis,
        request: String,
        scheduler: usize,
        worker: usize,
        run_time: Millis,
    },
    /// The worker has begun to execute it.
    AttemptStarted { at: Millis, request: String, worker: usize },
    /// The worker has dropped it, since a job with its idempotency key was executed before.
    AttemptDeduplicated { at: Millis, request: String, worker: usize },
    /// The worker has returned it without executing it.
    AttemptReturned { at: Millis, request: String, worker: usize },
    /// The worker has a result for it.
    AttemptFinished { at: Millis, request: String, worker: usize, result: String },
    /// Discovery has written to a scheduler that a worker accepts nothing new.
    DrainAnnounced { at: Millis, scheduler: usize, worker: usize },
    /// Discovery's list says from now on that a worker accepts nothing new.
    DrainListed { at: Millis, worker: usize },
    /// A scheduler could not reach discovery in this time.
    DiscoveryUnreachable { at: Millis, until: Millis, scheduler: usize },
    /// The worker accepts work again.
    WorkerReady { at: Millis, worker: usize },
    /// A worker has started and is warming up.
    WorkerStarted { at: Millis, worker: usize },
    /// The state of a scheduler's process has changed.
    Process { at: Millis, scheduler: usize, change: ProcessEvent },
    /// A scheduler's clients could not receive anything from it in this time.
    ClientsCutOff { at: Millis, until: Millis, scheduler: usize },
    /// A datagram between schedulers.
    PeerMessage { at: Millis, scheduler: usize, bytes: usize },
    /// A leader names the holder of a role's lease, as the message leaves it or reaches `receiver`.
    RoleAnnounced { at: Millis, role: Role, term: Term, holder: usize, receiver: Option<usize> },
    /// A fenced message of a lease holder, as it leaves it or reaches `receiver`.
    FencedMessage { at: Millis, role: Role, term: Term, sender: usize, receiver: Option<usize> },
    /// A process did what only one process may do under a term. Terms of one subject never decrease.
    FencedAction { at: Millis, action: String, subject: String, term: u64, process: usize },
}

/// The history as JSON Lines.
pub fn to_json_lines(history: &[HistoryEvent]) -> Result<String, Error> {
    let mut text = String::new();
    for event in history {
        text.push_str(&serde_json::to_string(event)?);
        text.push('\n');
    }
    Ok(text)
}
