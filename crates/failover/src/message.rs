//! The messages that processes exchange about jobs.

use crate::job_key::JobKey;
use crate::job_record::{Execution, JobOutcome, OwnershipEpoch, RecordSnapshot};
use brackenledge_leases::Term;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A message between processes. The order of variants and fields is the wire format; the crate documentation
/// has a table of what happens if a message is lost or late.
///
/// `term` is the term of the member list under which the message was sent, `claim_id` the owner's or
/// claimant's number for its claim.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum Message {
    /// To the coordinator: requests ownership of a job that a client has submitted.
    ClaimRequest { term: Term, record: RecordSnapshot },
    /// From the coordinator: the receiver owns the job, and replicas have its record up to this version.
    ClaimGranted { term: Term, key: JobKey, claim_id: u64, ownership_epoch: OwnershipEpoch, version: u32 },
    /// From the coordinator: another process owns the job; its outcome follows.
    OwnedElsewhere { term: Term, key: JobKey, claim_id: u64 },
    /// From the coordinator: the job's outcome.
    OutcomeNotice { key: JobKey, outcome: JobOutcome },
    /// From the coordinator: it has no capacity for the job's record.
    CapacityExceeded { term: Term, key: JobKey, claim_id: u64 },
    /// From the owner to the coordinator, under a new member list: the sender owns this job.
    ReportOwned { term: Term, record: RecordSnapshot },
    /// From a replica to the coordinator, under a new member list: a job that has ended or whose owner is
    /// gone.
    ReportOrphaned { term: Term, record: RecordSnapshot },
    /// From the coordinator to a replica: a record to hold.
    Replicate { term: Term, record: RecordSnapshot },
    /// From the owner to the coordinator, forwarded to the replicas: an attempt, and whether it may have run.
    AttemptStarted {
        term: Term,
        key: JobKey,
        claim_id: u64,
        version: u32,
        number: u32,
        worker: Arc<str>,
        execution: Execution,
    },
    /// From the owner to the coordinator, forwarded to the replicas: the job's outcome.
    JobFinished { term: Term, key: JobKey, claim_id: u64, version: u32, outcome: JobOutcome },
    /// From the owner to the coordinator, forwarded to the replicas: the record is no longer needed.
    Discard { term: Term, key: JobKey, claim_id: u64 },
    /// From the owner to the coordinator: asks it to take the job over.
    TransferOwnership { term: Term, key: JobKey, claim_id: u64 },
    /// From a replica to the coordinator, or from the coordinator to the owner: the record is replicated up
    /// to this version.
    Ack { term: Term, key: JobKey, claim_id: u64, version: u32 },
    /// From the coordinator: the receiver does not own the job, or no longer does.
    OwnershipRevoked { term: Term, key: JobKey, claim_id: u64 },
    /// To all members, under a new member list: the sender has reported all jobs that it owns and all records
    /// that it has to report.
    ReportComplete { term: Term },
}

impl Message {
    /// The term of the member list under which the message was sent; `None` if it is valid under any list.
    pub(crate) fn term(&self) -> Option<Term> {
        match self {
            Message::OutcomeNotice { .. } => None,
            Message::ClaimRequest { term, .. }
            | Message::ClaimGranted { term, .. }
            | Message::OwnedElsewhere { term, .. }
            | Message::CapacityExceeded { term, .. }
            | Message::ReportOwned { term, .. }
            | Message::ReportOrphaned { term, .. }
            | Message::Replicate { term, .. }
            | Message::AttemptStarted { term, .. }
            | Message::JobFinished { term, .. }
            | Message::Discard { term, .. }
            | Message::TransferOwnership { term, .. }
            | Message::Ack { term, .. }
            | Message::OwnershipRevoked { term, .. }
            | Message::ReportComplete { term } => Some(*term),
        }
    }
}
