//! A connection to a worker: its state, and its callbacks from the event loop.

use crate::net::Context;
use crate::net::buffered_stream::BufferedStream;
use crate::net::event_loop::{Connection, Flow, Millis};
use brackenledge_discovery::EndpointSignal;
use brackenledge_engine::{AttemptDeadlines, AttemptId, Request};
use brackenledge_policy::{LoadReport, Outcome, WorkerId};
use brackenledge_protocol::http::{MAX_BODY_BYTES, MAX_HEAD_BYTES, ResponseHead};
use mio::net::TcpStream;
use slog::debug;
use std::net::SocketAddr;
use std::rc::Rc;

/// The longest line of a response, in bytes: a body and little else, and JSON may write one byte as six.
pub(super) const MAX_LINE_LEN: usize = 6 * MAX_BODY_BYTES + 4 * 1024;
/// Once a reused connection was reset before it gave one byte back, workers or the network drop idle ones early: for
/// so long each request has a new connection, which costs a worker a millisecond or two.
const DISTRUST_DURATION: Millis = 30_000.0;

/// What a connection carries.
#[derive(Clone)]
pub(super) enum Task {
    Attempt { id: AttemptId, request: Rc<Request>, deadlines: AttemptDeadlines },
    HealthCheck,
}

/// How far the request of a connection's task has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestProgress {
    /// Nothing of it is buffered: the connection is being opened.
    NotStarted,
    /// It is buffered. How much of it the system has taken is read off the buffer.
    Buffered,
    /// Its last byte has been handed to the system, and its attempt is counted as sent.
    Sent,
}

/// A connection to a worker. It carries one request at a time.
pub(super) struct WorkerConnection {
    pub(super) stream: BufferedStream,
    pub(super) worker: WorkerId,
    pub(super) address: SocketAddr,
    /// Identifies it in alarms: its slot may be another's by then.
    pub(super) serial: u64,
    pub(super) is_connecting: bool,
    pub(super) task: Option<Task>,
    /// The head of the response that is being received.
    pub(super) response_head: Option<ResponseHead>,
    pub(super) idle_since: Millis,
    /// It has carried a whole request before.
    pub(super) is_reused: bool,
    /// The last byte of its request, while that is withheld.
    pub(super) withheld_byte: Option<u8>,
    pub(super) request_progress: RequestProgress,
    /// When its job started, as far as is known.
    pub(super) job_started_at: Millis,
}

impl WorkerConnection {
    /// A connection that is being opened for a task.
    pub(super) fn new(
        stream: TcpStream,
        worker: WorkerId,
        address: SocketAddr,
        serial: u64,
        task: Task,
        now: Millis,
    ) -> Self {
        WorkerConnection {
            stream: BufferedStream::new(stream),
            worker,
            address,
            serial,
            is_connecting: true,
            task: Some(task),
            response_head: None,
            idle_since: now,
            is_reused: false,
            withheld_byte: None,
            request_progress: RequestProgress::NotStarted,
            job_started_at: 0.0,
        }
    }

    /// The attempt that it carries.
    pub(super) fn attempt(&self) -> Option<AttemptId> {
        match &self.task {
            Some(Task::Attempt { id, .. }) => Some(*id),
            _ => None,
        }
    }

    fn is_past_write_deadline(&self, now: Millis) -> bool {
        matches!(&self.task, Some(Task::Attempt { deadlines, .. }) if now >= deadlines.write_deadline)
    }

    /// Whether the request's last byte has been handed to the system. This must be read off the buffer: a note taken
    /// when a write is reported comes too late for a response that is read in the same turn, and a job that may have
    /// run would pass for one that never did.
    pub(super) fn is_request_written(&self) -> bool {
        self.request_progress != RequestProgress::NotStarted
            && self.withheld_byte.is_none()
            && self.stream.buffer.output().is_empty()
    }

    /// Tells the engine that the attempt is sent once the request's last byte is out. A response read in the same turn may
    /// come before the poll reports the write, so every step that ends an attempt calls this first.
    pub(super) fn report_if_sent(&mut self, cx: &mut Context) {
        if let Some(Task::Attempt { id, .. }) = &self.task
            && self.request_progress == RequestProgress::Buffered
            && self.is_request_written()
        {
            self.request_progress = RequestProgress::Sent;
            cx.engine.attempt_sent(*id);
        }
    }

    /// Reports an attempt's end to zone routing, which learns from it about the route to the worker's zone.
    pub(super) fn report_to_zone_routing(
        &self,
        outcome: Outcome,
        report: Option<LoadReport>,
        cx: &mut Context,
    ) {
        let zone = cx.endpoints.zone(self.worker);
        if let Some(zones) = cx.zones {
            zones.on_attempt_finished(self.worker, zone, outcome, report);
        }
    }

    /// Ends its task, if it still has one.
    pub(super) fn end_task(&mut self, outcome: Outcome, report: Option<LoadReport>, cx: &mut Context) {
        self.report_if_sent(cx);
        match self.task.take() {
            Some(Task::Attempt { id, request, .. }) => {
                debug!(cx.log, "attempt_ended"; "reused_connection" => self.is_reused, "outcome" => ?outcome,
                    "attempt" => id.attempt, "endpoint" => cx.endpoints.name(self.worker), "request" => &request.id);
                if let Some(signal) = self.endpoint_signal(outcome, report) {
                    cx.endpoints.handle_signal(cx.now, self.worker, signal);
                }
                self.report_to_zone_routing(outcome, report, cx);
                cx.engine.attempt_ended(id, outcome, report);
            }
            Some(Task::HealthCheck) => cx.engine.health_check_ended(self.worker, outcome, report),
            None => {}
        }
    }

    /// What an attempt's end says of the worker's endpoint.
    fn endpoint_signal(&self, outcome: Outcome, report: Option<LoadReport>) -> Option<EndpointSignal> {
        let has_capacity = report.and_then(|report| report.free_slots).is_some_and(|free| free >= 1.0);
        match outcome {
            Outcome::Full if has_capacity => Some(EndpointSignal::ReturnedWithCapacity),
            Outcome::Full => Some(EndpointSignal::Returned),
            Outcome::ConnectFailed if self.is_connecting => Some(EndpointSignal::ConnectionRefused),
            _ => None,
        }
    }

    /// Ends its task, if it still has one, with the connection. A request whose last byte was not out can't have run.
    fn on_connection_lost(&mut self, cx: &mut Context) {
        if self.task.is_some() && self.response_head.is_none() && self.is_reused {
            *cx.distrust_until = cx.now + DISTRUST_DURATION;
        }
        let outcome = if self.is_request_written() { Outcome::Reset } else { Outcome::ConnectFailed };
        self.end_task(outcome, None, cx);
    }
}

impl Connection<Context<'_>> for WorkerConnection {
    fn stream(&mut self) -> &mut BufferedStream {
        &mut self.stream
    }

    fn is_connecting(&self) -> bool {
        self.is_connecting
    }

    fn on_written(&mut self, cx: &mut Context) -> Flow {
        self.report_if_sent(cx);
        Flow::Keep
    }

    fn on_open(&mut self, cx: &mut Context) -> Flow {
        self.is_connecting = false;
        // Much may have changed since the connection was asked for: a worker that has been told to drain meanwhile must
        // get nothing new, and an attempt must not be written after its deadline.
        if self.is_past_write_deadline(cx.now) || !cx.endpoints.is_ready(self.worker) {
            self.end_task(Outcome::NeverSent, None, cx);
            return Flow::Close;
        }
        let Some(task) = self.task.take() else { return Flow::Close };
        self.start(task, cx);
        Flow::Keep
    }

    fn on_input(&mut self, cx: &mut Context) -> Flow {
        let flow = self.read_response(cx);
        if flow == Flow::Close {
            // A malformed response ends the exchange as a lost connection does.
            self.on_connection_lost(cx);
        }
        flow
    }

    fn on_end(&mut self, cx: &mut Context) {
        if self.response_head.as_ref().is_some_and(|head| head.body.until_end()) {
            self.on_response_complete(cx);
        }
        self.on_connection_lost(cx);
    }

    fn max_input(&self) -> usize {
        MAX_LINE_LEN + MAX_HEAD_BYTES
    }
}
