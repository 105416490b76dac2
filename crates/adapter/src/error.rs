//! Errors in the adapter's input and on its output stream. Each of them ends the adapter.

use std::io;

/// An error, and the line of the input at which it occurred.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {source}")]
pub struct AdapterError {
    /// Line number, from 1.
    pub line: usize,
    /// The error in that line's batch.
    pub source: BatchError,
}

/// An error in a batch, or in answering it.
#[derive(Debug, thiserror::Error)]
pub enum BatchError {
    /// The batch could not be read, or the reply could not be written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The line is not a batch in the wire format.
    #[error("malformed batch: {0}")]
    Malformed(#[source] serde_json::Error),
    /// The reply could not be serialized or written.
    #[error(transparent)]
    Reply(serde_json::Error),
    /// An event is addressed to an instance that does not exist.
    #[error("event for instance {0:?}, which is not booted")]
    UnknownInstance(String),
    /// A directory has a slot number beyond the last slot.
    #[error("directory slot {0} out of range")]
    InvalidSlot(usize),
    /// A list event that needs a directory slot has none.
    #[error("BackendsChanged event without a directory slot")]
    MissingSlot,
    /// A list event refers to a directory slot that holds no directory.
    #[error("directory slot {0} is empty")]
    EmptySlot(usize),
    /// An attempt or a health check ended with an outcome code that is not defined.
    #[error("unknown outcome code {0}")]
    UnknownOutcome(u32),
}
