//! Reads responses from a worker's connection: the lines that report a job's progress, or the load report
//! that answers a health check.

use super::connection::{MAX_LINE_LEN, Task, WorkerConnection};
use crate::net::Context;
use crate::net::event_loop::Flow;
use brackenledge_discovery::EndpointSignal;
use brackenledge_engine::AttemptId;
use brackenledge_policy::{LoadReport, Outcome};
use brackenledge_protocol::http::ResponseHead;
use brackenledge_protocol::worker::{LineState, decode_line, decode_load};

impl WorkerConnection {
    /// Reads the received part of a response. Returns `Close` if the connection can't be used any more.
    pub(super) fn read_response(&mut self, cx: &mut Context) -> Flow {
        self.report_if_sent(cx);
        if self.task.is_none() && self.response_head.is_none() {
            // No request is open, so these bytes can't be assigned to one.
            return Flow::Close;
        }
        if self.response_head.is_none() {
            match ResponseHead::take(&mut self.stream.buffer, MAX_LINE_LEN) {
                Ok(Some(head)) => self.response_head = Some(head),
                Ok(None) => return Flow::Keep,
                Err(_) => return Flow::Close,
            }
        }
        let Some(head) = &mut self.response_head else { return Flow::Keep };
        let Ok(is_complete) = head.body.advance(&mut self.stream.buffer) else { return Flow::Close };
        let closes = head.closes;
        if head.status == 200 && self.read_lines(is_complete, cx) == Flow::Close {
            return Flow::Close;
        }
        if !is_complete {
            return Flow::Keep;
        }
        self.finish_response(closes, cx)
    }

    /// Handles the received lines. `is_complete`: whether the end of the body has been received.
    fn read_lines(&mut self, is_complete: bool, cx: &mut Context) -> Flow {
        while let Some(Task::Attempt { id, request, .. }) = self.task.clone() {
            let Some(line) = self.next_line(is_complete) else { break };
            if !line.is_empty() && self.on_line(&line, id, &request.id, cx) == Flow::Close {
                return Flow::Close;
            }
        }
        Flow::Keep
    }

    fn next_line(&mut self, is_complete: bool) -> Option<Vec<u8>> {
        let head = self.response_head.as_mut()?;
        head.body.take_line(&mut self.stream.buffer).or_else(|| {
            // The last line may lack its line feed.
            (is_complete && head.body.ready() > 0).then(|| head.body.take_all(&mut self.stream.buffer))
        })
    }

    /// Handles one line of the response to an attempt. Returns `Close` if the line is malformed.
    fn on_line(&mut self, line: &[u8], id: AttemptId, request_id: &str, cx: &mut Context) -> Flow {
        let Ok(line) = decode_line(line) else { return Flow::Close };
        // A line with another request's id, or with none, does not belong to this response.
        if line.id.as_deref() != Some(request_id) {
            return Flow::Close;
        }
        let report = line.load;
        match line.state {
            LineState::Started => {
                self.job_started_at = cx.now;
                cx.engine.attempt_started(id);
            }
            LineState::Running { share } => cx.engine.attempt_progressed(id, share),
            LineState::Done { result: Some(result) } => self.on_job_served(id, result, report, cx),
            // Without a result there is nothing to answer the client with.
            LineState::Done { result: None } | LineState::Failed => {
                self.end_task(Outcome::WorkerError, report, cx);
            }
            LineState::Returned => self.end_task(Outcome::Full, report, cx),
            LineState::Lost => self.end_task(Outcome::Reset, report, cx),
            LineState::Unknown => {}
        }
        Flow::Keep
    }

    /// Ends the attempt as served, with its result.
    fn on_job_served(&mut self, id: AttemptId, result: String, report: Option<LoadReport>, cx: &mut Context) {
        self.task = None;
        cx.endpoints.handle_signal(cx.now, self.worker, EndpointSignal::JobServed);
        if let Some(zones) = cx.zones {
            zones.on_job_served(cx.now - self.job_started_at);
        }
        self.report_to_zone_routing(Outcome::Served, report, cx);
        cx.engine.attempt_served(id, result, report);
    }

    /// Ends the task by the response's status and headers, unless one of its lines has ended it already.
    pub(super) fn on_response_complete(&mut self, cx: &mut Context) {
        let Some(mut head) = self.response_head.take() else { return };
        let body = head.body.take_all(&mut self.stream.buffer);
        if let Some(Task::HealthCheck) = self.task {
            let report = decode_load(&body).ok();
            let outcome = if head.status == 200 { Outcome::Served } else { Outcome::WorkerError };
            self.end_task(outcome, head.load.or(report), cx);
            return;
        }
        self.end_task(attempt_outcome(head.status, head.never_ran), head.load, cx);
    }

    /// Ends the exchange. Returns `Close` if the connection can't carry another one.
    fn finish_response(&mut self, closes: bool, cx: &mut Context) -> Flow {
        self.on_response_complete(cx);
        if closes && self.is_reused {
            // The worker kept this connection open before and closes it now.
            cx.endpoints.handle_signal(cx.now, self.worker, EndpointSignal::ConnectionClosed);
        }
        self.idle_since = cx.now;
        self.is_reused = true;
        // Bytes after the response belong to no request, and no request can follow one that is only partly
        // written.
        let is_clean = self.stream.buffer.input().is_empty() && self.is_request_written();
        if closes || !is_clean { Flow::Close } else { Flow::Keep }
    }
}

/// The outcome of an attempt whose response ended without a line that ends the job.
fn attempt_outcome(status: u16, never_ran: bool) -> Outcome {
    match status {
        200 => Outcome::Reset,
        503 | 504 if never_ran => Outcome::Full,
        // The worker rejected the request itself, which says nothing about the worker's health.
        400..=499 => Outcome::BadRequest,
        _ => Outcome::WorkerError,
    }
}
