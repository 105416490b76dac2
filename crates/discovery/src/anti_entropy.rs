//! When a scheduler asks its peers for changes that gossip has not brought it.
//!
//! A rumour may be lost in part or as a whole, and nobody learns of that: it is sent a few times only, and a peer that has
//! heard of a revision counts as knowing all of it. So each scheduler compares what it knows with what others know (the
//! pulls of [`crate::gossip`]): from time to time, more often while no watch of its own works, and soon after it has
//! heard of a revision that its own list does not hold.

use crate::client::Freshness;
use brackenledge_policy::Millis;
use fastrand::Rng;

/// Between two pulls while no watch works. Several fit into the 6 s after which a change counts as received.
const PULL_INTERVAL_WITHOUT_WATCH: Millis = 700.0;
/// The same while a watch works.
const PULL_INTERVAL: Millis = 4_000.0;
/// Between hearing of a revision and the pull for it: the own watch, or the rest of the rumour, may bring it meanwhile.
const PULL_DELAY: Millis = 300.0;
/// Pulls for one revision at most: the peer may be gone.
const MAX_PULLS: u32 = 15;
/// Times vary by this much to both sides, lest all schedulers pull at once.
const JITTER: f64 = 0.25;
/// Whom to ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PullFrom {
    /// This peer.
    Peer(u16),
    /// Any other scheduler.
    Any,
}

/// A revision that a peer has mentioned and the own list does not hold.
struct HeardOf {
    peer: u16,
    revision: u64,
    pull_at: Millis,
    /// Pulls from the peer so far: a pull or its reply may be lost.
    pulls: u32,
}

/// One scheduler's schedule of pulls.
pub(crate) struct AntiEntropy {
    next_pull_at: Millis,
    heard_of: Option<HeardOf>,
    /// The newest revision that was pulled for.
    pulled_revision: u64,
}

impl AntiEntropy {
    pub(crate) fn new(now: Millis, rng: &mut Rng) -> Self {
        let next_pull_at = now + PULL_INTERVAL_WITHOUT_WATCH * jitter(rng);
        AntiEntropy { next_pull_at, heard_of: None, pulled_revision: 0 }
    }

    /// The own watch works or does not any more.
    pub(crate) fn on_freshness(&mut self, now: Millis, freshness: Freshness, rng: &mut Rng) {
        self.next_pull_at = self.next_pull_at.min(now + interval(freshness) * jitter(rng));
    }

    /// A peer has mentioned this revision; the own list has revision `held`.
    pub(crate) fn on_revision_heard_of(
        &mut self,
        now: Millis,
        peer: u16,
        revision: u64,
        held: u64,
        rng: &mut Rng,
    ) {
        let newest = self.heard_of.as_ref().map_or(0, |heard| heard.revision);
        if revision <= held.max(self.pulled_revision).max(newest) {
            return;
        }
        // A further revision does not put the pull off.
        let pull_at = self.heard_of.as_ref().map_or(now + PULL_DELAY * jitter(rng), |heard| heard.pull_at);
        self.heard_of = Some(HeardOf { peer, revision, pull_at, pulls: 0 });
    }

    /// A peer has replied, and has heard of this revision.
    pub(crate) fn on_reply(&mut self, peer: u16, known: u64) {
        let answered = |heard: &mut HeardOf| heard.peer == peer && heard.pulls > 0 && known >= heard.revision;
        if let Some(heard) = self.heard_of.take_if(answered) {
            self.pulled_revision = heard.revision;
        }
    }

    /// Discovery has restarted its count of revisions: what was heard of before says nothing any more.
    pub(crate) fn restart_revisions(&mut self) {
        (self.heard_of, self.pulled_revision) = (None, 0);
    }

    pub(crate) fn next_timeout(&self) -> Millis {
        self.heard_of.as_ref().map_or(self.next_pull_at, |heard| heard.pull_at.min(self.next_pull_at))
    }

    /// The pull that is due now, if one is.
    pub(crate) fn take_due(
        &mut self,
        now: Millis,
        freshness: Freshness,
        held: u64,
        rng: &mut Rng,
    ) -> Option<PullFrom> {
        if let Some(heard) = self.heard_of.take_if(|heard| heard.revision <= held || heard.pulls >= MAX_PULLS)
        {
            self.pulled_revision = heard.revision;
        }
        if let Some(heard) = self.heard_of.as_mut().filter(|heard| now >= heard.pull_at) {
            heard.pulls += 1;
            heard.pull_at = now + PULL_DELAY * jitter(rng);
            return Some(PullFrom::Peer(heard.peer));
        }
        if now < self.next_pull_at {
            return None;
        }
        self.next_pull_at = now + interval(freshness) * jitter(rng);
        Some(PullFrom::Any)
    }
}

fn interval(freshness: Freshness) -> Millis {
    if freshness == Freshness::Fresh { PULL_INTERVAL } else { PULL_INTERVAL_WITHOUT_WATCH }
}

fn jitter(rng: &mut Rng) -> f64 {
    1.0 - JITTER + 2.0 * JITTER * rng.f64()
}
