//! Scripted clients and their requests.

use super::{Scheduler, TEST_TIMEOUT, read_message, send};
use socket2::{Domain, Socket, Type};
use std::net::TcpStream;

/// A health check: the scheduler responds with 200 if it is ready, and with 503 if not.
pub const HEALTH_REQUEST: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

/// A request with a job of this class that has 4 s until its deadline.
pub fn job_request(class: &str, id: &str, body: &str) -> String {
    format!(
        "POST /{class}/k1 HTTP/1.1\r\nHost: x\r\nX-Trace-Id: {id}\r\nX-Qos: {class}\r\nX-Customer: karoo\r\n\
         X-Expires-In-Ms: 4000\r\nIdempotency-Key: key-{id}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A request with a job that has `time_left` milliseconds until its deadline.
pub fn job_with_time_left(class: &str, id: &str, time_left: u64) -> String {
    with_time_left(&job_request(class, id, "x"), time_left)
}

/// Replaces the 4 s until the deadline in a request by `time_left` milliseconds.
pub fn with_time_left(request: &str, time_left: u64) -> String {
    request.replace("X-Expires-In-Ms: 4000", &format!("X-Expires-In-Ms: {time_left}"))
}

/// A request with a job, and with `Connection: close`.
pub fn closing_job(class: &str, id: &str, time_left: u64) -> String {
    job_with_time_left(class, id, time_left).replace("Host: x", "Host: x\r\nConnection: close")
}

/// Sends a job on an open connection and asserts that it is served.
pub fn assert_served_on(client: &mut TcpStream, request: &str) {
    send(client, request);
    let response = read_message(client);
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
}

/// Connects a client with a receive buffer of 4 KiB, so that a large response is sent in many parts.
pub fn connect_with_small_buffer(scheduler: &Scheduler) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4 * 1024).expect("a size");
    socket.connect(&scheduler.address.into()).expect("the scheduler accepts");
    let client = TcpStream::from(socket);
    client.set_read_timeout(Some(TEST_TIMEOUT)).expect("set_read_timeout");
    client
}

/// Returns the response to a health check.
pub fn check_health(scheduler: &Scheduler) -> String {
    read_message(&mut scheduler.send_request(HEALTH_REQUEST))
}
