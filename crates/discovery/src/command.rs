//! What the driver of an endpoint directory is to do.

use crate::client::{RequestId, RequestKind};
use crate::event::Event;
use brackenledge_policy::{ListKind, Millis, WorkerEntry};

/// One thing to do, from [`EndpointDirectory::poll_command`](crate::EndpointDirectory::poll_command).
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Open this request to discovery.
    OpenRequest {
        /// Names the request from now on.
        request: RequestId,
        /// A watch or a poll.
        kind: RequestKind,
        /// For a watch: the revision held, after which changes are wanted.
        since_revision: u64,
    },
    /// Close this request; nothing of it is wanted any more.
    CancelRequest {
        /// The request.
        request: RequestId,
    },
    /// Send a gossip message of 256 bytes at most to one scheduler.
    SendMessage {
        /// The receiver's ordinal.
        to: u16,
        /// The message.
        text: String,
    },
    /// Hand changed entries to the policy.
    UpdateEndpoints {
        /// Whether the entries are from the cached list or are changes.
        kind: ListKind,
        /// The entries that changed.
        entries: Vec<WorkerUpdate>,
    },
    /// Write a line to the log.
    Event(Event),
}

/// An entry for the policy. Two are equal if the policy would act on them alike; the weight, which it uses for
/// comparisons only, does not count.
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
