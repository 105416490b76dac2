//! The jobs of local clients. They are claimed at their coordinators, and run while this process owns them.

mod attempts;
mod completion;
mod replies;
mod timeouts;

use crate::client_job::{ClaimState, ClientJob, WaitingClient};
use crate::job_record::Execution;
use crate::{
    Command, Failover, JobKey, JobOutcome, JobRecord, JobSubmission, Message, Micros, OwnershipEpoch,
    ProcessId, Waiter,
};
use std::sync::Arc;

/// The coordinator's grant of a claim.
pub(crate) struct Grant {
    /// The number of the claim.
    pub(crate) claim_id: u64,
    /// The epoch of the new ownership.
    pub(crate) ownership_epoch: OwnershipEpoch,
    /// The version up to which the record is replicated.
    pub(crate) version: u32,
}

impl Failover {
    /// Submits a job for a client, for the first time or again.
    pub fn submit(&mut self, now: Micros, waiter: Waiter, key: JobKey, submission: JobSubmission) {
        if !self.attach_to_known_job(waiter, &key, submission.deadline) {
            self.submit_new(now, waiter, key, submission);
        }
        self.deliver_loopback(now);
    }

    /// Attaches the client to the job if it is known here, or answers it from the record of the finished job.
    /// Returns whether it did either.
    fn attach_to_known_job(&mut self, waiter: Waiter, key: &JobKey, deadline: Micros) -> bool {
        if let Some(job) = self.jobs.get_mut(key) {
            self.counters.attached += 1;
            match job.record.outcome.clone().filter(|_| job.unconfirmed_outcome.is_none()) {
                Some(outcome) => {
                    self.commands.push_back(Command::Answer { waiters: vec![waiter], outcome });
                }
                None => job.clients.push(WaitingClient { waiter, deadline }),
            }
            return true;
        }
        let recorded = self.replicas.get(key).and_then(|replica| replica.record.outcome.clone());
        let Some(outcome) = recorded else { return false };
        self.counters.attached += 1;
        self.counters.answered_from_record += 1;
        self.commands.push_back(Command::Answer { waiters: vec![waiter], outcome });
        true
    }

    fn submit_new(&mut self, now: Micros, waiter: Waiter, key: JobKey, submission: JobSubmission) {
        let JobSubmission { payload, requires_ack, requires_replication, deadline } = submission;
        self.last_claim_id += 1;
        let record = JobRecord {
            owner: self.local,
            claim_id: self.last_claim_id,
            ownership_epoch: OwnershipEpoch::default(),
            version: 0,
            payload,
            requires_ack,
            deadline,
            attempts: Vec::new(),
            outcome: None,
        };
        let mut job = ClientJob::new(now, record, requires_replication, ClaimState::ReplicationDeferred);
        job.clients.push(WaitingClient { waiter, deadline });
        self.jobs.insert(key.clone(), job);
        if requires_ack {
            self.claim(now, &key);
        }
        self.start_job(now, &key);
    }

    /// Handles the disconnection of a client. If it was the job's last client, the job is stopped, unless
    /// this process owns it, its class forbids some repeats and an attempt of it may have been sent.
    pub fn client_disconnected(&mut self, now: Micros, waiter: Waiter) {
        let has_client = |job: &ClientJob| job.clients.iter().any(|client| client.waiter == waiter);
        let Some((key, job)) = self.jobs.iter_mut().find(|(_, job)| has_client(job)) else { return };
        job.clients.retain(|client| client.waiter != waiter);
        let continues = job.record.requires_ack && job.state == ClaimState::Owned && !job.is_unsent();
        if !job.clients.is_empty() || continues {
            return;
        }
        let (key, claim_id) = (key.clone(), job.record.claim_id);
        let claimed = matches!(job.state, ClaimState::Pending | ClaimState::Owned);
        self.revoke(&key);
        if claimed {
            self.send_discard(&key, claim_id, true);
        }
        self.jobs.remove(&key);
        self.deliver_loopback(now);
    }

    /// For a graceful shutdown, transfers the owned jobs whose classes forbid some repeats and of which no
    /// attempt may have run, and rejects them to their clients with a `Retry-After`. Returns the number of
    /// these jobs.
    pub fn transfer_all(&mut self, now: Micros) -> usize {
        let unsent = |job: &ClientJob| {
            job.state == ClaimState::Owned
                && job.record.requires_ack
                && job.record.outcome.is_none()
                && !job.record.may_have_run()
        };
        let keys: Vec<JobKey> =
            self.jobs.iter().filter(|(_, job)| unsent(job)).map(|(key, _)| key.clone()).collect();
        for key in &keys {
            let (term, claim_id) = (self.term, self.jobs.get(key).map_or(0, |job| job.record.claim_id));
            if let Some(coordinator) = key.coordinator(&self.members) {
                self.send(coordinator, Message::TransferOwnership { term, key: key.clone(), claim_id });
            }
            self.counters.transferred += 1;
            self.commands.push_back(Command::Revoke { key: key.clone() });
            self.end_job(key, JobOutcome::Rejected(Some(crate::RETRY_AFTER_MS)));
        }
        self.deliver_loopback(now);
        keys.len()
    }

    /// Claims a job at its coordinator. If that is not possible now, runs it without replicas or rejects it.
    fn claim(&mut self, now: Micros, key: &JobKey) {
        let coordinator = key.coordinator(&self.members);
        let coordinator = coordinator.filter(|other| !self.lagging_peers.contains(&other.ordinal));
        let Some(job) = self.jobs.get(key) else { return };
        let may_claim = self.holds_lease(now) || !job.record.requires_ack && self.is_member();
        let replicable = coordinator.is_some() && may_claim && self.has_capacity(job.record.size());
        if let Some(job) = self.jobs.get_mut(key).filter(|_| replicable) {
            job.state = ClaimState::Pending;
            job.timer_started_at = now;
            self.request_claim(now, key);
        } else {
            self.run_unreplicated_or_reject(key);
        }
    }

    /// Requests ownership of a job from its coordinator.
    pub(crate) fn request_claim(&mut self, now: Micros, key: &JobKey) {
        let (term, coordinator) = (self.term, key.coordinator(&self.members));
        let (Some(job), Some(coordinator)) = (self.jobs.get(key), coordinator) else { return };
        let (record, urgent) = (job.record.snapshot(now, key), job.record.requires_ack);
        self.send_with(coordinator, Message::ClaimRequest { term, record }, urgent);
    }

    /// Tells the driver to run a job, unless this has been done already.
    fn start_job(&mut self, now: Micros, key: &JobKey) {
        let Some(job) = self.jobs.get_mut(key).filter(|job| !job.started) else { return };
        job.started = true;
        let (payload, deadline) = (Arc::clone(&job.record.payload), job.record.deadline);
        let (prior_execution, taken_over) = (job.record.prior_execution(now), job.taken_over);
        if taken_over {
            self.counters.taken_over += 1;
            self.counters.taken_over_may_have_run += u64::from(prior_execution.is_some());
        }
        let key = key.clone();
        self.commands.push_back(Command::StartJob { key, payload, deadline, prior_execution, taken_over });
    }

    /// Handles a job that cannot be replicated: runs it without replicas, or, if it requires replication or
    /// may already have run, ends it with [`ClientJob::outcome_if_abandoned`].
    fn run_unreplicated_or_reject(&mut self, key: &JobKey) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.mark_unacked_as_never_ran();
        let never_ran = job.record.attempts.iter().all(|attempt| attempt.execution == Execution::NeverRan);
        if job.requires_replication || job.possibly_owned_elsewhere || !never_ran {
            self.counters.rejected += 1;
            let outcome = job.outcome_if_abandoned();
            self.revoke(key);
            self.end_job(key, outcome);
            return;
        }
        job.state = ClaimState::Unreplicated;
        self.counters.unreplicated += 1;
        let first_attempt = job.first_attempt;
        let permitted: Vec<u32> =
            job.pending_acks.drain(..).map(|pending| pending.number - first_attempt).collect();
        if !std::mem::replace(&mut job.started, true) {
            self.commands.push_back(Command::StartJob {
                key: key.clone(),
                payload: Arc::clone(&job.record.payload),
                deadline: job.record.deadline,
                prior_execution: None,
                taken_over: false,
            });
        }
        let permit = |attempt| Command::PermitAttempt { key: key.clone(), attempt };
        self.commands.extend(permitted.into_iter().map(permit));
    }

    /// Makes this process the owner of a job that it has taken over as coordinator. The job starts once its
    /// replicas have acknowledged the takeover; one that already runs here and may run any number of times
    /// continues.
    pub(crate) fn become_owner(&mut self, now: Micros, key: &JobKey, record: JobRecord) {
        let running = |job: &&mut ClientJob| job.started && !job.record.requires_ack;
        if let Some(job) = self.jobs.get_mut(key).filter(running) {
            job.state = ClaimState::Owned;
            job.record = record;
            job.possibly_owned_elsewhere = false;
            return;
        }
        self.revoke(key);
        let clients = self.jobs.remove(key).map(|job| job.clients).unwrap_or_default();
        let mut job = ClientJob::new(now, record, true, ClaimState::Owned);
        job.clients = clients;
        job.taken_over = true;
        self.jobs.insert(key.clone(), job);
    }

    /// Gives up ownership of a job that another process owns now or may take over. Its local clients
    /// continue to wait; if there are none, the job is removed.
    pub(crate) fn lose_ownership(&mut self, key: &JobKey) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        self.counters.ownership_lost += 1;
        self.last_claim_id += 1;
        job.record.claim_id = self.last_claim_id;
        job.mark_unacked_as_never_ran();
        // If the job is started again, its attempts are numbered after those on record.
        job.first_attempt = job.record.next_attempt_number();
        job.state = ClaimState::Pending;
        job.acked_version = None;
        job.unconfirmed_outcome = None;
        job.record.outcome = None;
        job.possibly_owned_elsewhere = true;
        job.pending_acks.clear();
        self.revoke(key);
        if self.jobs.get(key).is_some_and(|job| job.clients.is_empty()) {
            self.jobs.remove(key);
        }
    }

    /// Marks a pending job if its claim may have been granted and another process may have taken the job over
    /// without this process having received a message about it.
    fn mark_if_possibly_owned_elsewhere(&mut self, now: Micros, key: &JobKey) {
        let pending = self.jobs.get(key).filter(|job| job.state == ClaimState::Pending);
        let since = pending.map(|job| job.timer_started_at);
        if since.is_some_and(|since| self.lease_lapsed_since(now, since))
            && let Some(job) = self.jobs.get_mut(key)
        {
            job.possibly_owned_elsewhere = true;
        }
    }

    /// Tells the driver to stop running a job.
    fn revoke(&mut self, key: &JobKey) {
        if self.jobs.get_mut(key).is_some_and(|job| std::mem::take(&mut job.started)) {
            self.commands.push_back(Command::Revoke { key: key.clone() });
        }
    }

    /// Answers all clients of a job and removes it.
    fn end_job(&mut self, key: &JobKey, outcome: JobOutcome) {
        self.answer_clients(key, &outcome, |_| true);
        self.jobs.remove(key);
    }

    /// Answers the clients of a job whose deadlines match.
    fn answer_clients(&mut self, key: &JobKey, outcome: &JobOutcome, matches: impl Fn(Micros) -> bool) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        let (answered, waiting): (Vec<_>, Vec<_>) =
            job.clients.drain(..).partition(|client| matches(client.deadline));
        job.clients = waiting;
        if !answered.is_empty() {
            let waiters = answered.into_iter().map(|client| client.waiter).collect();
            self.commands.push_back(Command::Answer { waiters, outcome: outcome.clone() });
        }
    }

    /// Returns the job that a message refers to, if the sender is its coordinator and the claim is the
    /// current one.
    fn claimed_job(&mut self, from: ProcessId, key: &JobKey, claim_id: u64) -> Option<&mut ClientJob> {
        let from_coordinator = key.coordinator(&self.members) == Some(from);
        let job = self.jobs.get_mut(key).filter(|job| job.record.claim_id == claim_id && from_coordinator);
        if job.is_none() {
            self.counters.stale_messages += 1;
        }
        job
    }
}
