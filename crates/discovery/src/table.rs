//! The endpoint table: the only place that decides whether an endpoint is ready, draining or gone.
//!
//! **Invariant.** Only a complete update of this scheduler's own list makes an endpoint ready, be it for the first time
//! or again. Three other sources can take one out of use meanwhile: a partial update, a peer that holds a newer list
//! (both by a status override), and the endpoint's own signals. An override ends when the list held is as new as it, or
//! when a watch that has worked for long enough since has not confirmed it.
//!
//! | file | what it does |
//! | --- | --- |
//! | `table.rs` | look-ups; complete updates; forgetting endpoints that are gone |
//! | `table/overrides.rs` | status overrides: set, settled, expired |
//! | `table/suspicion.rs` | suspects by their own signals; drain probabilities during a rollout |
//! | `table/status_changes.rs` | collects changes of statuses for the log |

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

/// Endpoints that are gone are forgotten after this long, and their ids reused: no job that was sent to one is in flight
/// any more, for clients wait some seconds only.
const GONE_RETENTION: Millis = 600_000.0;

/// An update of a list that has come completely, or the cached list.
pub(crate) struct ListUpdate {
    pub(crate) revision: u64,
    pub(crate) source: StatusSource,
    /// It names all endpoints there are; others are gone.
    pub(crate) is_snapshot: bool,
    /// When the request that brought it was opened.
    pub(crate) requested_at: Millis,
}

/// An endpoint that is gone, in the order in which they went.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct GoneEndpoint {
    /// The time as bits, which order as times after the clock's zero do.
    since_bits: u64,
    id: WorkerId,
}

impl GoneEndpoint {
    fn forget_at(self) -> Millis {
        Millis::from_bits(self.since_bits) + GONE_RETENTION
    }
}

/// How many endpoints there are, by their statuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Availability {
    /// Endpoints that are not gone.
    pub listed: usize,
    /// Of these, the ones that take new work.
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
    /// Endpoints with a status override or with evidence against them.
    under_review: BTreeSet<WorkerId>,
    /// Endpoints whose entries the policy has to be given.
    changed: BTreeSet<WorkerId>,
    status_changes: StatusChanges,
    revision: Option<u64>,
    /// When the revision held arrived.
    revision_at: Millis,
    /// Number of complete updates so far.
    update_count: u64,
    /// Endpoints that are ready by the list.
    listed_ready: usize,
    rollout: RolloutEstimate,
    /// Some endpoint has a drain probability at present.
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

    /// When the revision held arrived.
    pub(crate) fn revision_at(&self) -> Millis {
        self.revision_at
    }

    /// Endpoints that are ready by the list.
    pub(crate) fn listed_ready(&self) -> usize {
        self.listed_ready
    }

    pub(crate) fn len(&self) -> usize {
        self.ids_by_name.len()
    }

    /// All endpoints with their statuses.
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

    /// Discovery counts revisions from anew: what was known under the old ones stays until a snapshot comes.
    pub(crate) fn restart_revisions(&mut self) {
        self.revision = None;
        for endpoint in self.endpoints.iter_mut().flatten() {
            endpoint.revision = 0;
            if let Some(status_override) = &mut endpoint.status_override {
                status_override.revisions_restarted = true;
            }
        }
    }

    /// Applies a complete update; gives the changes to send to peers.
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
            changes.extend(self.remove_unnamed(now, update));
        }
        if self.revision != Some(update.revision) {
            self.revision_at = now;
        }
        self.revision = Some(update.revision);
        self.settle_overrides(update);
        changes
    }

    /// Applies one entry of a complete update; gives the change to send to peers, if there is one.
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
        let override_settled =
            endpoint.status_override.take_if(|report| report.is_settled_by_entry(update.revision)).is_some();
        let record = EndpointRecord { address: record.address.or(endpoint.record.address), ..record };
        if endpoint.record == record && !override_settled && endpoint.evidence.is_negligible(now) {
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

    /// Replaces the record of an endpoint. A confirmed list undoes whatever was inferred from signals.
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
            self.under_review.remove(&id);
        }
        let stayed_ready = before.readiness == Readiness::Ready && listed == Readiness::Ready;
        if restarted && stayed_ready && before.started_at.is_some() {
            // It went through a drain that was never seen here: a rollout may be in progress.
            self.rollout.record_removed(now, group);
            self.rollout.record_added(now, group);
        }
        self.on_listed_change(now, id, before.readiness, listed, group);
        self.changed.insert(id);
    }

    /// Keeps up what follows from a change of the readiness by the list.
    fn on_listed_change(
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
            // The first list is no rollout.
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

    /// Marks all endpoints as gone that a snapshot has not named; gives the changes to send to peers.
    fn remove_unnamed(&mut self, now: Millis, update: &ListUpdate) -> Vec<EndpointChange> {
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
            endpoint.status_override.take_if(|report| report.is_settled_by_entry(update.revision));
            let group = endpoint.group();
            changes.push(endpoint.listed_change(update.revision));
            if endpoint.status_override.is_none() {
                self.under_review.remove(&id);
            }
            self.on_listed_change(now, id, listed_before, Readiness::Gone, group);
            self.changed.insert(id);
            let source = StatusChangeSource::Reported(update.source);
            self.status_changes.record(id, status_before, Readiness::Gone, source, update.revision);
        }
        changes
    }

    /// Forgets endpoints that have been gone for long, and overrides that have expired. `fresh_since`: since when a watch
    /// has worked without a break, if one does.
    pub(crate) fn expire(&mut self, now: Millis, fresh_since: Option<Millis>) {
        while let Some(&gone) = self.gone.first()
            && now >= gone.forget_at()
        {
            self.gone.pop_first();
            self.forget(gone.id);
        }
        self.expire_overrides(now, fresh_since);
    }

    fn forget(&mut self, id: WorkerId) {
        let Some(endpoint) = self.endpoints[id].take() else { return };
        self.ids_by_name.remove(&endpoint.record.name);
        let tag = name_tag(endpoint.name_hash);
        if self.ids_by_tag.get(&tag) == Some(&id) {
            self.ids_by_tag.remove(&tag);
        }
        self.under_review.remove(&id);
        self.changed.remove(&id);
        self.status_changes.forget(id);
        self.free_ids.push(id);
    }

    /// When an endpoint is to be forgotten next.
    pub(crate) fn next_timeout(&self) -> Millis {
        self.gone.first().map_or(Millis::INFINITY, |gone| gone.forget_at())
    }

    /// The events for the statuses that have changed since the last call.
    pub(crate) fn take_status_events(&mut self) -> Vec<Event> {
        let endpoints = &self.endpoints;
        self.status_changes.take_events(|id| endpoints.get(id)?.as_ref())
    }

    /// The entries that have changed since the last call, for the policy.
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
