//! Handles the coordinator's replies to claims, and its acknowledgements.

use super::Grant;
use crate::client_job::ClaimState;
use crate::{Failover, JobKey, JobOutcome, Message, Micros, ProcessId};

impl Failover {
    pub(crate) fn handle_claim_granted(&mut self, now: Micros, from: ProcessId, key: JobKey, grant: Grant) {
        let Grant { claim_id, ownership_epoch, version } = grant;
        let Some(job) = self.claimed_job(from, &key, claim_id) else {
            // The clients have disconnected or have been answered in the meantime. Without this message the
            // job would have an owner that does not know it.
            let term = self.term;
            self.send(from, Message::Discard { term, key, claim_id });
            return;
        };
        if job.state != ClaimState::Pending {
            return;
        }
        job.state = ClaimState::Owned;
        job.possibly_owned_elsewhere = false;
        job.record.ownership_epoch = ownership_epoch;
        job.acked_version = Some(version);
        if job.record.version > version {
            // The coordinator may not have received the attempts recorded since the claim was sent.
            self.resend_attempts(&key);
        }
        self.start_job(now, &key);
        if self.holds_lease(now) {
            self.release_acknowledged(&key);
        }
        // A job that did not wait for the grant may have ended in the meantime.
        if let Some(outcome) = self.jobs.get(&key).and_then(|job| job.record.outcome.clone()) {
            self.complete_owned(now, &key, outcome);
        }
    }

    fn resend_attempts(&mut self, key: &JobKey) {
        let (term, coordinator) = (self.term, key.coordinator(&self.members));
        let (Some(job), Some(coordinator)) = (self.jobs.get(key), coordinator) else { return };
        let (claim_id, version) = (job.record.claim_id, job.record.version);
        for attempt in job.record.attempts.clone() {
            let message = Message::AttemptStarted {
                term,
                key: key.clone(),
                claim_id,
                version,
                number: attempt.number,
                worker: attempt.worker,
                execution: attempt.execution,
            };
            self.send(coordinator, message);
        }
    }

    pub(crate) fn handle_owned_elsewhere(&mut self, from: ProcessId, key: JobKey, claim_id: u64) {
        let job = self.claimed_job(from, &key, claim_id);
        let Some(job) = job.filter(|job| job.state == ClaimState::Pending) else { return };
        if job.started && !job.record.requires_ack {
            // The job continues here too, which its class allows.
            job.state = ClaimState::Unreplicated;
            return;
        }
        job.attach();
        self.counters.attached += 1;
        self.revoke(&key);
    }

    pub(crate) fn handle_outcome_notice(&mut self, key: JobKey, outcome: JobOutcome) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        match job.state {
            ClaimState::Pending if job.started && !job.record.requires_ack => {
                job.state = ClaimState::Unreplicated;
            }
            ClaimState::Pending | ClaimState::Attached => {
                self.counters.answered_from_record += 1;
                self.revoke(&key);
                self.end_job(&key, outcome);
            }
            ClaimState::Owned | ClaimState::Unreplicated | ClaimState::ReplicationDeferred => {}
        }
    }

    pub(crate) fn handle_capacity_exceeded(&mut self, from: ProcessId, key: JobKey, claim_id: u64) {
        let job = self.claimed_job(from, &key, claim_id);
        if job.is_some_and(|job| job.state == ClaimState::Pending) {
            self.run_unreplicated_or_reject(&key);
        }
    }

    pub(crate) fn handle_ownership_revoked(
        &mut self,
        now: Micros,
        from: ProcessId,
        key: JobKey,
        claim_id: u64,
    ) {
        let job = self.claimed_job(from, &key, claim_id);
        if job.is_some_and(|job| job.state == ClaimState::Owned) {
            self.lose_ownership(&key);
            self.request_claim(now, &key);
        }
    }

    /// Handles the coordinator's acknowledgement that an owned job's record is replicated up to a version.
    pub(crate) fn handle_coordinator_ack(
        &mut self,
        now: Micros,
        from: ProcessId,
        key: &JobKey,
        claim_id: u64,
        version: u32,
    ) {
        let job = self.claimed_job(from, key, claim_id);
        let Some(job) = job.filter(|job| job.state == ClaimState::Owned) else { return };
        job.acked_version = job.acked_version.max(Some(version));
        if version >= job.record.version {
            if let Some(outcome) = job.record.outcome.clone() {
                // The outcome is replicated under this ownership, so no other outcome is possible now. This
                // process keeps a replica too, so that the record of the finished job survives the loss of as
                // many processes as before.
                let record = job.record.clone();
                self.store_replica(now, key, record);
                self.end_job(key, outcome);
                return;
            }
            // A job that was taken over starts once the takeover is replicated.
            self.start_job(now, key);
        }
        if self.holds_lease(now) {
            self.release_acknowledged(key);
        }
    }
}
