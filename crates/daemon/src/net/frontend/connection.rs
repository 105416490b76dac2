//! A client connection: its state and its event-loop callbacks.

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

/// Maximum input in bytes that is buffered after a request whose response is pending.
pub(super) const MAX_PIPELINED_INPUT: usize = 8 * 1024;
/// Maximum input in bytes that is read and discarded after the last response before the connection is closed.
const MAX_DISCARDED_INPUT: usize = 1024 * 1024;

/// The kind of a request, determined by its head.
pub(super) enum RequestKind {
    Job(Box<JobRequest>),
    /// `GET /up`.
    HealthCheck,
}

/// The state of a connection's current request.
pub(super) enum State {
    /// Between requests, or reading a request's head.
    ReadingHead,
    /// Reading a request's body.
    ReadingBody(RequestKind, Body),
    /// The engine runs the job, and its answer is pending.
    AwaitingJob(JobId),
    /// The job is replicated: failover's answer is pending, whichever scheduler runs the job.
    AwaitingReplicatedJob(Waiter),
    /// The last response is being written, or the client has yet to close. Input is discarded.
    Closing,
}

/// A client connection. It carries one request at a time.
pub(super) struct ClientConnection {
    pub(super) stream: BufferedStream,
    pub(super) id: ClientId,
    pub(super) rules: Rc<AdmissionRules>,
    pub(super) state: State,
    /// When the last response was buffered; before the first one, when the connection was accepted.
    pub(super) last_response_at: Millis,
    /// When decoding of the request that is being received began; `None` between requests.
    pub(super) request_began_at: Option<Millis>,
    /// When bytes were last received.
    pub(super) last_input_at: Millis,
    /// When the first bytes of the next request were received, also if it waits for the response to the
    /// previous one. The time left that a request states counts from then. `None` while nothing of it has
    /// been received.
    pub(super) receiving_since: Option<Millis>,
    /// Bytes read and discarded since the last response.
    pub(super) discarded: usize,
    /// [`MAX_PIPELINED_INPUT`] or more was received after a request. None of it is read as the next request.
    pub(super) input_overflowed: bool,
    /// The sending half of the socket has been shut down.
    pub(super) write_closed: bool,
    /// Whether the connection may stay open after the next response.
    pub(super) keep_alive: bool,
    /// The client has sent a complete request.
    pub(super) has_sent_request: bool,
    /// The client has sent a complete job.
    pub(super) has_sent_job: bool,
}

impl ClientConnection {
    /// Creates the state of a newly accepted connection.
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

    /// Whether the connection is between requests, with no buffered input or output.
    pub(super) fn is_idle(&self) -> bool {
        let buffer = &self.stream.buffer;
        matches!(self.state, State::ReadingHead) && buffer.input().is_empty() && buffer.output().is_empty()
    }

    /// Tells the engine or failover that the client no longer waits for its open job, if there is one.
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
            // Only once: each shutdown, even a repeated one, makes the poll report the socket again.
            self.write_closed = true;
            // Closing the socket with unread input would reset the connection, possibly before the client has
            // read the response.
            let _ = self.stream.socket.shutdown(Shutdown::Write);
        }
        // The output buffer has room again for responses to requests that are already in the input buffer.
        self.read_requests(cx);
        Flow::Keep
    }

    fn on_input(&mut self, cx: &mut Context) -> Flow {
        self.last_input_at = cx.now;
        self.read_requests(cx);
        // Input is discarded after the last response so that the client can read that response and its
        // disconnect is noticed. The limit applies only then: while a job is open, the client gets its
        // response however much it sends.
        let over_limit = matches!(self.state, State::Closing) && self.discarded > MAX_DISCARDED_INPUT;
        if over_limit { Flow::Close } else { Flow::Keep }
    }

    // A client that closes its sending half counts as disconnected: a close and a half-close can't be
    // distinguished, and a job whose client has disconnected must not be retried. `Frontend::remove` abandons
    // the job, as for any other end.
    fn on_end(&mut self, _: &mut Context) {}

    fn max_input(&self) -> usize {
        match self.state {
            State::ReadingHead => MAX_HEAD_BYTES + MAX_PIPELINED_INPUT,
            State::ReadingBody(..) | State::Closing => MAX_BODY_BYTES + MAX_HEAD_BYTES,
            State::AwaitingJob(_) | State::AwaitingReplicatedJob(_) => MAX_PIPELINED_INPUT,
        }
    }
}
