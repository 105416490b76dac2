//! `[tier]`: the cluster of schedulers with its leases.

use super::reader::Key;
use brackenledge_policy::Millis;
use std::path::PathBuf;

/// Settings of the cluster.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterOptions {
    /// Whether the schedulers agree on a member list, and on one lease holder for each role.
    pub enabled: bool,
    /// Duration of the leader's lease, in milliseconds.
    pub lease_duration: Millis,
    /// Number of schedulers that vote on the leader's lease: 3 or 5.
    pub voters: usize,
    /// Directory where each scheduler stores the latest epoch that it knows; without one it stores none.
    pub state_dir: Option<PathBuf>,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        ClusterOptions { enabled: false, lease_duration: 1_500.0, voters: 5, state_dir: None }
    }
}

pub(super) const KEYS: &[Key<ClusterOptions>] = &[
    Key {
        name: "on",
        expected: "true or false",
        set: |options, entry| {
            options.enabled = entry.boolean()?;
            Some(())
        },
    },
    // The heartbeat interval is a fifth of it, and the cluster can be without a leader for as long as the
    // lease lasts: half a minute is already too long.
    Key {
        name: "lease_ms",
        expected: "a whole number of milliseconds, 500 to 30000",
        set: |options, entry| {
            options.lease_duration = entry.number(500.0..=30_000.0)?;
            Some(())
        },
    },
    Key {
        name: "voters",
        expected: "3 or 5",
        set: |options, entry| {
            options.voters = entry.number(3.0..=5.0).filter(|&voters| voters != 4.0)? as usize;
            Some(())
        },
    },
    Key {
        name: "state_dir",
        expected: "a directory's path, such as \"/var/lib/brackenledge\"",
        set: |options, entry| {
            options.state_dir = Some(PathBuf::from(entry.string()?));
            Some(())
        },
    },
];
