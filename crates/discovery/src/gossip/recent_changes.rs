//! The changes of the endpoint list that a scheduler has learned lately, whether from its own list or by gossip.
//!
//! Only the newest change of each endpoint is kept. The state of two schedulers is compared by a digest, so that a peer
//! that lacks nothing is sent nothing (anti-entropy, as in the paper named in [`super`]).

use super::message::{EndpointChange, name_tag};
use brackenledge_policy::Millis;
use brackenledge_policy::hashing::hash;
use std::collections::{BTreeMap, VecDeque};

/// For how long a change is kept: a peer may have restarted with a list that was cached long ago.
const RETENTION: Millis = 600_000.0;
/// Most changes that are kept.
const MAX_CHANGES: usize = 4_096;

/// What is new in a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Novelty {
    /// The endpoint's readiness by it was not known.
    News,
    /// The endpoint was known to have this readiness.
    Known,
}

/// A change with the scheduler that reported it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ReportedChange {
    /// The ordinal of the peer whose message brought it, or the own one.
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

/// When a change was learned, for its expiry.
#[derive(Clone, Copy)]
struct Learned {
    at: Millis,
    tag: u64,
}

/// The newest change of each endpoint that has changed lately.
#[derive(Default)]
pub(super) struct RecentChanges {
    by_tag: BTreeMap<u64, RecentChange>,
    /// In the order in which they were learned; an endpoint that has changed again since has a later entry too.
    learned: VecDeque<Learned>,
}

impl RecentChanges {
    /// Takes a change in, unless a newer one of its endpoint is known. One that is newer and says the same replaces the
    /// older one, so that all schedulers come to hold the same.
    pub(super) fn remember(&mut self, now: Millis, reported: ReportedChange) -> Novelty {
        let change = reported.change;
        let known = self.by_tag.get(&change.tag).map(RecentChange::change);
        if known.is_some_and(|known| known.revision >= change.revision) {
            return Novelty::Known;
        }
        self.by_tag.insert(change.tag, RecentChange { learned_at: now, reported });
        self.learned.push_back(Learned { at: now, tag: change.tag });
        match known {
            Some(known) if known.readiness == change.readiness => Novelty::Known,
            _ => Novelty::News,
        }
    }

    /// Forgets what is too old or too much.
    pub(super) fn expire(&mut self, now: Millis) {
        while let Some(&Learned { at, tag }) = self.learned.front() {
            let is_current = self.by_tag.get(&tag).is_some_and(|recent| recent.learned_at == at);
            if is_current && now < at + RETENTION && self.by_tag.len() <= MAX_CHANGES {
                return;
            }
            self.learned.pop_front();
            if is_current {
                self.by_tag.remove(&tag);
            }
        }
    }

    pub(super) fn clear(&mut self) {
        *self = RecentChanges::default();
    }

    /// The newest change of this endpoint.
    pub(super) fn get(&self, tag: u64) -> Option<ReportedChange> {
        self.by_tag.get(&tag).map(|recent| recent.reported)
    }

    /// The changes that a list of revision `held` does not hold.
    pub(super) fn newer_than(&self, held: u64) -> impl Iterator<Item = EndpointChange> + '_ {
        self.by_tag.values().map(RecentChange::change).filter(move |change| change.revision > held)
    }

    /// A digest of [`RecentChanges::newer_than`]: the same wherever these are the same, and 0 where there are none.
    pub(super) fn digest(&self, held: u64) -> u64 {
        name_tag(self.newer_than(held).map(digest_of).fold(0, |digest, change| digest ^ change))
    }
}

/// The revision does not count: schedulers may have learned a change from updates of different revisions.
fn digest_of(change: EndpointChange) -> u64 {
    hash(&format!("{} {}", change.tag, change.readiness as u64))
}
