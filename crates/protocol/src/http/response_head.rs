//! Heads of responses from workers and discovery.

use super::body::Body;
use super::buffer::Buffer;
use super::headers::{has_token, header};
use super::{MAX_HEAD_BYTES, MAX_HEADERS, Malformed};
use crate::header_names::{LOAD_REPORT, NEVER_RAN};
use crate::worker::decode_load_header;
use brackenledge_policy::LoadReport;

/// The parts of a response's head that this program uses.
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// Parser of the body that the head announces.
    pub body: Body,
    /// The connection can't be used for another request.
    pub closes: bool,
    /// The worker states that it has not run the job and will not run it.
    pub never_ran: bool,
    /// The load report in the header `Endpoint-Load-Metrics`.
    pub load: Option<LoadReport>,
}

impl ResponseHead {
    /// Decodes the head at the front of the buffer's input and consumes it; `None` if the head is incomplete.
    pub fn take(buffer: &mut Buffer, max_body_bytes: usize) -> Result<Option<Self>, Malformed> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let length = match response.parse(buffer.input()) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if buffer.input().len() <= MAX_HEAD_BYTES => return Ok(None),
            _ => return Err(Malformed::Framing),
        };
        let headers = &*response.headers;
        let body = Body::from_headers(headers, true, max_body_bytes)?;
        let connection = header(headers, "Connection");
        let is_http_1_0 = response.version == Some(0);
        let head = ResponseHead {
            status: response.code.unwrap_or(0),
            closes: has_token(connection, "close")
                || body.until_end()
                || is_http_1_0 && !has_token(connection, "keep-alive"),
            body,
            never_ran: header(headers, NEVER_RAN) == Some("1"),
            load: header(headers, LOAD_REPORT).map(decode_load_header),
        };
        buffer.consume(length);
        Ok(Some(head))
    }
}
