//! The settings of an endpoint directory.

use brackenledge_policy::Millis;

/// The settings of an [`EndpointDirectory`](crate::EndpointDirectory), fixed at its start.
#[derive(Clone, Debug)]
pub struct DiscoverySettings {
    /// This scheduler's ordinal.
    pub ordinal: u16,
    /// Number of schedulers that share discovery and the endpoints, including this one.
    pub schedulers: u16,
    /// Whether the schedulers exchange gossip.
    pub gossip: bool,
    /// Whether changes arrive without a subscription by the policy: the directory opens its watch at its
    /// start, to a service that serves only this scheduler.
    pub push_mode: bool,
    /// How long a list may be used after a request while no watch is open, in milliseconds.
    pub max_list_age: Millis,
    /// Seed of the random numbers for jitter and for the choice of peers.
    pub seed: u64,
}
