//! Collects status changes until they are logged.
//!
//! A change by a partial update is usually confirmed soon by the rest of that update. It is then logged once,
//! as a change by the complete update.

use crate::endpoint::Endpoint;
use crate::event::{Event, StatusChange, StatusChangeSource, StatusChangeSummary};
use brackenledge_policy::{Readiness, WorkerId};
use std::collections::BTreeMap;

/// Maximum number of simultaneous changes that are logged one by one; more are logged as a single summary.
const MAX_SINGLE_EVENTS: usize = 20;

/// A status change that has not been logged yet.
struct PendingChange {
    from: Readiness,
    source: StatusChangeSource,
    revision: u64,
}

/// Status changes that have not been logged yet, by endpoint.
#[derive(Default)]
pub(super) struct StatusChanges {
    pending: BTreeMap<WorkerId, PendingChange>,
}

impl StatusChanges {
    /// Records a status change; does nothing if `from` and `to` are the same. Several changes of an endpoint
    /// are merged into one with the original status and the latest source and revision.
    pub(super) fn record(
        &mut self,
        id: WorkerId,
        from: Readiness,
        to: Readiness,
        source: StatusChangeSource,
        revision: u64,
    ) {
        if from == to {
            return;
        }
        let pending = self.pending.entry(id).or_insert(PendingChange { from, source, revision });
        (pending.source, pending.revision) = (source, revision);
    }

    /// Attributes a pending change of the endpoint to the complete update that has confirmed it.
    pub(super) fn confirm(&mut self, id: WorkerId, source: StatusChangeSource, revision: u64) {
        if let Some(pending) = self.pending.get_mut(&id) {
            (pending.source, pending.revision) = (source, revision);
        }
    }

    /// Discards a pending change of an endpoint that is being removed, since its id may be reused.
    pub(super) fn discard(&mut self, id: WorkerId) {
        self.pending.remove(&id);
    }

    /// Takes the events for all changes since the last call. Statuses that have returned to their original
    /// value are omitted.
    pub(super) fn take_events<'a>(
        &mut self,
        endpoint: impl Fn(WorkerId) -> Option<&'a Endpoint>,
    ) -> Vec<Event> {
        let changes: Vec<(&Endpoint, PendingChange)> = std::mem::take(&mut self.pending)
            .into_iter()
            .filter_map(|(id, change)| Some((endpoint(id)?, change)))
            .filter(|(endpoint, change)| endpoint.readiness() != change.from)
            .collect();
        if changes.len() > MAX_SINGLE_EVENTS {
            return vec![Event::EndpointStatusChangedMany(summarize(&changes))];
        }
        let event = |(endpoint, change): (&Endpoint, PendingChange)| {
            Event::EndpointStatusChanged(StatusChange {
                endpoint: endpoint.record.name.clone(),
                from: change.from,
                to: endpoint.readiness(),
                source: change.source,
                revision: change.revision,
            })
        };
        changes.into_iter().map(event).collect()
    }
}

fn summarize(changes: &[(&Endpoint, PendingChange)]) -> StatusChangeSummary {
    let mut summary = StatusChangeSummary::default();
    for (endpoint, change) in changes {
        match endpoint.readiness() {
            Readiness::Ready => summary.to_ready += 1,
            Readiness::Draining => summary.to_draining += 1,
            Readiness::Gone => summary.to_gone += 1,
        }
        summary.revision = summary.revision.max(change.revision);
    }
    let first = changes.first().map(|(_, change)| change.source);
    summary.source = first.filter(|&source| changes.iter().all(|(_, change)| change.source == source));
    summary
}
