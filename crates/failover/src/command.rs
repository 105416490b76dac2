//! The interface to the driver, which is the code that calls this crate and runs the jobs: job submissions as
//! inputs, commands and events as outputs.

use crate::job_key::JobKey;
use crate::job_record::{JobOutcome, PriorExecution};
use crate::message::Message;
use brackenledge_leases::{Micros, ProcessId, Term};
use std::sync::Arc;

/// The driver's number for a client that waits for a job's outcome.
pub type Waiter = u64;

/// A job as a client submits it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct JobSubmission {
    /// What to run, encoded by the driver.
    pub payload: Arc<[u8]>,
    /// Whether the class forbids some repeats. If so, no attempt is sent before replicas have acknowledged
    /// its record.
    pub requires_ack: bool,
    /// Whether the job is rejected, rather than run without replicas, if it can't be replicated.
    pub requires_replication: bool,
    /// The client's deadline, by the caller's clock.
    pub deadline: Micros,
}

/// An instruction to the driver.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Send a message to another process.
    Send {
        /// The receiver.
        to: ProcessId,
        /// The message.
        message: Message,
        /// Whether to send it at once; otherwise it may be batched with later messages.
        urgent: bool,
    },
    /// Run a job. Its claim may not have been granted yet; attempts that must be acknowledged first wait for
    /// [`Command::PermitAttempt`].
    StartJob {
        /// The job.
        key: JobKey,
        /// What to run, as it was submitted.
        payload: Arc<[u8]>,
        /// The job's deadline, by the caller's clock.
        deadline: Micros,
        /// The first attempt of an earlier owner that may have run, if there is one.
        prior_execution: Option<PriorExecution>,
        /// Whether the job was taken over from another owner.
        taken_over: bool,
    },
    /// Send an attempt that was requested: its record has now been acknowledged, or the job now runs without
    /// replicas.
    PermitAttempt {
        /// The job.
        key: JobKey,
        /// The attempt, as given to [`crate::Failover::request_attempt`].
        attempt: u32,
    },
    /// Give up an attempt that was requested: its record was not acknowledged in time, or the job is gone.
    AttemptExpired {
        /// The job.
        key: JobKey,
        /// The attempt, as given to [`crate::Failover::request_attempt`].
        attempt: u32,
    },
    /// Answer clients with the outcome of their job.
    Answer {
        /// The clients.
        waiters: Vec<Waiter>,
        /// The job's outcome.
        outcome: JobOutcome,
    },
    /// Stop running the job: cancel its attempts and ignore their results.
    Revoke {
        /// The job.
        key: JobKey,
    },
    /// Record an event in the log.
    Event(Event),
}

/// An event for the operators' log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// This process is no longer on the member list; other processes take over the jobs that it owned.
    ExcludedFromMembers {
        /// The member list's term.
        term: Term,
        /// The number of jobs that it owned.
        lost_jobs: usize,
    },
    /// As coordinator, this process has taken over jobs whose owners are gone.
    JobsTakenOver {
        /// The member list's term.
        term: Term,
        /// The number of jobs taken over.
        jobs: usize,
        /// How many of them have an attempt that may have run.
        may_have_run: usize,
    },
}
