//! The workers' side: a pool of connections, and the attempts and health checks that travel on them.
//!
//! **Invariant.** Each attempt ends exactly once. It ends as never sent (`NeverSent`, `ConnectFailed`) only if its request's
//! last byte was not handed to the system.
//!
//! | module | job |
//! | --- | --- |
//! | `connection` | a connection's state and its callbacks |
//! | `request_writer` | writes requests |
//! | `response_reader` | reads responses, line by line |
//! | `pool` | finds, opens and closes connections |
//! | `timeouts` | ends what has taken too long |

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
    /// Its job and its number.
    pub id: AttemptId,
    /// The worker that it goes to.
    pub worker: WorkerId,
    /// What is sent.
    pub request: Rc<Request>,
    /// Its deadlines.
    pub deadlines: AttemptDeadlines,
}

/// All connections to workers.
pub struct Backend {
    connections: Slab<WorkerConnection>,
    /// Slots of idle connections by worker, the one used last at the end.
    idle: HashMap<WorkerId, Vec<usize>>,
    /// Slots of the connections that carry attempts.
    attempts: HashMap<AttemptId, usize>,
    max_connections: usize,
    connect_timeout: Millis,
    idle_timeout: Millis,
}

impl Backend {
    /// `max_connections`: connections that may be open at the same time. `idle_limit`: how long workers keep an idle
    /// connection open.
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

    /// Starts an attempt. It ends once, whatever happens.
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

    /// Asks a worker for its load.
    pub fn check_health(&mut self, worker: WorkerId, cx: &mut Context) {
        match self.assign(Task::HealthCheck, worker, cx) {
            Some(slot) => {
                self.set_health_check_timeout(slot, cx);
                self.flush(slot, cx);
            }
            None => cx.engine.health_check_ended(worker, Outcome::ConnectFailed, None),
        }
    }

    /// Ends an attempt by closing its connection. One whose request is not wholly written by then never ran.
    pub fn cancel(&mut self, id: AttemptId, outcome: Outcome, cx: &mut Context) {
        let Some(&slot) = self.attempts.get(&id) else { return };
        let connection = &mut self.connections[slot];
        let outcome = if connection.is_request_written() { outcome } else { Outcome::NeverSent };
        connection.end_task(outcome, None, cx);
        self.remove(slot, cx);
    }

    /// Ends an attempt unless its request's last byte is written.
    pub fn cancel_unsent(&mut self, id: AttemptId, cx: &mut Context) {
        if self.attempts.get(&id).is_some_and(|&slot| !self.connections[slot].is_request_written()) {
            self.cancel(id, Outcome::NeverSent, cx);
        }
    }

    /// Handles what the poll reports of a connection.
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

    /// Closes a connection, or returns it to the pool if it is free. `attempt_before`: what it carried before the
    /// callback.
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
            Flow::Again => cx.event_loop.call_again(Owner::Backend(slot)),
            Flow::Close => return self.remove(slot, cx),
        }
        self.return_to_pool(slot);
    }
}
