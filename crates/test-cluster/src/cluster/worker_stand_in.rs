//! The workers' connections.

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

/// The workers and their connections.
pub struct WorkerStandIn {
    pub pool: WorkerPool,
    /// Connections on which the head of the current response has been sent.
    head_sent: HashSet<ConnectionId>,
}

/// What is known of an attempt beside its request.
struct Received {
    connection: ConnectionId,
    scheduler: usize,
    worker: usize,
    at: Millis,
    sent_at: Millis,
}

impl WorkerStandIn {
    /// Warm, idle workers.
    pub fn new(scenario: &Scenario) -> WorkerStandIn {
        WorkerStandIn { pool: WorkerPool::new(scenario), head_sent: HashSet::new() }
    }

    /// Ends the executions that are due.
    pub fn handle_timeout(&mut self, context: &mut Context) {
        let at = context.runtime.clock.since_start();
        self.pool.handle_timeout(at, &mut context.runtime.rng);
        self.carry_out_progress(context);
    }

    /// Sends and records what workers did, and schedules what they do next.
    pub fn carry_out_progress(&mut self, context: &mut Context) {
        let Progress { replies, events } = self.pool.take_progress();
        context.runtime.history.extend(events);
        for (id, reply) in replies {
            if context.network.get(id).is_some() {
                self.send_reply(context, id, reply);
            }
        }
        let clock = context.runtime.clock;
        if let Some(next) = self.pool.next_timeout().filter(|_| clock.has_traffic()) {
            context.runtime.timers.schedule(clock.time_of(next), Timer::WorkerProgress);
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

    /// Adds the head of a response before its first line.
    fn push_head(&mut self, bytes: &mut Vec<u8>, id: ConnectionId) {
        if self.head_sent.insert(id) {
            bytes.extend_from_slice(http::CHUNKED_HEAD);
        }
    }

    fn handle_attempt(&mut self, context: &mut Context, received: Received, request: &Request) {
        let Received { connection, scheduler, worker, at, sent_at } = received;
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
        self.carry_out_progress(context);
    }
}

impl StandIn for WorkerStandIn {
    fn handle_input(&mut self, context: &mut Context, id: ConnectionId) {
        let at = context.runtime.clock.since_start();
        let Some(connection) = context.network.get_mut(id) else { return };
        let Node::Worker(worker) = connection.far else { return };
        let Some(request) = http::take_request(&mut connection.input) else { return };
        let sent_at = connection.first_byte_at.take().unwrap_or(at);
        let scheduler = connection.scheduler;
        self.head_sent.remove(&id);
        if request.target.starts_with("/alive") || request.target.starts_with("/metrics") {
            return context.send(id, http::NOT_FOUND);
        }
        let received = Received { connection: id, scheduler, worker, at, sent_at };
        self.handle_attempt(context, received, &request);
    }

    fn handle_end(&mut self, context: &mut Context, id: ConnectionId, connection: Connection) {
        let Node::Worker(worker) = connection.far else { return };
        let at = context.runtime.clock.since_start();
        self.head_sent.remove(&id);
        self.pool.handle_connection_end(at, worker, id, &mut context.runtime.rng);
        self.carry_out_progress(context);
    }
}
