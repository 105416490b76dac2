//! Time limits and capacities of one process.

use brackenledge_leases::Micros;

/// Time limits and capacities of one process. All times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Number of replicas of each record, not counting the owner's copy.
    pub replication_factor: usize,
    /// Maximum number of records: those of local clients' jobs and those replicated for other processes.
    pub max_records: usize,
    /// Maximum size of all replicated records, in bytes.
    pub max_bytes: usize,
    /// How long a record outlives the job's deadline or its end, whichever is later.
    pub retention: Micros,
    /// How long a job waits for its claim to be granted.
    pub claim_timeout: Micros,
    /// If replicas have not acknowledged a record within this time, which is many round trips, another
    /// replica is added.
    pub replica_timeout: Micros,
    /// The age at which a job that may run any number of times is replicated. Most such jobs have ended by
    /// then and need no messages.
    pub replication_delay: Micros,
    /// How long before its deadline a job is ended, so that the answer reaches the client in time. Attempts
    /// that wait for acknowledgements expire as long before theirs.
    pub deadline_margin: Micros,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            replication_factor: 2,
            max_records: 20_000,
            max_bytes: 64 << 20,
            retention: 10_000_000,
            claim_timeout: 4_000_000,
            replica_timeout: 100_000,
            replication_delay: 50_000,
            deadline_margin: 5_000,
        }
    }
}
