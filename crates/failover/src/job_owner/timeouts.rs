//! Timeouts of claims, attempts and clients.

use crate::client_job::{ClaimState, PendingAck};
use crate::{Command, Failover, JobKey, JobOutcome, Micros};

impl Failover {
    pub(crate) fn handle_job_timeouts(&mut self, now: Micros) {
        let keys: Vec<JobKey> = self.jobs.keys().cloned().collect();
        for key in keys {
            self.mark_if_possibly_owned_elsewhere(now, &key);
            self.expire_attempts(now, &key);
            self.expire_clients(now, &key);
            self.expire_claim(now, &key);
        }
    }

    /// Drops attempts whose records were not acknowledged in time; they are not sent.
    fn expire_attempts(&mut self, now: Micros, key: &JobKey) {
        let margin = self.settings.deadline_margin;
        let Some(job) = self.jobs.get_mut(key) else { return };
        let first_attempt = job.first_attempt;
        let (expired, pending): (Vec<PendingAck>, Vec<PendingAck>) =
            job.pending_acks.drain(..).partition(|pending| now + margin >= pending.deadline);
        job.pending_acks = pending;
        for PendingAck { number, .. } in expired {
            let attempt = number - first_attempt;
            self.attempt_never_ran(now, key, attempt);
            self.commands.push_back(Command::AttemptExpired { key: key.clone(), attempt });
        }
    }

    /// Answers clients by their own deadlines. A client's deadline may be before the job's, because the job's
    /// deadline may be that of another client or have been passed on by another scheduler. If another process
    /// owns the job, its clients are answered `deadline_margin` before their deadlines, with `Failed`, since
    /// the job may have run. Otherwise they are answered `deadline_margin` after their deadlines, so that the
    /// job's own end comes first.
    fn expire_clients(&mut self, now: Micros, key: &JobKey) {
        let margin = self.settings.deadline_margin;
        let Some(job) = self.jobs.get(key) else { return };
        let attached = job.state == ClaimState::Attached;
        let outcome = if attached || job.started { JobOutcome::Failed } else { job.outcome_if_abandoned() };
        let expired = |deadline| {
            if attached { now + margin >= deadline } else { now >= deadline + margin }
        };
        self.answer_clients(key, &outcome, expired);
    }

    /// Claims a job whose replication delay is over, and ends claims that have timed out and jobs whose
    /// deadlines have passed.
    fn expire_claim(&mut self, now: Micros, key: &JobKey) {
        let claim_timeout = self.settings.claim_timeout;
        let Some(job) = self.jobs.get(key) else { return };
        let past_deadline = now + self.settings.deadline_margin >= job.record.deadline;
        let timed_out = now >= job.timer_started_at + claim_timeout;
        match job.state {
            ClaimState::ReplicationDeferred
                if now >= job.timer_started_at + self.settings.replication_delay =>
            {
                self.claim(now, key);
            }
            ClaimState::Pending if job.record.requires_ack && (timed_out || past_deadline) => {
                let claim_id = job.record.claim_id;
                self.send_discard(key, claim_id, true);
                self.run_unreplicated_or_reject(key);
            }
            // The job has ended, and the coordinator has not replied to the claim.
            ClaimState::Pending if job.record.outcome.is_some() && timed_out => {
                self.jobs.remove(key);
            }
            ClaimState::Owned if !job.started && job.record.outcome.is_none() && past_deadline => {
                let outcome = job.outcome_if_abandoned();
                self.complete_owned(now, key, outcome);
            }
            ClaimState::Owned if job.unconfirmed_outcome.is_some() && past_deadline => {
                self.end_job(key, JobOutcome::Failed);
            }
            ClaimState::Attached if job.clients.is_empty() => {
                self.jobs.remove(key);
            }
            _ => {}
        }
    }
}
