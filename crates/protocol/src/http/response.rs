//! Responses to clients.

use brackenledge_policy::Millis;

/// What a client gets that expects it before it sends a body.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// The head of a response to a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientResponseHead {
    /// The status code.
    pub status: u16,
    /// The body's length in bytes.
    pub body_length: usize,
    /// The connection is kept for further requests.
    pub keep_alive: bool,
    /// How long the client should wait before a retry, if it is to be told.
    pub retry_after: Option<Millis>,
    /// The body's type, if it is stated.
    pub content_type: Option<&'static str>,
}

impl ClientResponseHead {
    /// The head's bytes; the body follows them.
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
