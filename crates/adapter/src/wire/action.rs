//! The decision module's actions as the wire has them.

use brackenledge_policy::Action;
use serde::Serialize;

/// The label of every timer: an instance has one.
const TIMER_LABEL: &str = "sweep";

/// An action.
#[derive(Serialize)]
pub enum WireAction {
    /// Start an attempt.
    Place {
        dispatcher: String,
        #[serde(rename = "op-id")]
        job: u32,
        #[serde(rename = "cap", skip_serializing_if = "Option::is_none")]
        timeout: Option<f64>,
        #[serde(rename = "runner")]
        worker: String,
    },
    /// Cancel an attempt.
    Cancel {
        dispatcher: String,
        #[serde(rename = "op-id")]
        job: u32,
        #[serde(rename = "leg")]
        attempt: usize,
    },
    /// Reject a job.
    TurnAway {
        dispatcher: String,
        #[serde(rename = "op-id")]
        job: u32,
        #[serde(rename = "retry-after", skip_serializing_if = "Option::is_none")]
        retry_after: Option<f64>,
    },
    /// Fail a job.
    ReportFailure {
        dispatcher: String,
        #[serde(rename = "op-id")]
        job: u32,
    },
    /// Set a timer.
    WakeMe {
        dispatcher: String,
        label: &'static str,
        #[serde(rename = "sleep-for")]
        after: f64,
    },
    /// Watch the endpoint list, or end the watch.
    StreamChanges { dispatcher: String, on: bool },
    /// Poll the endpoint list.
    GetList { dispatcher: String },
    /// Check a worker's health.
    Sample {
        dispatcher: String,
        #[serde(rename = "runner")]
        worker: String,
    },
    /// Send a message to one scheduler, or to all.
    Share {
        dispatcher: String,
        #[serde(rename = "dest")]
        to: Option<u32>,
        #[serde(rename = "data")]
        text: String,
    },
    /// Close idle connections to a worker.
    CloseIdle {
        dispatcher: String,
        #[serde(rename = "runner")]
        worker: String,
    },
    /// A line for the log.
    Trace {
        dispatcher: String,
        #[serde(rename = "words")]
        text: String,
    },
    /// The instance has panicked.
    Fatal {
        dispatcher: String,
        #[serde(rename = "words")]
        message: String,
    },
}

impl WireAction {
    /// An action of the instance `dispatcher`, at which the workers have these names by their ids.
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

    /// The instance that gives the action.
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
