//! A client's connection: its state, and its callbacks from the event loop.

use super::admission::AdmissionRules;
use crate::net::Context;
use crate::net::buffered_stream::BufferedStream;
use crate::net::event_loop::{Connection, Flow, Millis};
use brackenledge_engine::{ClientId, JobRequest};
use brackenledge_failover::Waiter;
use brackenledge_policy::JobId;
use brackenledge_protocol::http::{Body, MAX_BODY_BYTES, MAX_HEAD_BYTES};
use std::net::Shutdown;
use std::rc::Rc;

/// Input that is buffered at most behind a request that waits for its response, in bytes.
pub(super) const MAX_PIPELINED_INPUT: usize = 8 * 1024;
/// Input that is read and discarded at most before a connection is closed while its client still sends, in bytes.
const MAX_DISCARDED_INPUT: usize = 1024 * 1024;

/// What a request asks for, by its head.
pub(super) enum RequestKind {
    Job(Box<JobRequest>),
    /// `GET /up`.
    HealthCheck,
}

/// Where a connection stands with its current request.
pub(super) enum State {
    /// Between requests, or reading a request's head.
    ReadingHead,
    /// Reading a request's body.
    ReadingBody(RequestKind, Body),
    /// The engine runs the job; its answer is awaited.
    AwaitingJob(JobId),
    /// The job is replicated: failover's answer is awaited, wherever the job runs.
    AwaitingReplicatedJob(Waiter),
    /// The last response is being written, and input is discarded.
    Closing,
}

/// A client's connection. It carries one request at a time.
pub(super) struct ClientConnection {
    pub(super) stream: BufferedStream,
    pub(super) id: ClientId,
    pub(super) rules: Rc<AdmissionRules>,
    pub(super) state: State,
    /// When the last response was written, or the connection was accepted.
    pub(super) last_response_at: Millis,
    /// When reading of the request that is being received began.
    pub(super) request_began_at: Option<Millis>,
    /// When bytes were last received.
    pub(super) last_input_at: Millis,
    /// When the first bytes of the request that is being received, or that waits for the response to the one before it,
    /// were received. The time that a request states runs from then.
    pub(super) receiving_since: Option<Millis>,
    /// Bytes read and discarded since the last response.
    pub(super) discarded: usize,
    /// More than [`MAX_PIPELINED_INPUT`] came behind a request: none of it is read as the next request.
    pub(super) input_overflowed: bool,
    /// The sending half of the socket has been shut down.
    pub(super) write_closed: bool,
    pub(super) keep_alive: bool,
    /// A whole request has been received before.
    pub(super) has_sent_request: bool,
    /// One of those was a job.
    pub(super) has_sent_job: bool,
}

impl ClientConnection {
    /// A connection that has just been accepted.
    pub(super) fn new(stream: BufferedStream, id: ClientId, rules: Rc<AdmissionRules>, now: Millis) -> Self {
        ClientConnection {
            stream,
            id,
            rules,
            state: State::ReadingHead,
            last_response_at: now,
            request_began_at: None,
            last_input_at: now,
            receiving_since: None,
            discarded: 0,
            input_overflowed: false,
            write_closed: false,
            keep_alive: true,
            has_sent_request: false,
            has_sent_job: false,
        }
    }

    /// Whether it is between requests, with nothing to read or to write.
    pub(super) fn is_idle(&self) -> bool {
        let buffer = &self.stream.buffer;
        matches!(self.state, State::ReadingHead) && buffer.input().is_empty() && buffer.output().is_empty()
    }

    /// Abandons its open job, if there is one, with the engine or with failover.
    pub(super) fn abandon_job(&self, cx: &mut Context) {
        match (&self.state, &mut *cx.job_failover) {
            (State::AwaitingJob(job), _) => cx.engine.abandon_job(*job),
            (State::AwaitingReplicatedJob(waiter), Some(job_failover)) => {
                job_failover.client_disconnected(*waiter);
            }
            _ => {}
        }
    }
}

impl Connection<Context<'_>> for ClientConnection {
    fn stream(&mut self) -> &mut BufferedStream {
        &mut self.stream
    }

    fn on_written(&mut self, cx: &mut Context) -> Flow {
        if matches!(self.state, State::Closing)
            && self.stream.buffer.output().is_empty()
            && !self.write_closed
        {
            // Only once: each shutdown, even of the same half again, makes the poll report the socket anew.
            self.write_closed = true;
            // Closing with input unread would reset the connection, maybe before the response was read.
            let _ = self.stream.socket.shutdown(Shutdown::Write);
        }
        // There is room now for the responses to requests that have already come.
        self.read_requests(cx);
        Flow::Keep
    }

    fn on_input(&mut self, cx: &mut Context) -> Flow {
        self.last_input_at = cx.now;
        self.read_requests(cx);
        // Input is read and discarded so that the client gets its last response, and its disconnect is seen here, but
        // not for ever. As long as its job is open it is owed the response, however much it sends.
        let over_limit = matches!(self.state, State::Closing) && self.discarded > MAX_DISCARDED_INPUT;
        if over_limit { Flow::Close } else { Flow::Keep }
    }

    // A client that ends its sending has gone: a close and a half-close look the same from here, and a job whose client
    // has gone must not be retried. What that means for its job is handled by `Frontend::remove`, as for any other end.
    fn on_end(&mut self, _: &mut Context) {}

    fn max_input(&self) -> usize {
        match self.state {
            State::ReadingHead => MAX_HEAD_BYTES + MAX_PIPELINED_INPUT,
            State::ReadingBody(..) | State::Closing => MAX_BODY_BYTES + MAX_HEAD_BYTES,
            State::AwaitingJob(_) | State::AwaitingReplicatedJob(_) => MAX_PIPELINED_INPUT,
        }
    }
}
