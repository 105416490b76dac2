//! Counters and record counts for operators.

use crate::Failover;
use crate::client_job::ClaimState;

/// Counts of events since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    /// Jobs of other owners that this process has taken over and started.
    pub taken_over: u64,
    /// Jobs taken over of which an attempt may have run.
    pub taken_over_may_have_run: u64,
    /// Clients attached to a job that had already been submitted, here or elsewhere.
    pub attached: u64,
    /// Clients answered from the record of a finished job.
    pub answered_from_record: u64,
    /// Jobs rejected or failed because they could not be replicated.
    pub rejected: u64,
    /// Jobs run although they could not be replicated.
    pub unreplicated: u64,
    /// Jobs of which this process has lost ownership.
    pub ownership_lost: u64,
    /// Jobs transferred to other processes at a graceful shutdown.
    pub transferred: u64,
    /// Messages dropped as stale: of an older term, of a process that is not a member, or for a key or claim
    /// that the receiver no longer handles.
    pub stale_messages: u64,
}

/// Numbers of records of one class, by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RecordCounts {
    /// Jobs that this process owns.
    pub owned: usize,
    /// Jobs that clients of this process wait for, but that it does not own.
    pub awaited: usize,
    /// Replicas of jobs that have not finished.
    pub unfinished_replicas: usize,
    /// Replicas of finished jobs.
    pub finished_replicas: usize,
}

impl Failover {
    /// Returns the counts of events since the start of the process.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Counts the records of a class by state; `class` is its number in the settings.
    pub fn record_counts(&self, class: u16) -> RecordCounts {
        let mut counts = RecordCounts::default();
        for (_, job) in self.jobs.iter().filter(|(key, _)| key.class == class) {
            match job.state {
                ClaimState::Owned => counts.owned += 1,
                _ => counts.awaited += 1,
            }
        }
        for (_, replica) in self.replicas.iter().filter(|(key, _)| key.class == class) {
            match replica.record.outcome {
                None => counts.unfinished_replicas += 1,
                Some(_) => counts.finished_replicas += 1,
            }
        }
        counts
    }

    /// Approximate memory, in bytes, of the records replicated here.
    pub fn replica_bytes(&self) -> usize {
        self.replica_bytes
    }
}
