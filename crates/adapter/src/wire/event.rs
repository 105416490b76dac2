//! Events in the wire format, and their conversion to the types of the decision module.

use crate::error::BatchError;
use brackenledge_policy::{
    ListKind, LoadReport, NewJob, Outcome, Readiness, SettingsDocument, WorkerEntry, WorkerId,
};
use serde::Deserialize;

/// An event. Variants and serialized fields have the names of the wire format.
#[derive(Deserialize)]
pub enum WireEvent {
    /// Stores the entries of a worker list in a directory slot. List events refer to the slot.
    Directory {
        slot: usize,
        #[serde(rename = "members-list")]
        entries: Vec<DirectoryEntry>,
    },
    /// An instance starts. It replaces a running instance of the same name.
    Boot {
        dispatcher: String,
        #[serde(rename = "rng-seed")]
        seed: u64,
        settings: Box<SettingsDocument>,
    },
    /// An instance is killed.
    Kill { dispatcher: String },
    /// The worker list changed, or a request for it failed. All kinds but `Failed` need a directory slot.
    BackendsChanged { dispatcher: String, kind: WireListKind, slot: Option<usize> },
    /// A job arrived.
    Ask(WireJob),
    /// A worker has begun to stream the answer of an attempt.
    Opened {
        dispatcher: String,
        #[serde(rename = "op-id")]
        job: u32,
        #[serde(rename = "leg")]
        attempt: usize,
    },
    /// A worker reports a change of a job's state: [`JOB_STARTED`] or [`JOB_PROGRESS`]. Other changes are
    /// ignored.
    Change {
        dispatcher: String,
        #[serde(rename = "op-id")]
        job: u32,
        #[serde(rename = "leg")]
        attempt: usize,
        #[serde(rename = "sort")]
        change_kind: u32,
        /// Fraction of the job that is done, from 0 to 1; only with [`JOB_PROGRESS`].
        #[serde(default, rename = "value")]
        fraction_done: f64,
    },
    /// An attempt ended. [`outcome`] lists the codes.
    Response {
        dispatcher: String,
        #[serde(rename = "op-id")]
        job: u32,
        #[serde(rename = "leg")]
        attempt: usize,
        code: u32,
        #[serde(default, rename = "settled")]
        job_answered: bool,
        #[serde(rename = "telemetry")]
        report: Option<WireLoadReport>,
    },
    /// A job's client has stopped waiting and disconnected.
    TimedOutClient {
        dispatcher: String,
        #[serde(rename = "op-id")]
        job: u32,
    },
    /// The instance's timer has expired.
    Timer { dispatcher: String },
    /// A health check ended. [`outcome`] lists the codes.
    StatusBack {
        dispatcher: String,
        #[serde(rename = "runner")]
        worker: String,
        code: u32,
        #[serde(rename = "telemetry")]
        report: Option<WireLoadReport>,
    },
    /// A message from another scheduler arrived.
    Inbox {
        dispatcher: String,
        /// Ordinal of the sender.
        from: u32,
        #[serde(rename = "data")]
        text: String,
    },
}

/// Kind of [`WireEvent::Change`]: the job has started.
pub const JOB_STARTED: u32 = 1;
/// Kind of [`WireEvent::Change`]: the job has progressed to `fraction_done`.
pub const JOB_PROGRESS: u32 = 2;

impl WireEvent {
    /// The instance to which the event is addressed; `None` for a directory, which is shared by all
    /// instances.
    pub fn dispatcher(&self) -> Option<&str> {
        match self {
            WireEvent::Directory { .. } => None,
            WireEvent::Boot { dispatcher, .. }
            | WireEvent::Kill { dispatcher }
            | WireEvent::BackendsChanged { dispatcher, .. }
            | WireEvent::Ask(WireJob { dispatcher, .. })
            | WireEvent::Opened { dispatcher, .. }
            | WireEvent::Change { dispatcher, .. }
            | WireEvent::Response { dispatcher, .. }
            | WireEvent::TimedOutClient { dispatcher, .. }
            | WireEvent::Timer { dispatcher }
            | WireEvent::StatusBack { dispatcher, .. }
            | WireEvent::Inbox { dispatcher, .. } => Some(dispatcher),
        }
    }
}

/// A job that arrived.
#[derive(Deserialize)]
pub struct WireJob {
    dispatcher: String,
    #[serde(rename = "op-id")]
    id: u32,
    #[serde(rename = "category")]
    class: usize,
    #[serde(default, rename = "realm")]
    tenant: usize,
    #[serde(rename = "name-key")]
    affinity_key: Option<String>,
    #[serde(rename = "left")]
    time_left: f64,
    #[serde(rename = "effort")]
    expected_run_time: Option<f64>,
    #[serde(default = "one")]
    slots: f64,
    #[serde(default, rename = "mem")]
    memory: f64,
    #[serde(default, rename = "is-retry")]
    is_retry: bool,
}

/// Default for a job's slots and for a worker's weight, if the wire omits them.
fn one() -> f64 {
    1.0
}

impl From<WireJob> for NewJob {
    fn from(job: WireJob) -> NewJob {
        NewJob {
            id: job.id,
            class: job.class,
            tenant: job.tenant,
            affinity_key: job.affinity_key,
            time_left: job.time_left,
            expected_run_time: job.expected_run_time,
            slots: job.slots,
            memory: job.memory,
            is_retry: job.is_retry,
            prior_execution: None,
        }
    }
}

/// What a list event brings: a change of the list, the full list, a cached copy, or a failed request.
#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
pub enum WireListKind {
    Delta,
    Full,
    Cached,
    Failed,
}

impl From<WireListKind> for ListKind {
    fn from(kind: WireListKind) -> ListKind {
        match kind {
            WireListKind::Delta => ListKind::Delta,
            WireListKind::Full => ListKind::Full,
            WireListKind::Cached => ListKind::Cached,
            WireListKind::Failed => ListKind::Failed,
        }
    }
}

/// A worker's entry in a directory.
#[derive(Deserialize)]
pub struct DirectoryEntry {
    /// Name of the worker. An instance takes entries with the same name for the same worker.
    #[serde(rename = "runner")]
    pub worker: String,
    #[serde(default, rename = "area")]
    zone: u32,
    #[serde(default)]
    kind: u32,
    #[serde(default, rename = "pack")]
    cell: u32,
    readiness: WireReadiness,
    #[serde(default = "one")]
    weight: f64,
    /// When the worker started, in simulated milliseconds; 0 if that was long ago.
    #[serde(default, rename = "launched")]
    started_at: f64,
}

/// The readiness of a worker, in the terms of the wire format.
#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
enum WireReadiness {
    Active,
    Leaving,
    Left,
}

impl DirectoryEntry {
    /// The entry for an instance that knows the worker by this id.
    pub fn worker_entry(&self, id: WorkerId) -> WorkerEntry {
        WorkerEntry {
            id,
            name: self.worker.clone(),
            zone: self.zone,
            kind: self.kind,
            cell: self.cell,
            readiness: match self.readiness {
                WireReadiness::Active => Readiness::Ready,
                WireReadiness::Leaving => Readiness::Draining,
                WireReadiness::Left => Readiness::Gone,
            },
            weight: self.weight,
            started_at: (self.started_at > 0.0).then_some(self.started_at),
            drain_probability: 0.0,
        }
    }
}

/// A worker's load report. A figure that the worker did not report is absent or null.
#[derive(Deserialize)]
pub struct WireLoadReport {
    #[serde(rename = "concurrent")]
    in_flight: Option<f64>,
    #[serde(rename = "depth")]
    queued: Option<f64>,
    #[serde(rename = "load_share")]
    utilization: Option<f64>,
    #[serde(rename = "err_ps")]
    errors_per_second: Option<f64>,
    #[serde(rename = "x0")]
    free_slots: Option<f64>,
    #[serde(rename = "x1")]
    free_memory: Option<f64>,
}

impl From<WireLoadReport> for LoadReport {
    fn from(report: WireLoadReport) -> LoadReport {
        LoadReport {
            in_flight: report.in_flight,
            queued: report.queued,
            utilization: report.utilization,
            free_slots: report.free_slots,
            free_memory: report.free_memory,
            errors_per_second: report.errors_per_second,
        }
    }
}

/// The outcome for a code of the wire format.
pub fn outcome(code: u32) -> Result<Outcome, BatchError> {
    Ok(match code {
        200 => Outcome::Served,
        502 => Outcome::WorkerError,
        429 => Outcome::Full,
        408 => Outcome::Timeout,
        521 => Outcome::ConnectFailed,
        520 => Outcome::Reset,
        444 => Outcome::Cancelled,
        409 => Outcome::NeverSent,
        unknown => return Err(BatchError::UnknownOutcome(unknown)),
    })
}
