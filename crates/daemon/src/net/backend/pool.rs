//! The pool of connections to workers: selects the connection for a task and closes idle ones.

use super::Backend;
use super::connection::{Task, WorkerConnection};
use crate::net::Context;
use crate::net::connector::connect;
use crate::net::event_loop::{Alarm, Millis, Owner};
use brackenledge_policy::{Effect, WorkerId};
use std::net::SocketAddr;

/// Idle connections are closed here after this fraction of the time that workers keep them open. A request
/// written to a connection that the worker closes at the same time ends with a reset.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;
/// Minimum time by which the close of an idle connection here precedes the close by the worker.
const IDLE_TIMEOUT_MARGIN: Millis = 500.0;
/// Minimum idle time, a few round trips, before a connection carries a request that is not
/// [`Effect::Repeatable`]. A worker may send a duplicate response some milliseconds after the first, and a
/// response without a line names no request. On a connection that is reused at once, the duplicate would be
/// taken for the response to the next request, and a job that may run would be treated as one that never ran.
const REUSE_DELAY: Millis = 20.0;

/// How long a connection stays in the pool. `idle_limit`: how long workers keep an idle connection open.
pub(super) fn idle_timeout(idle_limit: Millis) -> Millis {
    (IDLE_TIMEOUT_FRACTION * idle_limit).min(idle_limit - IDLE_TIMEOUT_MARGIN).max(0.0)
}

impl Backend {
    /// Finds or opens a connection for a task and returns its slot; `None` if no connection is available or
    /// the worker's address is unknown.
    pub(super) fn assign(&mut self, task: Task, worker: WorkerId, cx: &mut Context) -> Option<usize> {
        let address = cx.endpoints.address(worker)?;
        if let Some(slot) = self.take_reusable(&task, worker, address, cx) {
            self.connections[slot].start(task, cx);
            return Some(slot);
        }
        if self.connections.len() >= self.max_connections {
            self.close_oldest_idle(cx)?;
        }
        self.open(task, worker, address, cx)
    }

    /// Takes an idle connection that may carry the task from the pool. Closes the unusable ones that it comes
    /// across.
    fn take_reusable(
        &mut self,
        task: &Task,
        worker: WorkerId,
        address: SocketAddr,
        cx: &mut Context,
    ) -> Option<usize> {
        let reuse_delay = match task {
            Task::Attempt { request, .. } if request.effect != Effect::Repeatable => REUSE_DELAY,
            _ => 0.0,
        };
        while let Some(slot) = self.take_idle(worker, cx.now - reuse_delay) {
            let connection = &self.connections[slot];
            // The worker's address may have changed, and the worker may close a connection that was idle too
            // long.
            let is_fresh =
                cx.now < connection.idle_since + self.idle_timeout && cx.now >= *cx.reuse_suspended_until;
            if connection.address == address && is_fresh && connection.stream.has_nothing_to_read() {
                return Some(slot);
            }
            self.remove(slot, cx);
        }
        None
    }

    /// Takes the most recently used of a worker's connections that have been idle at least since `since`.
    fn take_idle(&mut self, worker: WorkerId, since: Millis) -> Option<usize> {
        let idle = self.idle.get_mut(&worker)?;
        let index = idle.iter().rposition(|&slot| self.connections[slot].idle_since <= since)?;
        Some(idle.remove(index))
    }

    /// Closes the connection that has been idle the longest; `None` if none is idle.
    fn close_oldest_idle(&mut self, cx: &mut Context) -> Option<()> {
        let idle_since = |slot: usize| self.connections[slot].idle_since;
        let idle = self.idle.values().flatten().copied();
        let oldest = idle.min_by(|&a, &b| idle_since(a).total_cmp(&idle_since(b)))?;
        self.remove(oldest, cx);
        Some(())
    }

    fn open(&mut self, task: Task, worker: WorkerId, address: SocketAddr, cx: &mut Context) -> Option<usize> {
        let stream = connect(address).ok()?;
        let serial = cx.event_loop.next_serial();
        let connection = WorkerConnection::new(stream, worker, address, serial, task, cx.now);
        let slot = self.connections.insert(connection);
        let socket = &mut self.connections[slot].stream.socket;
        if cx.event_loop.register(socket, Owner::Backend(slot)).is_err() {
            self.connections.remove(slot);
            return None;
        }
        cx.event_loop.set_alarm(cx.now + self.connect_timeout, Alarm::Connect(serial));
        Some(slot)
    }

    /// Puts a connection into the pool if it is free and not in the pool yet.
    pub(super) fn return_to_pool(&mut self, slot: usize) {
        let connection = &self.connections[slot];
        let is_free = connection.task.is_none() && connection.response_head.is_none();
        let idle = self.idle.entry(connection.worker).or_default();
        if is_free && !idle.contains(&slot) {
            idle.push(slot);
        }
    }

    /// Closes connections without a task that were idle too long, or whose worker is not ready or has a new
    /// address.
    pub fn sweep(&mut self, cx: &mut Context) {
        let (now, idle_timeout) = (cx.now, self.idle_timeout);
        let is_stale = |connection: &WorkerConnection| {
            now >= connection.idle_since + idle_timeout
                || !cx.endpoints.is_ready(connection.worker)
                || cx.endpoints.address(connection.worker) != Some(connection.address)
        };
        let free = self.connections.iter().filter(|(_, connection)| connection.task.is_none());
        let stale = free.filter(|(_, connection)| is_stale(connection));
        let stale: Vec<usize> = stale.map(|(slot, _)| slot).collect();
        for slot in stale {
            self.remove(slot, cx);
        }
    }

    /// Closes all idle connections to a worker.
    pub fn close_idle(&mut self, worker: WorkerId, cx: &mut Context) {
        for slot in self.idle.remove(&worker).unwrap_or_default() {
            self.remove(slot, cx);
        }
    }

    /// Closes a connection whose task has already ended.
    pub(super) fn remove(&mut self, slot: usize, cx: &mut Context) {
        let mut connection = self.connections.remove(slot);
        self.attempts.retain(|_, other| *other != slot);
        if let Some(idle) = self.idle.get_mut(&connection.worker) {
            idle.retain(|&other| other != slot);
        }
        cx.event_loop.deregister(&mut connection.stream.socket);
    }
}
