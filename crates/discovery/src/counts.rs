//! What an endpoint directory counts.

/// Counts since the start, for the log and for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests made to discovery.
    pub requests: u64,
    /// Requests that failed, watches that broke off included.
    pub failed_requests: u64,
    /// Watches opened beside another one.
    pub second_watches: u64,
    /// Gossip messages sent.
    pub messages_sent: u64,
    /// The bytes of these messages.
    pub message_bytes_sent: u64,
    /// Endpoints that a peer reported as draining or gone before discovery did.
    pub first_reported_by_peer: u64,
}
