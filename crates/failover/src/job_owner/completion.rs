//! Jobs that have ended: the outcome is replicated, and clients are answered.

use crate::client_job::ClaimState;
use crate::{Failover, JobKey, JobOutcome, Message, Micros};
use std::sync::Arc;

impl Failover {
    /// The driver has run a job to its end.
    pub fn job_finished(&mut self, now: Micros, key: &JobKey, outcome: JobOutcome) {
        self.complete(now, key, outcome);
        self.deliver_loopback(now);
    }

    fn complete(&mut self, now: Micros, key: &JobKey, outcome: JobOutcome) {
        self.note_possible_loss(now, key);
        let Some(job) = self.jobs.get_mut(key).filter(|job| job.started) else { return };
        match job.state {
            ClaimState::Unreplicated | ClaimState::ReplicationDeferred => self.end_job(key, outcome),
            // No attempt has left: the coordinator need not know of it.
            ClaimState::Pending if job.record.requires_ack => {
                let outcome =
                    if outcome.is_rejected() && job.possibly_lost { JobOutcome::Failed } else { outcome };
                job.started = false;
                let claim_id = job.record.claim_id;
                self.send_discard(key, claim_id, false);
                self.end_job(key, outcome);
            }
            // It did not wait for the grant, which is still to come.
            ClaimState::Pending => {
                job.record.outcome = Some(outcome.clone());
                self.answer_clients(key, &outcome, |_| true);
            }
            ClaimState::Owned => self.complete_owned(now, key, outcome),
            ClaimState::Attached => {}
        }
    }

    /// Replicates the outcome of an owned job, and answers its clients if no other process can have ended it otherwise.
    pub(super) fn complete_owned(&mut self, now: Micros, key: &JobKey, outcome: JobOutcome) {
        let holds_lease = self.holds_lease(now);
        let Some(job) = self.jobs.get_mut(key) else { return };
        let (claim_id, requires_ack) = (job.record.claim_id, job.record.requires_ack);
        let rejected = outcome.is_rejected();
        // Without a lease others may have taken the job over and sent it: that it never left here promises nothing.
        let outcome = if rejected && requires_ack && !holds_lease { JobOutcome::Failed } else { outcome };
        job.record.version += 1;
        job.record.outcome = Some(outcome.clone());
        job.started = false;
        // A rejected job may be submitted again, and one that may run any number of times is run again rather than
        // remembered.
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
