//! Evidence that an endpoint drains, from its own behaviour, while discovery is silent. It is weighed, decays, and never
//! outlives a confirmed list.

#[cfg(test)]
mod tests;

use brackenledge_policy::Millis;
use brackenledge_policy::measure::DecayingSum;

/// Something that an endpoint did, as a hint of its status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointSignal {
    /// It returned a job unstarted, though its load report in the same response shows free slots.
    ReturnedWithCapacity,
    /// It returned a job unstarted; it may just be full.
    Returned,
    /// It refused a connection.
    ConnectionRefused,
    /// It ended a connection that it could have kept.
    ConnectionClosed,
    /// It served a job.
    JobServed,
}

impl EndpointSignal {
    /// Full endpoints return jobs too, and single connections fail by themselves: no signal suffices alone.
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

/// The time in which evidence decays to 1/e.
const EVIDENCE_DECAY_TIME: Millis = 4_000.0;
/// From this much evidence on an endpoint is suspected of draining, while nothing can be confirmed.
pub(crate) const SUSPECT_THRESHOLD: f64 = 1.0;
/// A suspected endpoint stays so down to this much: some six seconds, then it is tried again.
pub(crate) const CLEAR_THRESHOLD: f64 = 0.25;
/// Evidence below this is not worth keeping.
const NEGLIGIBLE_EVIDENCE: f64 = 0.05;
/// What is left of the evidence after a job was served. A draining endpoint serves the jobs that it holds, so that this
/// only weakens the rest.
const SERVED_FACTOR: f64 = 0.8;

/// Evidence that an endpoint drains: a decaying sum of the weights of its signals.
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
