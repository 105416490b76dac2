//! Lease settings, derived from the lease duration that operators configure.

use super::roles;
use brackenledge_leases::{Micros, Settings};
use brackenledge_protocol::operations::Operations;

/// Duration of a member lease, in microseconds, at the default duration of the leader's lease. Longer than it
/// takes to replace a leader (1.6 to 2.2 s), or failover would pause whenever a leader is lost; no longer
/// than that requires, since the jobs of a lost scheduler are not taken over until its member lease has
/// expired.
const DEFAULT_MEMBER_LEASE: Micros = 2_300_000;

/// The lease settings of a cluster of this size. All durations are scaled by the same factor as the leader's
/// lease.
pub fn lease_settings(cluster_size: u16, operations: &Operations) -> Settings {
    let default = Settings::new(cluster_size, roles::count(operations));
    let scaled = |time: Micros| {
        (time as f64 * operations.cluster.lease_duration * 1_000.0 / default.lease_duration as f64) as Micros
    };
    Settings {
        voters: operations.cluster.voters,
        member_lease_duration: if operations.failover.enabled { scaled(DEFAULT_MEMBER_LEASE) } else { 0 },
        lease_duration: scaled(default.lease_duration),
        heartbeat_interval: scaled(default.heartbeat_interval),
        bootstrap_timeout: scaled(default.bootstrap_timeout),
        view_abandon_timeout: scaled(default.view_abandon_timeout),
        ..default
    }
}
