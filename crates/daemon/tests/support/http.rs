//! HTTP messages as scripted peers read and write them.

use serde_json::json;
use std::fmt::Display;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Instant;

/// The head of a worker's or discovery's response whose body comes in chunks.
pub const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Reads one message with its body, which must state its length.
pub fn read_message(stream: &mut TcpStream) -> String {
    let (mut text, mut byte) = (Vec::new(), [0; 1]);
    while !text.ends_with(b"\r\n\r\n") {
        assert_eq!(
            stream.read(&mut byte).expect("a byte"),
            1,
            "ended in {:?}",
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

/// Reads a complete response that must have come by then.
pub fn read_response_by(client: &mut TcpStream, deadline: Instant, what: &str) -> String {
    let left = deadline.saturating_duration_since(Instant::now());
    assert!(!left.is_zero(), "{what}: SIGKILL has come");
    client.set_read_timeout(Some(left)).expect("set_read_timeout");
    let response = read_message(client);
    assert!(Instant::now() < deadline, "{what}: answered after SIGKILL: {response}");
    response
}

/// All that a connection brings up to its end, and whether that was a clean one.
pub fn read_to_close(stream: &mut TcpStream) -> (String, bool) {
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    if let Err(e) = &read {
        assert!(matches!(e.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe), "{e}");
    }
    (String::from_utf8_lossy(&bytes).into_owned(), read.is_ok())
}

pub fn count_responses(text: &str) -> usize {
    text.matches("HTTP/1.1 ").count()
}

pub fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).expect("written");
}

/// Text as one chunk.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Text as a line in one chunk.
pub fn line_chunk(line: impl Display) -> String {
    chunk(&format!("{line}\n"))
}

/// A worker's complete response to the request with this id.
pub fn served_response(id: &str, result: &str) -> String {
    let last = json!({"id": id, "state": "done", "result": result, "load": {"x0": 3, "inflight": 1}});
    format!(
        "{RESPONSE_HEAD}{}{}0\r\n\r\n",
        line_chunk(json!({"id": id, "state": "started"})),
        line_chunk(last)
    )
}

/// The same, after which the worker closes its connection.
pub fn closing_response(id: &str, result: &str) -> String {
    served_response(id, result).replace("HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n")
}

/// The id in a request's head.
pub fn trace_id(request: &str) -> Option<&str> {
    request.lines().find_map(|line| line.strip_prefix("X-Trace-Id: "))
}

/// The time left, in milliseconds, that an attempt sends to its worker.
pub fn time_left_sent(request: &str) -> f64 {
    let line = request.lines().find_map(|line| line.strip_prefix("X-Expires-In-Ms: "));
    line.expect("the time left").parse().expect("a number")
}
