//! HTTP/1.1 framing, with httparse as the parser of heads.
//!
//! | module | what it does |
//! | --- | --- |
//! | `buffer` | a connection's input and output in one buffer |
//! | `body` | decodes bodies of stated length and chunked bodies |
//! | `request_head` | heads of clients' requests |
//! | `response` | heads of responses to clients |
//! | `response_head` | heads of responses from workers and discovery |
//! | `headers` | finds and checks headers of a parsed head |
//! | `request_error` | reasons to reject a request, with their status codes |

mod body;
mod buffer;
mod headers;
mod request_error;
mod request_head;
mod response;
mod response_head;

pub use self::body::Body;
pub use self::buffer::Buffer;
pub use self::request_error::RequestError;
pub use self::request_head::{RequestHead, Version};
pub use self::response::{CONTINUE, ClientResponseHead};
pub use self::response_head::ResponseHead;

/// Limit of a request's body in bytes, set by the platform's protocol.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Limit of a message's head in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Limit of the number of header lines in a message.
pub const MAX_HEADERS: usize = 64;

/// Why a message can't be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The framing is invalid or ambiguous.
    #[error("the message's framing is invalid")]
    Framing,
    /// The body is larger than allowed.
    #[error("the message's body is too large")]
    TooLarge,
}
