//! Records that this process holds as the coordinator of a key or as a further replica.

use crate::job_key::JobKey;
use crate::job_record::{JobRecord, RecordSnapshot};
use crate::{Failover, Message, Micros, ProcessId};
use std::collections::BTreeMap;

/// The interval between sweeps for expired records.
const SWEEP_INTERVAL: Micros = 1_000_000;

/// A record held for its owner. The fields after `expires_at` are used by the coordinator, and belong to the
/// member list in force.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ReplicaRecord {
    pub(crate) record: JobRecord,
    /// What this record contributes to `Failover::replica_bytes`.
    size: usize,
    /// When the record is dropped.
    expires_at: Micros,
    /// The version that each further replica has acknowledged, by the replica's ordinal; `None` before its
    /// first acknowledgement.
    pub(crate) acked_versions: BTreeMap<u16, Option<u32>>,
    /// Number of replicas wanted beyond those that `Settings::replication_factor` requires, to replace some
    /// that have not acknowledged in time.
    pub(crate) extra_replicas: usize,
    /// The version acknowledged to the owner; `None` before the first such acknowledgement.
    pub(crate) confirmed_version: Option<u32>,
    /// Whether [`Message::ClaimGranted`] has still to be sent to the owner.
    pub(crate) grant_pending: bool,
    /// Processes whose clients wait for the outcome.
    pub(crate) attached: Vec<ProcessId>,
    /// Since when acknowledgements of replicas have been outstanding, or when this last led to an extra
    /// replica; `None` if there are enough acknowledgements.
    pub(crate) awaiting_since: Option<Micros>,
    /// Whether the owner has claimed or reported the job under this member list.
    pub(crate) owner_reported: bool,
}

impl ReplicaRecord {
    fn new(record: JobRecord) -> ReplicaRecord {
        ReplicaRecord {
            record,
            size: 0,
            expires_at: 0,
            acked_versions: BTreeMap::new(),
            extra_replicas: 0,
            confirmed_version: None,
            grant_pending: false,
            attached: Vec::new(),
            awaiting_since: None,
            owner_reported: false,
        }
    }

    /// Discards the state that belongs to the previous member list.
    pub(crate) fn reset_for_term(&mut self) {
        self.extra_replicas = 0;
        self.confirmed_version = None;
        self.grant_pending = false;
        self.awaiting_since = None;
        self.owner_reported = false;
        self.acked_versions.clear();
        self.attached.clear();
    }

    /// Whether a process owns the job under this claim.
    pub(crate) fn is_owned_by(&self, process: ProcessId, claim_id: u64) -> bool {
        self.record.owner == process && self.record.claim_id == claim_id
    }
}

impl Failover {
    /// Whether there is capacity for one more record of this size.
    pub(crate) fn has_capacity(&self, size: usize) -> bool {
        self.replicas.len() + self.jobs.len() < self.settings.max_records
            && self.replica_bytes + size <= self.settings.max_bytes
    }

    /// Stores a record, replacing any other record of the same job.
    pub(crate) fn store_replica(
        &mut self,
        now: Micros,
        key: &JobKey,
        record: JobRecord,
    ) -> &mut ReplicaRecord {
        let expires_at = record.deadline.max(now) + self.settings.retention;
        let size = record.size();
        let replica = self.replicas.entry(key.clone()).or_insert_with(|| ReplicaRecord::new(record.clone()));
        self.replica_bytes = self.replica_bytes - replica.size + size;
        replica.record = record;
        replica.size = size;
        replica.expires_at = expires_at;
        replica
    }

    /// Stores a record unless the one already held is at least as new.
    pub(crate) fn store_if_newer(&mut self, now: Micros, key: &JobKey, record: JobRecord) {
        if self.replicas.get(key).is_none_or(|replica| record.is_newer_than(&replica.record)) {
            self.store_replica(now, key, record);
        }
    }

    pub(crate) fn drop_replica(&mut self, key: &JobKey) -> Option<ReplicaRecord> {
        let replica = self.replicas.remove(key)?;
        self.replica_bytes -= replica.size;
        self.awaiting_replicas.remove(key);
        Some(replica)
    }

    pub(crate) fn handle_replicate(&mut self, now: Micros, from: ProcessId, snapshot: RecordSnapshot) {
        let (key, record) = snapshot.into_record(now);
        if key.coordinator(&self.members) != Some(from) {
            self.counters.stale_messages += 1;
            return;
        }
        let (term, claim_id, version) = (self.term, record.claim_id, record.version);
        let urgent = record.requires_ack && record.outcome.is_none();
        self.store_replica(now, &key, record).owner_reported = true;
        self.send_with(from, Message::Ack { term, key, claim_id, version }, urgent);
    }

    pub(crate) fn handle_replica_timeouts(&mut self, now: Micros) {
        self.replace_unresponsive_replicas(now);
        if now < self.last_sweep + SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = now;
        self.discarded_claims.expire(now);
        let expired: Vec<JobKey> = self
            .replicas
            .iter()
            .filter(|(_, replica)| now >= replica.expires_at)
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            self.drop_replica(&key);
        }
    }
}
