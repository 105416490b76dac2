//! `[control]`: the admin endpoint.

use super::reader::Key;
use brackenledge_policy::Millis;

/// Settings of the admin endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlOptions {
    /// Greatest number of connected admin clients; one more replaces the oldest.
    pub max_clients: usize,
    /// Time within which a client must have sent its line, in milliseconds from its connection.
    pub line_timeout: Millis,
}

// The daemon's `net::admin_endpoint` documents what these limits are for.
impl Default for ControlOptions {
    fn default() -> Self {
        ControlOptions { max_clients: 16, line_timeout: 8_000.0 }
    }
}

pub(super) const KEYS: &[Key<ControlOptions>] = &[
    Key {
        name: "callers_most",
        expected: "a whole number of admin clients, 1 to 256",
        set: |options, entry| {
            options.max_clients = entry.number(1.0..=256.0)? as usize;
            Some(())
        },
    },
    // Slow clients take 4 s to send their line. The maximum limits how long a client can hold a descriptor.
    Key {
        name: "line_time_ms",
        expected: "a whole number of milliseconds, 4500 to 60000",
        set: |options, entry| {
            options.line_timeout = entry.number(4_500.0..=60_000.0)?;
            Some(())
        },
    },
];
