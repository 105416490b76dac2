//! Completion of jobs: the outcome is replicated and sent to the clients.

use crate::client_job::ClaimState;
use crate::{Failover, JobKey, JobOutcome, Message, Micros};
use std::sync::Arc;

impl Failover {
    /// Records that a job run by the driver has ended with this outcome.
    pub fn job_finished(&mut self, now: Micros, key: &JobKey, outcome: JobOutcome) {
        self.complete(now, key, outcome);
        self.deliver_loopback(now);
    }

    fn complete(&mut self, now: Micros, key: &JobKey, outcome: JobOutcome) {
        self.mark_if_possibly_owned_elsewhere(now, key);
        let Some(job) = self.jobs.get_mut(key).filter(|job| job.started) else { return };
        match job.state {
            ClaimState::Unreplicated | ClaimState::ReplicationDeferred => self.end_job(key, outcome),
            // No attempt was sent, so the coordinator does not need the outcome.
            ClaimState::Pending if job.record.requires_ack => {
                let outcome = if outcome.is_rejected() && job.possibly_owned_elsewhere {
                    JobOutcome::Failed
                } else {
                    outcome
                };
                job.started = false;
                let claim_id = job.record.claim_id;
                self.send_discard(key, claim_id, false);
                self.end_job(key, outcome);
            }
            // The job ran without waiting for the grant, which may still arrive.
            ClaimState::Pending => {
                job.record.outcome = Some(outcome.clone());
                self.answer_clients(key, &outcome, |_| true);
            }
            ClaimState::Owned => self.complete_owned(now, key, outcome),
            ClaimState::Attached => {}
        }
    }

    /// Replicates the outcome of an owned job, and answers its clients if no other process can have recorded
    /// a different outcome.
    pub(super) fn complete_owned(&mut self, now: Micros, key: &JobKey, outcome: JobOutcome) {
        let holds_lease = self.holds_lease(now);
        let Some(job) = self.jobs.get_mut(key) else { return };
        let (claim_id, requires_ack) = (job.record.claim_id, job.record.requires_ack);
        let rejected = outcome.is_rejected();
        // Without a lease, another process may have taken the job over and sent an attempt, even if none was
        // sent here.
        let outcome = if rejected && requires_ack && !holds_lease { JobOutcome::Failed } else { outcome };
        job.record.version += 1;
        job.record.outcome = Some(outcome.clone());
        job.started = false;
        // A rejected job may be submitted again. The outcome of a job that may run any number of times is not
        // kept: if it is submitted again, it runs again.
        if rejected || !requires_ack {
            self.send_discard(key, claim_id, requires_ack);
            self.end_job(key, outcome);
            return;
        }
        job.record.payload = Arc::from([]);
        let version = job.record.version;
        if holds_lease {
            self.answer_clients(key, &outcome, |_| true);
        } else {
            job.unconfirmed_outcome = Some(outcome.clone());
        }
        let (term, coordinator) = (self.term, key.coordinator(&self.members));
        if let Some(coordinator) = coordinator {
            let message = Message::JobFinished { term, key: key.clone(), claim_id, version, outcome };
            self.send(coordinator, message);
        }
    }
}
