//! Messages between processes about jobs.

use crate::job_key::JobKey;
use crate::job_record::{Execution, JobOutcome, OwnershipEpoch, RecordSnapshot};
use brackenledge_leases::Term;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A message between processes; the crate's page has a table of what becomes of one that is lost, repeated or late.
/// The order of variants and fields is the wire format.
///
/// `term` is that of the member list under which it was sent, `claim_id` the owner's or claimant's number for its claim.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum Message {
    /// To the coordinator: a client has submitted this job, may I own it?
    ClaimRequest { term: Term, record: RecordSnapshot },
    /// From the coordinator: you own it, and replicas have it up to this version.
    ClaimGranted { term: Term, key: JobKey, claim_id: u64, ownership_epoch: OwnershipEpoch, version: u32 },
    /// From the coordinator: another process owns it; you will get its outcome.
    OwnedElsewhere { term: Term, key: JobKey, claim_id: u64 },
    /// From the coordinator: its outcome.
    OutcomeNotice { key: JobKey, outcome: JobOutcome },
    /// From the coordinator: there is no capacity for its record.
    CapacityExceeded { term: Term, key: JobKey, claim_id: u64 },
    /// From the owner to the coordinator under a new member list: I own this.
    ReportOwned { term: Term, record: RecordSnapshot },
    /// From a replica to the coordinator under a new member list: a job that has ended, or whose owner is gone.
    ReportOrphaned { term: Term, record: RecordSnapshot },
    /// From the coordinator to a replica: hold this record.
    Replicate { term: Term, record: RecordSnapshot },
    /// From the owner to the coordinator, forwarded to the replicas: what is known of an attempt.
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
    /// From the owner to the coordinator, forwarded to the replicas: the record is not needed any more.
    Discard { term: Term, key: JobKey, claim_id: u64 },
    /// From the owner to the coordinator: take the job over from me.
    TransferOwnership { term: Term, key: JobKey, claim_id: u64 },
    /// From a replica to the coordinator, from the coordinator to the owner: it is replicated up to this version.
    Ack { term: Term, key: JobKey, claim_id: u64, version: u32 },
    /// From the coordinator: you do not own it any more.
    OwnershipRevoked { term: Term, key: JobKey, claim_id: u64 },
    /// To all members under a new member list: I have reported all that I own and hold.
    ReportComplete { term: Term },
}

impl Message {
    /// The term of the member list under which it was sent; `None`: it is valid under any.
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
