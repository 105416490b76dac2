//! The settings of an endpoint directory.

use brackenledge_policy::Millis;

/// The settings of an [`EndpointDirectory`](crate::EndpointDirectory), fixed at its start.
#[derive(Clone, Debug)]
pub struct DiscoverySettings {
    /// This scheduler's ordinal.
    pub ordinal: u16,
    /// How many schedulers share discovery and the endpoints.
    pub schedulers: u16,
    /// Schedulers may send one another messages.
    pub gossip: bool,
    /// Changes arrive without the policy's asking for them: the directory opens its watch by itself, from a service that
    /// serves this scheduler alone.
    pub push_mode: bool,
    /// For how long a list may be used without a watch after a request, in milliseconds.
    pub max_list_age: Millis,
    /// Seed of the random numbers for jitter and for the choice of peers.
    pub seed: u64,
}
