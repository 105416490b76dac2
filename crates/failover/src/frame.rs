//! Frames on a link between two processes. They are encoded with `postcard` and COBS, so a zero byte ends
//! each frame.

use crate::message::Message;
use brackenledge_leases::ProcessId;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of an encoded frame, in bytes: enough for a body of 64 KiB, a result that is six times as
/// long in JSON, and the other fields.
pub const MAX_FRAME_LEN: usize = 1 << 20;

/// A frame on a link. The order of variants and fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum Frame {
    /// The first frame on a connection: the sender and its zone.
    Hello { from: ProcessId, zone: u32 },
    /// The second frame: the number of the last message received from the peer. The peer continues with the
    /// next one.
    Resume { received: u64 },
    /// A message and its number, and the number of the last message received from the peer.
    Data { number: u64, received: u64, message: Message },
    /// The number of the last message received from the peer.
    Ack { received: u64 },
}

/// Why bytes could not be decoded as a frame.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The frame has this many bytes, more than [`MAX_FRAME_LEN`].
    #[error("frame of {0} bytes is longer than the maximum of {MAX_FRAME_LEN} bytes")]
    TooLong(usize),
    /// The bytes are not the encoding of a frame.
    #[error("malformed frame")]
    Malformed(#[source] postcard::Error),
}

impl Frame {
    /// Encodes the frame; the last byte is 0.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec_cobs(self).unwrap_or_default()
    }

    /// Decodes a frame in place; `bytes` includes the zero byte at its end.
    pub fn decode(bytes: &mut [u8]) -> Result<Frame, FrameError> {
        if bytes.len() > MAX_FRAME_LEN {
            return Err(FrameError::TooLong(bytes.len()));
        }
        postcard::from_bytes_cobs(bytes).map_err(FrameError::Malformed)
    }
}
