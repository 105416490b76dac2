//! The events that a dispatcher processes: jobs, progress and results of their attempts, and changes of the
//! workers and of the other schedulers.

use crate::units::{JobId, Millis, WorkerId};
use crate::worker_list::{ListKind, WorkerEntry};

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The job was executed and its result was received.
    Served,
    /// The worker answered with an error; the job may have run.
    WorkerError,
    /// The worker rejected the request itself as invalid. This is not a fault of the worker, and a retry
    /// would not help.
    BadRequest,
    /// The worker had no capacity; the job never ran.
    Full,
    /// No response was received in time; the job may have run or may still run.
    Timeout,
    /// No connection could be established; the job never ran.
    ConnectFailed,
    /// The connection broke; the job may have run.
    Reset,
    /// The attempt was cancelled; the job may have run.
    Cancelled,
    /// The request was never sent.
    NeverSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt did not run.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::NeverSent)
    }
}

/// A worker's load report; a value that the worker does not report is `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Requests in flight, running or queued.
    pub in_flight: Option<f64>,
    /// Requests waiting for a slot.
    pub queued: Option<f64>,
    /// The fraction of its cores that is busy, 0 to 1.
    pub utilization: Option<f64>,
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free memory units.
    pub free_memory: Option<f64>,
    /// Errors per second.
    pub errors_per_second: Option<f64>,
}

/// An attempt that another scheduler started for a job, and that may have run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PriorExecution {
    /// The worker that it was sent to.
    pub worker: WorkerId,
    /// Upper limit of the time since it was sent.
    pub age: Millis,
}

/// An arriving job.
#[derive(Clone, Debug, Default)]
pub struct NewJob {
    /// Its id.
    pub id: JobId,
    /// Its class, an index into [`Settings::classes`](crate::Settings::classes).
    pub class: usize,
    /// Its tenant, an index into [`Settings::tenants`](crate::Settings::tenants).
    pub tenant: usize,
    /// Jobs with the same key need the same data, so that they are preferably sent to the same workers.
    /// `None` if the client gave no key.
    pub affinity_key: Option<String>,
    /// Time until the client stops waiting.
    pub time_left: Millis,
    /// Rough estimate of its running time on a standard core; `None` if the client gave none.
    pub expected_run_time: Option<Millis>,
    /// Slots that it occupies at a worker.
    pub slots: f64,
    /// Memory units that it occupies at a worker.
    pub memory: f64,
    /// Whether the client retries a request that was rejected or failed.
    pub is_retry: bool,
    /// An attempt of another scheduler that may have run. It counts as this job's first attempt.
    pub prior_execution: Option<PriorExecution>,
}

/// The result of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// The job.
    pub job: JobId,
    /// The attempt's number within the job, from 0.
    pub attempt: usize,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether the job has its final answer, from this attempt or an earlier one.
    pub job_answered: bool,
    /// The worker's load report, if one came with the response.
    pub report: Option<LoadReport>,
}

/// An event that a dispatcher processes.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the worker list.
    Workers {
        /// Whether the entries are the complete list or a part of it.
        kind: ListKind,
        /// The entries; empty for [`ListKind::Failed`].
        entries: Vec<WorkerEntry>,
    },
    /// A job arrived. The dispatcher gives it exactly one final answer.
    Job(NewJob),
    /// A worker has started to execute an attempt.
    JobStarted {
        /// The job.
        job: JobId,
        /// The attempt's number, from 0 in the order in which they were started.
        attempt: usize,
    },
    /// A worker has executed a part of an attempt.
    JobProgress {
        /// The job.
        job: JobId,
        /// The attempt's number.
        attempt: usize,
        /// The fraction done, 0 to 1.
        done: f64,
    },
    /// An attempt's streamed response has begun; from now on its client has no deadline.
    StreamOpened {
        /// The job.
        job: JobId,
        /// The attempt's number.
        attempt: usize,
    },
    /// An attempt ended. Occurs once for every [`Action::StartAttempt`](crate::Action::StartAttempt).
    AttemptEnded(AttemptResult),
    /// A job's client disconnected; the job no longer needs an answer.
    ClientDisconnected {
        /// The job.
        job: JobId,
    },
    /// The timer set by [`Action::SetTimer`](crate::Action::SetTimer) has expired.
    Timer,
    /// A health check ended.
    HealthChecked {
        /// The worker.
        worker: WorkerId,
        /// How the health check ended.
        outcome: Outcome,
        /// The load report, if one came with the response.
        report: Option<LoadReport>,
    },
    /// New placement costs of the workers of each zone, from the zone routing plan.
    ZoneCosts {
        /// Costs in latency objectives, indexed by the zone's number; empty if there is no plan.
        costs: Vec<f64>,
    },
    /// The number of active schedulers that share the workers has changed.
    ActiveSchedulers {
        /// The number, this scheduler included; at least one.
        schedulers: u32,
    },
    /// A message from another scheduler.
    PeerMessage {
        /// The sender's number.
        from: u32,
        /// The message.
        text: String,
    },
}
