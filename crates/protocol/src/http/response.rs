//! Heads of responses to clients.

use brackenledge_policy::Millis;

/// The interim response to a client that sent `Expect: 100-continue`.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// The head of a response to a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientResponseHead {
    /// The status code.
    pub status: u16,
    /// The body's length in bytes.
    pub body_length: usize,
    /// The connection stays open for further requests.
    pub keep_alive: bool,
    /// Value of `Retry-After` in milliseconds, sent in seconds with three decimals; `None` omits the header.
    pub retry_after: Option<Millis>,
    /// Value of `Content-Type`; `None` omits the header.
    pub content_type: Option<&'static str>,
}

impl ClientResponseHead {
    /// Encodes the head, including the empty line at its end.
    pub fn encode(&self) -> String {
        let ClientResponseHead { status, body_length, .. } = self;
        let phrase = reason_phrase(*status);
        let mut head = format!("HTTP/1.1 {status} {phrase}\r\nContent-Length: {body_length}\r\n");
        if !self.keep_alive {
            head.push_str("Connection: close\r\n");
        }
        if let Some(wait) = self.retry_after {
            head.push_str(&format!("Retry-After: {:.3}\r\n", wait / 1_000.0));
        }
        if let Some(content_type) = self.content_type {
            head.extend(["Content-Type: ", content_type, "\r\n"]);
        }
        head.push_str("\r\n");
        head
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
