//! Plays the workers: passes attempts from their connections to the worker pool, and sends its replies.

use super::connection::Connection;
use super::context::Context;
use super::stand_in::StandIn;
use super::timers::Timer;
use crate::history::HistoryEvent;
use crate::scenario::{COIN_BUY, Node, Scenario};
use crate::stand_ins::http::{self, Request};
use crate::stand_ins::workers::{Attempt, Progress, Reply, WorkerPool};
use crate::{ConnectionId, Error, Millis};
use serde_json::json;
use std::collections::HashSet;

/// The worker pool and the state of the connections to it.
pub struct WorkerStandIn {
    pub pool: WorkerPool,
    /// Connections on which the head (status line and headers) of the current response has been sent.
    head_sent: HashSet<ConnectionId>,
}

/// The circumstances in which an attempt was received. Both times are traffic time.
struct ReceivedAttempt {
    connection: ConnectionId,
    scheduler: usize,
    worker: usize,
    /// When its last byte arrived.
    at: Millis,
    /// When the scheduler sent its first byte.
    sent_at: Millis,
}

impl WorkerStandIn {
    /// Creates the scenario's workers, idle and at full capacity.
    pub fn new(scenario: &Scenario) -> WorkerStandIn {
        WorkerStandIn { pool: WorkerPool::new(scenario), head_sent: HashSet::new() }
    }

    /// Completes the executions that are due.
    pub fn handle_timeout(&mut self, context: &mut Context) {
        let at = context.runtime.clock.since_traffic_start();
        self.pool.handle_timeout(at, &mut context.runtime.rng);
        self.apply_progress(context);
    }

    /// Sends the workers' replies, records their events, and schedules their next timeout.
    pub fn apply_progress(&mut self, context: &mut Context) {
        let Progress { replies, events } = self.pool.take_progress();
        context.runtime.history.extend(events);
        for (id, reply) in replies {
            if context.network.get(id).is_some() {
                self.send_reply(context, id, reply);
            }
        }
        let clock = context.runtime.clock;
        if let Some(next) = self.pool.next_timeout().filter(|_| clock.has_traffic()) {
            context.runtime.timers.schedule(clock.cluster_time_of(next), Timer::WorkerProgress);
        }
    }

    fn send_reply(&mut self, context: &mut Context, id: ConnectionId, reply: Reply) {
        let mut bytes = Vec::new();
        match reply {
            Reply::Reset => return context.network.reset(id),
            Reply::Line(line) => {
                self.push_head(&mut bytes, id);
                bytes.extend(http::json_chunk(&line));
            }
            Reply::LastLine(line) => {
                self.push_head(&mut bytes, id);
                bytes.extend(http::json_chunk(&line));
                bytes.extend_from_slice(http::LAST_CHUNK);
            }
            Reply::Returned => bytes.extend_from_slice(http::NEVER_RAN),
            Reply::Failed if self.head_sent.contains(&id) => {
                bytes.extend(http::json_chunk(&json!({"state": "failed"})));
                bytes.extend_from_slice(http::LAST_CHUNK);
            }
            Reply::Failed => bytes.extend_from_slice(http::SERVER_ERROR),
        }
        context.send(id, bytes);
    }

    /// Appends the head of a response if it has not been sent yet.
    fn push_head(&mut self, bytes: &mut Vec<u8>, id: ConnectionId) {
        if self.head_sent.insert(id) {
            bytes.extend_from_slice(http::CHUNKED_HEAD);
        }
    }

    fn handle_attempt(&mut self, context: &mut Context, received: ReceivedAttempt, request: &Request) {
        let ReceivedAttempt { connection, scheduler, worker, at, sent_at } = received;
        let Some(id) = request.header("x-trace-id") else {
            return context.send(connection, http::NOT_FOUND);
        };
        let Some(key) = request.header("idempotency-key") else {
            return context.runtime.fail(Error::UnknownJob { scheduler, request: id.to_owned() });
        };
        let number = key.strip_prefix("job-").and_then(|number| number.parse::<usize>().ok());
        let Some(job) = number.and_then(|number| context.clients.jobs.get(number)) else {
            return context.runtime.fail(Error::UnknownJob { scheduler, request: id.to_owned() });
        };
        let (run_time, is_deduplicated) = (job.run_time, job.class == COIN_BUY);
        let request = id.to_owned();
        let event = HistoryEvent::AttemptReceived { at, sent_at, request, scheduler, worker, run_time };
        context.runtime.record(event);
        let attempt = Attempt {
            connection,
            id: id.to_owned(),
            idempotency_key: Some(key.to_owned()),
            is_deduplicated,
            run_time,
        };
        self.pool.handle_attempt(at, worker, attempt, &mut context.runtime.rng);
        self.apply_progress(context);
    }
}

impl StandIn for WorkerStandIn {
    fn handle_input(&mut self, context: &mut Context, id: ConnectionId) {
        let at = context.runtime.clock.since_traffic_start();
        let Some(connection) = context.network.get_mut(id) else { return };
        let Node::Worker(worker) = connection.remote_node else { return };
        let Some(request) = http::take_request(&mut connection.input) else { return };
        let sent_at = connection.first_byte_at.take().unwrap_or(at);
        let scheduler = connection.scheduler;
        self.head_sent.remove(&id);
        if request.target.starts_with("/alive") || request.target.starts_with("/metrics") {
            return context.send(id, http::NOT_FOUND);
        }
        let received = ReceivedAttempt { connection: id, scheduler, worker, at, sent_at };
        self.handle_attempt(context, received, &request);
    }

    fn handle_end(&mut self, context: &mut Context, id: ConnectionId, connection: Connection) {
        let Node::Worker(worker) = connection.remote_node else { return };
        let at = context.runtime.clock.since_traffic_start();
        self.head_sent.remove(&id);
        self.pool.handle_connection_end(at, worker, id, &mut context.runtime.rng);
        self.apply_progress(context);
    }
}
