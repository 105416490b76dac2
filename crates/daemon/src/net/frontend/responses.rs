//! Writes responses to a client's connection.

use super::connection::{ClientConnection, State};
use crate::net::Context;
use brackenledge_engine::Answer;
use brackenledge_protocol::http::RequestError;

impl ClientConnection {
    /// Writes the response to a job.
    pub(super) fn respond(&mut self, answer: Answer, cx: &Context) {
        match answer {
            Answer::Served(result) => self.write_response(200, "", result.as_bytes(), cx),
            Answer::Rejected { retry_after: Some(wait) } => {
                self.write_response(503, &format!("Retry-After: {:.3}\r\n", wait / 1_000.0), b"", cx);
            }
            Answer::Rejected { retry_after: None } => self.write_response(503, "", b"", cx),
            Answer::Failed => self.write_response(502, "", b"", cx),
        }
    }

    /// Whether this scheduler can serve jobs.
    pub(super) fn respond_to_health_check(&mut self, cx: &Context) {
        let (status, body): (u16, &[u8]) = if cx.shutdown.is_some() {
            (503, b"stopping\n")
        } else if !cx.drain.is_ready() {
            (503, b"draining\n")
        } else if !cx.endpoints.can_serve() {
            (503, b"no server table yet\n")
        } else {
            (200, b"up\n")
        };
        self.write_response(status, "", body, cx);
    }

    /// Rejects a request that can't be read or served.
    pub(super) fn reject(&mut self, error: RequestError, cx: &Context) {
        self.keep_alive &= error.keeps_connection();
        let body = format!("{error}\n");
        self.write_response(error.status(), "Content-Type: text/plain\r\n", body.as_bytes(), cx);
    }

    /// Buffers a response. `extra_headers`: whole lines with their ends.
    fn write_response(&mut self, status: u16, extra_headers: &str, body: &[u8], cx: &Context) {
        let phrase = reason_phrase(status);
        self.keep_alive &= !cx.is_closing_connections() && cx.drain.keeps_connections();
        let connection = if self.keep_alive { "" } else { "Connection: close\r\n" };
        let head = format!(
            "HTTP/1.1 {status} {phrase}\r\nContent-Length: {}\r\n{connection}{extra_headers}\r\n",
            body.len()
        );
        self.stream.buffer.push(head.as_bytes());
        self.stream.buffer.push(body);
        self.state = if self.keep_alive { State::ReadingHead } else { State::Closing };
        self.last_response_at = cx.now;
        self.request_began_at = None;
        self.discarded = 0;
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        _ => "Service Unavailable",
    }
}
