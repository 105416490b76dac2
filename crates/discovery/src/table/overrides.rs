//! Status overrides of the endpoint table: reports that take an endpoint out of use before the own list does.

use super::{EndpointTable, ListUpdate};
use crate::endpoint::{StatusOverride, StatusSource};
use crate::event::StatusChangeSource;
use brackenledge_policy::{Millis, Readiness, WorkerId};

/// An override that no list has confirmed or settled is dropped once a watch has worked for so long since, lest one false
/// report last for good. Time without a watch does not count: the list held then may be older than the report.
const OVERRIDE_TTL: Millis = 60_000.0;

impl EndpointTable {
    /// An entry of an update that is not complete yet takes an endpoint out of use.
    pub(crate) fn withdraw(&mut self, now: Millis, id: WorkerId, readiness: Readiness) {
        let revision = self.revision.unwrap_or(0) + 1;
        self.set_override(now, id, readiness, revision, StatusSource::PartialUpdate);
    }

    /// Takes in a report that is newer than the list held. Older reports change nothing, nor do those of a ready
    /// endpoint: what an override hides is the own list, which is older than it, and so older than the endpoint's
    /// return. Tells whether a ready endpoint has been taken out of use.
    pub(crate) fn set_override(
        &mut self,
        now: Millis,
        id: WorkerId,
        readiness: Readiness,
        revision: u64,
        source: StatusSource,
    ) -> bool {
        let held = self.revision.unwrap_or(0);
        let Some(endpoint) = self.get_mut(id) else { return false };
        let outdated =
            revision <= held || endpoint.status_override.is_some_and(|current| current.revision > revision);
        if readiness == Readiness::Ready || outdated || endpoint.record.readiness != Readiness::Ready {
            return false;
        }
        let before = endpoint.readiness();
        endpoint.status_override = Some(StatusOverride {
            readiness,
            source,
            revision,
            received_at: now,
            revisions_restarted: false,
        });
        let after = endpoint.readiness();
        self.under_review.insert(id);
        if before != after {
            self.changed.insert(id);
        }
        self.status_changes.record(id, before, after, StatusChangeSource::Reported(source), revision);
        before == Readiness::Ready
    }

    /// Drops the overrides that a complete update has settled.
    pub(super) fn settle_overrides(&mut self, update: &ListUpdate) {
        let source = StatusChangeSource::Reported(update.source);
        for id in self.under_review.clone() {
            let Some(endpoint) = self.get_mut(id) else { continue };
            let before = endpoint.readiness();
            let settled = endpoint.status_override.take_if(|report| report.is_settled_by_update(update));
            if settled.is_some() {
                let after = endpoint.readiness();
                self.changed.insert(id);
                self.status_changes.record(id, before, after, source, update.revision);
            }
        }
    }

    /// Drops overrides that have outlived their TTL, and ends the review of endpoints without override or evidence.
    pub(super) fn expire_overrides(&mut self, now: Millis, fresh_since: Option<Millis>) {
        let expired = |report: &mut StatusOverride| {
            fresh_since.is_some_and(|since| now >= report.received_at.max(since) + OVERRIDE_TTL)
        };
        for id in self.under_review.clone() {
            let Some(endpoint) = self.get_mut(id) else { continue };
            let before = endpoint.readiness();
            let dropped = endpoint.status_override.take_if(expired);
            let after = endpoint.readiness();
            let nothing_left = endpoint.status_override.is_none()
                && !endpoint.suspected
                && endpoint.evidence.is_negligible(now);
            if let Some(dropped) = dropped {
                self.changed.insert(id);
                let source = StatusChangeSource::OverrideExpired;
                self.status_changes.record(id, before, after, source, dropped.revision);
            }
            if nothing_left {
                self.under_review.remove(&id);
            }
        }
    }
}
