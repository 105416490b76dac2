//! Actions of the decision module in the wire format.

use brackenledge_policy::Action;
use serde::Serialize;

/// The label of every timer. An instance has only one timer, so the label carries no information.
const TIMER_LABEL: &str = "sweep";

/// An action of one instance. Variants and serialized fields have the names of the wire format.
#[derive(Serialize)]
pub enum WireAction {
    /// Start an attempt of a job on a worker.
    Place {
        dispatcher: String,
        #[serde(rename = "op-id")]
        job: u32,
        /// In milliseconds; absent if the attempt may run until the client stops waiting.
        #[serde(rename = "cap", skip_serializing_if = "Option::is_none")]
        timeout: Option<f64>,
        #[serde(rename = "runner")]
        worker: String,
    },
    /// Cancel an attempt of a job.
    Cancel {
        dispatcher: String,
        #[serde(rename = "op-id")]
        job: u32,
        #[serde(rename = "leg")]
        attempt: usize,
    },
    /// Reject a job. A retry by the client is safe.
    TurnAway {
        dispatcher: String,
        #[serde(rename = "op-id")]
        job: u32,
        /// How long the client should wait before a retry, in milliseconds; absent if it is not told.
        #[serde(rename = "retry-after", skip_serializing_if = "Option::is_none")]
        retry_after: Option<f64>,
    },
    /// Fail a job. It may have run.
    ReportFailure {
        dispatcher: String,
        #[serde(rename = "op-id")]
        job: u32,
    },
    /// Set the instance's timer.
    WakeMe {
        dispatcher: String,
        label: &'static str,
        /// Time until the timer expires, in milliseconds.
        #[serde(rename = "sleep-for")]
        after: f64,
    },
    /// Start or end the watch of the endpoint list.
    StreamChanges { dispatcher: String, on: bool },
    /// Request the complete endpoint list once.
    GetList { dispatcher: String },
    /// Check a worker's health, which also requests its load report.
    Sample {
        dispatcher: String,
        #[serde(rename = "runner")]
        worker: String,
    },
    /// Send a message to one or all of the other schedulers.
    Share {
        dispatcher: String,
        /// Ordinal of the receiver; null for all other schedulers.
        #[serde(rename = "dest")]
        to: Option<u32>,
        #[serde(rename = "data")]
        text: String,
    },
    /// Close the idle connections to a worker.
    CloseIdle {
        dispatcher: String,
        #[serde(rename = "runner")]
        worker: String,
    },
    /// Write a line to the log.
    Trace {
        dispatcher: String,
        #[serde(rename = "words")]
        text: String,
    },
    /// The dispatcher of the instance has panicked.
    Fatal {
        dispatcher: String,
        #[serde(rename = "words")]
        message: String,
    },
}

impl WireAction {
    /// Converts an action of the instance `dispatcher` to the wire format. `worker_names` are the names of
    /// the instance's workers, by id.
    pub fn new(dispatcher: &str, worker_names: &[String], action: Action) -> WireAction {
        let dispatcher = dispatcher.to_owned();
        let name = |worker: usize| worker_names[worker].clone();
        match action {
            Action::StartAttempt { job, worker, timeout } => {
                WireAction::Place { dispatcher, job, timeout, worker: name(worker) }
            }
            Action::CancelAttempt { job, attempt } => WireAction::Cancel { dispatcher, job, attempt },
            Action::Reject { job, retry_after } => WireAction::TurnAway { dispatcher, job, retry_after },
            Action::Fail { job } => WireAction::ReportFailure { dispatcher, job },
            Action::SetTimer { after } => WireAction::WakeMe { dispatcher, label: TIMER_LABEL, after },
            Action::WatchEndpoints { on } => WireAction::StreamChanges { dispatcher, on },
            Action::PollEndpoints => WireAction::GetList { dispatcher },
            Action::HealthCheck { worker } => WireAction::Sample { dispatcher, worker: name(worker) },
            Action::SendMessage { to, text } => WireAction::Share { dispatcher, to, text },
            Action::CloseIdleConnections { worker } => {
                WireAction::CloseIdle { dispatcher, worker: name(worker) }
            }
            Action::Log(text) => WireAction::Trace { dispatcher, text },
        }
    }

    /// The instance from which the action comes.
    pub fn dispatcher(&self) -> &str {
        match self {
            WireAction::Place { dispatcher, .. }
            | WireAction::Cancel { dispatcher, .. }
            | WireAction::TurnAway { dispatcher, .. }
            | WireAction::ReportFailure { dispatcher, .. }
            | WireAction::WakeMe { dispatcher, .. }
            | WireAction::StreamChanges { dispatcher, .. }
            | WireAction::GetList { dispatcher }
            | WireAction::Sample { dispatcher, .. }
            | WireAction::Share { dispatcher, .. }
            | WireAction::CloseIdle { dispatcher, .. }
            | WireAction::Trace { dispatcher, .. }
            | WireAction::Fatal { dispatcher, .. } => dispatcher,
        }
    }
}
