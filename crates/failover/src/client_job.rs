//! The local state of a job that clients of this process wait for, or that this process owns.

use crate::RETRY_AFTER_MS;
use crate::command::Waiter;
use crate::job_record::{AttemptRecord, Execution, JobOutcome, JobRecord};
use brackenledge_leases::Micros;

/// The state of this process's claim to a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ClaimState {
    /// The claim was sent to the coordinator, or will be once a member list includes this process.
    Pending,
    /// Another process owns the job; this one waits for its outcome.
    Attached,
    /// This process owns the job.
    Owned,
    /// This process runs the job without replicas.
    Unreplicated,
    /// This process runs the job, and claims it if it has not ended after `Settings::replication_delay`.
    ReplicationDeferred,
}

/// An attempt that the driver is not permitted to send ([`Command::PermitAttempt`](crate::Command)) until the
/// replicas have acknowledged its record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingAck {
    /// The attempt's number in the record.
    pub(crate) number: u32,
    /// The first version of the record that contains the attempt.
    pub(crate) version: u32,
    /// The attempt expires if the driver has not been permitted to send it by `Settings::deadline_margin`
    /// before this time.
    pub(crate) deadline: Micros,
}

/// A client that waits for the outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct WaitingClient {
    pub(crate) waiter: Waiter,
    /// The client's own deadline, which may differ from the job's.
    pub(crate) deadline: Micros,
}

/// A job that clients of this process wait for, or that this process owns.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ClientJob {
    pub(crate) state: ClaimState,
    pub(crate) record: JobRecord,
    pub(crate) clients: Vec<WaitingClient>,
    /// Whether the job is rejected, rather than run without replicas, if it can't be replicated.
    pub(crate) requires_replication: bool,
    /// When the job was claimed (`Settings::claim_timeout` counts from then) or, while it is unclaimed, when
    /// it was submitted or taken over (`Settings::replication_delay` counts from then).
    pub(crate) timer_started_at: Micros,
    /// Whether the driver has been told to run the job. Reset when the driver is told to stop, and when the
    /// job ends while this process owns it.
    pub(crate) started: bool,
    /// Whether the job was taken over from another owner.
    pub(crate) taken_over: bool,
    /// Whether another process may own the job or have owned it, so that the job may have run without an
    /// attempt in the local record.
    pub(crate) possibly_owned_elsewhere: bool,
    /// The version up to which the record is replicated; `None` before the first acknowledgement under the
    /// member list in force.
    pub(crate) acked_version: Option<u32>,
    pub(crate) pending_acks: Vec<PendingAck>,
    /// The number that the first attempt under this claim has in the record. The driver counts the attempts
    /// under this claim from 0.
    pub(crate) first_attempt: u32,
    /// The outcome, while it is uncertain whether this process still owned the job when the job ended.
    pub(crate) unconfirmed_outcome: Option<JobOutcome>,
}

impl ClientJob {
    pub(crate) fn new(
        now: Micros,
        record: JobRecord,
        requires_replication: bool,
        state: ClaimState,
    ) -> ClientJob {
        let first_attempt = record.next_attempt_number();
        ClientJob {
            state,
            record,
            clients: Vec::new(),
            requires_replication,
            timer_started_at: now,
            started: false,
            taken_over: false,
            possibly_owned_elsewhere: false,
            acked_version: None,
            pending_acks: Vec::new(),
            first_attempt,
            unconfirmed_outcome: None,
        }
    }

    /// Whether the attempt's record has not been acknowledged yet.
    fn awaits_ack(&self, number: u32) -> bool {
        self.pending_acks.iter().any(|pending| pending.number == number)
    }

    /// Marks the attempts whose records are unacknowledged as never run: they have not been sent.
    pub(crate) fn mark_unacked_as_never_ran(&mut self) {
        let unacked = &self.pending_acks;
        for attempt in &mut self.record.attempts {
            if unacked.iter().any(|unacked| unacked.number == attempt.number) {
                attempt.execution = Execution::NeverRan;
            }
        }
    }

    /// Whether the job has not ended and, according to the record, no process has sent an attempt of it.
    pub(crate) fn is_unsent(&self) -> bool {
        let unsent = |attempt: &AttemptRecord| {
            attempt.execution == Execution::NeverRan || self.awaits_ack(attempt.number)
        };
        self.record.outcome.is_none() && self.record.attempts.iter().all(unsent)
    }

    /// Attaches the job to its owner, which is another process. The attempts recorded under this claim have
    /// not been sent, since the claim was not granted, so they are removed.
    pub(crate) fn attach(&mut self) {
        let first_attempt = self.first_attempt;
        self.pending_acks.clear();
        self.record.attempts.retain(|attempt| attempt.number < first_attempt);
        self.record.version = 0;
        self.state = ClaimState::Attached;
    }

    /// The outcome for local clients if this process abandons the job now: `Failed` if the job may have run,
    /// here or elsewhere, otherwise `Rejected`.
    pub(crate) fn outcome_if_abandoned(&self) -> JobOutcome {
        let may_have_run = |attempt: &AttemptRecord| {
            attempt.execution == Execution::MayHaveRun && !self.awaits_ack(attempt.number)
        };
        if self.possibly_owned_elsewhere || self.record.attempts.iter().any(may_have_run) {
            JobOutcome::Failed
        } else {
            JobOutcome::Rejected(Some(RETRY_AFTER_MS))
        }
    }
}
