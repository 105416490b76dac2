//! Evidence from an endpoint's own behaviour that it is draining, used while discovery is silent. Signals are
//! weighted and decay, and a list confirmed by discovery takes precedence over them.

#[cfg(test)]
mod tests;

use brackenledge_policy::Millis;
use brackenledge_policy::measure::DecayingSum;

/// An observed behaviour of an endpoint that hints at its status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointSignal {
    /// It returned a job without starting it, although its load report in the same response shows free slots.
    ReturnedWithCapacity,
    /// It returned a job without starting it; it may only be full.
    Returned,
    /// It refused a connection.
    ConnectionRefused,
    /// It closed a connection that it could have kept open.
    ConnectionClosed,
    /// It served a job.
    JobServed,
}

impl EndpointSignal {
    /// The signal's contribution to the evidence. No signal suffices by itself: full endpoints return jobs
    /// too, and single connections fail for other reasons.
    fn weight(self) -> f64 {
        match self {
            EndpointSignal::ReturnedWithCapacity => 0.55,
            EndpointSignal::Returned => 0.12,
            EndpointSignal::ConnectionRefused => 0.6,
            EndpointSignal::ConnectionClosed => 0.35,
            EndpointSignal::JobServed => 0.0,
        }
    }
}

/// Time constant of the decay: evidence falls to 1/e within this time.
const EVIDENCE_DECAY_TIME: Millis = 4_000.0;
/// An endpoint with at least this much evidence is suspected of draining while discovery cannot confirm its
/// status.
pub(crate) const SUSPECT_THRESHOLD: f64 = 1.0;
/// A suspected endpoint is used again once its evidence falls below this, which takes about six seconds.
pub(crate) const CLEAR_THRESHOLD: f64 = 0.25;
/// Evidence below this is discarded.
const NEGLIGIBLE_EVIDENCE: f64 = 0.05;
/// Factor applied to the evidence when a job was served. It does not clear the evidence, because a draining
/// endpoint still serves the jobs that it holds.
const SERVED_FACTOR: f64 = 0.8;

/// Evidence that an endpoint is draining: a decaying sum of the weights of its signals.
#[derive(Clone, Copy, Default)]
pub(crate) struct DrainEvidence(DecayingSum);

impl DrainEvidence {
    pub(crate) fn add(&mut self, now: Millis, signal: EndpointSignal) {
        match signal {
            EndpointSignal::JobServed => self.0.value *= SERVED_FACTOR,
            _ => self.0.add(now, EVIDENCE_DECAY_TIME, signal.weight()),
        }
    }

    pub(crate) fn value(&self, now: Millis) -> f64 {
        self.0.value_at(now, EVIDENCE_DECAY_TIME)
    }

    pub(crate) fn is_negligible(&self, now: Millis) -> bool {
        self.value(now) < NEGLIGIBLE_EVIDENCE
    }
}
