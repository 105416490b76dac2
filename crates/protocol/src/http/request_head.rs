//! Heads of clients' requests.

use super::body::Body;
use super::headers::{has_bare_line_feed, has_token, header, single};
use super::request_error::RequestError;
use super::{MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_HEADERS};

/// The supported versions of HTTP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// HTTP/1.0.
    Http10,
    /// HTTP/1.1.
    Http11,
}

/// The head of a request.
#[derive(Debug)]
pub struct RequestHead<'input> {
    /// The method, as stated.
    pub method: &'input str,
    /// The target, as stated: usually path and query.
    pub target: &'input str,
    /// The version of HTTP.
    pub version: Version,
    /// The client keeps the connection open for further requests.
    pub keep_alive: bool,
    /// The client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// The head's length in bytes, including the empty line at its end.
    pub length: usize,
    headers: Vec<httparse::Header<'input>>,
}

impl<'input> RequestHead<'input> {
    /// Decodes the head at the front of `input`; `None` if the head is incomplete.
    pub fn decode(input: &'input [u8]) -> Result<Option<Self>, RequestError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let length = match request.parse(input) {
            Ok(httparse::Status::Complete(length)) if has_bare_line_feed(&input[..length]) => {
                return Err(RequestError::BareLineFeed);
            }
            Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
            Ok(httparse::Status::Partial) if input.len() <= MAX_HEAD_BYTES => return Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(RequestError::HeadTooLarge),
            Err(_) => return Err(RequestError::NotHttp),
        };
        let version = match request.version {
            Some(1) => Version::Http11,
            _ => Version::Http10,
        };
        Ok(Some(RequestHead {
            method: request.method.unwrap_or_default(),
            target: request.path.unwrap_or_default(),
            version,
            keep_alive: keeps_alive(version, header(request.headers, "Connection")),
            expects_continue: has_token(header(request.headers, "Expect"), "100-continue"),
            length,
            headers: request.headers.to_vec(),
        }))
    }

    /// The target without its query.
    pub fn path(&self) -> &'input str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Parser of the body that the head announces.
    pub fn body(&self) -> Result<Body, RequestError> {
        Ok(Body::from_headers(&self.headers, false, MAX_BODY_BYTES)?)
    }

    /// The trimmed value of the first header of this name; `None` if there is none or it is not UTF-8.
    pub fn header(&self, name: &str) -> Option<&'input str> {
        header(&self.headers, name)
    }

    /// The trimmed value of a header that may occur only once, in printable ASCII; `None` if there is none.
    pub fn single_header(&self, name: &str) -> Result<Option<&'input str>, RequestError> {
        single(&self.headers, name).map_err(|_| RequestError::AmbiguousHeader)
    }
}

/// Whether a client that sends this `Connection` header keeps the connection open: by default since HTTP/1.1,
/// and only on request before.
fn keeps_alive(version: Version, connection: Option<&str>) -> bool {
    match version {
        Version::Http11 => !has_token(connection, "close"),
        Version::Http10 => has_token(connection, "keep-alive"),
    }
}
