//! The identity of a job, and the rank of the members for its key.

use brackenledge_leases::{Members, ProcessId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The identity of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobKey {
    /// The class's number in the settings.
    pub class: u16,
    /// The tenant's number in the settings.
    pub tenant: u16,
    /// The client's `Idempotency-Key`.
    pub idempotency_key: Arc<str>,
}

impl JobKey {
    /// The members by their rank for this key, the coordinator first (rendezvous hashing; D. Thaler and
    /// C. Ravishankar, 1998).
    pub(crate) fn members_by_rank(&self, members: &Members) -> Vec<ProcessId> {
        let mut ranked: Vec<(u64, ProcessId)> =
            members.iter().map(|member| (self.rank(member.ordinal), member)).collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, member)| member).collect()
    }

    /// The member that decides which process owns the job: the first by rank. `None` if there are no members.
    pub(crate) fn coordinator(&self, members: &Members) -> Option<ProcessId> {
        members.iter().min_by_key(|member| (self.rank(member.ordinal), member.ordinal))
    }

    fn rank(&self, ordinal: u16) -> u64 {
        let seed = u64::from(self.class) << 32 | u64::from(self.tenant) << 16 | u64::from(ordinal);
        xxh3_64_with_seed(self.idempotency_key.as_bytes(), seed)
    }
}
