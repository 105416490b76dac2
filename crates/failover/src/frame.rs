//! Frames on a link between two processes: `postcard`, framed by COBS, so that a zero byte ends each.

use crate::message::Message;
use brackenledge_leases::ProcessId;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest encoded frame: a body of 64 KiB, a result that JSON made six times as long, and some room.
pub const MAX_FRAME_LEN: usize = 1 << 20;

/// A frame on a link. The order of variants and fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum Frame {
    /// The first on a connection: who we are, and in which zone.
    Hello { from: ProcessId, zone: u32 },
    /// The second: of your messages we have those up to this number; send the following ones.
    Resume { received: u64 },
    /// A message with its number, and the number of your last message that we have.
    Data { number: u64, received: u64, message: Message },
    /// The number of your last message that we have.
    Ack { received: u64 },
}

/// Why bytes are no frame.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// Longer than any frame.
    #[error("a frame of {0} bytes, of {MAX_FRAME_LEN} at most")]
    TooLong(usize),
    /// Not the encoding of a frame.
    #[error("malformed frame")]
    Malformed(#[source] postcard::Error),
}

impl Frame {
    /// The frame's bytes, the last of which is 0.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec_cobs(self).unwrap_or_default()
    }

    /// Decodes a frame in place from its bytes, with the zero at their end.
    pub fn decode(bytes: &mut [u8]) -> Result<Frame, FrameError> {
        if bytes.len() > MAX_FRAME_LEN {
            return Err(FrameError::TooLong(bytes.len()));
        }
        postcard::from_bytes_cobs(bytes).map_err(FrameError::Malformed)
    }
}
