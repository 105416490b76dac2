//! Anti-entropy: when a scheduler pulls from its peers the changes that no rumour has brought to it.
//!
//! A rumour may be lost in part or entirely without being detected: it is sent only a few times, and a peer
//! that knows of a revision is taken to know all of its changes. Each scheduler therefore compares the
//! changes that it knows with those of its peers, by the pulls of [`crate::gossip`]. It does so periodically,
//! more often while its own watch does not work, and shortly after a peer has mentioned a revision that its
//! own list does not hold.

use crate::client::Freshness;
use brackenledge_policy::Millis;
use fastrand::Rng;

/// Interval between pulls while no watch works. Several pulls fit into the 6 s after which a change that
/// discovery has written to a silent watch counts as received.
const PULL_INTERVAL_WITHOUT_WATCH: Millis = 700.0;
/// Interval between pulls while a watch works.
const PULL_INTERVAL: Millis = 4_000.0;
/// Time between the first mention of a revision and the pull for it, and between pulls for the same revision.
/// The scheduler's own watch, or the rest of the rumour, may deliver the revision before the pull.
const PULL_DELAY: Millis = 300.0;
/// Maximum number of pulls for one revision, since the peer may be gone.
const MAX_PULLS: u32 = 15;
/// Intervals and delays vary by this fraction in both directions, so that schedulers do not all pull at once.
const JITTER: f64 = 0.25;

/// The peer to pull from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PullFrom {
    /// This peer.
    Peer(u16),
    /// A peer chosen at random.
    Any,
}

/// A revision that a peer has mentioned and this scheduler's list does not hold.
struct MentionedRevision {
    peer: u16,
    revision: u64,
    pull_at: Millis,
    /// Number of pulls sent to the peer. More than one is needed if a pull or its reply is lost.
    pulls: u32,
}

/// Schedules the pulls of one scheduler.
pub(crate) struct AntiEntropy {
    next_pull_at: Millis,
    mentioned: Option<MentionedRevision>,
    /// The newest revision for which pulls are finished: answered, given up, or no longer needed.
    pulled_revision: u64,
}

impl AntiEntropy {
    pub(crate) fn new(now: Millis, rng: &mut Rng) -> Self {
        let next_pull_at = now + PULL_INTERVAL_WITHOUT_WATCH * jitter(rng);
        AntiEntropy { next_pull_at, mentioned: None, pulled_revision: 0 }
    }

    /// The freshness of this scheduler's list has changed.
    pub(crate) fn on_freshness(&mut self, now: Millis, freshness: Freshness, rng: &mut Rng) {
        self.next_pull_at = self.next_pull_at.min(now + interval(freshness) * jitter(rng));
    }

    /// A peer has mentioned this revision. `held` is the revision of this scheduler's list.
    pub(crate) fn on_revision_mentioned(
        &mut self,
        now: Millis,
        peer: u16,
        revision: u64,
        held: u64,
        rng: &mut Rng,
    ) {
        let newest = self.mentioned.as_ref().map_or(0, |mentioned| mentioned.revision);
        if revision <= held.max(self.pulled_revision).max(newest) {
            return;
        }
        // Another new revision does not postpone a pull that is already scheduled.
        let pull_at =
            self.mentioned.as_ref().map_or(now + PULL_DELAY * jitter(rng), |mentioned| mentioned.pull_at);
        self.mentioned = Some(MentionedRevision { peer, revision, pull_at, pulls: 0 });
    }

    /// A peer has replied. `known` is the newest revision that it knows of.
    pub(crate) fn on_reply(&mut self, peer: u16, known: u64) {
        let answered = |mentioned: &mut MentionedRevision| {
            mentioned.peer == peer && mentioned.pulls > 0 && known >= mentioned.revision
        };
        if let Some(mentioned) = self.mentioned.take_if(answered) {
            self.pulled_revision = mentioned.revision;
        }
    }

    /// Discovery has restarted its revision numbering, so revisions mentioned earlier are meaningless now.
    pub(crate) fn restart_revisions(&mut self) {
        (self.mentioned, self.pulled_revision) = (None, 0);
    }

    pub(crate) fn next_timeout(&self) -> Millis {
        self.mentioned
            .as_ref()
            .map_or(self.next_pull_at, |mentioned| mentioned.pull_at.min(self.next_pull_at))
    }

    /// Returns the pull that is due now, if any, and schedules the next one.
    pub(crate) fn take_due(
        &mut self,
        now: Millis,
        freshness: Freshness,
        held: u64,
        rng: &mut Rng,
    ) -> Option<PullFrom> {
        if let Some(mentioned) =
            self.mentioned.take_if(|mentioned| mentioned.revision <= held || mentioned.pulls >= MAX_PULLS)
        {
            self.pulled_revision = mentioned.revision;
        }
        if let Some(mentioned) = self.mentioned.as_mut().filter(|mentioned| now >= mentioned.pull_at) {
            mentioned.pulls += 1;
            mentioned.pull_at = now + PULL_DELAY * jitter(rng);
            return Some(PullFrom::Peer(mentioned.peer));
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
