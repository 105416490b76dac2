//! HTTP/1.1 framing on httparse.
//!
//! | module | what it does |
//! | --- | --- |
//! | `buffer` | the one buffer of each connection |
//! | `body` | removes the framing of bodies: lengths and chunks |
//! | `request_head` | heads of clients' requests |
//! | `response` | heads of responses to clients |
//! | `response_head` | heads of responses from workers and discovery |
//! | `headers` | single headers of a head |
//! | `request_error` | why a request is rejected before it becomes a job |

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

/// Limit of a body in bytes, by the platform's protocol.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Limit of a message's head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Limit of header lines in one message.
pub const MAX_HEADERS: usize = 64;

/// Why a message can't be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// It breaks the framing.
    #[error("the message's framing is broken")]
    Framing,
    /// Its body is larger than allowed.
    #[error("the message's body is too large")]
    TooLarge,
}
