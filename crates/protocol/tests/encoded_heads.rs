//! Encoding of response heads to clients and of requests to workers.
#![allow(missing_docs)]

use brackenledge_protocol::http::ClientResponseHead;
use brackenledge_protocol::worker_request::{WorkerJobHead, encode_load_request};

const OK: ClientResponseHead = ClientResponseHead {
    status: 200,
    body_length: 3,
    keep_alive: true,
    retry_after: None,
    content_type: None,
};

const JOB: WorkerJobHead = WorkerJobHead {
    host: std::net::SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::new(10, 0, 0, 7)), 7100),
    target: "/view/k1?a=b",
    trace_id: "t1",
    expires_in: 3_999.6,
    body_length: 5,
    idempotency_key: None,
    content_type: None,
};

#[test]
fn a_response_head_states_the_body_length_and_whether_the_connection_closes() {
    let close = ClientResponseHead { keep_alive: false, ..OK };
    let rejected = ClientResponseHead { status: 503, body_length: 0, retry_after: Some(512.3456), ..OK };
    let malformed =
        ClientResponseHead { status: 400, keep_alive: false, content_type: Some("text/plain"), ..OK };
    let cases = [
        (OK, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"),
        (close, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\n"),
        (rejected, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 0.512\r\n\r\n"),
        (
            malformed,
            "HTTP/1.1 400 Bad Request\r\nContent-Length: 3\r\nConnection: close\r\n\
             Content-Type: text/plain\r\n\r\n",
        ),
    ];
    for (head, bytes) in cases {
        assert_eq!(head.encode(), bytes);
    }
}

#[test]
fn each_status_has_its_reason_phrase() {
    let phrases = [
        (200, "OK"),
        (400, "Bad Request"),
        (403, "Forbidden"),
        (404, "Not Found"),
        (405, "Method Not Allowed"),
        (408, "Request Timeout"),
        (409, "Conflict"),
        (413, "Content Too Large"),
        (431, "Request Header Fields Too Large"),
        (502, "Bad Gateway"),
        (503, "Service Unavailable"),
    ];
    for (status, phrase) in phrases {
        let head = ClientResponseHead { status, ..OK }.encode();
        assert!(head.starts_with(&format!("HTTP/1.1 {status} {phrase}\r\n")), "{head}");
    }
}

#[test]
fn a_request_to_a_worker_states_the_trace_id_and_the_time_left() {
    let front = "POST /view/k1?a=b HTTP/1.1\r\nHost: 10.0.0.7:7100\r\nX-Trace-Id: t1\r\n";
    let expired = WorkerJobHead { expires_in: -3.0, body_length: 0, ..JOB };
    let full = WorkerJobHead { idempotency_key: Some("a b"), content_type: Some(""), ..JOB };
    let cases = [
        (JOB, "X-Expires-In-Ms: 4000\r\nContent-Length: 5\r\n\r\n"),
        (expired, "X-Expires-In-Ms: 1\r\nContent-Length: 0\r\n\r\n"),
        (
            full,
            "X-Expires-In-Ms: 4000\r\nContent-Length: 5\r\nIdempotency-Key: a b\r\nContent-Type: \r\n\r\n",
        ),
    ];
    for (head, rest) in cases {
        assert_eq!(head.encode(), format!("{front}{rest}"));
    }
}

#[test]
fn a_load_request_is_a_get_of_the_load_report() {
    let bytes = "GET /metrics/load HTTP/1.1\r\nHost: 10.0.0.7:7100\r\n\r\n";
    assert_eq!(encode_load_request(JOB.host), bytes);
}
