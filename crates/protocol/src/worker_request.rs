//! Requests to workers: jobs and requests for a load report.

use crate::header_names::{CONTENT_TYPE, EXPIRES_IN, IDEMPOTENCY_KEY, TRACE_ID};
use brackenledge_policy::Millis;
use std::net::SocketAddr;

/// Lower limit of the time stated to a worker, in milliseconds.
const MIN_EXPIRES_IN: Millis = 1.0;

/// The head of a request that sends a job to a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkerJobHead<'a> {
    /// The worker's address.
    pub host: SocketAddr,
    /// The path and query, as the client sent them.
    pub target: &'a str,
    /// The client's id of the job.
    pub trace_id: &'a str,
    /// How long the result is of use to the client, in milliseconds. At least 1 is stated to the worker.
    pub expires_in: Millis,
    /// The body's length in bytes.
    pub body_length: usize,
    /// Identifies retries of the job to the worker.
    pub idempotency_key: Option<&'a str>,
    /// The body's media type, as the client stated it.
    pub content_type: Option<&'a str>,
}

impl WorkerJobHead<'_> {
    /// Encodes the head, including the empty line at its end.
    pub fn encode(&self) -> String {
        let WorkerJobHead { host, target, trace_id, body_length, .. } = self;
        let expires_in = self.expires_in.max(MIN_EXPIRES_IN);
        let mut head = format!(
            "POST {target} HTTP/1.1\r\nHost: {host}\r\n{TRACE_ID}: {trace_id}\r\n\
             {EXPIRES_IN}: {expires_in:.0}\r\nContent-Length: {body_length}\r\n"
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

/// Encodes a request for the load report of the worker at `host`.
pub fn encode_load_request(host: SocketAddr) -> String {
    format!("GET /metrics/load HTTP/1.1\r\nHost: {host}\r\n\r\n")
}
