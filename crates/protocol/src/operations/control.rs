//! `[control]`: the admin endpoint.

use super::reader::Key;
use brackenledge_policy::Millis;

/// Settings of the admin endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlOptions {
    /// Greatest number of admin clients connected at once; a newer one replaces the oldest.
    pub max_clients: usize,
    /// Time in which a client must have sent its line, in milliseconds.
    pub line_timeout: Millis,
}

// Reasons for the defaults stand with the admin endpoint in the daemon.
impl Default for ControlOptions {
    fn default() -> Self {
        ControlOptions { max_clients: 16, line_timeout: 8_000.0 }
    }
}

pub(super) const KEYS: &[Key<ControlOptions>] = &[
    Key {
        name: "callers_most",
        remedy: "a whole number of admin clients, 1 to 256",
        set: |options, entry| {
            options.max_clients = entry.number(1.0..=256.0)? as usize;
            Some(())
        },
    },
    // Longer than the 4 s that slow clients take, and no more than a minute of a descriptor held.
    Key {
        name: "line_time_ms",
        remedy: "milliseconds, 4500 to 60000",
        set: |options, entry| {
            options.line_timeout = entry.number(4_500.0..=60_000.0)?;
            Some(())
        },
    },
];
