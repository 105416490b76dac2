use super::*;

#[test]
fn responses_with_a_length_or_in_chunks_are_read_once_they_are_complete() {
    let mut input = b"HTTP/1.1 503 No\r\nRetry-After: 0.5\r\nContent-Length: 2\r\n\r\nno".to_vec();
    let mut short = input[..input.len() - 1].to_vec();
    assert!(take_response(&mut short).is_none());
    let response = take_response(&mut input).expect("complete");
    assert_eq!(
        (response.status, response.retry_after, response.body.as_slice()),
        (503, Some(0.5), &b"no"[..])
    );
    assert!(input.is_empty());
    let mut input =
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n".to_vec();
    assert_eq!(take_response(&mut input).expect("complete").body, b"abc");
}
