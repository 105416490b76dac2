//! The endpoint table, which alone decides whether an endpoint is ready, draining or gone.
//!
//! **Invariant.** Only a complete update of this scheduler's own list makes an endpoint ready, for the first
//! time or again. Three other sources can withdraw a ready endpoint in the meantime: a partial update and a
//! peer with a newer list, both by a status override, and signals derived from the endpoint's behaviour. An
//! override ends when the held list is at least as new, or when a watch has worked for long enough since
//! without confirming it.
//!
//! | file | content |
//! | --- | --- |
//! | `table.rs` | look-ups; complete updates; removal of endpoints that are gone |
//! | `table/overrides.rs` | status overrides: how they are set, superseded and expired |
//! | `table/suspicion.rs` | endpoints suspected of draining; drain probabilities during a rollout |
//! | `table/status_changes.rs` | collects status changes for the log |

mod overrides;
mod status_changes;
mod suspicion;

use crate::endpoint::{Endpoint, EndpointRecord, EndpointStatus, StatusSource};
use crate::event::{Event, StatusChangeSource};
use crate::gossip::{EndpointChange, name_tag};
use crate::rollout::{PlacementGroup, RolloutEstimate};
use brackenledge_policy::{Millis, Readiness, WorkerEntry, WorkerId};
use status_changes::StatusChanges;
use std::collections::{BTreeSet, HashMap};

/// How long gone endpoints are kept before they are removed and their ids are reused. No job is in flight to
/// them by then, because clients wait only a few seconds.
const GONE_RETENTION: Millis = 600_000.0;

/// A complete update, which is one that has arrived to its end, or the cached list. An update contains either
/// all endpoints or only those that have changed.
pub(crate) struct ListUpdate {
    pub(crate) revision: u64,
    pub(crate) source: StatusSource,
    /// Whether it contains all endpoints, so that those missing from it are gone.
    pub(crate) is_snapshot: bool,
    /// When the request that brought it was opened.
    pub(crate) requested_at: Millis,
}

/// A gone endpoint. Ordered by the time at which it went.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct GoneEndpoint {
    /// The bits of the time as a float, whose order is that of the times as long as these are not negative.
    since_bits: u64,
    id: WorkerId,
}

impl GoneEndpoint {
    fn remove_at(self) -> Millis {
        Millis::from_bits(self.since_bits) + GONE_RETENTION
    }
}

/// Number of endpoints by status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Availability {
    /// Endpoints that are not gone.
    pub listed: usize,
    /// Endpoints that are ready, and hence accept new jobs.
    pub ready: usize,
}

/// The table of endpoints, by id and by name.
#[derive(Default)]
pub(crate) struct EndpointTable {
    endpoints: Vec<Option<Endpoint>>,
    ids_by_name: HashMap<String, WorkerId>,
    /// By [`name_tag`].
    ids_by_tag: HashMap<u64, WorkerId>,
    free_ids: Vec<WorkerId>,
    gone: BTreeSet<GoneEndpoint>,
    /// Endpoints with a status override or with evidence of a drain.
    with_override_or_evidence: BTreeSet<WorkerId>,
    /// Endpoints whose changed entries have not been sent to the policy yet.
    changed: BTreeSet<WorkerId>,
    status_changes: StatusChanges,
    /// The revision of the held list; `None` before the first list, and after a restart of the revision
    /// numbering until the next update is applied.
    revision: Option<u64>,
    /// When the held revision arrived.
    revision_at: Millis,
    /// Number of complete updates so far.
    update_count: u64,
    /// Number of endpoints that are ready according to the list.
    listed_ready: usize,
    rollout: RolloutEstimate,
    /// Whether the endpoints' drain probabilities currently reflect a rollout.
    rollout_applied: bool,
}

impl EndpointTable {
    pub(crate) fn get(&self, id: WorkerId) -> Option<&Endpoint> {
        self.endpoints.get(id)?.as_ref()
    }

    fn get_mut(&mut self, id: WorkerId) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(id)?.as_mut()
    }

    pub(crate) fn status(&self, now: Millis, id: WorkerId) -> Option<EndpointStatus> {
        Some(self.get(id)?.status(now))
    }

    pub(crate) fn find(&self, name: &str) -> Option<WorkerId> {
        self.ids_by_name.get(name).copied()
    }

    pub(crate) fn find_by_tag(&self, tag: u64) -> Option<WorkerId> {
        self.ids_by_tag.get(&tag).copied()
    }

    pub(crate) fn name(&self, id: WorkerId) -> Option<&str> {
        self.get(id).map(|endpoint| endpoint.record.name.as_str())
    }

    pub(crate) fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// When the held revision arrived.
    pub(crate) fn revision_at(&self) -> Millis {
        self.revision_at
    }

    /// Number of endpoints that are ready according to the list.
    pub(crate) fn listed_ready(&self) -> usize {
        self.listed_ready
    }

    pub(crate) fn len(&self) -> usize {
        self.ids_by_name.len()
    }

    /// All endpoints with their records and current readiness.
    pub(crate) fn endpoints(&self) -> impl Iterator<Item = (WorkerId, &EndpointRecord, Readiness)> {
        self.endpoints.iter().enumerate().filter_map(|(id, endpoint)| {
            endpoint.as_ref().map(|endpoint| (id, &endpoint.record, endpoint.readiness()))
        })
    }

    pub(crate) fn availability(&self) -> Availability {
        let mut availability = Availability { listed: 0, ready: 0 };
        for endpoint in self.endpoints.iter().flatten() {
            let readiness = endpoint.readiness();
            availability.listed += usize::from(readiness != Readiness::Gone);
            availability.ready += usize::from(readiness == Readiness::Ready);
        }
        availability
    }

    /// Handles a restart of discovery's revision numbering. Endpoints and overrides are kept until a snapshot
    /// arrives.
    pub(crate) fn restart_revisions(&mut self) {
        self.revision = None;
        for endpoint in self.endpoints.iter_mut().flatten() {
            endpoint.revision = 0;
            if let Some(status_override) = &mut endpoint.status_override {
                status_override.revisions_restarted = true;
            }
        }
    }

    /// Applies a complete update, and returns the changes to send to peers.
    pub(crate) fn apply_update(
        &mut self,
        now: Millis,
        update: &ListUpdate,
        records: Vec<EndpointRecord>,
    ) -> Vec<EndpointChange> {
        self.update_count += 1;
        let mut changes: Vec<EndpointChange> =
            records.into_iter().filter_map(|record| self.apply_record(now, update, record)).collect();
        if update.is_snapshot {
            changes.extend(self.mark_unlisted_gone(now, update));
        }
        if self.revision != Some(update.revision) {
            self.revision_at = now;
        }
        self.revision = Some(update.revision);
        self.drop_superseded_overrides(update);
        changes
    }

    /// Applies one entry of a complete update, and returns the change to send to peers, if there is one.
    fn apply_record(
        &mut self,
        now: Millis,
        update: &ListUpdate,
        record: EndpointRecord,
    ) -> Option<EndpointChange> {
        let known = self.find(&record.name);
        if known.is_none() && record.readiness == Readiness::Gone {
            return None;
        }
        let id = known.unwrap_or_else(|| self.add(now, &record));
        let update_count = self.update_count;
        let endpoint = self.get_mut(id)?;
        endpoint.last_update = update_count;
        (endpoint.revision, endpoint.source) = (update.revision, update.source);
        let status_before = endpoint.readiness();
        let override_superseded = endpoint
            .status_override
            .take_if(|report| report.is_superseded_by_entry(update.revision))
            .is_some();
        let record = EndpointRecord { address: record.address.or(endpoint.record.address), ..record };
        if endpoint.record == record && !override_superseded && endpoint.evidence.is_negligible(now) {
            return None;
        }
        let listed_before = endpoint.record.readiness;
        self.replace_record(now, id, record);
        let endpoint = self.get(id)?;
        let change = endpoint.listed_change(update.revision);
        let status = endpoint.readiness();
        if known.is_some() {
            let source = StatusChangeSource::Reported(update.source);
            self.status_changes.record(id, status_before, status, source, update.revision);
            self.status_changes.confirm(id, source, update.revision);
        }
        let changed = change.readiness != listed_before || change.readiness != status_before;
        changed.then_some(change)
    }

    /// Replaces the record of an endpoint. What was inferred from its signals is discarded, since a confirmed
    /// list takes precedence.
    fn replace_record(&mut self, now: Millis, id: WorkerId, record: EndpointRecord) {
        let Some(endpoint) = self.get_mut(id) else { return };
        let (listed, started_at) = (record.readiness, record.started_at);
        let before = std::mem::replace(&mut endpoint.record, record);
        endpoint.evidence = Default::default();
        endpoint.suspected = false;
        let group = endpoint.group();
        if listed != before.readiness {
            endpoint.listed_since = now;
        }
        let restarted = started_at.is_some() && started_at != before.started_at;
        if restarted {
            endpoint.instance_since = now;
        }
        if endpoint.status_override.is_none() {
            self.with_override_or_evidence.remove(&id);
        }
        let stayed_ready = before.readiness == Readiness::Ready && listed == Readiness::Ready;
        if restarted && stayed_ready && before.started_at.is_some() {
            // It drained and restarted without the drain having been seen here, so a rollout may be in
            // progress.
            self.rollout.record_removed(now, group);
            self.rollout.record_added(now, group);
        }
        self.on_listed_readiness_change(now, id, before.readiness, listed, group);
        self.changed.insert(id);
    }

    /// Updates the data derived from the readiness in the list.
    fn on_listed_readiness_change(
        &mut self,
        now: Millis,
        id: WorkerId,
        before: Readiness,
        after: Readiness,
        group: PlacementGroup,
    ) {
        if before == after {
            return;
        }
        self.listed_ready += usize::from(after == Readiness::Ready);
        self.listed_ready -= usize::from(before == Readiness::Ready);
        match (before, after) {
            (Readiness::Ready, _) => self.rollout.record_removed(now, group),
            // Endpoints in the first list, or in the first update after a restart of the revision numbering,
            // are not part of a rollout.
            (_, Readiness::Ready) if self.revision.is_some() => self.rollout.record_added(now, group),
            _ => {}
        }
        if after == Readiness::Gone {
            self.gone.insert(GoneEndpoint { since_bits: now.to_bits(), id });
        } else if before == Readiness::Gone {
            self.gone.retain(|gone| gone.id != id);
        }
    }

    fn add(&mut self, now: Millis, record: &EndpointRecord) -> WorkerId {
        let id = self.free_ids.pop().unwrap_or(self.endpoints.len());
        if id == self.endpoints.len() {
            self.endpoints.push(None);
        }
        let endpoint = Endpoint::new(now, record);
        self.ids_by_name.insert(record.name.clone(), id);
        self.ids_by_tag.insert(name_tag(endpoint.name_hash), id);
        self.endpoints[id] = Some(endpoint);
        id
    }

    /// Marks all endpoints that are missing from a snapshot as gone, and returns the changes to send to
    /// peers.
    fn mark_unlisted_gone(&mut self, now: Millis, update: &ListUpdate) -> Vec<EndpointChange> {
        let mut changes = Vec::new();
        for id in 0..self.endpoints.len() {
            let update_count = self.update_count;
            let Some(endpoint) = self.get_mut(id) else { continue };
            let listed_before = endpoint.record.readiness;
            if endpoint.last_update == update_count || listed_before == Readiness::Gone {
                continue;
            }
            let status_before = endpoint.readiness();
            endpoint.record.readiness = Readiness::Gone;
            (endpoint.listed_since, endpoint.revision) = (now, update.revision);
            endpoint.status_override.take_if(|report| report.is_superseded_by_entry(update.revision));
            let group = endpoint.group();
            changes.push(endpoint.listed_change(update.revision));
            if endpoint.status_override.is_none() {
                self.with_override_or_evidence.remove(&id);
            }
            self.on_listed_readiness_change(now, id, listed_before, Readiness::Gone, group);
            self.changed.insert(id);
            let source = StatusChangeSource::Reported(update.source);
            self.status_changes.record(id, status_before, Readiness::Gone, source, update.revision);
        }
        changes
    }

    /// Removes endpoints whose retention has ended, and overrides that have expired. `fresh_since`: since
    /// when the list has been fresh without interruption; `None` while it is not.
    pub(crate) fn expire(&mut self, now: Millis, fresh_since: Option<Millis>) {
        while let Some(&gone) = self.gone.first()
            && now >= gone.remove_at()
        {
            self.gone.pop_first();
            self.remove(gone.id);
        }
        self.expire_overrides(now, fresh_since);
    }

    fn remove(&mut self, id: WorkerId) {
        let Some(endpoint) = self.endpoints[id].take() else { return };
        self.ids_by_name.remove(&endpoint.record.name);
        let tag = name_tag(endpoint.name_hash);
        if self.ids_by_tag.get(&tag) == Some(&id) {
            self.ids_by_tag.remove(&tag);
        }
        self.with_override_or_evidence.remove(&id);
        self.changed.remove(&id);
        self.status_changes.discard(id);
        self.free_ids.push(id);
    }

    /// When the next endpoint is to be removed; infinite if none is. Overrides have no timeout of their own:
    /// expired ones are dropped by the next call of [`EndpointTable::expire`].
    pub(crate) fn next_timeout(&self) -> Millis {
        self.gone.first().map_or(Millis::INFINITY, |gone| gone.remove_at())
    }

    /// Takes the log events for the statuses that have changed since the last call.
    pub(crate) fn take_status_events(&mut self) -> Vec<Event> {
        let endpoints = &self.endpoints;
        self.status_changes.take_events(|id| endpoints.get(id)?.as_ref())
    }

    /// Takes the entries that have changed since the last call, for the policy.
    pub(crate) fn take_changed_entries(&mut self) -> Vec<WorkerEntry> {
        let changed = std::mem::take(&mut self.changed);
        let entry = |id: WorkerId| {
            let endpoint = self.get(id)?;
            let EndpointRecord { name, zone, kind, cell, weight, started_at, .. } = endpoint.record.clone();
            Some(WorkerEntry {
                id,
                name,
                zone,
                kind,
                cell,
                readiness: endpoint.readiness(),
                weight,
                started_at,
                drain_probability: endpoint.drain_probability(),
            })
        };
        changed.into_iter().filter_map(entry).collect()
    }
}
