//! Inferences while discovery is silent: which endpoints are suspected of draining because of their signals,
//! and the drain probabilities of endpoints that a rollout has not replaced yet.

use super::EndpointTable;
use crate::client::Freshness;
use crate::endpoint::{Endpoint, StatusSource};
use crate::event::StatusChangeSource;
use crate::rollout::PlacementGroup;
use crate::signals::EndpointSignal;
use brackenledge_policy::{Millis, Readiness, WorkerId};
use std::collections::BTreeMap;

/// Maximum fraction of the endpoints listed as ready that may be suspected at once.
const MAX_SUSPECT_FRACTION: f64 = 0.5;

impl EndpointTable {
    /// Adds a signal to the evidence against an endpoint listed as ready. Returns whether the evidence now
    /// contradicts its `suspected` flag, so that [`EndpointTable::update_inferred_statuses`] is to be called.
    pub(crate) fn add_signal(&mut self, now: Millis, id: WorkerId, signal: EndpointSignal) -> bool {
        let Some(endpoint) = self.get_mut(id) else { return false };
        if endpoint.record.readiness != Readiness::Ready {
            return false;
        }
        endpoint.evidence.add(now, signal);
        let suspected = endpoint.suspected;
        if endpoint.evidence.is_negligible(now) && endpoint.status_override.is_none() && !suspected {
            return false;
        }
        let update_needed = endpoint.has_drain_evidence(now) != suspected;
        self.with_override_or_evidence.insert(id);
        update_needed
    }

    /// Re-evaluates suspicions and drain probabilities. Neither applies while the list is fresh.
    pub(crate) fn update_inferred_statuses(&mut self, now: Millis, freshness: Freshness) {
        let unconfirmed = freshness != Freshness::Fresh;
        let max_suspects =
            if unconfirmed { (MAX_SUSPECT_FRACTION * self.listed_ready as f64) as usize } else { 0 };
        self.update_suspects(now, max_suspects);
        let rollout_applies = self.rollout.refresh(now) && unconfirmed;
        if rollout_applies || self.rollout_applied {
            self.apply_rollout(rollout_applies);
        }
    }

    /// Marks up to `max_suspects` endpoints with sufficient evidence as suspected, those with the most
    /// evidence first, and clears the others.
    fn update_suspects(&mut self, now: Millis, max_suspects: usize) {
        let evidence = |&id: &WorkerId| self.get(id).map_or(0.0, |endpoint| endpoint.evidence.value(now));
        let suffices = |&id: &WorkerId| self.get(id).is_some_and(|endpoint| endpoint.has_drain_evidence(now));
        let mut suspects: Vec<WorkerId> =
            self.with_override_or_evidence.iter().copied().filter(suffices).collect();
        suspects.sort_by(|a, b| evidence(b).total_cmp(&evidence(a)).then(a.cmp(b)));
        suspects.truncate(max_suspects);
        for id in self.with_override_or_evidence.clone() {
            self.set_suspected(now, id, suspects.contains(&id));
        }
    }

    fn set_suspected(&mut self, now: Millis, id: WorkerId, suspected: bool) {
        let Some(endpoint) = self.get_mut(id).filter(|endpoint| endpoint.suspected != suspected) else {
            return;
        };
        let before = endpoint.readiness();
        (endpoint.suspected, endpoint.suspected_at) = (suspected, now);
        let (after, revision) = (endpoint.readiness(), endpoint.revision);
        self.changed.insert(id);
        let source = if suspected {
            StatusChangeSource::Reported(StatusSource::Signals)
        } else {
            StatusChangeSource::SignalsCleared
        };
        self.status_changes.record(id, before, after, source, revision);
    }

    /// Sets the drain probabilities of the endpoints that predate the rollout in progress, and clears all
    /// others; without a rollout in progress, clears all.
    fn apply_rollout(&mut self, in_progress: bool) {
        self.rollout_applied = in_progress;
        let started_at = self.rollout.started_at();
        let is_old = |endpoint: &Endpoint| {
            endpoint.record.readiness == Readiness::Ready && endpoint.instance_since < started_at
        };
        let mut old_by_group: BTreeMap<PlacementGroup, usize> = BTreeMap::new();
        if in_progress {
            for endpoint in self.endpoints.iter().flatten().filter(|endpoint| is_old(endpoint)) {
                *old_by_group.entry(endpoint.group()).or_default() += 1;
            }
        }
        for (id, endpoint) in self.endpoints.iter_mut().enumerate() {
            let Some(endpoint) = endpoint.as_mut() else { continue };
            let group = endpoint.group();
            let old = old_by_group.get(&group).filter(|_| is_old(endpoint));
            let probability = old.map_or(0.0, |&old| self.rollout.drain_probability(group, old));
            if probability != endpoint.drain_probability {
                endpoint.drain_probability = probability;
                self.changed.insert(id);
            }
        }
    }
}
