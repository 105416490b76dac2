//! Counters of an endpoint directory.

/// Counters since the start, for the log and for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests opened to discovery.
    pub requests: u64,
    /// Requests that failed, including watches that broke off. Requests that were given up are not counted.
    pub failed_requests: u64,
    /// Watches opened while another one was open.
    pub second_watches: u64,
    /// Gossip messages sent.
    pub messages_sent: u64,
    /// Total size of the gossip messages sent, in bytes.
    pub message_bytes_sent: u64,
    /// Reports from peers that took an endpoint out of use before discovery reported it as draining or gone.
    pub first_reported_by_peer: u64,
}
