//! A connection's input and output in one buffer.

use std::io::{self, Read};

/// Limit of one read, in bytes.
const READ_CHUNK_BYTES: usize = 8 * 1024;
/// Capacity in bytes above which a buffer shrinks once it holds less than half of this: hundreds of
/// connections share a few dozen megabytes.
const RETAINED_CAPACITY: usize = 16 * 1024;

/// The buffer of a connection. It holds the output that is not yet written, followed by the input that is not
/// yet consumed. Written output and consumed input leave gaps, which [`Buffer::compact`] removes.
///
/// Invariant: `written <= output_end <= input_start <= data.len()`.
#[derive(Default)]
pub struct Buffer {
    data: Vec<u8>,
    /// Start of the output; the bytes before it are already written.
    written: usize,
    output_end: usize,
    /// Start of the input, which ends with `data`. The bytes between output and input are already consumed.
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

    /// Discards `count` bytes from the front of the input, or all input if it is shorter.
    pub fn consume(&mut self, count: usize) {
        self.input_start = (self.input_start + count).min(self.data.len());
    }

    /// Copies `count` bytes within the input from offset `from` to the lower offset `to`.
    pub(super) fn move_down(&mut self, from: usize, to: usize, count: usize) {
        let start = self.input_start + from;
        self.data.copy_within(start..start + count, self.input_start + to);
    }

    /// Removes `count` bytes from the input at offset `at`.
    pub(super) fn remove(&mut self, at: usize, count: usize) {
        let from = self.input_start + at;
        self.data.copy_within(from + count.., from);
        self.data.truncate(self.data.len() - count);
    }

    /// Appends output. Gaps between output and input are removed.
    pub fn push(&mut self, bytes: &[u8]) {
        self.data.splice(self.output_end..self.input_start, bytes.iter().copied());
        self.output_end += bytes.len();
        self.input_start = self.output_end;
    }

    /// Records that `count` bytes of the output were written.
    pub fn wrote(&mut self, count: usize) {
        self.written += count;
    }

    /// Removes both gaps, and shrinks the buffer if it holds little.
    pub fn compact(&mut self) {
        self.data.drain(self.output_end..self.input_start);
        self.data.drain(..self.written);
        self.output_end -= self.written;
        (self.written, self.input_start) = (0, self.output_end);
        if self.data.len() < RETAINED_CAPACITY / 2 && self.data.capacity() > RETAINED_CAPACITY {
            self.data.shrink_to(RETAINED_CAPACITY / 2);
        }
    }

    /// Reads once from `source` and appends the bytes to the input; 0 if `source` has ended.
    pub fn read_from(&mut self, source: &mut impl Read) -> io::Result<usize> {
        self.compact();
        let length = self.data.len();
        self.data.resize(length + READ_CHUNK_BYTES, 0);
        let read = source.read(&mut self.data[length..]);
        self.data.truncate(length + read.as_ref().copied().unwrap_or(0));
        read
    }
}
