//! Driver for the job failover state machine of `brackenledge-failover`. It sits between the frontend, the
//! engine and the links to other schedulers; `net::commands` executes the state machine's commands.
//!
//! The frontend submits jobs of replicated classes here instead of to the engine. When the state machine
//! commands a job to start, the job is submitted to the engine like any other. Attempts of the engine pass
//! through here on their way to the backend; those that replicas must acknowledge first are held until then.
//! The engine's answer is passed here too, and is sent to every client that waits for the job. Times are
//! microseconds on the cluster's clock, except those of type `Millis`, which belong to the event loop.

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

/// Client id that the engine gets for replicated jobs. Their clients are known only to [`JobFailover`].
const NO_CLIENT: ClientId = usize::MAX;

/// Options of a replicated class.
#[derive(Clone, Copy)]
struct ClassOptions {
    effect: Effect,
    /// Whether jobs are rejected if they can't be replicated, instead of being run without replicas.
    requires_replication: bool,
}

/// A replicated job that the engine is to drop.
pub struct EngineJob {
    /// Its id in the engine.
    pub id: JobId,
    /// Its attempts that were held here, and so were not sent.
    pub held_attempts: Vec<AttemptId>,
}

/// The driver of the failover state machine.
pub struct JobFailover {
    failover: Failover,
    local: ProcessId,
    zone: u32,
    /// By class number; `None` for classes whose jobs are not replicated.
    class_options: Vec<Option<ClassOptions>>,
    sessions: PeerSessions,
    /// Engine ids of the replicated jobs that the engine holds.
    jobs: HashMap<JobKey, JobId>,
    /// The inverse of `jobs`.
    keys: HashMap<JobId, JobKey>,
    /// Attempts that may not be sent yet, since replicas have not acknowledged them.
    held_attempts: HashMap<AttemptId, Attempt>,
    /// The clients that wait for the outcome of a job.
    clients: HashMap<Waiter, ClientId>,
    last_waiter: Waiter,
    /// Number of frames that violated the protocol.
    pub protocol_errors: u64,
}

impl JobFailover {
    /// `classes`: name and effect of each class, by class number. `local`: this process.
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

    /// Applies the cluster's latest member list and this process's member lease.
    pub fn sync(&mut self, cluster: &Cluster) {
        let now = micros();
        if cluster.me() != self.local {
            // This process was superseded and has rejoined with a new incarnation, which peers treat as
            // another process.
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

    /// Handles all due timeouts, releases batched messages and updates which peers lag.
    pub fn handle_timeout(&mut self) {
        let now = micros();
        self.failover.handle_timeout(now);
        self.sessions.release_due(now);
        for (ordinal, lagging) in self.sessions.lagging_changes() {
            self.failover.set_peer_lagging(ordinal, lagging);
        }
    }

    /// The next command to execute, if any.
    pub fn poll_command(&mut self) -> Option<Command> {
        self.failover.poll_command()
    }

    /// At a graceful shutdown, transfers to other schedulers the owned jobs whose classes forbid some repeats
    /// and of which no attempt may have run. Returns their number.
    pub fn transfer_all(&mut self) -> usize {
        self.failover.transfer_all(micros())
    }

    /// Whether a submitted job is to be replicated: its class is, and it has an idempotency key.
    pub fn handles(&self, submitted: &JobRequest) -> bool {
        submitted.request.idempotency_key.is_some() && self.options_of(submitted.job.class).is_some()
    }

    fn options_of(&self, class: usize) -> Option<ClassOptions> {
        self.class_options.get(class).copied().flatten()
    }

    /// Submits a client's job. The same job may have been submitted before, here or at another scheduler.
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

    /// The client disconnected before it got its answer.
    pub fn client_disconnected(&mut self, waiter: Waiter) {
        if self.clients.remove(&waiter).is_some() {
            self.failover.client_disconnected(micros(), waiter);
        }
    }

    /// Removes and returns a waiting client, which is to be answered now.
    pub fn take_client(&mut self, waiter: Waiter) -> Option<ClientId> {
        self.clients.remove(&waiter)
    }

    /// Number of waiting clients whose jobs the engine does not hold, counted as the clients in excess of the
    /// replicated jobs in the engine.
    pub fn waiting_clients(&self) -> usize {
        self.clients.len().saturating_sub(self.keys.len())
    }

    /// Converts the payload of a job record to a job for the engine. Returns `None` if it can't be decoded.
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

    /// The engine has admitted the job under this id.
    pub fn job_admitted(&mut self, key: JobKey, job: JobId) {
        self.keys.insert(job, key.clone());
        self.jobs.insert(key, job);
    }

    /// The engine did not admit the job, which ends with this outcome.
    pub fn job_not_admitted(&mut self, key: &JobKey, outcome: JobOutcome) {
        self.failover.job_finished(micros(), key, outcome);
    }

    /// Handles the engine's answer to a job. Returns `false` if the job is not a replicated one.
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

    /// Removes a job that this scheduler may no longer run. Returns the job for the engine to drop, if the
    /// engine has it.
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

/// Converts an earlier owner's attempt for the engine. The engine gets the attempt's maximum possible age, so
/// that it does not send a retry too late.
pub fn prior_execution(worker: WorkerId, max_age: Micros) -> PriorExecution {
    PriorExecution { worker, age: to_millis(max_age) }
}

/// Converts the outcome of a job to the answer for its clients.
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
