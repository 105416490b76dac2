//! Writes requests to a worker's connection.

use super::connection::{RequestProgress, Task, WorkerConnection};
use crate::net::Context;
use crate::net::event_loop::{Alarm, Millis};
use brackenledge_engine::{AttemptDeadlines, Request};
use brackenledge_policy::Effect;
use brackenledge_protocol::worker_request::{WorkerJobHead, encode_load_request};

/// While reuse of connections is suspended, the last byte of a non-idempotent request is withheld for this
/// time, a round trip between zones. If the connection is reset in that time, the request was never complete
/// and may be sent to another worker.
const LAST_BYTE_DELAY: Millis = 12.0;

impl WorkerConnection {
    /// Starts a task by buffering its request.
    pub(super) fn start(&mut self, task: Task, cx: &mut Context) {
        self.response_head = None;
        self.request_progress = RequestProgress::Buffered;
        self.job_started_at = cx.now;
        match &task {
            Task::HealthCheck => self.write_health_check(),
            Task::Attempt { request, deadlines, .. } => self.write_job(request, *deadlines, cx),
        }
        self.task = Some(task);
    }

    fn write_health_check(&mut self) {
        self.stream.buffer.push(encode_load_request(self.address).as_bytes());
    }

    fn write_job(&mut self, request: &Request, deadlines: AttemptDeadlines, cx: &mut Context) {
        let mut message = self.job_head(request, deadlines, cx.now).into_bytes();
        message.extend_from_slice(&request.body);
        if request.effect == Effect::NonIdempotent && *cx.reuse_suspended_until > cx.now {
            self.withheld_byte = message.pop();
            cx.event_loop.set_alarm(cx.now + LAST_BYTE_DELAY, Alarm::LastByte(self.serial));
        }
        self.stream.buffer.push(&message);
    }

    fn job_head(&self, request: &Request, deadlines: AttemptDeadlines, now: Millis) -> String {
        let head = WorkerJobHead {
            host: self.address,
            target: &request.target,
            trace_id: &request.id,
            expires_in: deadlines.response_deadline - now,
            body_length: request.body.len(),
            idempotency_key: request.idempotency_key.as_deref(),
            content_type: request.content_type.as_deref(),
        };
        head.encode()
    }
}
