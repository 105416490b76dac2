//! Timeouts of connections to workers, and of what they carry.

use super::Backend;
use super::connection::{Task, WorkerConnection};
use crate::net::Context;
use crate::net::event_loop::{Alarm, Millis};
use brackenledge_engine::AttemptId;
use brackenledge_policy::Outcome;

/// A health check that takes longer than this says as much as one that fails.
const HEALTH_CHECK_TIMEOUT: Millis = 1_000.0;

impl Backend {
    /// Sets the timeout of the health check that a connection carries.
    pub(super) fn set_health_check_timeout(&mut self, slot: usize, cx: &mut Context) {
        let serial = self.connections[slot].serial;
        cx.event_loop.set_alarm(cx.now + HEALTH_CHECK_TIMEOUT, Alarm::HealthCheck(serial));
    }

    /// The connection that an alarm is for, with its slot; `None`: it has been closed.
    fn find_by_serial(&mut self, serial: u64) -> Option<(usize, &mut WorkerConnection)> {
        self.connections.iter_mut().find(|(_, connection)| connection.serial == serial)
    }

    /// An attempt has waited as long as it may.
    pub fn on_response_deadline(&mut self, id: AttemptId, cx: &mut Context) {
        self.cancel(id, Outcome::Timeout, cx);
    }

    /// A connection should be open by now.
    pub fn on_connect_alarm(&mut self, serial: u64, cx: &mut Context) {
        if let Some((slot, connection)) = self.find_by_serial(serial)
            && connection.is_connecting
        {
            connection.end_task(Outcome::ConnectFailed, None, cx);
            self.remove(slot, cx);
        }
    }

    /// The last byte of a request has been withheld long enough.
    pub fn on_last_byte_alarm(&mut self, serial: u64, cx: &mut Context) {
        let Some((slot, connection)) = self.find_by_serial(serial) else { return };
        let Some(last) = connection.withheld_byte.take() else { return };
        connection.stream.buffer.push(&[last]);
        self.flush(slot, cx);
    }

    /// A health check should have its response by now.
    pub fn on_health_check_alarm(&mut self, serial: u64, cx: &mut Context) {
        if let Some((slot, connection)) = self.find_by_serial(serial)
            && matches!(connection.task, Some(Task::HealthCheck))
        {
            connection.end_task(Outcome::Timeout, None, cx);
            self.remove(slot, cx);
        }
    }
}
