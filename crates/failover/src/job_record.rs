//! The replicated record of a job.

use crate::job_key::JobKey;
use brackenledge_leases::{Micros, ProcessId, Term};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

#[cfg(test)]
mod tests;

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum JobOutcome {
    /// With this result.
    Served(Arc<[u8]>),
    /// It did not run and may be submitted again, after so many milliseconds where that is known.
    Rejected(Option<u32>),
    /// It may have run, and there is no result.
    Failed,
}

/// The order of ownerships of one job: the later one prevails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OwnershipEpoch {
    /// The term of the member list under which the coordinator granted it.
    pub member_list_term: Term,
    /// The coordinator's count of its grants under that list.
    pub grant_count: u32,
}

/// Whether an attempt may have run at its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Execution {
    /// It may have run, or may still run.
    MayHaveRun,
    /// It did not run, and will not.
    NeverRan,
}

/// An attempt of a job, recorded before it leaves.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptRecord {
    /// Counts over all owners of the job.
    pub number: u32,
    /// The worker's name.
    pub worker: Arc<str>,
    /// Whether it may have run.
    pub execution: Execution,
    /// When it was recorded, by the local clock. The attempt left later than that, unless `indirect`.
    pub recorded_at: Micros,
    /// It came in another process's snapshot, and is older than `recorded_at` by the time that the snapshot travelled.
    pub indirect: bool,
}

/// The attempt of an earlier owner that may have run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PriorExecution {
    /// The worker's name.
    pub worker: Arc<str>,
    /// The attempt left at most so long ago.
    pub max_age: Micros,
}

/// A job, as its owner and its replicas record it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobRecord {
    /// The process that may start attempts.
    pub owner: ProcessId,
    /// The owner's number for its claim: it distinguishes this ownership from an earlier one of the same process.
    pub claim_id: u64,
    /// When the coordinator granted it.
    pub ownership_epoch: OwnershipEpoch,
    /// Counts the owner's changes.
    pub version: u32,
    /// What to run, encoded by the driver; empty once the job has ended.
    pub payload: Arc<[u8]>,
    /// Its class forbids some repeats: no attempt leaves before replicas have acknowledged its record.
    pub requires_ack: bool,
    /// Its deadline by the local clock.
    pub deadline: Micros,
    /// All attempts.
    pub attempts: Vec<AttemptRecord>,
    /// How it ended, once it has.
    pub outcome: Option<JobOutcome>,
}

/// The longest time that a snapshot travels. A process that does not read for longer is removed from the member list
/// (membership takes 3 s, a member lease 2.5 s), and then the snapshot is of an older term and dropped.
pub(crate) const MAX_TRANSIT_TIME: Micros = 6_000_000;

/// What a record takes in memory beside its payload and result, and what each attempt adds, roughly.
const RECORD_OVERHEAD: usize = 256;
const ATTEMPT_OVERHEAD: usize = 64;

impl JobRecord {
    /// The first attempt that may have run, and the longest time that it may be ago.
    pub fn prior_execution(&self, now: Micros) -> Option<PriorExecution> {
        let first = self
            .attempts
            .iter()
            .filter(|attempt| attempt.execution == Execution::MayHaveRun)
            .min_by_key(|attempt| attempt.number)?;
        Some(PriorExecution { worker: Arc::clone(&first.worker), max_age: first.max_age(now) })
    }

    /// Whether an attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.execution == Execution::MayHaveRun)
    }

    /// The number of the next attempt.
    pub(crate) fn next_attempt_number(&self) -> u32 {
        self.attempts.iter().map(|attempt| attempt.number + 1).max().unwrap_or(0)
    }

    /// Records an attempt, or what has become known of it since.
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
            indirect: false,
        };
        match self.attempts.iter_mut().find(|attempt| attempt.number == number) {
            // A repeated message does not make the attempt younger.
            Some(known) if execution == Execution::NeverRan || known.execution == Execution::MayHaveRun => {
                known.execution = execution;
            }
            Some(known) => *known = new,
            None => self.attempts.push(new),
        }
    }

    /// Whether it supersedes another record of the same job.
    pub(crate) fn is_newer_than(&self, other: &JobRecord) -> bool {
        let order = |record: &JobRecord| (record.ownership_epoch, record.version, record.outcome.is_some());
        order(self) > order(other)
    }

    /// Bytes that it takes in memory, roughly.
    pub(crate) fn size(&self) -> usize {
        let result = self.outcome.as_ref().map_or(0, JobOutcome::result_len);
        RECORD_OVERHEAD + self.payload.len() + result + self.attempts.len() * ATTEMPT_OVERHEAD
    }

    /// The record as it travels: clocks differ, so times become durations.
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
    /// The attempt left at most so long ago.
    fn max_age(&self, now: Micros) -> Micros {
        let transit = if self.indirect { MAX_TRANSIT_TIME } else { 0 };
        now.saturating_sub(self.recorded_at) + transit
    }
}

impl JobOutcome {
    /// Bytes of the result, if there is one.
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
    /// Counts over all owners of the job.
    pub number: u32,
    /// The worker's name.
    pub worker: Arc<str>,
    /// Whether it may have run.
    pub execution: Execution,
    /// It left at most so long before the snapshot was made.
    pub age: Micros,
}

/// A [`JobRecord`] as it travels between processes. The order of its fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordSnapshot {
    /// The job.
    pub key: JobKey,
    /// The process that may start attempts.
    pub owner: ProcessId,
    /// The owner's number for its claim.
    pub claim_id: u64,
    /// When the coordinator granted it.
    pub ownership_epoch: OwnershipEpoch,
    /// Counts the owner's changes.
    pub version: u32,
    /// What to run.
    pub payload: Arc<[u8]>,
    /// No attempt leaves before replicas have acknowledged its record.
    pub requires_ack: bool,
    /// Time to its deadline when the snapshot was made.
    pub time_left: Micros,
    /// All attempts.
    pub attempts: Vec<AttemptSnapshot>,
    /// How it ended, once it has.
    pub outcome: Option<JobOutcome>,
}

impl RecordSnapshot {
    /// The record as its receiver holds it.
    pub(crate) fn into_record(self, now: Micros) -> (JobKey, JobRecord) {
        let attempts = self.attempts.into_iter().map(|attempt| AttemptRecord {
            number: attempt.number,
            worker: attempt.worker,
            execution: attempt.execution,
            recorded_at: now.saturating_sub(attempt.age),
            indirect: true,
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
