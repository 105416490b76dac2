//! Heads of responses.

use super::body::Body;
use super::buffer::Buffer;
use super::headers::{has_token, header};
use super::{MAX_HEAD_BYTES, MAX_HEADERS, Malformed};

/// The head of a response, as far as this program reads it.
pub struct ResponseHead {
    /// Its status code.
    pub status: u16,
    /// The body that it announces.
    pub body: Body,
    /// The connection serves no further request.
    pub closes: bool,
    /// The worker says that the request never ran.
    pub never_ran: bool,
    /// The load report in its own header.
    pub load: Option<String>,
}

/// Takes a response's head off the buffer; `None`: it has not all come.
pub fn take_response_head(
    buffer: &mut Buffer,
    max_body_bytes: usize,
) -> Result<Option<ResponseHead>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let used = match response.parse(buffer.input()) {
        Ok(httparse::Status::Complete(used)) => used,
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
        never_ran: header(headers, "X-Never-Ran").is_some_and(|value| value.trim() == "1"),
        load: header(headers, "Endpoint-Load-Metrics").map(str::to_owned),
    };
    buffer.consume(used);
    Ok(Some(head))
}
