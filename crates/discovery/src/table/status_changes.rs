//! Collects changes of endpoints' statuses until they are written to the log.
//!
//! A change by a partial update is usually confirmed by the rest of that update soon after; it is then logged once, as a
//! change by the complete update.

use crate::endpoint::Endpoint;
use crate::event::{Event, StatusChange, StatusChangeSource, StatusChangeSummary};
use brackenledge_policy::{Readiness, WorkerId};
use std::collections::BTreeMap;

/// More changes than this at one time are logged as one event with their counts.
const MAX_SINGLE_EVENTS: usize = 20;

/// A change that has not been logged.
struct PendingChange {
    from: Readiness,
    source: StatusChangeSource,
    revision: u64,
}

/// Changes that have not been logged, by endpoint.
#[derive(Default)]
pub(super) struct StatusChanges {
    pending: BTreeMap<WorkerId, PendingChange>,
}

impl StatusChanges {
    /// A status may have changed.
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

    /// A complete update has confirmed the endpoint's status: a change that is not logged yet is attributed to it.
    pub(super) fn confirm(&mut self, id: WorkerId, source: StatusChangeSource, revision: u64) {
        if let Some(pending) = self.pending.get_mut(&id) {
            (pending.source, pending.revision) = (source, revision);
        }
    }

    /// The endpoint is forgotten, and its id may be reused.
    pub(super) fn forget(&mut self, id: WorkerId) {
        self.pending.remove(&id);
    }

    /// The events for all changes since the last call.
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
