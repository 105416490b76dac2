//! Reasons to reject a request before it becomes a job.

use super::Malformed;

/// Why a request is rejected before it becomes a job. The text is sent to the client as the response's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The head is not a valid head of HTTP/1.0 or HTTP/1.1.
    #[error("not an HTTP request")]
    NotHttp,
    /// A line of the head ends in LF without CR, which other parsers may interpret differently.
    #[error("a line ends without a carriage return")]
    BareLineFeed,
    /// The head has more bytes or more header lines than allowed.
    #[error("the head is too large")]
    HeadTooLarge,
    /// The end of the body is ambiguous, or the body violates its framing.
    #[error("the body's framing is broken")]
    BodyFraming,
    /// The body is larger than allowed.
    #[error("the body is larger than 64 KiB")]
    BodyTooLarge,
    /// The request was not complete within the time limit.
    #[error("the request did not come to its end")]
    Timeout,
    /// The method is not POST.
    #[error("jobs arrive by POST")]
    MethodNotAllowed,
    /// The target contains bytes other than printable ASCII.
    #[error("the target is not plain text")]
    InvalidTarget,
    /// A header that may occur only once is repeated, or is not printable ASCII.
    #[error("a header is repeated or not plain text")]
    AmbiguousHeader,
    /// A required header is missing or empty. The header's name.
    #[error("{0} is missing")]
    MissingHeader(&'static str),
    /// A header is not a finite, non-negative number. The header's name.
    #[error("{0} is no number")]
    InvalidNumber(&'static str),
    /// A value in `X-Props` is not a finite, non-negative number.
    #[error("X-Props holds what is no number")]
    InvalidProperty,
    /// `X-Trace-Id` is too long or not printable ASCII.
    #[error("X-Trace-Id is no id")]
    InvalidTraceId,
    /// The class does not exist.
    #[error("unknown class")]
    UnknownClass,
    /// The path and `X-Qos` name different classes.
    #[error("the path names another class than X-Qos")]
    ClassMismatch,
    /// The tenant does not exist.
    #[error("unknown tenant")]
    UnknownTenant,
    /// Another job with the same `X-Trace-Id` has not ended yet.
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
    /// Converts an error in the framing of a request's body.
    fn from(malformed: Malformed) -> Self {
        match malformed {
            Malformed::TooLarge => RequestError::BodyTooLarge,
            Malformed::Framing => RequestError::BodyFraming,
        }
    }
}
