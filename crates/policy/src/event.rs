//! What a dispatcher is told: jobs, the progress and results of their attempts, and the state of the workers.

use crate::units::{JobId, Millis, WorkerId};
use crate::worker_list::{ListKind, WorkerEntry};

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The job was executed and its result is here.
    Served,
    /// The worker answered with an error; the job may have run.
    WorkerError,
    /// The worker could not use the request itself. That says nothing about the worker, and a retry would not help.
    BadRequest,
    /// The worker had no capacity; the job never ran.
    Full,
    /// There was no answer in time; the job may have run or may still run.
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

/// A worker's load report; values that it does not state are absent.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Requests in flight, running or queued.
    pub in_flight: Option<f64>,
    /// Requests that wait for a slot.
    pub queued: Option<f64>,
    /// The fraction of its cores that is busy.
    pub utilization: Option<f64>,
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free memory units.
    pub free_memory: Option<f64>,
    /// Errors a second.
    pub errors_per_second: Option<f64>,
}

/// An attempt that another scheduler made for a job, and that may have run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PriorExecution {
    /// The worker that it was sent to.
    pub worker: WorkerId,
    /// The longest time ago that it can have been sent.
    pub age: Millis,
}

/// A job as it arrives.
#[derive(Clone, Debug, Default)]
pub struct NewJob {
    /// Its id.
    pub id: JobId,
    /// Its class, an index into [`Settings::classes`](crate::Settings::classes).
    pub class: usize,
    /// Its tenant, an index into [`Settings::tenants`](crate::Settings::tenants).
    pub tenant: usize,
    /// Jobs of one key need the same data, and are best sent to the same workers.
    pub affinity_key: Option<String>,
    /// Time until the client stops waiting.
    pub time_left: Millis,
    /// Its expected running time on a standard core, roughly.
    pub expected_run_time: Option<Millis>,
    /// Slots that it occupies.
    pub slots: f64,
    /// Memory units that it occupies.
    pub memory: f64,
    /// The client retries a request that was rejected or failed.
    pub is_retry: bool,
    /// An attempt of an earlier scheduler that may have run. It counts as this job's first attempt.
    pub prior_execution: Option<PriorExecution>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// The job.
    pub job: JobId,
    /// The attempt's number.
    pub attempt: usize,
    /// How it ended.
    pub outcome: Outcome,
    /// The job has its final answer, by this outcome or an earlier one.
    pub job_answered: bool,
    /// The worker's load report, if one came with the response.
    pub report: Option<LoadReport>,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The worker list or a part of it.
    Workers {
        /// What the entries are.
        kind: ListKind,
        /// The entries; empty for a failure.
        entries: Vec<WorkerEntry>,
    },
    /// A job arrived; it is to get exactly one final answer.
    Job(NewJob),
    /// A worker has started to run an attempt.
    JobStarted {
        /// The job.
        job: JobId,
        /// The attempt's number, from 0 in the order in which they were started.
        attempt: usize,
    },
    /// A worker has run a part of an attempt.
    JobProgress {
        /// The job.
        job: JobId,
        /// The attempt's number.
        attempt: usize,
        /// The part done, 0 to 1.
        done: f64,
    },
    /// An attempt's streamed answer has begun; its client has no deadline any more.
    StreamOpened {
        /// The job.
        job: JobId,
        /// The attempt's number.
        attempt: usize,
    },
    /// An attempt ended. Comes once for every [`Action::StartAttempt`](crate::Action::StartAttempt).
    AttemptEnded(AttemptResult),
    /// A job's client disconnected; it needs no answer any more.
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
    /// What a worker of each zone costs from now on, by the traffic plan.
    ZoneCosts {
        /// By the zone's number, in latency objectives; empty: there is no plan.
        costs: Vec<f64>,
    },
    /// The number of active schedulers that share the workers has changed.
    ActiveSchedulers {
        /// How many, this one included; at least one.
        schedulers: u32,
    },
    /// A message from another scheduler.
    PeerMessage {
        /// Its number.
        from: u32,
        /// The text.
        text: String,
    },
}
