//! HTTP messages that scripted peers read and write.

use serde_json::json;
use std::fmt::Display;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Instant;

/// Head of a worker's or discovery's response with a chunked body.
pub const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Reads the head of a message and a body of the length that it states, or none if it states no length.
pub fn read_message(stream: &mut TcpStream) -> String {
    let (mut text, mut byte) = (Vec::new(), [0; 1]);
    while !text.ends_with(b"\r\n\r\n") {
        assert_eq!(
            stream.read(&mut byte).expect("a byte"),
            1,
            "the connection was closed within a head: {:?}",
            String::from_utf8_lossy(&text)
        );
        text.push(byte[0]);
    }
    let head = String::from_utf8(text).expect("UTF-8");
    let length =
        head.lines().find_map(|l| l.to_ascii_lowercase().strip_prefix("content-length: ")?.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).expect("the body");
    head + &String::from_utf8(body).expect("UTF-8")
}

/// Reads a complete response, and asserts that it arrives before SIGKILL would. `what`: the request, for the
/// failure message.
pub fn read_response_by(client: &mut TcpStream, sigkill_at: Instant, what: &str) -> String {
    let left = sigkill_at.saturating_duration_since(Instant::now());
    assert!(!left.is_zero(), "{what}: no response before SIGKILL");
    client.set_read_timeout(Some(left)).expect("set_read_timeout");
    let response = read_message(client);
    assert!(Instant::now() < sigkill_at, "{what}: response after SIGKILL: {response}");
    response
}

/// Reads until the connection is closed. Returns the text, and whether the connection was closed without a
/// reset.
pub fn read_to_close(stream: &mut TcpStream) -> (String, bool) {
    let mut bytes = Vec::new();
    let result = stream.read_to_end(&mut bytes);
    if let Err(e) = &result {
        assert!(matches!(e.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe), "{e}");
    }
    (String::from_utf8_lossy(&bytes).into_owned(), result.is_ok())
}

pub fn count_responses(text: &str) -> usize {
    text.matches("HTTP/1.1 ").count()
}

pub fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).expect("the text is written");
}

/// Encodes text as one chunk of a chunked body.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Encodes a line, with its line end, as one chunk.
pub fn line_chunk(line: impl Display) -> String {
    chunk(&format!("{line}\n"))
}

/// A worker's complete response, with this result, to the request with this trace id.
pub fn served_response(id: &str, result: &str) -> String {
    let last_line = json!({"id": id, "state": "done", "result": result, "load": {"x0": 3, "inflight": 1}});
    format!(
        "{RESPONSE_HEAD}{}{}0\r\n\r\n",
        line_chunk(json!({"id": id, "state": "started"})),
        line_chunk(last_line)
    )
}

/// Like [`served_response`], with `Connection: close`.
pub fn closing_response(id: &str, result: &str) -> String {
    served_response(id, result).replace("HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n")
}

/// Returns the trace id in a request's head.
pub fn trace_id(request: &str) -> Option<&str> {
    request.lines().find_map(|line| line.strip_prefix("X-Trace-Id: "))
}

/// Returns the time left until the deadline, in milliseconds, that an attempt's request states.
pub fn time_left_sent(request: &str) -> f64 {
    let line = request.lines().find_map(|line| line.strip_prefix("X-Expires-In-Ms: "));
    line.expect("the time left").parse().expect("a number")
}
