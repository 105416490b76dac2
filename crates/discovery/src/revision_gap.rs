//! Detects that a revision held by a peer fails to arrive from discovery.

use brackenledge_policy::Millis;
use fastrand::Rng;

/// A revision that a peer holds counts as missing after this time at the earliest, since updates reach
/// schedulers some hundred milliseconds apart.
const MIN_ARRIVAL_TIMEOUT: Millis = 300.0;
/// The timeout per scheduler, which takes effect in large clusters. Discovery updates the watches one after
/// another, about 20 a second while it is busy, and a second watch opened in the meantime would lengthen its
/// queue.
const ARRIVAL_TIMEOUT_PER_SCHEDULER: Millis = 50.0;

/// A revision that a peer holds and this scheduler does not.
struct ExpectedRevision {
    revision: u64,
    /// When it counts as missing if it has not arrived.
    deadline: Millis,
}

/// Tracks the newest revision that peers claim to hold and that has not arrived.
pub(crate) struct RevisionGap {
    arrival_timeout: Millis,
    expected: Option<ExpectedRevision>,
    /// The newest revision reported as missing. It and older ones are not reported again.
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

    /// A peer claims to hold revision `claimed`; this scheduler holds `held`.
    pub(crate) fn on_claim(&mut self, now: Millis, claimed: u64, held: u64, rng: &mut Rng) {
        let newer = self.expected.as_ref().is_none_or(|expected| claimed > expected.revision);
        if claimed <= held.max(self.reported) || !newer {
            return;
        }
        // Jitter is needed because one slow round of updates leaves several schedulers without the same
        // revision.
        let timeout = self.arrival_timeout * (1.0 + rng.f64());
        let deadline = self.expected.as_ref().map_or(now + timeout, |expected| expected.deadline);
        self.expected = Some(ExpectedRevision { revision: claimed, deadline });
    }

    /// An update with this revision has arrived from discovery.
    pub(crate) fn on_update(&mut self, revision: u64) {
        if self.expected.as_ref().is_some_and(|expected| expected.revision <= revision) {
            self.expected = None;
        }
    }

    /// Takes the revision whose deadline has passed, if there is one. Each revision is returned once.
    pub(crate) fn take_missing(&mut self, now: Millis) -> Option<u64> {
        let missing = self.expected.take_if(|expected| now >= expected.deadline)?;
        self.reported = missing.revision;
        Some(missing.revision)
    }

    pub(crate) fn next_timeout(&self) -> Millis {
        self.expected.as_ref().map_or(Millis::INFINITY, |expected| expected.deadline)
    }
}
