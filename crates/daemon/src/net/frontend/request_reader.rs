//! Reads requests from a client connection and submits the jobs in them.

use super::connection::{ClientConnection, MAX_PIPELINED_INPUT, RequestKind, State};
use crate::net::Context;
use crate::net::event_loop::Millis;
use brackenledge_engine::{Answer, JobRequest};
use brackenledge_protocol::http::{Body, CONTINUE, MAX_BODY_BYTES, RequestError, RequestHead};

/// Size of unwritten responses in bytes above which no further request is read.
const MAX_BUFFERED_OUTPUT: usize = 2 * MAX_BODY_BYTES;

/// The decoded head of a request.
struct ReceivedHead {
    kind: RequestKind,
    /// The body's framing. Errors in the rest of the head take precedence over an error in it.
    body: Result<Body, RequestError>,
    keep_alive: bool,
    expects_continue: bool,
    /// Length of the head in bytes.
    length: usize,
}

impl ClientConnection {
    /// Reads the received requests. Stops after a job: the next request is read when the job has been
    /// answered.
    pub(super) fn read_requests(&mut self, cx: &mut Context) {
        loop {
            match &mut self.state {
                State::ReadingHead => {
                    if !self.read_head(cx) {
                        return;
                    }
                }
                State::ReadingBody(_, body) => match body.advance(&mut self.stream.buffer) {
                    Ok(false) => return,
                    Ok(true) => self.on_request_complete(cx),
                    Err(malformed) => self.reject(malformed.into(), cx),
                },
                State::AwaitingJob(_) | State::AwaitingReplicatedJob(_) => {
                    self.buffer_pipelined_input();
                    return;
                }
                State::Closing => {
                    self.discard_input();
                    return;
                }
            }
        }
    }

    /// Buffers the input that follows a request until the response is written. If it reaches
    /// [`MAX_PIPELINED_INPUT`], it is discarded and no longer read as requests: reading must continue, or the
    /// client's disconnect, which follows that input, would not be noticed.
    fn buffer_pipelined_input(&mut self) {
        if !self.stream.buffer.input().is_empty() {
            self.receiving_since.get_or_insert(self.last_input_at);
        }
        if self.input_overflowed || self.stream.buffer.input().len() >= MAX_PIPELINED_INPUT {
            self.input_overflowed = true;
            self.keep_alive = false;
            self.discard_input();
        }
    }

    fn discard_input(&mut self) {
        let length = self.stream.buffer.input().len();
        self.stream.buffer.consume(length);
        self.discarded += length;
    }

    /// Reads a head. Returns whether the state has changed, so that reading continues.
    fn read_head(&mut self, cx: &mut Context) -> bool {
        let input = self.stream.buffer.input();
        // A client that keeps sending without reading its responses must not exhaust the memory.
        if input.is_empty() || self.stream.buffer.output().len() > MAX_BUFFERED_OUTPUT {
            return false;
        }
        // The request timeout counts from the first byte, so that a client that sends single bytes slowly
        // does not keep an incomplete request open forever.
        self.request_began_at.get_or_insert(cx.now);
        self.receiving_since.get_or_insert(self.last_input_at);
        match self.decode_head() {
            Ok(None) => return false,
            Ok(Some(head)) => self.on_head(head, cx),
            Err(error) => self.reject(error, cx),
        }
        true
    }

    /// Decodes a head; `None` if it has not been received completely.
    fn decode_head(&self) -> Result<Option<ReceivedHead>, RequestError> {
        let Some(head) = RequestHead::decode(self.stream.buffer.input())? else { return Ok(None) };
        let RequestHead { keep_alive, expects_continue, length, .. } = head;
        let kind = self.rules.read_kind(self.id, &head)?;
        Ok(Some(ReceivedHead { kind, body: head.body(), keep_alive, expects_continue, length }))
    }

    fn on_head(&mut self, head: ReceivedHead, cx: &mut Context) {
        self.keep_alive = head.keep_alive;
        self.stream.buffer.consume(head.length);
        match head.body {
            Ok(body) => self.begin_body(head.kind, body, head.expects_continue),
            Err(error) => self.reject(error, cx),
        }
    }

    fn begin_body(&mut self, kind: RequestKind, body: Body, expects_continue: bool) {
        if expects_continue && self.stream.buffer.input().is_empty() {
            self.stream.buffer.push(CONTINUE);
        }
        self.state = State::ReadingBody(kind, body);
    }

    fn on_request_complete(&mut self, cx: &mut Context) {
        let state = std::mem::replace(&mut self.state, State::ReadingHead);
        let State::ReadingBody(kind, mut body) = state else { return };
        let body = body.take_all(&mut self.stream.buffer);
        self.stream.buffer.compact();
        self.request_began_at = None;
        let elapsed = self.receiving_since.take().map_or(0.0, |since| cx.now - since);
        self.has_sent_request = true;
        self.has_sent_job |= matches!(kind, RequestKind::Job(_));
        match kind {
            RequestKind::HealthCheck => self.respond_to_health_check(cx),
            RequestKind::Job(mut job_request) if self.admits_jobs(cx) => {
                job_request.request.body = body;
                self.submit_job(job_request, elapsed, cx);
            }
            RequestKind::Job(job_request) => {
                cx.engine.rejected_at_admission(job_request.job.class);
                self.respond(Answer::Rejected { retry_after: self.rules.retry_after }, cx);
            }
        }
    }

    /// Whether a job received now is admitted: not with too many open jobs, nor late in a drain or a
    /// shutdown.
    fn admits_jobs(&self, cx: &Context) -> bool {
        cx.pending_jobs() < self.rules.max_open_jobs && cx.drain.admits_jobs(cx.now) && cx.time_left() != 0.0
    }

    /// `elapsed`: time since the first bytes of the request were received. It is deducted from the job's time
    /// left.
    fn submit_job(&mut self, mut job_request: Box<JobRequest>, elapsed: Millis, cx: &mut Context) {
        job_request.job.time_left = (job_request.job.time_left - elapsed).max(0.0).min(cx.time_left());
        if let Some(job_failover) =
            cx.job_failover.as_mut().filter(|job_failover| job_failover.handles(&job_request))
        {
            self.state = State::AwaitingReplicatedJob(job_failover.submit(*job_request));
            return;
        }
        match cx.engine.submit_job(cx.now, *job_request) {
            Some(job) => self.state = State::AwaitingJob(job),
            None => self.reject(RequestError::DuplicateTraceId, cx),
        }
    }
}
