//! Failover of jobs, between the frontend, the engine and the links to other schedulers: drives the state machine of
//! `brackenledge-failover` and carries out its commands.
//!
//! The frontend submits a job of a replicated class here instead of to the engine; the state machine commands
//! its start, and the engine then gets it like any other. The engine's attempts pass here on their way to the backend:
//! those that must be acknowledged first wait for it. The engine's answer comes back here, for all clients that wait for
//! the job. Times are microseconds on the cluster's clock, unless they are `Millis` of the event loop.

mod admin;
mod attempts;
mod replicated_job;
mod sessions;

pub use self::admin::log_event;
pub use self::sessions::LinkError;

use self::replicated_job::{JobContext, ReplicatedJob};
use self::sessions::PeerSessions;
use super::backend::Attempt;
use super::cluster::{Cluster, micros};
use super::event_loop::Millis;
use brackenledge_engine::{Answer, AttemptId, ClientId, JobRequest};
use brackenledge_failover::{
    Command, Failover, JobKey, JobOutcome, JobSubmission, Micros, ProcessId, Settings, Waiter,
};
use brackenledge_policy::{Effect, JobId, PriorExecution, WorkerId};
use brackenledge_protocol::operations::FailoverOptions;
use std::collections::HashMap;
use std::sync::Arc;

/// The client of a job in the engine whose clients are known here alone.
const NO_CLIENT: ClientId = usize::MAX;

/// How the jobs of a replicated class are treated.
#[derive(Clone, Copy)]
struct ClassOptions {
    effect: Effect,
    /// Its jobs are rejected rather than run without replicas.
    requires_replication: bool,
}

/// A job that the engine holds for the state machine.
pub struct EngineJob {
    /// Its number in the engine.
    pub id: JobId,
    /// Its attempts that have not left yet.
    pub held_attempts: Vec<AttemptId>,
}

/// The driver of the failover state machine.
pub struct JobFailover {
    failover: Failover,
    local: ProcessId,
    zone: u32,
    /// By class; `None`: its jobs are not replicated.
    class_options: Vec<Option<ClassOptions>>,
    sessions: PeerSessions,
    /// The engine's numbers of the jobs that it holds for us, and the way back.
    jobs: HashMap<JobKey, JobId>,
    keys: HashMap<JobId, JobKey>,
    /// Attempts that wait for acknowledgement.
    held_attempts: HashMap<AttemptId, Attempt>,
    clients: HashMap<Waiter, ClientId>,
    last_waiter: Waiter,
    /// Frames that violated the protocol.
    pub protocol_errors: u64,
}

impl JobFailover {
    /// `classes`: names and effects, by number.
    pub fn new(
        options: &FailoverOptions,
        local: ProcessId,
        zone: u32,
        classes: &[(String, Effect)],
    ) -> JobFailover {
        let class_options = |(name, effect): &(String, Effect)| {
            let requires_replication = options.replication_required.contains(name);
            let replicated = options.replicated_classes.contains(name);
            replicated.then_some(ClassOptions { effect: *effect, requires_replication })
        };
        let settings = Settings {
            replication_factor: options.replication_factor,
            max_records: options.max_records,
            max_bytes: options.max_bytes,
            retention: to_micros(options.retention),
            claim_timeout: to_micros(options.claim_timeout),
            ..Settings::default()
        };
        JobFailover {
            failover: Failover::new(local, zone, settings),
            local,
            zone,
            class_options: classes.iter().map(class_options).collect(),
            sessions: PeerSessions::default(),
            jobs: HashMap::new(),
            keys: HashMap::new(),
            held_attempts: HashMap::new(),
            clients: HashMap::new(),
            last_waiter: 0,
            protocol_errors: 0,
        }
    }

    /// Applies the cluster's member list and our member lease.
    pub fn sync(&mut self, cluster: &Cluster) {
        let now = micros();
        if cluster.me() != self.local {
            // We were replaced, and are back: to the others we are another process.
            self.local = cluster.me();
            self.failover.restart_as(self.local);
            self.sessions.clear();
        }
        let list = cluster.member_list();
        if list.term > self.failover.term() {
            self.failover.apply_member_list(now, list.term, &list.members);
        }
        self.failover.set_member_lease(now, cluster.member_lease().unwrap_or(0));
    }

    /// Handles what is due by now.
    pub fn handle_timeout(&mut self) {
        let now = micros();
        self.failover.handle_timeout(now);
        self.sessions.release_due(now);
        for (ordinal, lagging) in self.sessions.lagging_changes() {
            self.failover.set_peer_lagging(ordinal, lagging);
        }
    }

    /// The next command to be carried out.
    pub fn poll_command(&mut self) -> Option<Command> {
        self.failover.poll_command()
    }

    /// Graceful shutdown: transfers the jobs that were not sent to a worker; returns how many.
    pub fn transfer_all(&mut self) -> usize {
        self.failover.transfer_all(micros())
    }

    /// Whether a job that a client submits is to be replicated.
    pub fn handles(&self, submitted: &JobRequest) -> bool {
        submitted.request.idempotency_key.is_some() && self.options_of(submitted.job.class).is_some()
    }

    fn options_of(&self, class: usize) -> Option<ClassOptions> {
        self.class_options.get(class).copied().flatten()
    }

    /// A client submits a job, for the first time or again.
    pub fn submit(&mut self, submitted: JobRequest) -> Waiter {
        let JobRequest { client, job, request } = submitted;
        self.last_waiter += 1;
        let waiter = self.last_waiter;
        self.clients.insert(waiter, client);
        let options = self.options_of(job.class);
        let key = JobKey {
            class: job.class as u16,
            tenant: job.tenant as u16,
            idempotency_key: Arc::from(request.idempotency_key.as_deref().unwrap_or_default()),
        };
        let now = micros();
        let submission = JobSubmission {
            requires_ack: options.is_some_and(|options| options.effect != Effect::Repeatable),
            requires_replication: options.is_some_and(|options| options.requires_replication),
            deadline: now + to_micros(job.time_left.max(0.0)),
            payload: ReplicatedJob::new(job, request).encode(),
        };
        self.failover.submit(now, waiter, key, submission);
        waiter
    }

    /// A client has disconnected.
    pub fn client_disconnected(&mut self, waiter: Waiter) {
        if self.clients.remove(&waiter).is_some() {
            self.failover.client_disconnected(micros(), waiter);
        }
    }

    /// The client that waits, once: it gets its answer now.
    pub fn take_client(&mut self, waiter: Waiter) -> Option<ClientId> {
        self.clients.remove(&waiter)
    }

    /// Clients that wait here and whose jobs the engine does not hold.
    pub fn waiting_clients(&self) -> usize {
        self.clients.len().saturating_sub(self.keys.len())
    }

    /// The job as the engine takes it; `None`: its payload can't be decoded.
    pub fn decode_job(&self, key: &JobKey, payload: &[u8], deadline: Micros) -> Option<JobRequest> {
        let effect = self.options_of(usize::from(key.class)).map(|options| options.effect);
        let context = JobContext {
            class: key.class,
            tenant: key.tenant,
            idempotency_key: &key.idempotency_key,
            effect: effect.unwrap_or(Effect::NonIdempotent),
            time_left: to_millis(deadline.saturating_sub(micros())),
        };
        let (job, request) = ReplicatedJob::decode(payload).ok()?.into_engine_job(&context);
        Some(JobRequest { client: NO_CLIENT, job, request })
    }

    /// The engine has taken the job under this number.
    pub fn job_admitted(&mut self, key: JobKey, job: JobId) {
        self.keys.insert(job, key.clone());
        self.jobs.insert(key, job);
    }

    /// The engine can't take the job.
    pub fn job_not_admitted(&mut self, key: &JobKey, outcome: JobOutcome) {
        self.failover.job_finished(micros(), key, outcome);
    }

    /// The engine answers a job; `false`: it is not one that it holds for us.
    pub fn job_answered(&mut self, job: JobId, answer: &Answer) -> bool {
        let Some(key) = self.keys.remove(&job) else { return false };
        self.jobs.remove(&key);
        let outcome = match answer {
            Answer::Served(result) => JobOutcome::Served(Arc::from(result.as_bytes())),
            Answer::Rejected { retry_after } => {
                JobOutcome::Rejected(retry_after.map(|wait| wait.ceil() as u32))
            }
            Answer::Failed => JobOutcome::Failed,
        };
        self.failover.job_finished(micros(), &key, outcome);
        true
    }

    /// We may not run a job any more: removes it, and returns what the engine is to drop.
    pub fn revoke(&mut self, key: &JobKey) -> Option<EngineJob> {
        let id = self.jobs.remove(key)?;
        self.keys.remove(&id);
        let held_attempts: Vec<AttemptId> =
            self.held_attempts.keys().copied().filter(|attempt| attempt.job == id).collect();
        for attempt in &held_attempts {
            self.held_attempts.remove(attempt);
        }
        Some(EngineJob { id, held_attempts })
    }
}

/// An earlier owner's attempt as the engine takes it: as old as it can be, so that a retry is not written too late.
pub fn prior_execution(worker: WorkerId, max_age: Micros) -> PriorExecution {
    PriorExecution { worker, age: to_millis(max_age) }
}

/// The engine's answer to a client.
pub fn answer_of(outcome: &JobOutcome) -> Answer {
    match outcome {
        JobOutcome::Served(result) => Answer::Served(String::from_utf8_lossy(result).into_owned()),
        JobOutcome::Rejected(wait) => Answer::Rejected { retry_after: wait.map(f64::from) },
        JobOutcome::Failed => Answer::Failed,
    }
}

fn to_micros(time: Millis) -> Micros {
    (time * 1_000.0) as Micros
}

fn to_millis(time: Micros) -> Millis {
    time as Millis / 1_000.0
}

#[cfg(test)]
mod tests;
