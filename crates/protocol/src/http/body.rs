//! Incremental decoding of bodies: removes the framing in place from what has been received.

use super::buffer::Buffer;
use super::headers::single;
use super::{MAX_HEAD_BYTES, Malformed};

/// Limit of the line that states a chunk's size, including chunk extensions, in bytes.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 256;

/// The part of a body that is expected next.
#[derive(Clone, Copy, Debug)]
enum BodyState {
    /// Payload of stated length: the number of bytes left.
    Length(usize),
    /// Payload until the connection ends.
    UntilEnd,
    /// The line with a chunk's size.
    ChunkSize,
    /// A chunk's payload: the number of bytes left.
    Chunk(usize),
    /// The line end after a chunk.
    ChunkEnd,
    /// Trailer lines: the number of bytes that they may still take.
    Trailer(usize),
    Done,
}

/// One step of the parser: the next state, and how many bytes of framing and of payload after it were parsed.
struct Step {
    next: BodyState,
    framing: usize,
    payload: usize,
}

impl Step {
    fn framing(next: BodyState, framing: usize) -> Option<Step> {
        Some(Step { next, framing, payload: 0 })
    }

    /// `None` if no payload has been received.
    fn payload(next: BodyState, payload: usize) -> Option<Step> {
        (payload > 0).then_some(Step { next, framing: 0, payload })
    }
}

/// A parser of a message's body. Decoded payload stays at the front of the buffer's input until it is taken.
#[derive(Clone, Copy, Debug)]
pub struct Body {
    state: BodyState,
    /// Number of bytes of decoded payload at the front of the input.
    ready: usize,
    /// Limit of the payload held at once, in bytes.
    max_bytes: usize,
}

impl Body {
    /// Parser of the body that these headers announce. `until_end_by_default`: a body without a stated length
    /// lasts until the connection ends, as in responses. `max_bytes`: limit of the payload held at once.
    pub(super) fn from_headers(
        headers: &[httparse::Header],
        until_end_by_default: bool,
        max_bytes: usize,
    ) -> Result<Self, Malformed> {
        // If either header is repeated or unreadable, the end of the message is ambiguous, and part of this
        // body could be taken for the next request (request smuggling).
        let length = single(headers, "Content-Length")?;
        let coding = single(headers, "Transfer-Encoding")?;
        let state = match (length, coding) {
            (None, Some(coding)) if coding.eq_ignore_ascii_case("chunked") => BodyState::ChunkSize,
            // With both headers, or with another coding, the end of the message is ambiguous.
            (_, Some(_)) => return Err(Malformed::Framing),
            (Some(length), None) => BodyState::Length(parse_length(length, max_bytes)?),
            (None, None) if until_end_by_default => BodyState::UntilEnd,
            (None, None) => BodyState::Length(0),
        };
        Ok(Body { state, ready: 0, max_bytes })
    }

    /// Number of bytes of decoded payload at the front of the input.
    pub fn ready(&self) -> usize {
        self.ready
    }

    /// Whether the body lasts until the connection ends.
    pub fn until_end(&self) -> bool {
        matches!(self.state, BodyState::UntilEnd)
    }

    /// Decodes the input received so far; returns whether the body is complete.
    pub fn advance(&mut self, buffer: &mut Buffer) -> Result<bool, Malformed> {
        // Each chunk's payload is moved down over the framing before it, and the input behind all chunks is
        // moved once at the end. Moving it for each chunk would let a body of tiny chunks block the event
        // loop.
        let mut position = self.ready;
        let result = loop {
            if matches!(self.state, BodyState::Done) {
                break Ok(true);
            }
            let step = match self.step(&buffer.input()[position..]) {
                Ok(Some(step)) => step,
                Ok(None) => break Ok(false),
                Err(error) => break Err(error),
            };
            self.state = step.next;
            position += step.framing;
            buffer.move_down(position, self.ready, step.payload);
            position += step.payload;
            self.ready += step.payload;
            if self.ready > self.max_bytes {
                break Err(Malformed::TooLarge);
            }
        };
        buffer.remove(self.ready, position - self.ready);
        result
    }

    /// Parses the next part of the body from `raw`; `None` if more input is needed.
    fn step(&self, raw: &[u8]) -> Result<Option<Step>, Malformed> {
        let available = raw.len();
        match self.state {
            BodyState::Done => Ok(None),
            BodyState::Length(0) => Ok(Step::framing(BodyState::Done, 0)),
            BodyState::Length(left) if left <= available => Ok(Step::payload(BodyState::Done, left)),
            BodyState::Length(left) => Ok(Step::payload(BodyState::Length(left - available), available)),
            BodyState::Chunk(left) if left <= available => Ok(Step::payload(BodyState::ChunkEnd, left)),
            BodyState::Chunk(left) => Ok(Step::payload(BodyState::Chunk(left - available), available)),
            BodyState::UntilEnd => Ok(Step::payload(BodyState::UntilEnd, available)),
            BodyState::ChunkSize => self.parse_chunk_size(raw),
            BodyState::ChunkEnd => match raw {
                [b'\r', b'\n', ..] => Ok(Step::framing(BodyState::ChunkSize, 2)),
                [] | [b'\r'] => Ok(None),
                _ => Err(Malformed::Framing),
            },
            BodyState::Trailer(left) => parse_trailer(raw, left),
        }
    }

    fn parse_chunk_size(&self, raw: &[u8]) -> Result<Option<Step>, Malformed> {
        match httparse::parse_chunk_size(raw) {
            Ok(httparse::Status::Complete((used, 0))) => {
                Ok(Step::framing(BodyState::Trailer(MAX_HEAD_BYTES), used))
            }
            Ok(httparse::Status::Complete((used, size))) => match usize::try_from(size) {
                Ok(size) if size <= self.max_bytes => Ok(Step::framing(BodyState::Chunk(size), used)),
                _ => Err(Malformed::TooLarge),
            },
            Ok(httparse::Status::Partial) if raw.len() <= MAX_CHUNK_SIZE_LINE_BYTES => Ok(None),
            _ => Err(Malformed::Framing),
        }
    }

    /// Takes one line of the decoded payload, trimmed; `None` if no line is complete.
    pub fn take_line(&mut self, buffer: &mut Buffer) -> Option<Vec<u8>> {
        let end = buffer.input()[..self.ready].iter().position(|&b| b == b'\n')?;
        let line = buffer.input()[..end].trim_ascii().to_vec();
        buffer.consume(end + 1);
        self.ready -= end + 1;
        Some(line)
    }

    /// Takes all decoded payload.
    pub fn take_all(&mut self, buffer: &mut Buffer) -> Vec<u8> {
        let all = buffer.input()[..self.ready].to_vec();
        buffer.consume(self.ready);
        self.ready = 0;
        all
    }
}

/// Parses one trailer line, or the empty line that ends the body. `left`: limit of the trailer's length in
/// bytes.
fn parse_trailer(raw: &[u8], left: usize) -> Result<Option<Step>, Malformed> {
    match raw.iter().position(|&byte| byte == b'\n') {
        Some(1) if raw[0] == b'\r' => Ok(Step::framing(BodyState::Done, 2)),
        Some(end) if end > 1 && end < left && raw[end - 1] == b'\r' => {
            Ok(Step::framing(BodyState::Trailer(left - end), end + 1))
        }
        None if raw.len() <= left => Ok(None),
        _ => Err(Malformed::Framing),
    }
}

/// Parses the value of `Content-Length`.
fn parse_length(text: &str, max_bytes: usize) -> Result<usize, Malformed> {
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(Malformed::Framing);
    }
    // The text has digits only, so an error means overflow.
    let length = text.parse().map_err(|_| Malformed::TooLarge)?;
    if length > max_bytes { Err(Malformed::TooLarge) } else { Ok(length) }
}
