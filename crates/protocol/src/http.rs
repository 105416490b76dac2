//! HTTP/1.1 framing on httparse, and the one buffer that each connection has.

use std::io::{self, Read};

/// The largest body that the platform's protocol allows.
pub const BODY_MOST: usize = 64 * 1024;
/// The largest head of a message that is read.
pub const HEAD_MOST: usize = 16 * 1024;
/// Header lines in one message.
pub const HEADERS_MOST: usize = 64;
/// How much a read makes room for.
const READ_STEP: usize = 8 * 1024;
/// Capacity that a buffer keeps while it holds little: hundreds of connections share a few dozen megabytes.
const KEPT: usize = 16 * 1024;
/// Longest line that states a chunk's size.
const SIZE_LINE_MOST: usize = 256;

/// A connection's only buffer: output not yet written, then input not yet consumed. What was written or
/// consumed leaves gaps, which are closed in place when room is needed.
#[derive(Default)]
pub struct Buffer {
    data: Vec<u8>,
    written: usize,
    output_end: usize,
    input_start: usize,
}

impl Buffer {
    /// The input not yet consumed.
    pub fn input(&self) -> &[u8] {
        &self.data[self.input_start..]
    }

    /// The output not yet written.
    pub fn output(&self) -> &[u8] {
        &self.data[self.written..self.output_end]
    }

    /// Drops that much of the input's front.
    pub fn consume(&mut self, count: usize) {
        self.input_start = (self.input_start + count).min(self.data.len());
    }

    /// Moves `count` bytes of the input down, from `from` to `to` bytes after its front.
    fn move_down(&mut self, from: usize, to: usize, count: usize) {
        let start = self.input_start + from;
        self.data.copy_within(start..start + count, self.input_start + to);
    }

    /// Removes `count` bytes from the input, `at` bytes after its front.
    fn cut(&mut self, at: usize, count: usize) {
        let from = self.input_start + at;
        self.data.copy_within(from + count.., from);
        self.data.truncate(self.data.len() - count);
    }

    /// Adds output behind what waits to be written.
    pub fn push(&mut self, bytes: &[u8]) {
        self.data.splice(self.output_end..self.input_start, bytes.iter().copied());
        self.output_end += bytes.len();
        self.input_start = self.output_end;
    }

    /// Notes that so much of the output was written.
    pub fn wrote(&mut self, count: usize) {
        self.written += count;
    }

    /// Closes both gaps.
    pub fn compact(&mut self) {
        self.data.drain(self.output_end..self.input_start);
        self.data.drain(..self.written);
        self.output_end -= self.written;
        (self.written, self.input_start) = (0, self.output_end);
        if self.data.len() < KEPT / 2 && self.data.capacity() > KEPT {
            self.data.shrink_to(KEPT / 2);
        }
    }

    /// Reads once into the room behind the input.
    pub fn read_from(&mut self, source: &mut impl Read) -> io::Result<usize> {
        self.compact();
        let held = self.data.len();
        self.data.resize(held + READ_STEP, 0);
        let read = source.read(&mut self.data[held..]);
        self.data.truncate(held + read.as_ref().copied().unwrap_or(0));
        read
    }
}

/// Why a message can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// It breaks the framing.
    Framing,
    /// Its body is larger than allowed.
    TooLarge,
}

#[derive(Clone, Copy, Debug)]
enum Part {
    Length(usize),
    UntilEnd,
    ChunkSize,
    Chunk(usize),
    ChunkEnd,
    /// So many bytes may still come.
    Trailer(usize),
    Done,
}

/// Reads a body: frees the front of a buffer's input from framing, as far as it has come.
#[derive(Clone, Copy, Debug)]
pub struct Body {
    part: Part,
    ready: usize,
    most: usize,
}

impl Body {
    /// The body that a head announces. `otherwise_to_end`: one of unstated length lasts until the connection
    /// ends, as in answers. `most`: the most bytes that may be held at once.
    pub fn announced(
        headers: &[httparse::Header],
        otherwise_to_end: bool,
        most: usize,
    ) -> Result<Self, Malformed> {
        let mut part = if otherwise_to_end { Part::UntilEnd } else { Part::Length(0) };
        // Repeated or unreadable, either one leaves open where the message ends, and what is taken for the next
        // request may be one that was hidden in this one's body.
        let length = single(headers, "Content-Length")?;
        if let Some(coding) = single(headers, "Transfer-Encoding")? {
            // Both at once, or another coding, leave open where the message ends.
            if length.is_some() || !coding.eq_ignore_ascii_case("chunked") {
                return Err(Malformed::Framing);
            }
            part = Part::ChunkSize;
        } else if let Some(length) = length {
            if length.is_empty() || !length.bytes().all(|b| b.is_ascii_digit()) {
                return Err(Malformed::Framing);
            }
            // Digits that overflow state a size that is surely too large.
            let length = length.parse().map_err(|_| Malformed::TooLarge)?;
            if length > most {
                return Err(Malformed::TooLarge);
            }
            part = Part::Length(length);
        }
        Ok(Body { part, ready: 0, most })
    }

    /// How many bytes at the input's front are the body's own.
    pub fn ready(&self) -> usize {
        self.ready
    }

    /// Whether it lasts until the connection ends.
    pub fn until_end(&self) -> bool {
        matches!(self.part, Part::UntilEnd)
    }

    /// Frees what has come from framing; tells whether the body is complete.
    pub fn advance(&mut self, buffer: &mut Buffer) -> Result<bool, Malformed> {
        // Payload moves down over the framing before it, and the gap is closed once: closing one gap for each
        // chunk would let a body of tiny chunks hold up the loop.
        let mut at = self.ready;
        let state = loop {
            let raw = &buffer.input()[at..];
            let (part, framing, payload) = match self.part {
                Part::Done => break Ok(true),
                Part::Chunk(_) | Part::Length(_) | Part::UntilEnd if raw.is_empty() => match self.part {
                    Part::Length(0) => (Part::Done, 0, 0),
                    _ => break Ok(false),
                },
                Part::UntilEnd => (Part::UntilEnd, 0, raw.len()),
                Part::Length(left) if left <= raw.len() => (Part::Done, 0, left),
                Part::Length(left) => (Part::Length(left - raw.len()), 0, raw.len()),
                Part::Chunk(left) if left <= raw.len() => (Part::ChunkEnd, 0, left),
                Part::Chunk(left) => (Part::Chunk(left - raw.len()), 0, raw.len()),
                Part::ChunkSize => match httparse::parse_chunk_size(raw) {
                    Ok(httparse::Status::Complete((used, 0))) => (Part::Trailer(HEAD_MOST), used, 0),
                    Ok(httparse::Status::Complete((used, size))) => match usize::try_from(size) {
                        Ok(size) if size <= self.most => (Part::Chunk(size), used, 0),
                        _ => break Err(Malformed::TooLarge),
                    },
                    Ok(httparse::Status::Partial) if raw.len() <= SIZE_LINE_MOST => break Ok(false),
                    _ => break Err(Malformed::Framing),
                },
                Part::ChunkEnd => match raw {
                    [b'\r', b'\n', ..] => (Part::ChunkSize, 2, 0),
                    [] | [b'\r'] => break Ok(false),
                    _ => break Err(Malformed::Framing),
                },
                Part::Trailer(left) => match raw.iter().position(|&b| b == b'\n') {
                    Some(1) if raw[0] == b'\r' => (Part::Done, 2, 0),
                    Some(end) if end > 1 && end < left && raw[end - 1] == b'\r' => {
                        (Part::Trailer(left - end), end + 1, 0)
                    }
                    None if raw.len() <= left => break Ok(false),
                    _ => break Err(Malformed::Framing),
                },
            };
            self.part = part;
            at += framing;
            buffer.move_down(at, self.ready, payload);
            at += payload;
            self.ready += payload;
            if self.ready > self.most {
                break Err(Malformed::TooLarge);
            }
        };
        buffer.cut(self.ready, at - self.ready);
        state
    }

    /// Takes one line of what is ready, without its end.
    pub fn take_line(&mut self, buffer: &mut Buffer) -> Option<Vec<u8>> {
        let end = buffer.input()[..self.ready].iter().position(|&b| b == b'\n')?;
        let line = buffer.input()[..end].trim_ascii().to_vec();
        buffer.consume(end + 1);
        self.ready -= end + 1;
        Some(line)
    }

    /// Takes all that is ready.
    pub fn take_all(&mut self, buffer: &mut Buffer) -> Vec<u8> {
        let all = buffer.input()[..self.ready].to_vec();
        buffer.consume(self.ready);
        self.ready = 0;
        all
    }
}

/// The head of an answer, as far as this program reads it.
pub struct AnswerHead {
    /// Its status code.
    pub status: u16,
    /// The body that it announces.
    pub body: Body,
    /// The connection serves no further request.
    pub closes: bool,
    /// The server says that the request never ran.
    pub never_ran: bool,
    /// The load report in its own header.
    pub load: Option<String>,
}

/// Reads an answer's head off the buffer; `None`: it has not all come.
pub fn take_answer_head(buffer: &mut Buffer, body_most: usize) -> Result<Option<AnswerHead>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
    let mut answer = httparse::Response::new(&mut headers);
    let used = match answer.parse(buffer.input()) {
        Ok(httparse::Status::Complete(used)) => used,
        Ok(httparse::Status::Partial) if buffer.input().len() <= HEAD_MOST => return Ok(None),
        _ => return Err(Malformed::Framing),
    };
    let headers = &*answer.headers;
    let body = Body::announced(headers, true, body_most)?;
    let connection = header(headers, "Connection");
    let old = answer.version == Some(0);
    let head = AnswerHead {
        status: answer.code.unwrap_or(0),
        closes: has_word(connection, "close")
            || body.until_end()
            || old && !has_word(connection, "keep-alive"),
        body,
        never_ran: header(headers, "X-Never-Ran").is_some_and(|value| value.trim() == "1"),
        load: header(headers, "Endpoint-Load-Metrics").map(str::to_owned),
    };
    buffer.consume(used);
    Ok(Some(head))
}

/// A header's value, if it is text.
pub fn header<'a>(headers: &[httparse::Header<'a>], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(found.value).ok().map(str::trim)
}

/// The same of a header on which much depends: it must be there once at most, in printable ASCII.
pub fn single<'a>(headers: &[httparse::Header<'a>], name: &str) -> Result<Option<&'a str>, Malformed> {
    let mut all = headers.iter().filter(|header| header.name.eq_ignore_ascii_case(name));
    let (first, second) = (all.next(), all.next());
    let Some(first) = first else { return Ok(None) };
    let printable = first.value.iter().all(|&byte| matches!(byte, b' '..=b'~' | b'\t'));
    let text = std::str::from_utf8(first.value).ok().filter(|_| printable && second.is_none());
    text.map(|text| Some(text.trim())).ok_or(Malformed::Framing)
}

/// Whether a line of this head ends without a carriage return: others may see a different message in it.
pub fn has_bare_line_feed(head: &[u8]) -> bool {
    let ends = head.iter().enumerate().filter(|(_, byte)| **byte == b'\n').map(|(at, _)| at);
    ends.into_iter().any(|at| at == 0 || head[at - 1] != b'\r')
}

/// Whether a comma-separated header names a word.
pub fn has_word(value: Option<&str>, word: &str) -> bool {
    value.is_some_and(|value| value.split(',').any(|part| part.trim().eq_ignore_ascii_case(word)))
}
