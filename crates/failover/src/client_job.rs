//! A job that clients of this process wait for, or that it owns.

use crate::RETRY_AFTER_MS;
use crate::command::Waiter;
use crate::job_record::{AttemptRecord, Execution, JobOutcome, JobRecord};
use brackenledge_leases::Micros;

/// How far this process has come with claiming a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ClaimState {
    /// The coordinator has been asked, or will be once there is a member list with us on it.
    Pending,
    /// Another process owns it; we wait for its outcome.
    Attached,
    /// We own it.
    Owned,
    /// We run it without replicas.
    Unreplicated,
    /// We run it, and claim it if it does not end soon.
    ReplicationDeferred,
}

/// An attempt that waits for its record to be acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingAck {
    /// The attempt's number in the record.
    pub(crate) number: u32,
    /// The version of the record that has the attempt.
    pub(crate) version: u32,
    /// After that it may not leave any more.
    pub(crate) deadline: Micros,
}

/// A client that waits for the outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct WaitingClient {
    pub(crate) waiter: Waiter,
    /// It waits until then.
    pub(crate) deadline: Micros,
}

/// A job that clients of this process wait for, or that it owns.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ClientJob {
    pub(crate) state: ClaimState,
    pub(crate) record: JobRecord,
    pub(crate) clients: Vec<WaitingClient>,
    /// It is rejected rather than run without replicas.
    pub(crate) requires_replication: bool,
    /// When it was submitted or taken over, or when its claim began.
    pub(crate) since: Micros,
    /// The driver runs it.
    pub(crate) started: bool,
    /// It was taken over from another owner.
    pub(crate) taken_over: bool,
    /// Another process owns it or may own it: it may have run although the local record has no such attempt.
    pub(crate) possibly_lost: bool,
    /// Replicated up to this version.
    pub(crate) acked_version: Option<u32>,
    pub(crate) pending_acks: Vec<PendingAck>,
    /// The number of the first attempt under this claim: the driver counts its attempts from 0.
    pub(crate) first_attempt: u32,
    /// Its outcome, while it is not certain that we still owned the job when it ended.
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
            since: now,
            started: false,
            taken_over: false,
            possibly_lost: false,
            acked_version: None,
            pending_acks: Vec::new(),
            first_attempt,
            unconfirmed_outcome: None,
        }
    }

    /// Whether an attempt still waits for acknowledgement.
    fn awaits_ack(&self, number: u32) -> bool {
        self.pending_acks.iter().any(|pending| pending.number == number)
    }

    /// Attempts that still wait for acknowledgement have not left, and will not.
    pub(crate) fn mark_pending_never_ran(&mut self) {
        let pending = &self.pending_acks;
        for attempt in &mut self.record.attempts {
            if pending.iter().any(|pending| pending.number == attempt.number) {
                attempt.execution = Execution::NeverRan;
            }
        }
    }

    /// Whether it has not ended, and no attempt of it has left, here or elsewhere, as far as is recorded.
    pub(crate) fn is_unsent(&self) -> bool {
        let unsent = |attempt: &AttemptRecord| {
            attempt.execution == Execution::NeverRan || self.awaits_ack(attempt.number)
        };
        self.record.outcome.is_none() && self.record.attempts.iter().all(unsent)
    }

    /// Another process owns it: the attempts recorded under this claim were refused, and have not left.
    pub(crate) fn attach(&mut self) {
        let first_attempt = self.first_attempt;
        self.pending_acks.clear();
        self.record.attempts.retain(|attempt| attempt.number < first_attempt);
        self.record.version = 0;
        self.state = ClaimState::Attached;
    }

    /// The outcome for its clients when it is given up here.
    pub(crate) fn outcome_if_abandoned(&self) -> JobOutcome {
        let may_have_run = |attempt: &AttemptRecord| {
            attempt.execution == Execution::MayHaveRun && !self.awaits_ack(attempt.number)
        };
        if self.possibly_lost || self.record.attempts.iter().any(may_have_run) {
            JobOutcome::Failed
        } else {
            JobOutcome::Rejected(Some(RETRY_AFTER_MS))
        }
    }
}
