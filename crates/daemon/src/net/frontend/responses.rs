//! Writes responses to a client connection.

use super::connection::{ClientConnection, State};
use crate::net::Context;
use crate::net::event_loop::Millis;
use brackenledge_engine::Answer;
use brackenledge_protocol::http::{ClientResponseHead, RequestError};

/// A response without the headers that depend on the connection.
struct Response<'a> {
    status: u16,
    retry_after: Option<Millis>,
    content_type: Option<&'static str>,
    body: &'a [u8],
}

impl<'a> Response<'a> {
    fn new(status: u16, body: &'a [u8]) -> Self {
        Response { status, retry_after: None, content_type: None, body }
    }
}

impl ClientConnection {
    /// Writes the response to a job.
    pub(super) fn respond(&mut self, answer: Answer, cx: &Context) {
        let response = match &answer {
            Answer::Served(result) => Response::new(200, result.as_bytes()),
            Answer::Rejected { retry_after } => {
                Response { retry_after: *retry_after, ..Response::new(503, b"") }
            }
            Answer::Failed => Response::new(502, b""),
        };
        self.write_response(&response, cx);
    }

    /// Writes the response to `GET /up`: 200 while this scheduler is in rotation and has an endpoint list to
    /// serve from.
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
        self.write_response(&Response::new(status, body), cx);
    }

    /// Rejects a request that can't be read or served, and closes the connection. The start of the next
    /// request is unknown, and a request smuggled behind a malformed one must not be accepted.
    pub(super) fn reject(&mut self, error: RequestError, cx: &Context) {
        self.keep_alive = false;
        let body = format!("{error}\n");
        let response = Response::new(error.status(), body.as_bytes());
        self.write_response(&Response { content_type: Some("text/plain"), ..response }, cx);
    }

    /// Buffers a response, and decides whether the connection is kept open after it.
    fn write_response(&mut self, response: &Response, cx: &Context) {
        self.keep_alive &= !cx.is_closing_connections() && cx.drain.keeps_connections();
        let head = ClientResponseHead {
            status: response.status,
            body_length: response.body.len(),
            keep_alive: self.keep_alive,
            retry_after: response.retry_after,
            content_type: response.content_type,
        };
        self.stream.buffer.push(head.encode().as_bytes());
        self.stream.buffer.push(response.body);
        self.state = if self.keep_alive { State::ReadingHead } else { State::Closing };
        self.last_response_at = cx.now;
        self.request_began_at = None;
        self.discarded = 0;
    }
}
