//! Executes the commands of the engine, discovery and failover.

use super::backend::Attempt;
use super::discovery;
use super::event_loop::Alarm;
use super::job_failover::{self, JobFailover};
use super::scheduler::{Scheduler, context};
use brackenledge_discovery::Command as DiscoveryCommand;
use brackenledge_engine::{Command, JobRequest};
use brackenledge_failover::{Command as FailoverCommand, JobKey, JobOutcome, PriorExecution, Waiter};
use brackenledge_policy::Outcome;
use slog::info;

/// `Retry-After` in milliseconds for a replicated job that is not admitted, because its payload can't be
/// decoded or another open job has its request id.
const NOT_ADMITTED_RETRY_AFTER_MS: u32 = 1_000;

impl Scheduler<'_> {
    /// Executes the commands of all state machines until none is left, then flushes the batched peer
    /// messages.
    pub(super) fn execute_commands(&mut self) {
        loop {
            // Endpoint changes go first, so that no job is sent on the basis of an outdated status.
            if let Some(command) = self.endpoints.poll_command() {
                self.execute_discovery_command(command);
            } else if let Some(command) = self.job_failover.as_mut().and_then(JobFailover::poll_command) {
                self.execute_failover_command(command);
            } else if let Some(command) = self.engine.poll_command(self.event_loop.now()) {
                self.execute_engine_command(command);
            } else {
                break;
            }
        }
        let cx = &mut context!(self);
        self.discovery.arm(cx);
        if let Some(links) = &mut self.peer_links {
            links.flush(cx);
        }
    }

    fn execute_discovery_command(&mut self, command: DiscoveryCommand) {
        let cx = &mut context!(self);
        match command {
            DiscoveryCommand::OpenRequest { request, kind, since_revision } => {
                self.discovery.open_request(request, kind, since_revision, cx);
            }
            DiscoveryCommand::CancelRequest { request } => self.discovery.cancel_request(request, cx),
            DiscoveryCommand::SendMessage { to, text } => self.send_to_peer(to, &text),
            DiscoveryCommand::UpdateEndpoints { kind, entries } => {
                cx.engine.update_workers(kind, entries.into_iter().map(|update| update.0).collect());
            }
            DiscoveryCommand::Event(event) => discovery::log_event(&self.log, event),
        }
    }

    fn execute_failover_command(&mut self, command: FailoverCommand) {
        let cx = &mut context!(self);
        let Some(job_failover) = cx.job_failover.as_mut() else { return };
        match command {
            FailoverCommand::Send { to, message, urgent } => job_failover.send(to, message, urgent),
            FailoverCommand::StartJob { key, payload, deadline, prior_execution, .. } => {
                let submitted = job_failover.decode_job(&key, &payload, deadline);
                self.start_failover_job(key, submitted, prior_execution);
            }
            FailoverCommand::PermitAttempt { key, attempt } => {
                if let Some(attempt) = job_failover.release_attempt(&key, attempt) {
                    self.backend.start_attempt(attempt, cx);
                }
            }
            FailoverCommand::AttemptExpired { key, attempt } => {
                if let Some(id) = job_failover.drop_attempt(&key, attempt) {
                    cx.engine.attempt_ended(id, Outcome::NeverSent, None);
                }
            }
            FailoverCommand::Revoke { key } => {
                if let Some(job) = job_failover.revoke(&key) {
                    for attempt in job.held_attempts {
                        cx.engine.attempt_ended(attempt, Outcome::NeverSent, None);
                    }
                    cx.engine.abandon_job(job.id);
                }
            }
            FailoverCommand::Answer { waiters, outcome } => self.answer_waiters(waiters, &outcome),
            FailoverCommand::Event(event) => job_failover::log_event(cx.log, event),
        }
    }

    /// Submits a job of the failover state machine to the engine.
    fn start_failover_job(
        &mut self,
        key: JobKey,
        submitted: Option<JobRequest>,
        prior: Option<PriorExecution>,
    ) {
        let cx = &mut context!(self);
        let Some(job_failover) = cx.job_failover.as_mut() else { return };
        let prior_execution = match prior {
            None => None,
            Some(prior) => {
                let Some(worker) = cx.endpoints.find(&prior.worker) else {
                    // A retry may only go to the worker of the earlier attempt, which this scheduler doesn't
                    // know.
                    job_failover.job_not_admitted(&key, JobOutcome::Failed);
                    return;
                };
                Some(job_failover::prior_execution(worker, prior.max_age))
            }
        };
        let admitted = submitted.and_then(|mut submitted| {
            submitted.job.prior_execution = prior_execution;
            cx.engine.submit_job(cx.now, submitted)
        });
        match admitted {
            Some(job) => job_failover.job_admitted(key, job),
            // The payload can't be decoded, or another open job has the request id. The client may retry.
            None => {
                job_failover.job_not_admitted(&key, JobOutcome::Rejected(Some(NOT_ADMITTED_RETRY_AFTER_MS)));
            }
        }
    }

    /// Answers all clients that wait for the outcome of a replicated job.
    fn answer_waiters(&mut self, waiters: Vec<Waiter>, outcome: &JobOutcome) {
        let cx = &mut context!(self);
        for waiter in waiters {
            let client = cx.job_failover.as_mut().and_then(|job_failover| job_failover.take_client(waiter));
            if let Some(client) = client {
                let answer = job_failover::answer_of(outcome);
                self.frontend.answer_replicated(client, waiter, answer, cx);
            }
        }
    }

    fn execute_engine_command(&mut self, command: Command) {
        let cx = &mut context!(self);
        match command {
            Command::Answer { client, job, answer } => {
                let job_failover = cx.job_failover.as_mut();
                // For a replicated job, failover answers all waiting clients itself.
                if !job_failover.is_some_and(|job_failover| job_failover.job_answered(job, &answer)) {
                    self.frontend.answer(client, job, answer, cx);
                }
            }
            Command::StartAttempt { id, worker, request, deadlines } => {
                self.start_attempt(Attempt { id, worker, request, deadlines });
            }
            Command::AttemptEnded { id, never_ran } => {
                if let Some(job_failover) = cx.job_failover {
                    job_failover.attempt_ended(id, never_ran);
                }
            }
            Command::CancelAttempt { id } | Command::WithdrawAttempt { id }
                if cx.job_failover.as_mut().is_some_and(|job_failover| job_failover.cancel_attempt(id)) =>
            {
                // Failover still held the attempt, so that it was not sent.
                cx.engine.attempt_ended(id, Outcome::NeverSent, None);
            }
            Command::CancelAttempt { id } => self.backend.cancel(id, Outcome::Cancelled, cx),
            Command::WithdrawAttempt { id } => self.backend.cancel_unsent(id, cx),
            Command::SetTimer { after } => cx.event_loop.set_alarm(cx.now + after, Alarm::EngineTimer),
            Command::WatchEndpoints { on } => cx.endpoints.set_watching(cx.now, on),
            Command::PollEndpoints => cx.endpoints.request_poll(cx.now),
            Command::HealthCheck { worker } => self.backend.check_health(worker, cx),
            Command::SendMessage { to, text } => self.send_to_peer(to, &text),
            Command::Broadcast { text } => self.broadcast_to_peers(&text),
            Command::CloseIdleConnections { worker } => self.backend.close_idle(worker, cx),
            Command::Log(text) => info!(self.log, "policy"; "message" => text),
        }
    }

    /// Starts an attempt. An attempt of a replicated job is held until failover permits it, which may require
    /// an acknowledgement from a replica first.
    fn start_attempt(&mut self, attempt: Attempt) {
        let cx = &mut context!(self);
        let permitted = match cx.job_failover {
            Some(job_failover) => {
                let worker_name = cx.endpoints.name(attempt.worker).unwrap_or_default();
                job_failover.submit_attempt(cx.now, attempt, worker_name)
            }
            None => Some(attempt),
        };
        if let Some(attempt) = permitted {
            self.backend.start_attempt(attempt, cx);
        }
    }

    fn send_to_peer(&self, to: u16, text: &str) {
        if let Some(peer) = &self.peer {
            peer.send_to(to, text.as_bytes());
        }
    }

    /// Sends a text to all other schedulers. With the cluster enabled, aggregated loads are sent as a fenced
    /// message.
    fn broadcast_to_peers(&mut self, text: &str) {
        let Some(peer) = &self.peer else { return };
        match &mut self.cluster {
            Some(cluster) if brackenledge_policy::is_aggregated_loads(text) => {
                cluster.broadcast_aggregated_loads(peer, text);
            }
            _ => peer.broadcast(text.as_bytes()),
        }
    }
}
