//! The recent endpoint list changes that a scheduler has learned from its own list or from gossip.
//!
//! Only the newest change of each endpoint is kept. Two schedulers compare their states by a digest, so that
//! a peer that lacks no change is sent none (anti-entropy, as in the paper cited in [`super`]).

use super::message::{EndpointChange, name_tag};
use brackenledge_policy::Millis;
use brackenledge_policy::hashing::hash;
use std::collections::{BTreeMap, VecDeque};

/// How long a change is kept. A peer may restart with a cached list that is this old.
const RETENTION: Millis = 600_000.0;
/// Maximum number of endpoints whose changes are kept.
const MAX_RETAINED_CHANGES: usize = 4_096;

/// Whether a change is new to this scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Novelty {
    /// No change of the endpoint was known, or an older one to a different readiness.
    New,
    /// The readiness or a change at least as new was already known.
    Known,
}

/// A change and the scheduler that reported it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ReportedChange {
    /// The ordinal of the peer that sent the change, or this scheduler's own.
    pub(crate) reporter: u16,
    pub(crate) change: EndpointChange,
}

struct RecentChange {
    learned_at: Millis,
    reported: ReportedChange,
}

impl RecentChange {
    fn change(&self) -> EndpointChange {
        self.reported.change
    }
}

/// The time at which a change of an endpoint was learned, from which its expiry is computed.
#[derive(Clone, Copy)]
struct ExpiryEntry {
    at: Millis,
    tag: u64,
}

/// The newest change of each endpoint that has changed recently.
#[derive(Default)]
pub(super) struct RecentChanges {
    by_tag: BTreeMap<u64, RecentChange>,
    /// In the order in which the changes were learned. An endpoint has one entry for each of its changes, of
    /// which only the last one is current.
    expiry_queue: VecDeque<ExpiryEntry>,
}

impl RecentChanges {
    /// Stores a change unless one at least as new of the same endpoint is known. A newer change to the same
    /// readiness replaces the older one too, so that all schedulers converge.
    pub(super) fn insert(&mut self, now: Millis, reported: ReportedChange) -> Novelty {
        let change = reported.change;
        let known = self.by_tag.get(&change.tag).map(RecentChange::change);
        if known.is_some_and(|known| known.revision >= change.revision) {
            return Novelty::Known;
        }
        self.by_tag.insert(change.tag, RecentChange { learned_at: now, reported });
        self.expiry_queue.push_back(ExpiryEntry { at: now, tag: change.tag });
        match known {
            Some(known) if known.readiness == change.readiness => Novelty::Known,
            _ => Novelty::New,
        }
    }

    /// Removes expired changes, and the oldest ones beyond the maximum number.
    pub(super) fn expire(&mut self, now: Millis) {
        while let Some(&ExpiryEntry { at, tag }) = self.expiry_queue.front() {
            let is_current = self.by_tag.get(&tag).is_some_and(|recent| recent.learned_at == at);
            if is_current && now < at + RETENTION && self.by_tag.len() <= MAX_RETAINED_CHANGES {
                return;
            }
            self.expiry_queue.pop_front();
            if is_current {
                self.by_tag.remove(&tag);
            }
        }
    }

    pub(super) fn clear(&mut self) {
        *self = RecentChanges::default();
    }

    /// The newest change of the endpoint with this name tag.
    pub(super) fn get(&self, tag: u64) -> Option<ReportedChange> {
        self.by_tag.get(&tag).map(|recent| recent.reported)
    }

    /// The changes that are newer than a list of revision `held`.
    pub(super) fn newer_than(&self, held: u64) -> impl Iterator<Item = EndpointChange> + '_ {
        self.by_tag.values().map(RecentChange::change).filter(move |change| change.revision > held)
    }

    /// An order-independent digest of [`RecentChanges::newer_than`]; 0 if there are none.
    pub(super) fn digest(&self, held: u64) -> u64 {
        name_tag(self.newer_than(held).map(digest_of).fold(0, |digest, change| digest ^ change))
    }
}

/// The digest of one change. It excludes the revision, because schedulers may have learned the same change
/// from updates of different revisions.
fn digest_of(change: EndpointChange) -> u64 {
    hash(&format!("{} {}", change.tag, change.readiness as u64))
}
