//! Why a request is rejected before it becomes a job.

use super::Malformed;

/// Why a request is rejected before it becomes a job. Its text is the line that the client is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The head is not one of HTTP/1.0 or HTTP/1.1.
    #[error("not an HTTP request")]
    NotHttp,
    /// A line of the head ends in a bare line feed: others may see a different message in it.
    #[error("a line ends without a carriage return")]
    BareLineFeed,
    /// The head is longer, or has more header lines, than allowed.
    #[error("the head is too large")]
    HeadTooLarge,
    /// The head leaves open where the body ends, or the body does not keep to its framing.
    #[error("the body's framing is broken")]
    BodyFraming,
    /// The body is larger than allowed.
    #[error("the body is larger than 64 KiB")]
    BodyTooLarge,
    /// The request did not arrive completely in the time given.
    #[error("the request did not come to its end")]
    Timeout,
    /// A job came by another method than POST.
    #[error("jobs arrive by POST")]
    MethodNotAllowed,
    /// The target holds other bytes than printable ASCII.
    #[error("the target is not plain text")]
    InvalidTarget,
    /// A header that may be there once is repeated, or is not printable ASCII.
    #[error("a header is repeated or not plain text")]
    AmbiguousHeader,
    /// A header that jobs must have is missing or empty.
    #[error("{0} is missing")]
    MissingHeader(&'static str),
    /// A header does not hold a number that is finite and not negative.
    #[error("{0} is no number")]
    InvalidNumber(&'static str),
    /// A property of `X-Props` is not such a number.
    #[error("X-Props holds what is no number")]
    InvalidProperty,
    /// `X-Trace-Id` is too long or not printable ASCII.
    #[error("X-Trace-Id is no id")]
    InvalidTraceId,
    /// No class has the name that is stated.
    #[error("unknown class")]
    UnknownClass,
    /// The path and `X-Qos` name different classes.
    #[error("the path names another class than X-Qos")]
    ClassMismatch,
    /// No tenant has the name that is stated.
    #[error("unknown tenant")]
    UnknownTenant,
    /// Another job with the same `X-Trace-Id` is open.
    #[error("a job with this X-Trace-Id is open")]
    DuplicateTraceId,
}

impl RequestError {
    /// The status code of the response.
    pub fn status(self) -> u16 {
        match self {
            RequestError::UnknownTenant => 403,
            RequestError::UnknownClass => 404,
            RequestError::MethodNotAllowed => 405,
            RequestError::Timeout => 408,
            RequestError::DuplicateTraceId => 409,
            RequestError::BodyTooLarge => 413,
            RequestError::HeadTooLarge => 431,
            RequestError::NotHttp
            | RequestError::BareLineFeed
            | RequestError::BodyFraming
            | RequestError::InvalidTarget
            | RequestError::AmbiguousHeader
            | RequestError::MissingHeader(_)
            | RequestError::InvalidNumber(_)
            | RequestError::InvalidProperty
            | RequestError::InvalidTraceId
            | RequestError::ClassMismatch => 400,
        }
    }
}

impl From<Malformed> for RequestError {
    /// What a fault in a request's body means.
    fn from(malformed: Malformed) -> Self {
        match malformed {
            Malformed::TooLarge => RequestError::BodyTooLarge,
            Malformed::Framing => RequestError::BodyFraming,
        }
    }
}
