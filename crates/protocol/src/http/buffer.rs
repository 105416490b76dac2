//! The one buffer of each connection.

use std::io::{self, Read};

/// How many bytes one read can take.
const READ_CHUNK_BYTES: usize = 8 * 1024;
/// Capacity in bytes that a buffer retains while it holds little: hundreds of connections share a few dozen megabytes.
const RETAINED_CAPACITY: usize = 16 * 1024;

/// A connection's only buffer: output not yet written, then input not yet consumed. What was written or
/// consumed leaves gaps, which are closed in place when room is needed.
///
/// Invariant: `written <= output_end <= input_start <= data.len()`.
#[derive(Default)]
pub struct Buffer {
    data: Vec<u8>,
    /// Where output begins: what stands before it is written.
    written: usize,
    output_end: usize,
    /// Where input begins, up to the end of `data`. What stands between output and input is consumed.
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
    pub(super) fn move_down(&mut self, from: usize, to: usize, count: usize) {
        let start = self.input_start + from;
        self.data.copy_within(start..start + count, self.input_start + to);
    }

    /// Removes `count` bytes from the input, `at` bytes after its front.
    pub(super) fn cut(&mut self, at: usize, count: usize) {
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
        if self.data.len() < RETAINED_CAPACITY / 2 && self.data.capacity() > RETAINED_CAPACITY {
            self.data.shrink_to(RETAINED_CAPACITY / 2);
        }
    }

    /// Reads once into the room behind the input.
    pub fn read_from(&mut self, source: &mut impl Read) -> io::Result<usize> {
        self.compact();
        let length = self.data.len();
        self.data.resize(length + READ_CHUNK_BYTES, 0);
        let read = source.read(&mut self.data[length..]);
        self.data.truncate(length + read.as_ref().copied().unwrap_or(0));
        read
    }
}
