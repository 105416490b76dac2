//! The history of a run: what clients, workers, discovery and the network proxy observed, in the order of
//! observation. The checker judges a run by it alone, never by what a scheduler reports about itself.

use crate::{Error, Millis};
use brackenledge_leases::{Role, Term};
use serde::Serialize;

/// How a request ended, as its client saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestEnd {
    /// Answered with 200 and this result in the body.
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
    /// It has begun to serve.
    Started,
    /// It got SIGKILL, or ended without being asked to.
    Killed,
    /// It got SIGTERM.
    Terminated,
    /// It got SIGSTOP.
    Paused,
    /// It got SIGCONT and has had time to process its backlog.
    Resumed,
}

/// An entry of the history. Times are in milliseconds since the start of traffic. A client sends one or more
/// requests for each of its jobs, and each request leads to attempts on workers. Jobs, schedulers, workers
/// and zones are numbered from 0; requests are identified by their `X-Trace-Id`.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
#[allow(missing_docs)]
pub enum HistoryEvent {
    /// A client has created a job.
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
    /// A reused connection ended, without a byte of an answer, as a request was written to it; the client
    /// sends the request again on a new one.
    RequestResent { at: Millis, request: String },
    /// The client has got the answer to a request, lost its connection or stopped waiting.
    RequestEnded { at: Millis, request: String, end: RequestEnd },
    /// The client has finished the job; `served` if it was answered with a result before its deadline.
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
    /// The worker has begun to execute an attempt.
    AttemptStarted { at: Millis, request: String, worker: usize },
    /// The worker does not execute an attempt because one with its idempotency key was executed before.
    AttemptDeduplicated { at: Millis, request: String, worker: usize },
    /// The worker has returned an attempt without executing it.
    AttemptReturned { at: Millis, request: String, worker: usize },
    /// The worker has produced a result for an attempt.
    AttemptFinished { at: Millis, request: String, worker: usize, result: String },
    /// Discovery has written to a scheduler that a worker accepts no new work.
    DrainAnnounced { at: Millis, scheduler: usize, worker: usize },
    /// From now on discovery's endpoint list states that a worker accepts no new work.
    DrainListed { at: Millis, worker: usize },
    /// A scheduler cannot reach discovery from `at` to `until`.
    DiscoveryUnreachable { at: Millis, until: Millis, scheduler: usize },
    /// A worker accepts work again.
    WorkerReady { at: Millis, worker: usize },
    /// A worker has started and is warming up.
    WorkerStarted { at: Millis, worker: usize },
    /// The state of a scheduler's process has changed.
    Process { at: Millis, scheduler: usize, change: ProcessEvent },
    /// A scheduler's clients may receive nothing from it from `at` to `until`.
    ClientsCutOff { at: Millis, until: Millis, scheduler: usize },
    /// A scheduler has sent a datagram to another one.
    PeerMessage { at: Millis, scheduler: usize, bytes: usize },
    /// A leader's view update states the holder of a role's lease. Recorded when the message is sent
    /// (`receiver` is `None`) and again when it reaches each receiver.
    RoleAnnounced { at: Millis, role: Role, term: Term, holder: usize, receiver: Option<usize> },
    /// A lease holder's fenced message. Recorded when it is sent (`receiver` is `None`) and again when it
    /// reaches each receiver.
    FencedMessage { at: Millis, role: Role, term: Term, sender: usize, receiver: Option<usize> },
    /// A process has performed an action that only one process may perform under a term. The terms of one
    /// subject must not decrease.
    FencedAction { at: Millis, action: String, subject: String, term: u64, process: usize },
}

/// Formats the history as JSON Lines.
pub fn to_json_lines(history: &[HistoryEvent]) -> Result<String, Error> {
    let mut text = String::new();
    for event in history {
        text.push_str(&serde_json::to_string(event)?);
        text.push('\n');
    }
    Ok(text)
}
