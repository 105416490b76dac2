//! What the state machine takes from its driver, and what it asks of it.

use crate::job_key::JobKey;
use crate::job_record::{JobOutcome, PriorExecution};
use crate::message::Message;
use brackenledge_leases::{Micros, ProcessId, Term};
use std::sync::Arc;

/// A client that waits for a job's outcome, by a number that the driver has given it.
pub type Waiter = u64;

/// A job as a client submits it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct JobSubmission {
    /// What to run, encoded by the driver.
    pub payload: Arc<[u8]>,
    /// Its class forbids some repeats: no attempt leaves before replicas have acknowledged its record.
    pub requires_ack: bool,
    /// It is rejected rather than run without replicas.
    pub requires_replication: bool,
    /// Its deadline.
    pub deadline: Micros,
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Send a message to another process.
    Send {
        /// The receiver.
        to: ProcessId,
        /// The message.
        message: Message,
        /// Send it at once; otherwise it may be batched with later messages.
        urgent: bool,
    },
    /// Run a job that this process owns or runs unreplicated.
    StartJob {
        /// The job.
        key: JobKey,
        /// What to run, as it was submitted.
        payload: Arc<[u8]>,
        /// Its deadline.
        deadline: Micros,
        /// The attempt of an earlier owner that may have run, if there is one.
        prior_execution: Option<PriorExecution>,
        /// It was taken over from another owner.
        taken_over: bool,
    },
    /// An attempt that waited for acknowledgement may leave.
    PermitAttempt {
        /// The job.
        key: JobKey,
        /// The attempt, as given to [`crate::Failover::request_attempt`].
        attempt: u32,
    },
    /// An attempt that waited for acknowledgement will never leave.
    AttemptExpired {
        /// The job.
        key: JobKey,
        /// The attempt, as given to [`crate::Failover::request_attempt`].
        attempt: u32,
    },
    /// Tell clients the outcome of their job.
    Answer {
        /// The clients.
        waiters: Vec<Waiter>,
        /// Its outcome.
        outcome: JobOutcome,
    },
    /// This process may not run the job any more: cancel its attempts and ignore their results.
    Revoke {
        /// The job.
        key: JobKey,
    },
    /// Record an event in the log.
    Event(Event),
}

/// Something that operators want to know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// This process is no longer on the member list; others take over the jobs it owned.
    ExcludedFromMembers {
        /// The member list's term.
        term: Term,
        /// Jobs that it owned.
        lost_jobs: usize,
    },
    /// As coordinator, this process has taken over jobs whose owners are gone.
    JobsTakenOver {
        /// The member list's term.
        term: Term,
        /// Jobs taken over.
        jobs: usize,
        /// Those of them of which an attempt may have run.
        may_have_run: usize,
    },
}
