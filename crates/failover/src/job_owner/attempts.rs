//! Attempts of jobs, which are recorded and acknowledged before they are sent.

use crate::client_job::{ClaimState, ClientJob, PendingAck};
use crate::job_record::Execution;
use crate::{Command, Failover, JobKey, Message, Micros};
use std::sync::Arc;

impl Failover {
    /// Requests permission to send an attempt to a worker, and returns whether it may be sent at once. If
    /// not, [`Command::PermitAttempt`] or [`Command::AttemptExpired`] follows. `attempt` counts from 0 with
    /// each [`Command::StartJob`]. The attempt expires `Settings::deadline_margin` before `deadline`.
    pub fn request_attempt(
        &mut self,
        now: Micros,
        key: &JobKey,
        attempt: u32,
        worker: &str,
        deadline: Micros,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(key) else {
            self.commands.push_back(Command::AttemptExpired { key: key.clone(), attempt });
            return false;
        };
        if job.state == ClaimState::Unreplicated || !job.record.requires_ack {
            return true;
        }
        let number = job.first_attempt + attempt;
        let message = record_attempt(now, self.term, key, job, number, worker, Execution::MayHaveRun);
        let version = job.record.version;
        job.pending_acks.push(PendingAck { number, version, deadline });
        if let Some(coordinator) = key.coordinator(&self.members).filter(|_| self.is_member()) {
            self.send(coordinator, message);
        }
        self.deliver_loopback(now);
        false
    }

    /// Records that the worker did not run an attempt, or that the attempt was not sent.
    pub fn attempt_never_ran(&mut self, now: Micros, key: &JobKey, attempt: u32) {
        let Some(job) = self.jobs.get_mut(key).filter(|job| job.record.requires_ack) else { return };
        let number = job.first_attempt + attempt;
        job.pending_acks.retain(|pending| pending.number != number);
        let Some(known) = job.record.attempts.iter().find(|known| known.number == number) else { return };
        let worker = Arc::clone(&known.worker);
        let message = record_attempt(now, self.term, key, job, number, &worker, Execution::NeverRan);
        let owned = job.state == ClaimState::Owned;
        if let Some(coordinator) = key.coordinator(&self.members).filter(|_| owned && self.is_member()) {
            // Not urgent: a process that takes the job over without having received this message assumes that
            // the attempt may have run.
            self.send_batched(coordinator, message);
        }
        self.deliver_loopback(now);
    }

    /// Permits attempts whose records are acknowledged, and answers clients with the unconfirmed outcome.
    /// Called only under a member lease, when no other process can have taken the job over.
    pub(super) fn release_acknowledged(&mut self, key: &JobKey) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        let Some(acked_version) = job.acked_version else { return };
        let (acked, pending): (Vec<PendingAck>, Vec<PendingAck>) =
            job.pending_acks.drain(..).partition(|pending| pending.version <= acked_version);
        job.pending_acks = pending;
        let first_attempt = job.first_attempt;
        let permit = |pending: PendingAck| Command::PermitAttempt {
            key: key.clone(),
            attempt: pending.number - first_attempt,
        };
        self.commands.extend(acked.into_iter().map(permit));
        if let Some(outcome) = job.unconfirmed_outcome.take() {
            self.answer_clients(key, &outcome, |_| true);
        }
    }

    /// Calls [`Failover::release_acknowledged`] for each job that waits for it. Called only under a member
    /// lease.
    pub(crate) fn release_all_acknowledged(&mut self) {
        let awaits_release =
            |job: &ClientJob| !job.pending_acks.is_empty() || job.unconfirmed_outcome.is_some();
        let keys: Vec<JobKey> =
            self.jobs.iter().filter(|(_, job)| awaits_release(job)).map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.release_acknowledged(key));
    }
}

/// Records an attempt in a new version of the job's record, and returns the message for the coordinator.
fn record_attempt(
    now: Micros,
    term: crate::Term,
    key: &JobKey,
    job: &mut ClientJob,
    number: u32,
    worker: &str,
    execution: Execution,
) -> Message {
    let worker: Arc<str> = Arc::from(worker);
    job.record.version += 1;
    job.record.record_attempt(now, number, &worker, execution);
    let (claim_id, version) = (job.record.claim_id, job.record.version);
    Message::AttemptStarted { term, key: key.clone(), claim_id, version, number, worker, execution }
}
