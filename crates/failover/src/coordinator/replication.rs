//! The coordinator keeps each record at the wanted number of replicas, and confirms to the owner which
//! version they have acknowledged.

use crate::job_key::JobKey;
use crate::{Failover, Message, Micros, ProcessId};

impl Failover {
    /// Sends a record to further replicas until it has the wanted number of them, and confirms its current
    /// version to the owner once the needed number have acknowledged it. Needed are as many as
    /// `Settings::replication_factor` requires besides the coordinator's copy; wanted are these and
    /// `ReplicaRecord::extra_replicas`. Both are limited by the number of members.
    pub(super) fn ensure_replicated(&mut self, now: Micros, key: &JobKey) {
        if !self.all_reported {
            return;
        }
        let Some(replica) = self.replicas.get(key) else { return };
        let owner = replica.record.owner;
        let urgent = replica.record.requires_ack && replica.record.outcome.is_none();
        // All members except this process and the owner can be further replicas.
        let eligible = self.members.len() - 1 - usize::from(owner != self.local);
        let coordinator_copies = usize::from(owner != self.local);
        let needed = self.settings.replication_factor.saturating_sub(coordinator_copies).min(eligible);
        let wanted = (needed + replica.extra_replicas).min(eligible);
        let added = self.add_replicas(key, wanted);
        let replica = self.replicas.get(key).filter(|_| !added.is_empty());
        let snapshot = replica.map(|replica| replica.record.snapshot(now, key));
        let confirmation = self.confirm_version(now, key, needed);
        let term = self.term;
        for (other, record) in added.into_iter().zip(std::iter::repeat(snapshot).flatten()) {
            self.send_with(other, Message::Replicate { term, record }, urgent);
        }
        if let Some(message) = confirmation {
            self.send_with(owner, message, urgent);
        }
    }

    /// Chooses further replicas of a record until it has the wanted number, and returns the new ones. Members
    /// in zones without the coordinator, the owner or another replica are preferred.
    fn add_replicas(&mut self, key: &JobKey, wanted: usize) -> Vec<ProcessId> {
        let Some(replica) = self.replicas.get_mut(key) else { return Vec::new() };
        if replica.acked_versions.len() >= wanted {
            return Vec::new();
        }
        let (local, owner) = (self.local, replica.record.owner);
        let zone = |ordinal: u16| self.zones.get(&ordinal).copied();
        let mut candidates = key.members_by_rank(&self.members);
        candidates.retain(|other| {
            *other != local && *other != owner && !replica.acked_versions.contains_key(&other.ordinal)
        });
        let mut added = Vec::new();
        while replica.acked_versions.len() < wanted {
            let holders =
                [local.ordinal, owner.ordinal].into_iter().chain(replica.acked_versions.keys().copied());
            let covered_zones: Vec<Option<u32>> = holders.map(zone).collect();
            let next = (0..candidates.len())
                .min_by_key(|&index| covered_zones.contains(&zone(candidates[index].ordinal)));
            let Some(next) = next.map(|index| candidates.remove(index)) else { break };
            replica.acked_versions.insert(next.ordinal, None);
            added.push(next);
        }
        added
    }

    /// Returns the message that confirms to the owner that enough replicas have the record's current version,
    /// or `None` if they do not or if that version is already confirmed.
    fn confirm_version(&mut self, now: Micros, key: &JobKey, needed: usize) -> Option<Message> {
        let term = self.term;
        let replica = self.replicas.get_mut(key)?;
        let version = replica.record.version;
        let acknowledged = replica.acked_versions.values().filter(|&&acked| acked >= Some(version)).count();
        if acknowledged < needed {
            if replica.awaiting_since.is_none() {
                replica.awaiting_since = Some(now);
                self.awaiting_replicas.insert(key.clone());
            }
            return None;
        }
        replica.awaiting_since = None;
        self.awaiting_replicas.remove(key);
        if replica.confirmed_version >= Some(version) {
            return None;
        }
        replica.confirmed_version = Some(version);
        let (key, claim_id) = (key.clone(), replica.record.claim_id);
        let ownership_epoch = replica.record.ownership_epoch;
        Some(match std::mem::take(&mut replica.grant_pending) {
            true => Message::ClaimGranted { term, key, claim_id, ownership_epoch, version },
            false => Message::Ack { term, key, claim_id, version },
        })
    }

    /// Forwards an owner's message to the further replicas of a record.
    pub(super) fn forward(&mut self, key: &JobKey, message: &Message, urgent: bool) {
        let Some(replica) = self.replicas.get(key) else { return };
        let ordinals = replica.acked_versions.keys();
        let replicas: Vec<ProcessId> = ordinals.filter_map(|&ordinal| self.members.get(ordinal)).collect();
        for other in replicas {
            self.send_with(other, message.clone(), urgent);
        }
    }

    /// Handles an acknowledgement, which a replica sends to the coordinator and the coordinator to the owner.
    pub(crate) fn handle_ack(
        &mut self,
        now: Micros,
        from: ProcessId,
        key: JobKey,
        claim_id: u64,
        version: u32,
    ) {
        if from == self.local || !self.is_coordinator(&key) {
            self.handle_coordinator_ack(now, from, &key, claim_id, version);
            return;
        }
        let replica = self.replicas.get_mut(&key).filter(|replica| replica.record.claim_id == claim_id);
        if let Some(acked) = replica.and_then(|replica| replica.acked_versions.get_mut(&from.ordinal)) {
            *acked = (*acked).max(Some(version));
            self.ensure_replicated(now, &key);
        }
    }

    /// Adds a replica to each record whose replicas have not acknowledged it in time.
    pub(crate) fn replace_unresponsive_replicas(&mut self, now: Micros) {
        let timeout = self.settings.replica_timeout;
        // If many replicas do not answer, more of them would not help.
        let max_extra = 2 * self.settings.replication_factor;
        for key in self.awaiting_replicas.clone() {
            let Some(replica) = self.replicas.get_mut(&key) else { continue };
            if replica.awaiting_since.is_some_and(|since| now >= since + timeout) {
                replica.extra_replicas = (replica.extra_replicas + 1).min(max_extra);
                replica.awaiting_since = Some(now);
                self.ensure_replicated(now, &key);
            }
        }
    }
}
