//! A connection to a worker: its state and its event-loop callbacks.

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

/// Maximum length of a response line in bytes: a result of the maximum body size, whose bytes JSON may escape
/// as six bytes each, and 4 KiB for the other fields.
pub(super) const MAX_LINE_LEN: usize = 6 * MAX_BODY_BYTES + 4 * 1024;
/// How long each request gets a new connection after a reused one was reset before its response began. Such a
/// reset means that workers or the network drop idle connections early. A new connection costs a worker 1 to
/// 2 ms.
const REUSE_SUSPENSION: Millis = 30_000.0;

/// The exchange that a connection carries.
#[derive(Clone)]
pub(super) enum Task {
    Attempt { id: AttemptId, request: Rc<Request>, deadlines: AttemptDeadlines },
    HealthCheck,
}

/// How far the request of a connection's task has been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestProgress {
    /// Nothing is buffered: the connection is still being opened.
    NotStarted,
    /// The request is in the output buffer, which shows how much of it has been written to the socket.
    Buffered,
    /// The last byte has been written to the socket, and the attempt has been reported to the engine as sent.
    Sent,
}

/// A connection to a worker. It carries one request at a time.
pub(super) struct WorkerConnection {
    pub(super) stream: BufferedStream,
    pub(super) worker: WorkerId,
    pub(super) address: SocketAddr,
    /// Identifies the connection in alarms, which may fire after its slot has been reused.
    pub(super) serial: u64,
    pub(super) is_connecting: bool,
    /// `None` while the connection is idle, and once a task has ended before its response is complete.
    pub(super) task: Option<Task>,
    /// The head of the response that is being received; `None` between responses and before the head is
    /// complete.
    pub(super) response_head: Option<ResponseHead>,
    /// When the last response was complete; before the first one, when the connection was created.
    pub(super) idle_since: Millis,
    /// Whether the connection has completed an exchange before.
    pub(super) is_reused: bool,
    /// The last byte of the request while it is withheld (see `LAST_BYTE_DELAY`).
    pub(super) withheld_byte: Option<u8>,
    pub(super) request_progress: RequestProgress,
    /// When the worker reported that the job started; until then, when the request was buffered. 0 while the
    /// connection is being opened.
    pub(super) job_started_at: Millis,
}

impl WorkerConnection {
    /// Creates the state of a connection that is being opened for a task.
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

    /// The attempt that the connection carries; `None` for a health check or no task.
    pub(super) fn attempt(&self) -> Option<AttemptId> {
        match &self.task {
            Some(Task::Attempt { id, .. }) => Some(*id),
            _ => None,
        }
    }

    fn is_past_write_deadline(&self, now: Millis) -> bool {
        matches!(&self.task, Some(Task::Attempt { deadlines, .. }) if now >= deadlines.write_deadline)
    }

    /// Whether the request's last byte has been written to the socket. This is derived from the buffer: a
    /// flag set when the event loop reports the write would be too late for a response read in the same
    /// iteration, and a job that may have run would be treated as one that never ran.
    pub(super) fn is_request_written(&self) -> bool {
        self.request_progress != RequestProgress::NotStarted
            && self.withheld_byte.is_none()
            && self.stream.buffer.output().is_empty()
    }

    /// Tells the engine that the attempt is sent, if the request's last byte has been written. A response may
    /// be read in the same iteration, before the write is reported, so every step that ends an attempt calls
    /// this first.
    pub(super) fn report_if_sent(&mut self, cx: &mut Context) {
        if let Some(Task::Attempt { id, .. }) = &self.task
            && self.request_progress == RequestProgress::Buffered
            && self.is_request_written()
        {
            self.request_progress = RequestProgress::Sent;
            cx.engine.attempt_sent(*id);
        }
    }

    /// Reports an attempt's end to zone routing, which updates the cost of the route to the worker's zone
    /// from it.
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

    /// Ends the task, if there is one, and reports its outcome.
    pub(super) fn end_task(&mut self, outcome: Outcome, report: Option<LoadReport>, cx: &mut Context) {
        self.report_if_sent(cx);
        match self.task.take() {
            Some(Task::Attempt { id, request, .. }) => {
                debug!(cx.log, "attempt_ended"; "reused_connection" => self.is_reused, "outcome" => ?outcome,
                    "attempt" => id.attempt, "endpoint" => cx.endpoints.name(self.worker),
                    "request" => &request.id);
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

    /// The discovery signal that an attempt's outcome gives about the worker's endpoint; `None` if it gives
    /// none.
    fn endpoint_signal(&self, outcome: Outcome, report: Option<LoadReport>) -> Option<EndpointSignal> {
        let has_capacity = report.and_then(|report| report.free_slots).is_some_and(|free| free >= 1.0);
        match outcome {
            Outcome::Full if has_capacity => Some(EndpointSignal::ReturnedWithCapacity),
            Outcome::Full => Some(EndpointSignal::Returned),
            Outcome::ConnectFailed if self.is_connecting => Some(EndpointSignal::ConnectionRefused),
            _ => None,
        }
    }

    /// Ends the task, if there is one, because the connection is lost. A request whose last byte was not
    /// written can't have run.
    fn on_connection_lost(&mut self, cx: &mut Context) {
        if self.task.is_some() && self.response_head.is_none() && self.is_reused {
            *cx.reuse_suspended_until = cx.now + REUSE_SUSPENSION;
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
        // The state may have changed while the connection was being opened: a worker that is draining by now
        // must not get new requests, and an attempt must not be written after its deadline.
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
            // A task that is still open has got a malformed response, and ends as if the connection were
            // lost.
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
