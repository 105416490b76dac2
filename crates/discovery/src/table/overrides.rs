//! Status overrides: reports that an endpoint is draining or gone which arrive before this scheduler's own
//! list says so.

use super::{EndpointTable, ListUpdate};
use crate::endpoint::{StatusOverride, StatusSource};
use crate::event::StatusChangeSource;
use brackenledge_policy::{Millis, Readiness, WorkerId};

/// An override that no update supersedes expires once a watch has worked without interruption for this long
/// after the override was received. Otherwise a single false report would last forever. Time without a
/// working watch does not count, because the held list may then be older than the report.
const OVERRIDE_TTL: Millis = 60_000.0;

impl EndpointTable {
    /// Withdraws an endpoint because of an entry in an incomplete update. The revision of the update is
    /// known only at its end, so it is assumed to be the one after the held revision.
    pub(crate) fn withdraw(&mut self, now: Millis, id: WorkerId, readiness: Readiness) {
        let revision = self.revision.unwrap_or(0) + 1;
        self.set_override(now, id, readiness, revision, StatusSource::PartialUpdate);
    }

    /// Sets a status override if the held list says that the endpoint is ready, and the report is newer than
    /// that list and not older than the current override. A report that an endpoint is ready again has no
    /// effect: without the override the endpoint would be ready by this scheduler's own list, which dates
    /// from before the withdrawal and does not show the endpoint's return. Returns whether a ready endpoint
    /// was withdrawn.
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
        self.with_override_or_evidence.insert(id);
        if before != after {
            self.changed.insert(id);
        }
        self.status_changes.record(id, before, after, StatusChangeSource::Reported(source), revision);
        before == Readiness::Ready
    }

    /// Drops the overrides that a complete update has superseded.
    pub(super) fn drop_superseded_overrides(&mut self, update: &ListUpdate) {
        let source = StatusChangeSource::Reported(update.source);
        for id in self.with_override_or_evidence.clone() {
            let Some(endpoint) = self.get_mut(id) else { continue };
            let before = endpoint.readiness();
            let superseded =
                endpoint.status_override.take_if(|report| report.is_superseded_by_update(update));
            if superseded.is_some() {
                let after = endpoint.readiness();
                self.changed.insert(id);
                self.status_changes.record(id, before, after, source, update.revision);
            }
        }
    }

    /// Drops expired overrides, and stops tracking endpoints that have neither an override nor evidence left.
    pub(super) fn expire_overrides(&mut self, now: Millis, fresh_since: Option<Millis>) {
        let expired = |report: &mut StatusOverride| {
            fresh_since.is_some_and(|since| now >= report.received_at.max(since) + OVERRIDE_TTL)
        };
        for id in self.with_override_or_evidence.clone() {
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
                self.with_override_or_evidence.remove(&id);
            }
        }
    }
}
