//! Commands of an endpoint directory to its driver.

use crate::client::{RequestId, RequestKind};
use crate::event::Event;
use brackenledge_policy::{ListKind, Millis, WorkerEntry};

/// An action for the driver, returned by
/// [`EndpointDirectory::poll_command`](crate::EndpointDirectory::poll_command).
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Open a request to discovery.
    OpenRequest {
        /// Identifies the request in all later inputs and commands.
        request: RequestId,
        /// A watch or a poll.
        kind: RequestKind,
        /// The revision held, or 0 if there is none. A watch delivers the changes after it; a poll does not
        /// use it.
        since_revision: u64,
    },
    /// Close a request and discard whatever it still delivers.
    CancelRequest {
        /// The request to close.
        request: RequestId,
    },
    /// Send a gossip message of at most 256 bytes to one scheduler.
    SendMessage {
        /// The receiver's ordinal.
        to: u16,
        /// The encoded message.
        text: String,
    },
    /// Pass changed entries to the policy.
    UpdateEndpoints {
        /// Whether the entries come from the cached list or are changes.
        kind: ListKind,
        /// The entries that changed.
        entries: Vec<WorkerUpdate>,
    },
    /// Log this event.
    Event(Event),
}

/// An entry for the policy. Two entries are equal if the policy treats them alike. The weight does not count,
/// because the policy uses it only for comparisons.
#[derive(Clone, Debug)]
pub struct WorkerUpdate(pub WorkerEntry);

impl PartialEq for WorkerUpdate {
    fn eq(&self, other: &Self) -> bool {
        let key =
            |e: &WorkerEntry| (e.id, e.readiness, e.zone, e.kind, e.cell, e.started_at.map(Millis::to_bits));
        key(&self.0) == key(&other.0)
            && self.0.name == other.0.name
            && self.0.drain_probability == other.0.drain_probability
    }
}
