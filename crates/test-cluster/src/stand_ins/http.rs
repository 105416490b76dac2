//! Minimal HTTP/1.1 for the stand-ins: takes complete requests and responses off a buffer, and encodes them.

use serde_json::Value;

#[cfg(test)]
mod tests;

/// Maximum number of headers; a message with more is never recognised as complete.
const MAX_HEADERS: usize = 32;
/// The head of a response with chunked transfer coding.
pub const CHUNKED_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// The end of a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// A chunk with an empty line: the keep-alive of a watch.
pub const EMPTY_LINE_CHUNK: &[u8] = b"1\r\n\n\r\n";
/// The response to a request for a path that a stand-in does not serve.
pub const NOT_FOUND: &[u8] = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
/// A worker's response to an attempt that it returns without executing it.
pub const NEVER_RAN: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n";
/// The response of discovery to a request that has waited too long under overload.
pub const UNAVAILABLE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
/// A worker's response to an attempt that fails before the response head has been sent.
pub const SERVER_ERROR: &[u8] = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
/// The front proxy's health check.
pub const HEALTH_CHECK: &[u8] = b"GET /up HTTP/1.1\r\nHost: test-cluster\r\n\r\n";

type Headers = Vec<(String, String)>;

/// A received request. Its body is discarded.
#[derive(Clone, Debug)]
pub struct Request {
    /// Path and query string.
    pub target: String,
    headers: Headers,
}

impl Request {
    /// The value of a header; `name` in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// The value of a parameter of the query string.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

/// A received response.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Value of `Retry-After`, in seconds; fractions are accepted.
    pub retry_after: Option<f64>,
    /// Whether it has `Connection: close`.
    pub closes: bool,
    /// Body, with the transfer coding removed.
    pub body: Vec<u8>,
}

/// Removes a complete request from the front of the input; `None` while it is incomplete or invalid.
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

/// Removes a complete response from the front of the input; `None` while it is incomplete or invalid.
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

/// The chunked body that begins at `start`, decoded, and the offset of its end; `None` while it is
/// incomplete.
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

/// A chunk with a line of JSON.
pub fn json_chunk(line: &Value) -> Vec<u8> {
    let text = line.to_string();
    format!("{:x}\r\n{text}\n\r\n", text.len() + 1).into_bytes()
}

/// A complete response with a JSON body.
pub fn json_response(body: &Value) -> Vec<u8> {
    let body = body.to_string();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// A client's request for a job.
#[derive(Clone, Debug)]
pub struct JobRequest<'a> {
    /// Class of the job: first segment of the path, and `X-Qos`.
    pub class: &'a str,
    /// Tenant: `X-Customer`.
    pub tenant: &'a str,
    /// Number of the user whose data the job accesses: second segment of the path.
    pub user: usize,
    /// Id of the request: `X-Trace-Id`.
    pub id: &'a str,
    /// The same for all requests for a job: `Idempotency-Key`.
    pub idempotency_key: &'a str,
    /// Time until the job's deadline, in milliseconds: `X-Expires-In-Ms`.
    pub time_left: f64,
    /// Length of the body, in bytes.
    pub body_bytes: usize,
}

impl JobRequest<'_> {
    /// Encodes the request.
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
