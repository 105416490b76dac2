//! Requests to workers: a job, and the question for its load.

use crate::header_names::{CONTENT_TYPE, EXPIRES_IN, IDEMPOTENCY_KEY, TRACE_ID};
use brackenledge_policy::Millis;
use std::net::SocketAddr;

/// The least time that a worker is given for a job, in milliseconds.
const MIN_EXPIRES_IN: Millis = 1.0;

/// The head of a request with a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkerJobHead<'a> {
    /// The worker's address.
    pub host: SocketAddr,
    /// The path and query that the client sent.
    pub target: &'a str,
    /// The client's id of the job.
    pub trace_id: &'a str,
    /// How long the job is worth working on; at least a millisecond is stated.
    pub expires_in: Millis,
    /// The body's length in bytes.
    pub body_length: usize,
    /// By which workers recognise retries.
    pub idempotency_key: Option<&'a str>,
    /// The body's type.
    pub content_type: Option<&'a str>,
}

impl WorkerJobHead<'_> {
    /// The head's bytes; the body follows them.
    pub fn encode(&self) -> String {
        let WorkerJobHead { host, target, trace_id, body_length, .. } = self;
        let expires_in = self.expires_in.max(MIN_EXPIRES_IN);
        let mut head = format!(
            "POST {target} HTTP/1.1\r\nHost: {host}\r\n{TRACE_ID}: {trace_id}\r\n{EXPIRES_IN}: {expires_in:.0}\r\n\
             Content-Length: {body_length}\r\n"
        );
        for (name, value) in [(IDEMPOTENCY_KEY, self.idempotency_key), (CONTENT_TYPE, self.content_type)] {
            if let Some(value) = value {
                head.extend([name, ": ", value, "\r\n"]);
            }
        }
        head.push_str("\r\n");
        head
    }
}

/// The bytes of a request for the load report of the worker at `host`.
pub fn encode_load_request(host: SocketAddr) -> String {
    format!("GET /metrics/load HTTP/1.1\r\nHost: {host}\r\n\r\n")
}
