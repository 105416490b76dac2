//! Cluster size and times.

use crate::{Micros, Role};

/// Cluster size and times, the same in all processes of a cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Number of schedulers in the settings, alive or not.
    pub cluster_size: u16,
    /// Voters wanted in a view: 3 or 5.
    pub voters: usize,
    /// Length of the leader's lease, and the upper limit of a role lease.
    pub lease_duration: Micros,
    /// Time between renewals, retries and view updates. A lease outlives several of them, since messages are lost.
    pub heartbeat_interval: Micros,
    /// A clock may gain or lose one part in so many.
    pub clock_drift_divisor: u64,
    /// A process that knows of no view for so long takes part in the bootstrap of one. Longer than any lease.
    pub bootstrap_timeout: Micros,
    /// A view without a known leader for so long, most of whose voters are gone, is abandoned.
    pub view_abandon_timeout: Micros,
    /// Number of roles; they are numbered from 0.
    pub roles: Role,
    /// For how long from its request a member may count on being in the member list. 0: member leases are off.
    pub member_lease_duration: Micros,
}

impl Settings {
    /// Defaults for a cluster of this size: leases of 1.5 s, renewed five times in it.
    pub fn new(cluster_size: u16, roles: Role) -> Settings {
        Settings {
            cluster_size,
            voters: 5,
            lease_duration: 1_500_000,
            heartbeat_interval: 300_000,
            // Quartz drifts 1 in 10,000; NTP slews 1 in 2,000. Ten times that.
            clock_drift_divisor: 200,
            bootstrap_timeout: 3_500_000,
            view_abandon_timeout: 6_000_000,
            roles,
            member_lease_duration: 0,
        }
    }

    /// A lease's duration as its holder counts it, whose clock may be slow.
    pub(crate) fn holder_duration(&self, duration: Micros) -> Micros {
        duration - duration / self.clock_drift_divisor
    }

    /// A lease's duration as its grantor counts it, whose clock may be fast.
    pub(crate) fn grantor_duration(&self, duration: Micros) -> Micros {
        duration + duration / self.clock_drift_divisor
    }
}
