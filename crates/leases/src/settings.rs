//! Cluster size, lease durations and timeouts.

use crate::{Micros, Role};

/// Cluster size, lease durations and timeouts. All processes of a cluster must use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Number of configured schedulers, alive or not.
    pub cluster_size: u16,
    /// Desired number of voters in a view: 3 or 5.
    pub voters: usize,
    /// Length of the leader's lease, and the upper limit of a role lease.
    pub lease_duration: Micros,
    /// Time between renewals, retries and view updates. A lease spans several intervals, since messages may
    /// be lost.
    pub heartbeat_interval: Micros,
    /// Bound on clock drift: a clock may gain or lose up to `1 / clock_drift_divisor` of the elapsed time.
    pub clock_drift_divisor: u64,
    /// How long a process must have known no view before it takes part in a bootstrap. Longer than any lease.
    pub bootstrap_timeout: Micros,
    /// A view is abandoned after this time without an update from its leader, if fewer than a majority of
    /// its voters are alive.
    pub view_abandon_timeout: Micros,
    /// Number of roles; they are numbered from 0.
    pub roles: Role,
    /// Length of a member lease, counted from its request. 0 disables member leases.
    pub member_lease_duration: Micros,
}

impl Settings {
    /// Defaults: a lease of 1.5 s, five heartbeat intervals long; no member leases.
    pub fn new(cluster_size: u16, roles: Role) -> Settings {
        Settings {
            cluster_size,
            voters: 5,
            lease_duration: 1_500_000,
            heartbeat_interval: 300_000,
            // Quartz clocks drift by up to 1 in 10,000 and NTP slews by up to 1 in 2,000; this is ten times
            // the latter.
            clock_drift_divisor: 200,
            bootstrap_timeout: 3_500_000,
            view_abandon_timeout: 6_000_000,
            roles,
            member_lease_duration: 0,
        }
    }

    /// A lease's duration as its holder counts it, shortened because the holder's clock may be slow.
    pub(crate) fn holder_duration(&self, duration: Micros) -> Micros {
        duration - duration / self.clock_drift_divisor
    }

    /// A lease's duration as its grantor counts it, extended because the grantor's clock may be fast.
    pub(crate) fn grantor_duration(&self, duration: Micros) -> Micros {
        duration + duration / self.clock_drift_divisor
    }
}
