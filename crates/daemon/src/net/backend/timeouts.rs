//! Timeouts of connections to workers, and of the attempts and health checks on them.

use super::Backend;
use super::connection::{Task, WorkerConnection};
use crate::net::Context;
use crate::net::event_loop::{Alarm, Millis};
use brackenledge_engine::AttemptId;
use brackenledge_policy::Outcome;

/// A health check without a response after this time counts as failed.
const HEALTH_CHECK_TIMEOUT: Millis = 1_000.0;

impl Backend {
    /// Sets the timeout of the health check that a connection carries.
    pub(super) fn set_health_check_timeout(&mut self, slot: usize, cx: &mut Context) {
        let serial = self.connections[slot].serial;
        cx.event_loop.set_alarm(cx.now + HEALTH_CHECK_TIMEOUT, Alarm::HealthCheck(serial));
    }

    /// The connection that an alarm was set for, with its slot; `None` if it has been closed.
    fn find_by_serial(&mut self, serial: u64) -> Option<(usize, &mut WorkerConnection)> {
        self.connections.iter_mut().find(|(_, connection)| connection.serial == serial)
    }

    /// Ends an attempt whose response deadline has passed.
    pub fn on_response_deadline(&mut self, id: AttemptId, cx: &mut Context) {
        self.cancel(id, Outcome::Timeout, cx);
    }

    /// Closes a connection that is still being opened after the connect timeout.
    pub fn on_connect_alarm(&mut self, serial: u64, cx: &mut Context) {
        if let Some((slot, connection)) = self.find_by_serial(serial)
            && connection.is_connecting
        {
            connection.end_task(Outcome::ConnectFailed, None, cx);
            self.remove(slot, cx);
        }
    }

    /// Writes the withheld last byte of a request.
    pub fn on_last_byte_alarm(&mut self, serial: u64, cx: &mut Context) {
        let Some((slot, connection)) = self.find_by_serial(serial) else { return };
        let Some(last) = connection.withheld_byte.take() else { return };
        connection.stream.buffer.push(&[last]);
        self.flush(slot, cx);
    }

    /// Ends a health check that has no response yet, and closes its connection.
    pub fn on_health_check_alarm(&mut self, serial: u64, cx: &mut Context) {
        if let Some((slot, connection)) = self.find_by_serial(serial)
            && matches!(connection.task, Some(Task::HealthCheck))
        {
            connection.end_task(Outcome::Timeout, None, cx);
            self.remove(slot, cx);
        }
    }
}
