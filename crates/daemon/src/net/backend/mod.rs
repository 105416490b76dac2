//! The worker side: the connection pool, and the attempts and health checks that use its connections.
//!
//! **Invariant.** Each attempt ends exactly once. It ends as never sent (`NeverSent`, `ConnectFailed`) only
//! if its request's last byte was not written to the socket.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `connection` | a connection's state and its callbacks |
//! | `request_writer` | writes requests |
//! | `response_reader` | reads responses line by line |
//! | `pool` | finds, opens and closes connections |
//! | `timeouts` | connect, response and health check timeouts, and the alarm for a withheld last byte |

mod connection;
mod pool;
mod request_writer;
mod response_reader;
mod timeouts;

use self::connection::{Task, WorkerConnection};
use super::Context;
use super::event_loop::{Alarm, Flow, Millis, Owner, drive, flush_output};
use brackenledge_engine::{AttemptDeadlines, AttemptId, Request};
use brackenledge_policy::{Outcome, WorkerId};
use slab::Slab;
use slog::debug;
use std::collections::HashMap;
use std::rc::Rc;

/// An attempt that the engine starts.
pub struct Attempt {
    /// The job, and the number of the attempt within it.
    pub id: AttemptId,
    /// The worker that the request is sent to.
    pub worker: WorkerId,
    /// The request, shared by all attempts of the job.
    pub request: Rc<Request>,
    /// When the request must be written and the response received.
    pub deadlines: AttemptDeadlines,
}

/// All connections to workers.
pub struct Backend {
    connections: Slab<WorkerConnection>,
    /// Slots of idle connections by worker, the most recently used one last.
    idle: HashMap<WorkerId, Vec<usize>>,
    /// Slots of the connections that carry attempts, by attempt.
    attempts: HashMap<AttemptId, usize>,
    max_connections: usize,
    connect_timeout: Millis,
    idle_timeout: Millis,
}

impl Backend {
    /// `max_connections`: maximum number of open connections to all workers. `idle_limit`: how long workers
    /// keep an idle connection open.
    pub fn new(max_connections: usize, connect_timeout: Millis, idle_limit: Millis) -> Self {
        Backend {
            connections: Slab::new(),
            idle: HashMap::new(),
            attempts: HashMap::new(),
            max_connections,
            connect_timeout,
            idle_timeout: pool::idle_timeout(idle_limit),
        }
    }

    /// Starts an attempt. Its end is reported to the engine exactly once, also if it can't be sent.
    pub fn start_attempt(&mut self, attempt: Attempt, cx: &mut Context) {
        let Attempt { id, worker, request, deadlines } = attempt;
        let is_ready = cx.endpoints.is_ready(worker);
        debug!(cx.log, "attempt_started"; "endpoint_ready" => is_ready, "attempt" => id.attempt,
            "endpoint" => cx.endpoints.name(worker), "request" => &request.id);
        if !is_ready || cx.now >= deadlines.write_deadline {
            cx.engine.attempt_ended(id, Outcome::NeverSent, None);
            return;
        }
        let zone = cx.endpoints.zone(worker);
        if let Some(zones) = cx.zones {
            zones.on_attempt_started(zone);
        }
        let task = Task::Attempt { id, request, deadlines };
        match self.assign(task, worker, cx) {
            Some(slot) => {
                self.attempts.insert(id, slot);
                cx.event_loop.set_alarm(deadlines.response_deadline, Alarm::ResponseDeadline(id));
                if deadlines.write_deadline < deadlines.response_deadline {
                    cx.event_loop.set_alarm(deadlines.write_deadline, Alarm::WriteDeadline(id));
                }
                self.flush(slot, cx);
            }
            None => cx.engine.attempt_ended(id, Outcome::ConnectFailed, None),
        }
    }

    /// Sends a health check, which asks a worker for its load report.
    pub fn check_health(&mut self, worker: WorkerId, cx: &mut Context) {
        match self.assign(Task::HealthCheck, worker, cx) {
            Some(slot) => {
                self.set_health_check_timeout(slot, cx);
                self.flush(slot, cx);
            }
            None => cx.engine.health_check_ended(worker, Outcome::ConnectFailed, None),
        }
    }

    /// Ends an attempt by closing its connection. The outcome is `NeverSent` if the request is not fully
    /// written.
    pub fn cancel(&mut self, id: AttemptId, outcome: Outcome, cx: &mut Context) {
        let Some(&slot) = self.attempts.get(&id) else { return };
        let connection = &mut self.connections[slot];
        let outcome = if connection.is_request_written() { outcome } else { Outcome::NeverSent };
        connection.end_task(outcome, None, cx);
        self.remove(slot, cx);
    }

    /// Cancels an attempt unless its request's last byte has been written.
    pub fn cancel_unsent(&mut self, id: AttemptId, cx: &mut Context) {
        if self.attempts.get(&id).is_some_and(|&slot| !self.connections[slot].is_request_written()) {
            self.cancel(id, Outcome::NeverSent, cx);
        }
    }

    /// Handles a readiness event of a connection.
    pub fn on_ready(&mut self, slot: usize, cx: &mut Context) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let attempt_before = connection.attempt();
        let flow = drive(connection, cx);
        self.after_callback(slot, attempt_before, flow, cx);
    }

    fn flush(&mut self, slot: usize, cx: &mut Context) {
        let connection = &mut self.connections[slot];
        if connection.is_connecting {
            return;
        }
        let attempt_before = connection.attempt();
        let flow = flush_output(connection, cx);
        self.after_callback(slot, attempt_before, flow, cx);
    }

    /// Closes a connection, or returns it to the pool if it is free. `attempt_before`: the attempt that it
    /// carried before the callback.
    fn after_callback(
        &mut self,
        slot: usize,
        attempt_before: Option<AttemptId>,
        flow: Flow,
        cx: &mut Context,
    ) {
        let connection = &self.connections[slot];
        let ended = attempt_before.filter(|_| connection.task.is_none());
        if let Some(id) = ended {
            self.attempts.remove(&id);
        }
        match flow {
            Flow::Keep => {}
            Flow::Requeue => cx.event_loop.requeue(Owner::Backend(slot)),
            Flow::Close => return self.remove(slot, cx),
        }
        self.return_to_pool(slot);
    }
}
