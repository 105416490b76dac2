//! Time limits and capacities of one process.

use brackenledge_leases::Micros;

/// Time limits and capacities of one process. All times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Replicas of each record beside its owner's.
    pub replication_factor: usize,
    /// Most records held: those of our clients' jobs and those replicated for others.
    pub max_records: usize,
    /// Most bytes of replicated records.
    pub max_bytes: usize,
    /// How long a record outlives the job's deadline or its end, whichever is later.
    pub retention: Micros,
    /// How long a job waits for its claim to be granted.
    pub claim_timeout: Micros,
    /// A replica that has not acknowledged by then gets another beside it: many round trips.
    pub replica_timeout: Micros,
    /// Age at which a job that may run any number of times is replicated: most have ended by then, and cost nothing.
    pub replication_delay: Micros,
    /// Jobs are ended so long before their deadline, so that the answer still reaches the client.
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
