//! Events as the wire has them, and what they are for the decision module.

use crate::error::BatchError;
use brackenledge_policy::{
    ListKind, LoadReport, NewJob, Outcome, Readiness, SettingsDocument, WorkerEntry, WorkerId,
};
use serde::Deserialize;

/// An event.
#[derive(Deserialize)]
pub enum WireEvent {
    /// The entries of a worker list, for list events to refer to by the slot.
    Directory {
        slot: usize,
        #[serde(rename = "members-list")]
        entries: Vec<DirectoryEntry>,
    },
    /// An instance starts.
    Boot {
        dispatcher: String,
        #[serde(rename = "rng-seed")]
        seed: u64,
        settings: Box<SettingsDocument>,
    },
    /// An instance is killed.
    Kill { dispatcher: String },
    /// The worker list changed, or a request for it failed. All kinds but `Failed` need a slot.
    BackendsChanged { dispatcher: String, kind: WireListKind, slot: Option<usize> },
    /// A job arrived.
    Ask(WireJob),
    /// A streamed answer has begun.
    Opened {
        dispatcher: String,
        #[serde(rename = "op-id")]
        job: u32,
        #[serde(rename = "leg")]
        attempt: usize,
    },
    /// A worker reports on a job; see [`JOB_STARTED`] and [`JOB_PROGRESS`].
    Change {
        dispatcher: String,
        #[serde(rename = "op-id")]
        job: u32,
        #[serde(rename = "leg")]
        attempt: usize,
        sort: u32,
        #[serde(default)]
        value: f64,
    },
    /// An attempt ended.
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
    /// A job's client has disconnected: it stopped waiting.
    TimedOutClient {
        dispatcher: String,
        #[serde(rename = "op-id")]
        job: u32,
    },
    /// A timer has expired.
    Timer { dispatcher: String },
    /// A health check ended.
    StatusBack {
        dispatcher: String,
        #[serde(rename = "runner")]
        worker: String,
        code: u32,
        #[serde(rename = "telemetry")]
        report: Option<WireLoadReport>,
    },
    /// A message from another scheduler.
    Inbox {
        dispatcher: String,
        from: u32,
        #[serde(rename = "data")]
        text: String,
    },
}

/// [`WireEvent::Change`]: the job has started.
pub const JOB_STARTED: u32 = 1;
/// [`WireEvent::Change`]: the job has come as far as the value says.
pub const JOB_PROGRESS: u32 = 2;

impl WireEvent {
    /// The instance that the event is for; a directory is for all.
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

/// The slots of a job, or the weight of a worker, that the wire leaves out.
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

/// The kinds of list event.
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

/// An entry of a directory.
#[derive(Deserialize)]
pub struct DirectoryEntry {
    /// The worker's name.
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
    /// 0: long ago.
    #[serde(default, rename = "launched")]
    started_at: f64,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
enum WireReadiness {
    Active,
    Leaving,
    Left,
}

impl DirectoryEntry {
    /// The entry for an instance at which the worker has this id.
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

/// A load report.
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

/// The outcome that a code stands for.
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
