//! Writes requests to a worker's connection.

use super::connection::{RequestProgress, Task, WorkerConnection};
use crate::net::Context;
use crate::net::event_loop::{Alarm, Millis};
use brackenledge_engine::{AttemptDeadlines, Request};
use brackenledge_policy::Effect;

/// While pooled connections are not trusted, the last byte of a request that must not run twice is withheld for so long
/// after the rest, a round trip between zones: a connection that is reset meanwhile has not carried it, and it may go
/// elsewhere.
const LAST_BYTE_DELAY: Millis = 12.0;

impl WorkerConnection {
    /// Buffers a task's request.
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
        let request = format!("GET /metrics/load HTTP/1.1\r\nHost: {}\r\n\r\n", self.address);
        self.stream.buffer.push(request.as_bytes());
    }

    fn write_job(&mut self, request: &Request, deadlines: AttemptDeadlines, cx: &mut Context) {
        let mut message = self.job_head(request, deadlines, cx.now).into_bytes();
        message.extend_from_slice(&request.body);
        if request.effect == Effect::NonIdempotent && *cx.distrust_until > cx.now {
            self.withheld_byte = message.pop();
            cx.event_loop.set_alarm(cx.now + LAST_BYTE_DELAY, Alarm::LastByte(self.serial));
        }
        self.stream.buffer.push(&message);
    }

    /// The worker is told how long the job is worth working on.
    fn job_head(&self, request: &Request, deadlines: AttemptDeadlines, now: Millis) -> String {
        let mut head = format!(
            "POST {} HTTP/1.1\r\nHost: {}\r\nX-Trace-Id: {}\r\nX-Expires-In-Ms: {:.0}\r\nContent-Length: {}\r\n",
            request.target,
            self.address,
            request.id,
            (deadlines.response_deadline - now).max(1.0),
            request.body.len()
        );
        let optional_headers =
            [("Idempotency-Key", &request.idempotency_key), ("Content-Type", &request.content_type)];
        for (name, value) in optional_headers {
            if let Some(value) = value {
                head.extend([name, ": ", value, "\r\n"]);
            }
        }
        head.push_str("\r\n");
        head
    }
}
