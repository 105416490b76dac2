//! The replicated record of a job.

use crate::job_key::JobKey;
use brackenledge_leases::{Micros, ProcessId, Term};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

#[cfg(test)]
mod tests;

/// The outcome of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum JobOutcome {
    /// The job ran and has this result.
    Served(Arc<[u8]>),
    /// The job did not run and may be submitted again; the value is the `Retry-After` in milliseconds, if
    /// there is one.
    Rejected(Option<u32>),
    /// The job may have run, but there is no result.
    Failed,
}

/// Orders the ownerships of one job; the greatest epoch is in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OwnershipEpoch {
    /// The term of the member list under which the coordinator granted the ownership.
    pub member_list_term: Term,
    /// How many ownerships the coordinator had granted under that list, this one included.
    pub grant_count: u32,
}

/// Whether a worker may have executed an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Execution {
    /// The attempt may have run, or may still run.
    MayHaveRun,
    /// The attempt did not run and will not run.
    NeverRan,
}

/// An attempt of a job, recorded before it is sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptRecord {
    /// Counts the attempts of all owners of the job, from 0.
    pub number: u32,
    /// The worker's name.
    pub worker: Arc<str>,
    /// Whether the attempt may have run.
    pub execution: Execution,
    /// When the attempt was recorded, by the local clock. It was sent later than that, unless `from_snapshot`
    /// is set.
    pub recorded_at: Micros,
    /// Whether the attempt comes from another process's snapshot. If so, it may have been sent before
    /// `recorded_at`, by at most the time that the snapshot was in transit.
    pub from_snapshot: bool,
}

/// An attempt of an earlier owner that may have run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PriorExecution {
    /// The worker's name.
    pub worker: Arc<str>,
    /// Upper bound of the time since the attempt was sent.
    pub max_age: Micros,
}

/// The record of a job, held by its owner and its replicas.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobRecord {
    /// The process that may start attempts.
    pub owner: ProcessId,
    /// The owner's number for its claim, which distinguishes this ownership from earlier ones of the same
    /// process.
    pub claim_id: u64,
    /// The epoch of the ownership that the coordinator granted; the default value before the first grant.
    pub ownership_epoch: OwnershipEpoch,
    /// Counts the changes of the record.
    pub version: u32,
    /// What to run, encoded by the driver; empty once the job has ended.
    pub payload: Arc<[u8]>,
    /// Whether the class forbids some repeats. If so, no attempt is sent before replicas have acknowledged
    /// its record.
    pub requires_ack: bool,
    /// The job's deadline, by the local clock.
    pub deadline: Micros,
    /// The attempts of all owners.
    pub attempts: Vec<AttemptRecord>,
    /// The outcome; `None` until the job has ended.
    pub outcome: Option<JobOutcome>,
}

/// The longest time that a snapshot is in transit. A process that does not read for longer is removed from
/// the member list (membership takes 3 s, a member lease 2.5 s); the snapshot is then of an older term and
/// dropped.
pub(crate) const MAX_TRANSIT_TIME: Micros = 6_000_000;

/// Approximate memory, in bytes, of a record without its payload, result and attempts, and of each attempt.
const RECORD_OVERHEAD: usize = 256;
const ATTEMPT_OVERHEAD: usize = 64;

impl JobRecord {
    /// Returns the first attempt that may have run, with an upper bound of the time since it was sent; `None`
    /// if no attempt may have run.
    pub fn prior_execution(&self, now: Micros) -> Option<PriorExecution> {
        let first = self
            .attempts
            .iter()
            .filter(|attempt| attempt.execution == Execution::MayHaveRun)
            .min_by_key(|attempt| attempt.number)?;
        Some(PriorExecution { worker: Arc::clone(&first.worker), max_age: first.max_age(now) })
    }

    /// Whether any attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.execution == Execution::MayHaveRun)
    }

    /// The number for the next attempt.
    pub(crate) fn next_attempt_number(&self) -> u32 {
        self.attempts.iter().map(|attempt| attempt.number + 1).max().unwrap_or(0)
    }

    /// Records an attempt, or a change of its execution state.
    pub(crate) fn record_attempt(
        &mut self,
        now: Micros,
        number: u32,
        worker: &Arc<str>,
        execution: Execution,
    ) {
        let new = AttemptRecord {
            number,
            worker: Arc::clone(worker),
            execution,
            recorded_at: now,
            from_snapshot: false,
        };
        match self.attempts.iter_mut().find(|attempt| attempt.number == number) {
            // A repeated message must not reduce the attempt's age.
            Some(known) if execution == Execution::NeverRan || known.execution == Execution::MayHaveRun => {
                known.execution = execution;
            }
            Some(known) => *known = new,
            None => self.attempts.push(new),
        }
    }

    /// Whether this record supersedes another record of the same job.
    pub(crate) fn is_newer_than(&self, other: &JobRecord) -> bool {
        let order = |record: &JobRecord| (record.ownership_epoch, record.version, record.outcome.is_some());
        order(self) > order(other)
    }

    /// Approximate memory of the record, in bytes.
    pub(crate) fn size(&self) -> usize {
        let result = self.outcome.as_ref().map_or(0, JobOutcome::result_len);
        RECORD_OVERHEAD + self.payload.len() + result + self.attempts.len() * ATTEMPT_OVERHEAD
    }

    /// Returns the record in the form that is sent to other processes. Their clocks differ, so times are
    /// converted to durations.
    pub(crate) fn snapshot(&self, now: Micros, key: &JobKey) -> RecordSnapshot {
        let attempts = self.attempts.iter().map(|attempt| AttemptSnapshot {
            number: attempt.number,
            worker: Arc::clone(&attempt.worker),
            execution: attempt.execution,
            age: attempt.max_age(now),
        });
        RecordSnapshot {
            key: key.clone(),
            owner: self.owner,
            claim_id: self.claim_id,
            ownership_epoch: self.ownership_epoch,
            version: self.version,
            payload: Arc::clone(&self.payload),
            requires_ack: self.requires_ack,
            time_left: self.deadline.saturating_sub(now),
            attempts: attempts.collect(),
            outcome: self.outcome.clone(),
        }
    }
}

impl AttemptRecord {
    /// Upper bound of the time since the attempt was sent.
    fn max_age(&self, now: Micros) -> Micros {
        let transit = if self.from_snapshot { MAX_TRANSIT_TIME } else { 0 };
        now.saturating_sub(self.recorded_at) + transit
    }
}

impl JobOutcome {
    /// Length of the result in bytes; 0 if there is none.
    pub(crate) fn result_len(&self) -> usize {
        match self {
            JobOutcome::Served(result) => result.len(),
            JobOutcome::Rejected(_) | JobOutcome::Failed => 0,
        }
    }

    /// Whether the job did not run and may be submitted again.
    pub(crate) fn is_rejected(&self) -> bool {
        matches!(self, JobOutcome::Rejected(_))
    }
}

/// An attempt in a [`RecordSnapshot`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptSnapshot {
    /// Counts the attempts of all owners of the job, from 0.
    pub number: u32,
    /// The worker's name.
    pub worker: Arc<str>,
    /// Whether the attempt may have run.
    pub execution: Execution,
    /// Upper bound of the time between the sending of the attempt and the creation of the snapshot.
    pub age: Micros,
}

/// A [`JobRecord`] as it is sent between processes. The order of the fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordSnapshot {
    /// The job.
    pub key: JobKey,
    /// The process that may start attempts; in a claim, the process that requests that.
    pub owner: ProcessId,
    /// The owner's number for its claim.
    pub claim_id: u64,
    /// The epoch of the ownership that the coordinator granted; the default value before the first grant.
    pub ownership_epoch: OwnershipEpoch,
    /// Counts the changes of the record.
    pub version: u32,
    /// What to run, encoded by the driver; empty once the job has ended.
    pub payload: Arc<[u8]>,
    /// Whether the class forbids some repeats. If so, no attempt is sent before replicas have acknowledged
    /// its record.
    pub requires_ack: bool,
    /// Time until the job's deadline when the snapshot was made.
    pub time_left: Micros,
    /// The attempts of all owners.
    pub attempts: Vec<AttemptSnapshot>,
    /// The outcome; `None` until the job has ended.
    pub outcome: Option<JobOutcome>,
}

impl RecordSnapshot {
    /// Returns the key and the record as the receiver holds it, with times by the receiver's clock.
    pub(crate) fn into_record(self, now: Micros) -> (JobKey, JobRecord) {
        let attempts = self.attempts.into_iter().map(|attempt| AttemptRecord {
            number: attempt.number,
            worker: attempt.worker,
            execution: attempt.execution,
            recorded_at: now.saturating_sub(attempt.age),
            from_snapshot: true,
        });
        let record = JobRecord {
            owner: self.owner,
            claim_id: self.claim_id,
            ownership_epoch: self.ownership_epoch,
            version: self.version,
            payload: self.payload,
            requires_ack: self.requires_ack,
            deadline: now.saturating_add(self.time_left),
            attempts: attempts.collect(),
            outcome: self.outcome,
        };
        (self.key, record)
    }
}
