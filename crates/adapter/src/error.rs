//! What can be wrong with the adapter's input, and with its output stream.

use std::io;

/// Why the adapter stops: at which line of its input, and what is wrong there.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {source}")]
pub struct AdapterError {
    /// The line's number, from 1.
    pub line: usize,
    /// What is wrong.
    pub source: BatchError,
}

/// What is wrong with a batch, or with answering it.
#[derive(Debug, thiserror::Error)]
pub enum BatchError {
    /// It could not be read, or its reply could not be written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// It is not what the wire has.
    #[error("not a batch: {0}")]
    Malformed(#[source] serde_json::Error),
    /// Its reply could not be written.
    #[error(transparent)]
    Reply(serde_json::Error),
    /// An event is for an instance that does not exist.
    #[error("event for {0:?}, which was never booted")]
    UnknownInstance(String),
    /// A directory is for a slot beyond the last one.
    #[error("directory slot {0}")]
    InvalidSlot(usize),
    /// A list event has no slot, though it needs one.
    #[error("BackendsChanged without a slot")]
    MissingSlot,
    /// A list event refers to a slot without a directory.
    #[error("no directory in slot {0}")]
    EmptySlot(usize),
    /// An attempt or health check ended by an unknown code.
    #[error("unknown outcome code {0}")]
    UnknownOutcome(u32),
}
