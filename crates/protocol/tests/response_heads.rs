//! Decoding of the heads of workers' responses.
#![allow(missing_docs)]

use brackenledge_protocol::http::{Buffer, MAX_BODY_BYTES, MAX_HEAD_BYTES, Malformed, ResponseHead};

fn take(text: &str) -> Result<Option<ResponseHead>, Malformed> {
    let mut buffer = Buffer::default();
    let mut source = text.as_bytes();
    while let Ok(1..) = buffer.read_from(&mut source) {}
    ResponseHead::take(&mut buffer, MAX_BODY_BYTES)
}

fn head(first_line: &str, headers: &str) -> ResponseHead {
    take(&format!("{first_line}\r\n{headers}\r\n")).expect("a head").expect("a complete head")
}

#[test]
fn version_connection_header_and_length_determine_whether_the_connection_closes() {
    let length = "Content-Length: 2\r\n";
    let cases = [
        ("HTTP/1.1 200 OK", "", false),
        ("HTTP/1.1 200 OK", "Connection: close\r\n", true),
        ("HTTP/1.1 200 OK", "Connection: keep-alive\r\n", false),
        ("HTTP/1.0 200 OK", "", true),
        ("HTTP/1.0 200 OK", "Connection: keep-alive\r\n", false),
        ("HTTP/1.0 200 OK", "Connection: keep-alive, close\r\n", true),
    ];
    for (first_line, connection, closes) in cases {
        let head = head(first_line, &format!("{length}{connection}"));
        assert_eq!((head.status, head.closes), (200, closes), "{first_line} {connection}");
    }
    // Without a stated length, the body ends with the connection.
    assert!(head("HTTP/1.1 200 OK", "").closes);
}

#[test]
fn never_ran_and_load_report_are_decoded_from_their_headers() {
    let busy = head(
        "HTTP/1.1 503 Busy",
        "Content-Length: 0\r\nX-Never-Ran:  1 \r\nEndpoint-Load-Metrics: TEXT x0=0, x1=2\r\n",
    );
    assert_eq!((busy.status, busy.never_ran), (503, true));
    let load = busy.load.expect("a load report");
    assert_eq!((load.free_slots, load.free_memory, load.in_flight), (Some(0.0), Some(2.0), None));
    let failed = head("HTTP/1.1 500 Error", "Content-Length: 0\r\nX-Never-Ran: yes\r\n");
    assert!(!failed.never_ran && failed.load.is_none());
}

#[test]
fn an_invalid_head_is_an_error_and_a_partial_head_is_not() {
    assert!(matches!(take("HTTP/1.1 200 OK\r\nContent-Len"), Ok(None)));
    let cases = [
        ("nonsense\r\n\r\n".to_owned(), Malformed::Framing),
        ("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n".to_owned(), Malformed::Framing),
        (format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", MAX_BODY_BYTES + 1), Malformed::TooLarge),
        (format!("HTTP/1.1 200 OK\r\nX-Fill: {}", "f".repeat(MAX_HEAD_BYTES)), Malformed::Framing),
    ];
    for (text, error) in cases {
        assert_eq!(take(&text).err(), Some(error), "{text:.80}");
    }
}
