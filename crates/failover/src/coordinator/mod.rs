//! The coordinator of a key grants the job to one owner at a time and keeps its record replicated.

mod replication;
mod takeover;

use crate::job_key::JobKey;
use crate::job_record::{AttemptSnapshot, Execution, JobOutcome, JobRecord, OwnershipEpoch, RecordSnapshot};
use crate::{Failover, Message, Micros, ProcessId, RETRY_AFTER_MS};
use std::sync::Arc;

/// A claim that is decided once the reports of all members are complete.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct DeferredClaim {
    claimant: ProcessId,
    record: RecordSnapshot,
}

impl DeferredClaim {
    fn matches(&self, claimant: ProcessId, key: &JobKey, claim_id: u64) -> bool {
        self.claimant == claimant && self.record.key == *key && self.record.claim_id == claim_id
    }
}

/// A job that a member has reported as its own under the member list in force.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ReportedJob {
    owner: ProcessId,
    key: JobKey,
    claim_id: u64,
}

impl Failover {
    fn is_coordinator(&self, key: &JobKey) -> bool {
        key.coordinator(&self.members) == Some(self.local)
    }

    fn next_ownership_epoch(&mut self) -> OwnershipEpoch {
        self.grant_count += 1;
        OwnershipEpoch { member_list_term: self.term, grant_count: self.grant_count }
    }

    pub(crate) fn handle_claim_request(&mut self, now: Micros, claimant: ProcessId, record: RecordSnapshot) {
        if !self.is_coordinator(&record.key) {
            self.counters.stale_messages += 1;
        } else if self.all_reported {
            self.decide_claim(now, claimant, record);
        } else {
            self.deferred_claims.push_back(DeferredClaim { claimant, record });
        }
    }

    /// Grants a job to its claimant once the record is replicated, or replies that another process owns it,
    /// that it has ended, or that there is no capacity.
    fn decide_claim(&mut self, now: Micros, claimant: ProcessId, snapshot: RecordSnapshot) {
        let (key, mut record) = snapshot.into_record(now);
        let (term, claim_id) = (self.term, record.claim_id);
        if self.refuse_claim(claimant, &key, claim_id) {
            return;
        }
        if let Some(replica) = self.replicas.get(&key) {
            merge_prior_executions(&mut record, &replica.record);
        }
        if !self.has_capacity(record.size()) {
            self.send(claimant, Message::CapacityExceeded { term, key, claim_id });
            return;
        }
        record.owner = claimant;
        record.ownership_epoch = self.next_ownership_epoch();
        let replica = self.store_replica(now, &key, record);
        replica.acked_versions.clear();
        replica.grant_pending = true;
        replica.owner_reported = true;
        replica.confirmed_version = None;
        self.ensure_replicated(now, &key);
    }

    /// Rejects a claim to a job that has ended or has another owner, or ignores one that is older than the
    /// claimant's own ownership. Returns whether it did either.
    fn refuse_claim(&mut self, claimant: ProcessId, key: &JobKey, claim_id: u64) -> bool {
        let Some(replica) = self.replicas.get(key) else { return false };
        let record = &replica.record;
        let owner_gone = !self.is_listed(record.owner);
        let outcome = match &record.outcome {
            // Its deadline had passed when its owner was lost, so no process took it over.
            None if owner_gone && record.requires_ack && record.may_have_run() => Some(JobOutcome::Failed),
            outcome => outcome.clone(),
        };
        if let Some(outcome) = outcome {
            self.send(claimant, Message::OutcomeNotice { key: key.clone(), outcome });
            return true;
        }
        if owner_gone {
            return false;
        }
        if record.owner == claimant {
            // The record's claim is newer: the claimant itself has taken the job over since it sent this one.
            return record.claim_id > claim_id;
        }
        if let Some(replica) = self.replicas.get_mut(key).filter(|known| !known.attached.contains(&claimant))
        {
            replica.attached.push(claimant);
        }
        let term = self.term;
        self.send(claimant, Message::OwnedElsewhere { term, key: key.clone(), claim_id });
        true
    }

    /// Whether the sender of a message owns the job under this claim; if not, sends it `OwnershipRevoked`.
    fn check_owner(&mut self, from: ProcessId, key: &JobKey, claim_id: u64) -> bool {
        if self.replicas.get(key).is_some_and(|replica| replica.is_owned_by(from, claim_id)) {
            return true;
        }
        let term = self.term;
        self.send(from, Message::OwnershipRevoked { term, key: key.clone(), claim_id });
        false
    }

    /// Whether to apply an owner's change to a record. The coordinator accepts it from the owner, a further
    /// replica only from the coordinator, which forwards it.
    fn accepts_change(&mut self, from: ProcessId, key: &JobKey, claim_id: u64) -> bool {
        match self.is_coordinator(key) {
            true => self.check_owner(from, key, claim_id),
            false => key.coordinator(&self.members) == Some(from),
        }
    }

    pub(crate) fn handle_attempt_started(&mut self, now: Micros, from: ProcessId, message: Message) {
        let Message::AttemptStarted { term, ref key, claim_id, version, number, ref worker, execution } =
            message
        else {
            return;
        };
        let deferred = self.deferred_claims.iter_mut().find(|claim| claim.matches(from, key, claim_id));
        if let Some(DeferredClaim { record, .. }) = deferred {
            record.attempts.retain(|attempt| attempt.number != number);
            record.attempts.push(AttemptSnapshot { number, worker: Arc::clone(worker), execution, age: 0 });
            record.version = record.version.max(version);
            return;
        }
        if !self.accepts_change(from, key, claim_id) {
            return;
        }
        let replica = self.replicas.get_mut(key).filter(|replica| replica.record.claim_id == claim_id);
        let Some(replica) = replica else { return };
        replica.record.record_attempt(now, number, worker, execution);
        replica.record.version = replica.record.version.max(version);
        let urgent = execution == Execution::MayHaveRun;
        if self.is_coordinator(key) {
            self.forward(key, &message, urgent);
            self.ensure_replicated(now, key);
        } else if urgent {
            self.send(from, Message::Ack { term, key: key.clone(), claim_id, version });
        }
    }

    pub(crate) fn handle_job_finished(&mut self, now: Micros, from: ProcessId, message: Message) {
        let Message::JobFinished { term, ref key, claim_id, version, ref outcome } = message else { return };
        if !self.accepts_change(from, key, claim_id) {
            return;
        }
        let replica = self.replicas.get(key).filter(|replica| replica.record.claim_id == claim_id);
        let Some(replica) = replica else { return };
        let record = JobRecord {
            version,
            outcome: Some(outcome.clone()),
            payload: Arc::from([]),
            ..replica.record.clone()
        };
        let is_coordinator = self.is_coordinator(key);
        let replica = self.store_replica(now, key, record);
        if !is_coordinator {
            self.send_batched(from, Message::Ack { term, key: key.clone(), claim_id, version });
            return;
        }
        let attached = std::mem::take(&mut replica.attached);
        self.forward(key, &message, false);
        self.notify_attached(attached, key, outcome);
        self.ensure_replicated(now, key);
    }

    pub(crate) fn handle_discard(&mut self, from: ProcessId, key: JobKey, claim_id: u64) {
        let term = self.term;
        if self.is_coordinator(&key) {
            self.deferred_claims.retain(|claim| !claim.matches(from, &key, claim_id));
            let unfinished = self.replicas.get(&key).filter(|replica| replica.record.outcome.is_none());
            if !unfinished.is_some_and(|replica| replica.is_owned_by(from, claim_id)) {
                return;
            }
            self.forward(&key, &Message::Discard { term, key: key.clone(), claim_id }, false);
            let attached = self.drop_replica(&key).map(|replica| replica.attached).unwrap_or_default();
            self.notify_attached(attached, &key, &JobOutcome::Rejected(Some(RETRY_AFTER_MS)));
        } else if key.coordinator(&self.members) == Some(from)
            && self.replicas.get(&key).is_some_and(|replica| replica.record.claim_id == claim_id)
        {
            self.drop_replica(&key);
        }
    }

    fn notify_attached(&mut self, attached: Vec<ProcessId>, key: &JobKey, outcome: &JobOutcome) {
        for process in attached {
            let (key, outcome) = (key.clone(), outcome.clone());
            self.send(process, Message::OutcomeNotice { key, outcome });
        }
    }
}

/// Adds the attempts that may have run under an earlier owner to a claimant's record.
fn merge_prior_executions(record: &mut JobRecord, earlier: &JobRecord) {
    let may_have_run = earlier.attempts.iter().filter(|attempt| attempt.execution == Execution::MayHaveRun);
    for attempt in may_have_run {
        if !record.attempts.iter().any(|known| known.number == attempt.number) {
            record.attempts.push(attempt.clone());
        }
    }
}
