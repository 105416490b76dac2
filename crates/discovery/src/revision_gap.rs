//! Notices a revision that a peer holds and that does not arrive here.

use brackenledge_policy::Millis;
use fastrand::Rng;

/// Lists reach schedulers some hundred milliseconds apart; a revision that a peer holds is missing only after this.
const MIN_ARRIVAL_TIMEOUT: Millis = 300.0;
/// The same for each scheduler of a large cluster: discovery updates their watches one after another, some 20 a second
/// while it is busy, and a second watch opened meanwhile would make its queue longer.
const ARRIVAL_TIMEOUT_PER_SCHEDULER: Millis = 50.0;

/// A revision that a peer holds and this scheduler does not.
struct ExpectedRevision {
    revision: u64,
    /// When it counts as missing.
    deadline: Millis,
}

/// Tracks the newest revision that peers claim to hold.
pub(crate) struct RevisionGap {
    arrival_timeout: Millis,
    expected: Option<ExpectedRevision>,
    /// The newest revision that was reported as missing: once is enough.
    reported: u64,
}

impl RevisionGap {
    pub(crate) fn new(schedulers: u16) -> Self {
        RevisionGap {
            arrival_timeout: MIN_ARRIVAL_TIMEOUT.max(ARRIVAL_TIMEOUT_PER_SCHEDULER * f64::from(schedulers)),
            expected: None,
            reported: 0,
        }
    }

    /// A peer holds `claimed`, this scheduler `held`.
    pub(crate) fn on_claim(&mut self, now: Millis, claimed: u64, held: u64, rng: &mut Rng) {
        let newer = self.expected.as_ref().is_none_or(|expected| claimed > expected.revision);
        if claimed <= held.max(self.reported) || !newer {
            return;
        }
        // With jitter: schedulers that one slow round of updates left behind miss the same revision.
        let timeout = self.arrival_timeout * (1.0 + rng.f64());
        let deadline = self.expected.as_ref().map_or(now + timeout, |expected| expected.deadline);
        self.expected = Some(ExpectedRevision { revision: claimed, deadline });
    }

    /// This revision has arrived.
    pub(crate) fn on_update(&mut self, revision: u64) {
        if self.expected.as_ref().is_some_and(|expected| expected.revision <= revision) {
            self.expected = None;
        }
    }

    /// The revision that has turned out to be missing by now; each is given once.
    pub(crate) fn take_missing(&mut self, now: Millis) -> Option<u64> {
        let missing = self.expected.take_if(|expected| now >= expected.deadline)?;
        self.reported = missing.revision;
        Some(missing.revision)
    }

    pub(crate) fn next_timeout(&self) -> Millis {
        self.expected.as_ref().map_or(Millis::INFINITY, |expected| expected.deadline)
    }
}
