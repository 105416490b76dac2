//! HTTP/1.1 as the stand-ins speak it: complete requests and responses are taken off a buffer, and built as bytes.

use serde_json::Value;

#[cfg(test)]
mod tests;

/// Headers that are read at most; a message with more is never complete.
const MAX_HEADERS: usize = 32;
/// The head of a response whose body is sent in chunks.
pub const CHUNKED_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// The end of a body that is sent in chunks.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// An empty line as a chunk: the keep-alive of a watch.
pub const EMPTY_LINE_CHUNK: &[u8] = b"1\r\n\n\r\n";
/// The response to a request for something that a stand-in does not have.
pub const NOT_FOUND: &[u8] = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
/// The response to an attempt that is returned without being executed.
pub const NEVER_RAN: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n";
/// The response of overloaded discovery.
pub const UNAVAILABLE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
/// The response to an attempt that fails before anything was sent of its result.
pub const SERVER_ERROR: &[u8] = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
/// The front proxy's health check.
pub const HEALTH_CHECK: &[u8] = b"GET /up HTTP/1.1\r\nHost: test-cluster\r\n\r\n";

type Headers = Vec<(String, String)>;

/// A request as a stand-in reads it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Path and query.
    pub target: String,
    headers: Headers,
}

impl Request {
    /// The value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// The value of a parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

/// A response as a stand-in reads it.
#[derive(Clone, Debug)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// The pause that it asks for, in seconds.
    pub retry_after: Option<f64>,
    /// Whether it ends its connection.
    pub closes: bool,
    /// Its body.
    pub body: Vec<u8>,
}

/// Takes a complete request off the front of what has been read.
pub fn take_request(input: &mut Vec<u8>) -> Option<Request> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let Ok(httparse::Status::Complete(head)) = request.parse(input) else { return None };
    let target = request.path.unwrap_or_default().to_owned();
    let headers = lower_case(request.headers);
    let end = head + content_length(&headers);
    if input.len() < end {
        return None;
    }
    input.drain(..end);
    Some(Request { target, headers })
}

/// Takes a complete response off the front of what has been read.
pub fn take_response(input: &mut Vec<u8>) -> Option<Response> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let Ok(httparse::Status::Complete(head)) = response.parse(input) else { return None };
    let status = response.code.unwrap_or(0);
    let headers = lower_case(response.headers);
    let is_chunked =
        find(&headers, "transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
    let (body, end) = if is_chunked {
        chunked_body(input, head)?
    } else {
        let end = head + content_length(&headers);
        (input.get(head..end)?.to_vec(), end)
    };
    input.drain(..end);
    Some(Response {
        status,
        retry_after: find(&headers, "retry-after").and_then(|seconds| seconds.parse().ok()),
        closes: find(&headers, "connection").is_some_and(|value| value.eq_ignore_ascii_case("close")),
        body,
    })
}

/// The body in chunks that begins at `start`, and its end; `None` while it is not complete.
fn chunked_body(input: &[u8], start: usize) -> Option<(Vec<u8>, usize)> {
    let (mut body, mut at) = (Vec::new(), start);
    loop {
        let Ok(httparse::Status::Complete((line, size))) = httparse::parse_chunk_size(&input[at..]) else {
            return None;
        };
        let (from, to) = (at + line, at + line + size as usize);
        if input.len() < to + 2 {
            return None;
        }
        body.extend_from_slice(&input[from..to]);
        at = to + 2;
        if size == 0 {
            return Some((body, at));
        }
    }
}

fn lower_case(headers: &[httparse::Header]) -> Headers {
    let text = |value: &[u8]| String::from_utf8_lossy(value).trim().to_owned();
    headers.iter().map(|header| (header.name.to_ascii_lowercase(), text(header.value))).collect()
}

fn find<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers.iter().find(|header| header.0 == name).map(|header| header.1.as_str())
}

fn content_length(headers: &Headers) -> usize {
    find(headers, "content-length").and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// A line of JSON as a chunk.
pub fn json_chunk(line: &Value) -> Vec<u8> {
    let text = line.to_string();
    format!("{:x}\r\n{text}\n\r\n", text.len() + 1).into_bytes()
}

/// A complete response with a body of JSON.
pub fn json_response(body: &Value) -> Vec<u8> {
    let body = body.to_string();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// The request for a job.
#[derive(Clone, Debug)]
pub struct JobRequest<'a> {
    /// Its class.
    pub class: &'a str,
    /// Its tenant.
    pub tenant: &'a str,
    /// The user whose data it concerns.
    pub user: usize,
    /// `X-Trace-Id`.
    pub id: &'a str,
    /// `Idempotency-Key`.
    pub idempotency_key: &'a str,
    /// Time until its deadline, in milliseconds.
    pub time_left: f64,
    /// Length of its body.
    pub body_bytes: usize,
}

impl JobRequest<'_> {
    /// The request as it is written.
    pub fn to_bytes(&self) -> Vec<u8> {
        let JobRequest { class, tenant, user, id, idempotency_key, time_left, body_bytes } = self;
        let mut bytes = format!(
            "POST /{class}/user-{user} HTTP/1.1\r\nHost: test-cluster\r\nX-Trace-Id: {id}\r\nX-Qos: {class}\r\n\
             X-Customer: {tenant}\r\nX-Expires-In-Ms: {time_left:.0}\r\nIdempotency-Key: {idempotency_key}\r\n\
             Content-Length: {body_bytes}\r\n\r\n"
        )
        .into_bytes();
        bytes.resize(bytes.len() + body_bytes, b'x');
        bytes
    }
}
